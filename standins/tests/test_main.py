"""Tests of the command line."""

from click.testing import CliRunner

from standins import __main__ as command


def run(monkeypatch, *arguments):
    """Run the command line; return the configurations passed to the server and the result."""
    served = []

    async def record(configs):
        served.extend(configs)

    monkeypatch.setattr(command, "_serve_all", record)
    return served, CliRunner().invoke(command.main, arguments)


def test_options_set_fields(monkeypatch):
    """Guards against options that are ignored or have the wrong type."""
    arguments = ("--port", "9001", "--step-us", "2.5", "--no-fencing", "--id", "engine-1")
    served, result = run(monkeypatch, "engine", *arguments)
    assert result.exit_code == 0, result.output
    engine = served[0]
    assert (engine.port, engine.step_us, engine.fencing, engine.id) == (
        9001,
        2.5,
        False,
        "engine-1",
    )


def test_file_with_a_misspelt_field_is_rejected(monkeypatch, tmp_path):
    """Guards against a misspelt field in the file that is silently ignored."""
    path = tmp_path / "all.json"
    path.write_text('{"standins":[{"kind":"log","port":1},{"kind":"engine","sead":3}]}')
    served, result = run(monkeypatch, "all", "--config", str(path))
    assert result.exit_code == 1
    assert "sead" in result.output
    path.write_text('{"standins":[{"kind":"log","port":1},{"kind":"hosts","lag_s":3}]}')
    served, result = run(monkeypatch, "all", "--config", str(path))
    assert [type(c).__name__ for c in served] == ["LogConfig", "HostsConfig"]
