"""Commands that send requests to nodes: rollout status, revoke, drain, explain and top."""

from typing import Any

import click
import msgspec
from result import Result

from teaselpath.bundle import RevocationSpec, sign_revocation
from teaselpath.cli._common import (
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_PARTIAL,
    EXIT_UNREACHABLE,
    Nodes,
    node_options,
)
from teaselpath.cli._tables import print_rows
from teaselpath.results import Code, Failure

Answers = dict[str, Result[Any, Failure]]


def exit_code(answers: Answers) -> int:
    """Return the exit code: OK, PARTIAL if some nodes failed, UNREACHABLE if all did."""
    failures = [answer for answer in answers.values() if answer.is_err()]
    if not failures:
        return EXIT_OK
    return EXIT_UNREACHABLE if len(failures) == len(answers) else EXIT_PARTIAL


def rollout_rows(answers: Answers) -> list[tuple]:
    """Return one row per host: unknown hosts first, then those that lag.

    A node replies with ``{"version", "digest", "offset", "since_s", "reason"}``. The reason comes
    from the node, for example that it cannot reach the log.
    """
    statuses = {host: answer.unwrap() for host, answer in answers.items() if answer.is_ok()}
    newest = max((status.get("version", 0) for status in statuses.values()), default=0)
    rows = []
    for host, answer in answers.items():
        if answer.is_err():
            rows.append((host, None, None, None, "unknown", str(answer.unwrap_err())))
            continue
        status = statuses[host]
        version = status.get("version", 0)
        state = "in force" if version == newest else "lags"
        reason = status.get("reason", "")
        if state == "lags" and not reason:
            reason = f"newest is version {newest}"
        rows.append(
            (host, version, status.get("digest", "")[:12], status.get("since_s"), state, reason)
        )
    order = {"unknown": 0, "lags": 1, "in force": 2}
    return sorted(rows, key=lambda row: (order[row[4]], row[0]))


@click.group()
def rollout() -> None:
    """Monitor the rollout of a bundle version."""


@rollout.command("status")
@node_options
def rollout_status(as_json: bool, **options: Any) -> None:
    """Show the version in force on each host, since when, and which hosts lag and why."""
    answers = Nodes(options).ask("status", {})
    rows = rollout_rows(answers)
    print_rows(as_json, ("host", "version", "digest", "since_s", "state", "reason"), rows)
    lags = any(row[4] == "lags" for row in rows)
    raise SystemExit(exit_code(answers) or (EXIT_PARTIAL if lags else EXIT_OK))


@click.command()
@click.argument("key_digest")
@click.option("--key-id", default="", help="Id of the key in the bundle.")
@click.option("--version", required=True, type=int, help="A bundle version that contains the key.")
@click.option("--reason", default="", help="Reason, stored with the revocation.")
@node_options
def revoke(
    key_digest: str, key_id: str, version: int, reason: str, as_json: bool, **options: Any
) -> None:
    """Revoke the caller key with KEY_DIGEST immediately, by a request to every node."""
    nodes = Nodes(options)
    try:
        spec = msgspec.convert(
            {"key_digest": key_digest, "key_id": key_id, "version": version, "reason": reason},
            RevocationSpec,
        )
    except msgspec.ValidationError as error:
        raise click.UsageError(str(error)) from None
    record = sign_revocation(spec, nodes.keys.operator_private)
    answers = nodes.ask("revoke", {"record": record.hex()})
    rows = [(host, *_format_result(answer)) for host, answer in sorted(answers.items())]
    print_rows(as_json, ("host", "result", "reason"), rows)
    raise SystemExit(exit_code(answers))


@click.command()
@click.argument("host")
@node_options
def drain(host: str, as_json: bool, **options: Any) -> None:
    """Shut HOST down gracefully: it refuses new work and exits after its running work."""
    answers = Nodes(options).ask("drain", {}, host)
    print_rows(as_json, ("host", "result", "reason"), [(host, *_format_result(answers[host]))])
    if answers[host].is_ok():
        raise SystemExit(EXIT_OK)
    is_unreachable = answers[host].unwrap_err().code is Code.PEER_TIMEOUT
    raise SystemExit(EXIT_UNREACHABLE if is_unreachable else EXIT_FAULTS)


EXPLAIN_COLUMNS = ("host", "step", "endpoint", "code", "version", "reason")


def explain_rows(answers: Answers) -> list[tuple]:
    """Return the decision records of a request, ordered by time and without duplicates.

    A node replies with ``{"records": [...]}``; each has the fields of a decision record.
    """
    records = {}
    for answer in answers.values():
        for record in (answer.ok() or {}).get("records", []):
            records[msgspec.json.encode(record, order="sorted")] = record
    ordered = sorted(records.values(), key=lambda r: r.get("wall_us", 0))
    return [
        (
            record.get("host", ""),
            record["step"],
            record["endpoint"],
            record["code"],
            record["bundle_version"],
            record["reason"],
        )
        for record in ordered
    ]


@click.command()
@click.argument("request", nargs=-1, required=True)
@node_options
def explain(request: tuple[str, ...], as_json: bool, **options: Any) -> None:
    """Show the decisions on REQUEST; `explain workspace W` shows a workspace instead."""
    if len(request) == 2 and request[0] == "workspace":
        _explain_workspace(request[1], as_json, options)
    if len(request) != 1:
        raise click.UsageError("expected REQUEST, or: workspace W")
    answers = Nodes(options).ask("explain", {"request_id": request[0]})
    rows = explain_rows(answers)
    print_rows(as_json, EXPLAIN_COLUMNS, rows)
    raise SystemExit(exit_code(answers) if rows else exit_code(answers) or EXIT_FAULTS)


WORKSPACE_COLUMNS = ("host", "rate", "capacity", "balance", "refusals", "version")


def workspace_rows(answers: Answers) -> list[tuple]:
    """Return the quota share of a workspace on each host, and the total.

    A node replies with ``{"rate", "capacity", "balance", "refusals": {cause: count}, "version"}``.
    """
    rows = []
    totals = [0.0, 0.0, 0.0]
    refusals: dict[str, int] = {}
    for host, answer in sorted(answers.items()):
        if answer.is_err():
            rows.append((host, None, None, None, str(answer.unwrap_err()), None))
            continue
        share = answer.unwrap()
        values = [float(share.get(name, 0)) for name in ("rate", "capacity", "balance")]
        totals = [total + value for total, value in zip(totals, values, strict=True)]
        for cause, count in share.get("refusals", {}).items():
            refusals[cause] = refusals.get(cause, 0) + count
        rows.append(
            (host, *values, _format_counts(share.get("refusals", {})), share.get("version"))
        )
    return [*rows, ("total", *totals, _format_counts(refusals), None)]


def _explain_workspace(workspace: str, as_json: bool, options: dict[str, Any]) -> None:
    answers = Nodes(options).ask("explain_workspace", {"workspace": workspace})
    print_rows(as_json, WORKSPACE_COLUMNS, workspace_rows(answers))
    raise SystemExit(exit_code(answers))


@click.command("explain-workspace")
@click.argument("workspace")
@node_options
def explain_workspace(workspace: str, as_json: bool, **options: Any) -> None:
    """Show the quota shares, balances, refusals by cause and version of WORKSPACE per host."""
    _explain_workspace(workspace, as_json, options)


TOP_COLUMNS = ("host", "role", "state", "running", "queued", "requests_per_s", "refused_per_s")


def top_rows(answers: Answers) -> list[tuple]:
    """Return one row per host, those with the most running requests first."""
    rows = []
    for host, answer in answers.items():
        load = answer.ok() or {"state": str(answer.err())}
        rows.append((host, *[load.get(name) for name in TOP_COLUMNS[1:]]))
    return sorted(rows, key=lambda row: (-(row[3] or 0), row[0]))


@click.command()
@node_options
def top(as_json: bool, **options: Any) -> None:
    """Show the load of each host."""
    answers = Nodes(options).ask("top", {})
    print_rows(as_json, TOP_COLUMNS, top_rows(answers))
    raise SystemExit(exit_code(answers))


def _format_result(answer: Result[Any, Failure]) -> tuple[str, str]:
    return ("done", "") if answer.is_ok() else ("failed", str(answer.unwrap_err()))


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{cause} {count}" for cause, count in sorted(counts.items())) or "none"
