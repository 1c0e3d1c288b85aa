"""Command group of the operators' tool."""

import click

from teaselpath.cli._common import EXIT_HELP
from teaselpath.cli._files import check, diff, keygen, sign
from teaselpath.cli._load import load
from teaselpath.cli._nodes import drain, explain, explain_workspace, revoke, rollout, top
from teaselpath.cli._outcomes import outcomes
from teaselpath.cli._placement import placement
from teaselpath.cli._publish import publish
from teaselpath.cli._software import software
from teaselpath.cli._trace import trace
from teaselpath.cli._verdicts import verdicts


@click.group(epilog=EXIT_HELP)
def main() -> None:
    """Operate a teaselpath system. Secrets are read from files only."""


for _command in (
    keygen,
    check,
    diff,
    sign,
    publish,
    rollout,
    revoke,
    drain,
    explain,
    explain_workspace,
    top,
    load,
    outcomes,
    placement,
    trace,
    verdicts,
    software,
):
    main.add_command(_command)
