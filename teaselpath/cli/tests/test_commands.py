"""Tests of the operators' commands, their tables and their exit codes."""

import asyncio
import json
import threading
import time

import msgspec
import pytest
import zmq
from click.testing import CliRunner
from result import Err, Ok

from teaselpath.bundle import NonceCache, open_control, sign_record
from teaselpath.bundle.tests.conftest import OPERATORS, PRIVATE_KEY, document, signed
from teaselpath.cli import main
from teaselpath.cli._client import NodeAddress, ToolKeys, send_requests
from teaselpath.cli._nodes import explain_rows, rollout_rows, top_rows, workspace_rows
from teaselpath.cli._publish import publish_record
from teaselpath.cli._tables import format_table
from teaselpath.clients import LogClient
from teaselpath.clients.tests.servers import FakePlatform, run_with
from teaselpath.results import Code, Failure
from teaselpath.wire import Control, ControlReply, decode, encode


@pytest.fixture
def tool(tmp_path):
    """Return a function that runs a command and returns its exit code and output."""

    def run(*arguments):
        result = CliRunner().invoke(main, [str(a) for a in arguments])
        return result.exit_code, result.output

    return run


def test_keygen_check_sign(tool, tmp_path):
    """Guards against key files that other users can read and invalid bundles that are signed."""
    key, bundle = tmp_path / "operator", tmp_path / "bundle.json"
    assert tool("keygen", "operator", key)[0] == 0
    assert key.stat().st_mode & 0o777 == 0o600
    assert tool("keygen", "operator", key)[0] == 2  # an existing key is not overwritten
    for kind in ("caller", "curve"):
        code, output = tool("keygen", kind, tmp_path / kind, "--json")
        assert code == 0
        secret = (tmp_path / kind).read_text().strip()
        assert secret not in output
        assert json.loads(output)[0]["public"] == (tmp_path / f"{kind}.pub").read_text().strip()
    bundle.write_bytes(msgspec.json.encode(document(parent=1)))
    assert tool("check", bundle)[0] == 1
    assert tool("sign", bundle, tmp_path / "record", "--operator-key", key)[0] == 1
    bundle.write_bytes(msgspec.json.encode(document()))
    assert tool("check", bundle) == (0, f"{bundle}: no faults\n")
    assert tool("sign", bundle, tmp_path / "record", "--operator-key", key)[0] == 0
    key.chmod(0o644)
    assert tool("sign", bundle, tmp_path / "record", "--operator-key", key)[0] == 2


def test_check_and_diff_tables(tool, tmp_path, snapshot, monkeypatch):
    """Guards against unintended changes of the tables."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "old.json").write_bytes(msgspec.json.encode(document()))
    new = document(2, 1)
    new["workspaces"][0] |= {"rate": 20.0, "weight": 2.0}
    (tmp_path / "new.json").write_bytes(msgspec.json.encode(new))
    new["workspaces"][0] |= {"rate": 0, "rat": 1}
    (tmp_path / "bad.json").write_bytes(msgspec.json.encode(new))
    (tmp_path / "settings.json").write_text('{"role": "agent", "stop_timeout": 3}')
    assert tool("check", "bad.json") == snapshot
    assert tool("check", "--settings", "settings.json") == snapshot
    assert tool("diff", "old.json", "new.json") == snapshot
    assert tool("diff", "old.json", "new.json", "--json") == snapshot


def test_node_tables(snapshot):
    """Guards against unintended changes of the tables and lagging hosts that are not shown."""
    timed_out = Err(Failure(Code.PEER_TIMEOUT, "no answer within 5 s"))
    status = {"version": 7, "digest": "ab" * 32, "since_s": 12.25, "reason": ""}
    answers: dict = {
        "a": Ok(status),
        "b": Ok(status | {"version": 6, "since_s": 900.0, "reason": "the log is not reachable"}),
        "c": timed_out,
        "d": Ok(status | {"version": 6}),
    }
    columns = ("host", "version", "digest", "since_s", "state", "reason")
    assert format_table(columns, rollout_rows(answers)) == snapshot
    record = {"step": "route", "endpoint": "e1", "code": 0, "bundle_version": 7, "reason": "cached"}
    answers = {
        "a": Ok({"records": [record | {"wall_us": 2}, record | {"wall_us": 1, "step": "admit"}]}),
        "b": Ok({"records": [record | {"wall_us": 2}]}),
        "c": timed_out,
    }
    assert explain_rows(answers) == snapshot
    share = {"rate": 10.0, "capacity": 50.0, "balance": 20.5, "version": 7}
    answers = {"a": Ok(share | {"refusals": {"RATE_EXCEEDED": 3}}), "b": Ok(share), "c": timed_out}
    assert workspace_rows(answers) == snapshot
    load = {"role": "entry", "state": "alive", "running": 3, "queued": 0, "requests_per_s": 2.5}
    assert top_rows({"a": Ok(load), "b": Ok(load | {"running": 9}), "c": timed_out}) == snapshot


@pytest.mark.parametrize(
    ("mode", "data", "result"),
    [
        ("up", signed(0).data, "accepted"),
        ("reply lost", signed(0).data, "accepted"),
        ("lost", signed(0).data, "unknown"),
        ("up", signed(0, 5, 4).data, "rejected"),
        ("up", sign_record("bundle", b"{}", PRIVATE_KEY), "rejected"),
    ],
)
def test_publish_reports_the_outcome(mode, data, result):
    """Guards against a lost reply that is reported as a failure or appended twice."""
    platform = FakePlatform()
    platform.mode = mode

    async def call(session, url, deadline):
        limit = asyncio.get_running_loop().time() + (2.0 if mode == "lost" else 5.0)
        return await publish_record(LogClient(session, url), data, OPERATORS, limit)

    outcome = run_with(platform, call).unwrap()
    assert outcome.result == result
    assert len(platform.records) == (0 if mode == "lost" else 1)


def test_publish_again_finds_the_first_append():
    """Guards against a second append of a record that the log already contains."""
    platform = FakePlatform()
    platform.records = [signed(0).data, signed(1, 2, 1).data]

    async def call(session, url, deadline):
        return await publish_record(LogClient(session, url), signed(0).data, OPERATORS, deadline)

    outcome = run_with(platform, call).unwrap()
    assert (outcome.result, outcome.offset, len(platform.records)) == ("accepted", 0, 2)


def serve_node(socket, count):
    """Reply to a number of requests as a node does, each after a reply to another request."""
    nonces = NonceCache()
    while count:
        identity, payload = socket.recv_multipart()
        control = decode(payload).unwrap()
        assert isinstance(control, Control)
        opened = open_control(control, OPERATORS, nonces, int(time.time() * 1000), "h1")
        code = Code.OK if opened.is_ok() else opened.unwrap_err().code
        reply = ControlReply(control.request_id, code, msgspec.json.encode({"detail": "d"}))
        socket.send_multipart([identity, encode(ControlReply("other", 0, b"1"))])
        socket.send_multipart([identity, encode(reply)])
        count -= 1


@pytest.fixture
def node():
    """Yield a function that starts a node on a CURVE socket, its port and its public key."""
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    socket = context.socket(zmq.ROUTER)
    socket.curve_server, socket.curve_secretkey = True, secret
    port = socket.bind_to_random_port("tcp://127.0.0.1")
    threads = []

    def serve(count):
        threads.append(threading.Thread(target=serve_node, args=(socket, count), daemon=True))
        threads[-1].start()

    yield serve, port, public.decode()
    for thread in threads:
        thread.join(2.0)
    context.destroy(linger=0)


def test_requests_reach_a_node_over_curve(node):
    """Guards against unencrypted requests and against accepting the reply to another request."""
    serve, port, public = node
    serve(1)
    keys = ToolKeys(PRIVATE_KEY, *zmq.curve_keypair())
    nodes = [
        NodeAddress("h1", "127.0.0.1", port, public),
        NodeAddress("h2", "127.0.0.1", 1, public),
    ]
    answers = send_requests(nodes, "status", {}, keys, 2.0)
    assert answers["h1"] == Ok({"detail": "d"})
    assert answers["h2"].unwrap_err().code is Code.PEER_TIMEOUT


def test_node_commands(node, tool, tmp_path):
    """Guards against commands that fail before they send a request, and wrong exit codes."""
    serve, port, public = node
    serve(3)
    hosts = [{"host": "h1", "address": "127.0.0.1", "control_port": port, "curve_public": public}]
    (tmp_path / "nodes.json").write_text(json.dumps({"hosts": hosts}))
    (tmp_path / "operator").write_text(PRIVATE_KEY.hex())
    (tmp_path / "operator").chmod(0o600)
    tool("keygen", "curve", tmp_path / "curve")
    options = ["--operator-key", tmp_path / "operator", "--curve-public", tmp_path / "curve.pub"]
    options += ["--curve-secret", tmp_path / "curve", "--nodes", tmp_path / "nodes.json"]
    assert tool("drain", "h1", *options)[0] == 0
    assert tool("revoke", "ab" * 32, "--version", "1", *options)[0] == 0
    assert tool("top", *options)[0] == 0
    assert tool("revoke", "short", "--version", "1", *options)[0] == 2
    assert tool("drain", "h2", *options)[0] == 2
    assert tool("explain", "workspace", "w", "--timeout", "0.1", *options)[0] == 3
    assert tool("explain-workspace", "w", "--timeout", "0.1", *options)[0] == 3
    assert tool("explain", "r", "--timeout", "0.1", *options)[0] == 3
    assert tool("rollout", "status", "--timeout", "0.1", *options)[0] == 3
    unreachable = ["--log-url", "http://127.0.0.1:1", *options[:2]]
    (tmp_path / "record").write_bytes(signed(0).data)
    assert tool("publish", tmp_path / "record", *unreachable)[0] == 3
    assert "Exit codes" in tool("--help")[1]
