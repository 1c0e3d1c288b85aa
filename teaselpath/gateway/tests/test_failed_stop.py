"""A stop whose own steps fail still ends each request with an answer."""

import asyncio
import itertools
import json
import socket
from dataclasses import replace

from teaselpath.fleet import Position, StoredRecord
from teaselpath.gateway import GatewayService, LogSink
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.gateway.tests.front import answer_headers, listen
from teaselpath.http1 import Exchange, HttpClient
from teaselpath.platform import PlatformEngines, PlatformRequests, PlatformStore

CONFIG = {
    "version": 1,
    "routes": [{"name": "r", "host": "h", "pathPrefix": "/", "kind": "unsafe", "service": "s"}],
    "services": [{"name": "s"}],
}
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"


def find_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def make_service() -> GatewayService:
    ip = SETTINGS.ip
    caller_port, readiness_port, peer_port = find_ports(ip, 3)
    settings = replace(
        SETTINGS,
        caller_address=f"{ip}:{caller_port}",
        readiness_address=f"{ip}:{readiness_port}",
        peer_port=peer_port,
    )
    http = HttpClient()
    store = PlatformStore(settings.store_address, http)
    engines = PlatformEngines(http)
    service = GatewayService(settings, store, PlatformRequests(), engines, http, LogSink())
    record = StoredRecord("config", json.dumps(CONFIG).encode(), Position(1, 1))
    service.state.apply_operator_record(record, "test", 0.0)
    # As after the greeting of a peer, from which the configuration would come.
    service.gate.has_snapshot = True
    return service


def fail(*_args, **_options):
    raise KeyError("peer")


def fail_once(step):
    """Return a function that raises when it is first called, and then calls ``step``."""
    steps = itertools.chain([fail], itertools.repeat(step))
    return lambda *args: next(steps)(*args)


async def wait_for_ever():
    await asyncio.Event().wait()


def play(arrange, work=wait_for_ever) -> bytes:
    """Stop a gateway that ``arrange`` has changed beside a request; return the response's begin.

    :param work: what the endpoint waits for before it answers.
    """

    async def scenario():
        has_begun = asyncio.Event()

        async def answer(exchange: Exchange):
            has_begun.set()
            await work()
            exchange.respond(200, answer_headers(exchange), b"done")

        service = make_service()
        arrange(service)
        server, address = await listen(answer)
        service.state.apply_endpoint_record(endpoint_record("e", 2, address=address), "test", 0.0)
        run = asyncio.create_task(service.run())
        while not hasattr(service, "caller_listener") or len(service.servers) < 2:
            await asyncio.sleep(0)
        ip, _, port = service.settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(REQUEST)
        await has_begun.wait()
        service.stop_requested.set()
        await asyncio.wait([run])
        run.exception()
        # As ``asyncio.run`` does at the end of the process.
        handlers = set(service.forwarder.tasks)
        for task in handlers:
            task.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)
        server.close()
        try:
            async with asyncio.timeout(5):
                return await reader.read(10)
        finally:
            writer.close()

    return asyncio.run(scenario())


def test_request_in_flight_gets_an_answer_though_the_stop_raises(monkeypatch):
    """The exception ended the process, and with it each connection without a word."""
    response = play(lambda service: monkeypatch.setattr(service.peers, "stop_peers", fail))
    assert response == b"HTTP/1.1 5"


def test_request_in_flight_gets_its_answer_though_a_step_of_the_stop_raises(monkeypatch):
    """The stop was over with its first step that failed."""

    def arrange(service):
        stop_peers = fail_once(service.peers.stop_peers)
        monkeypatch.setattr(service.peers, "stop_peers", stop_peers)

    assert play(arrange, work=lambda: asyncio.sleep(0.3)) == b"HTTP/1.1 2"
