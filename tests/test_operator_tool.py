"""Tests of the operators' tool against real processes."""

import msgspec
import pytest
from click.testing import CliRunner

from standins.fleet import make_key
from teaselpath.bundle import key_digest
from teaselpath.cli import main
from tests.conftest import HEADERS, MODEL


@pytest.fixture
def tool(installation):
    """Return a function that runs a command against the installation."""

    def run(*arguments, expected=0):
        options = installation.fleet.tool_options()
        result = CliRunner().invoke(main, [*arguments, "--json", *options])
        assert result.exit_code == expected, result.output
        return msgspec.json.decode(result.stdout)

    return run


def call(installation, key):
    body = {"model": MODEL, "prompt": "Which vans are free?", "max_tokens": 4}
    headers = {"Authorization": f"Bearer {key}"}
    return installation.call("POST", "/v1/completions", json=body, headers=headers)


def test_rollout_status_names_the_version_of_each_host(installation, tool):
    """Guards against a status that does not show which version is in force on each host."""
    rows = tool("rollout", "status")
    assert {row["host"] for row in rows} == set(installation.fleet.nodes)
    assert {row["version"] for row in rows} == {1}
    assert len({row["digest"] for row in rows}) == 1


def test_explain_shows_the_steps_of_a_request(installation, tool):
    """Guards against a request whose routing decisions cannot be retrieved."""
    answer = call(installation, make_key("office"))
    steps = [row["step"] for row in tool("explain", answer.headers["x-request-id"])]
    assert steps[0] == "routed"
    assert steps[-1] == "ended"
    assert "started" in steps


def test_revoked_key_is_refused(installation, tool):
    """Guards against a key that remains valid after it was revoked."""
    key = make_key("office", 2)
    assert call(installation, key).status == 200
    rows = tool("revoke", key_digest(key).hex(), "--version", "1", "--key-id", "office-2")
    assert {row["result"] for row in rows} == {"done"}
    assert call(installation, key).status == 401
    assert call(installation, make_key("office")).status == 200


def test_request_of_an_untrusted_operator_is_refused(installation, tmp_path):
    """Guards against commands signed with a key that the settings do not trust."""
    stranger = tmp_path / "stranger.key"
    assert CliRunner().invoke(main, ["keygen", "operator", str(stranger)]).exit_code == 0
    options = [option for option in installation.fleet.tool_options() if "operator" not in option]
    arguments = ["drain", "entry-1", f"--operator-key={stranger}", *options]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 1
    assert "UNTRUSTED_OPERATOR" in result.output
    assert installation.call("GET", "/readyz", headers=HEADERS).status == 200


def test_workspace_shares_add_up_to_the_bundle(installation, tool):
    """Guards against quota shares whose sum differs from the rate in the bundle."""
    rows = tool("explain-workspace", "office")
    total = next(row for row in rows if row["host"] == "total")
    assert total["rate"] == pytest.approx(1e7)
