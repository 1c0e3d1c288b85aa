"""Tests of the load tool against the stand-ins."""

import msgspec
import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from standins.testing import EngineConfig, ServiceConfig, start_standin
from teaselpath.cli._load import load
from teaselpath.cli._load_client import CallOutcome
from teaselpath.cli._load_profile import ClassLoad, PrefixLevel, Profile, Workload, WorkspaceLoad
from teaselpath.cli._load_report import LoadReport

__all__ = ["start_standin"]
KEY = "sk-caller-key-1"


@pytest.fixture
def run(tmp_path):
    """Return a function that runs the tool and returns its results and its output."""

    def run_tool(url, classes, *arguments):
        path, out = tmp_path / "profile.json", tmp_path / "out.json"
        path.write_bytes(msgspec.json.encode(replace(PROFILE, classes=classes)))
        options = ["--profile", str(path), "--duration", "0.2", "--out", str(out)]
        result = CliRunner().invoke(
            load, [url, *options, *arguments], env={"TEASELPATH_LOAD_KEYS": f'{{"a": "{KEY}"}}'}
        )
        assert out.exists(), result.output
        return msgspec.json.decode(out.read_bytes()), result

    return run_tool


CLASSES = [
    ClassLoad(id="ask", prefix_depth=2),
    ClassLoad(id="plain", kind="completion", stream=False, prefix_depth=1),
]
PROFILE = Profile(
    name="test",
    model="m",
    workspaces=[WorkspaceLoad(id="a", rate=100.0)],
    classes=CLASSES,
    prefixes=[PrefixLevel(fan_out=2, tokens=4), PrefixLevel(fan_out=3, tokens=2)],
)


def engine_config(**changes):
    return EngineConfig(
        step_us=0.0, decode_us_per_token=0.0, prefill_us_per_token=0.0, block_tokens=4, **changes
    )


def test_answers_are_checked_and_counted(run, start_standin, tmp_path):
    """Guards against uncounted calls, a key that is not sent, and a plot that is not written."""
    engine = start_standin(engine_config(model="m"))
    plot = tmp_path / "plot.png"
    results, result = run(
        engine.url, CLASSES, "--verify", "standins:verify_call", "--plot", str(plot)
    )
    assert result.exit_code == 0, result.output
    total = results["all"]
    assert total["sent"] == total["results"]["ok"] > 5
    assert total["first_token"]["count"] == total["sent"]
    assert total["prefix_hit_rate"] > 0
    assert plot.stat().st_size > 1000
    assert {s["value"] for s in engine.get("/audit")["suspects"]} == {f"Bearer {KEY}"}
    assert KEY not in result.output + msgspec.json.encode(results).decode()


@pytest.mark.parametrize("mode", ["truncated", "malformed", "after_done", "no_usage", "shuffled"])
def test_broken_streams_are_incomplete(run, start_standin, mode):
    """Guards against a broken stream that is counted as a complete answer."""
    engine = start_standin(engine_config(model="m"))
    engine.faults(sse={"mode": mode, "after_tokens": 3, "count": 2})
    results, result = run(engine.url, CLASSES[:1])
    assert results["all"]["results"]["incomplete"] == 2
    assert result.exit_code == 1


def test_another_answer_is_wrong(run, start_standin):
    """Guards against accepting a complete answer that belongs to another request."""
    engine = start_standin(engine_config(model="m", stop_one_in=2))
    results, result = run(engine.url, CLASSES, "--verify", "standins:verify_call")
    assert results["all"]["results"]["wrong"] > 0
    assert result.exit_code == 1


def test_error_fields_are_counted():
    """Guards against refusals that are not counted by code and by whether they ran."""
    report = LoadReport(0.0)
    call = next(Workload(PROFILE, 1).calls(10.0))
    report.record_sent("a", "ask", 0.0)
    report.record_outcome(CallOutcome(call, "refused", 429, code="rate_exceeded", ran="not_run"))
    group = report.as_dict(1.0)["workspaces"]["a"]
    assert group["errors"] == {"rate_exceeded not_run": 1}
    assert group["results"]["refused"] == 1
    assert group["total"]["count"] == 0
    assert report.as_dict(1.0)["worst_workspace"]["ok_fraction"]["fraction"] == 0.0


def test_refused_and_failed_calls(run, start_standin):
    """Guards against counting refusals and lost connections together."""
    service = start_standin(ServiceConfig())
    service.faults(fail={"status": 503, "count": 3}, crash={"when": "after", "count": 2})
    kind = ClassLoad(id="pay", kind="service", method="POST", path="/payments")
    results, _ = run(service.url, [kind], "--verify", "standins:verify_call")
    counts = results["all"]["results"]
    assert (counts["refused"], counts["failed"]) == (3, 2)
    assert counts["ok"] == results["all"]["sent"] - 5
    assert service.get("/executions")["count"] == counts["ok"] + 2
