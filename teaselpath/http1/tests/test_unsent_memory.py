"""Memory that responses to slow callers share."""

import asyncio
import socket

from teaselpath.fleet import CallerLimits
from teaselpath.http1 import ServerConnection, UnsentMemory


class Caller:
    """Connection with something left to send."""

    def __init__(self, left: int = 0):
        self.left = left
        self.is_discarded = False

    def unsent_bytes(self) -> int:
        return self.left

    def discard(self) -> None:
        self.is_discarded = True


def add(memory: UnsentMemory, caller: Caller, size: int) -> None:
    caller.left += size
    memory.record(caller, caller.left)


def test_response_of_which_most_is_left_is_given_up():
    """Guards against one caller that costs the others their responses."""
    memory, slow, other = UnsentMemory(100), Caller(), Caller()
    add(memory, other, 30)
    add(memory, slow, 60)
    add(memory, other, 11)
    assert (slow.is_discarded, other.is_discarded, memory.total) == (True, False, 41)


def test_what_callers_have_taken_meanwhile_does_not_count():
    memory, first, second = UnsentMemory(100), Caller(), Caller()
    add(memory, first, 90)
    first.left = 5
    add(memory, second, 80)
    assert (first.is_discarded, second.is_discarded, memory.total) == (False, False, 85)


def test_caller_that_takes_nothing_does_not_keep_a_closed_connection(monkeypatch):
    """Guards against memory that is held until the network gives a silent caller up."""
    monkeypatch.setattr("teaselpath.http1._server.LINGER_S", 0.1)

    async def scenario():
        unsent = UnsentMemory(64 << 20)
        connections: set[ServerConnection] = set()

        async def handle(exchange):
            exchange.start(200, [])
            exchange.write(b"x" * (32 << 20))
            exchange.finish()
            exchange.connection.close_after_flush()

        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(handle, CallerLimits, connections, None, unsent),
            "127.0.0.1", 0,
        )  # fmt: skip
        caller = socket.create_connection(server.sockets[0].getsockname())
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.1)
        held = unsent.total
        async with asyncio.timeout(5):
            while connections:
                await asyncio.sleep(0.02)
        caller.close()
        server.close()
        return held, unsent.total

    held, left = asyncio.run(scenario())
    assert held > 0
    assert left == 0


def test_slow_caller_that_takes_something_keeps_its_last_response(monkeypatch):
    """Guards against a cut while the kernel sends what it holds before it takes more."""
    monkeypatch.setattr("teaselpath.http1._server.LINGER_S", 0.2)
    size, taken = 3 << 20, 0

    async def handle(exchange):
        exchange.limit_send_buffer(1 << 20)
        exchange.start(200, [], size)
        exchange.write(b"x" * size)
        exchange.finish()
        exchange.connection.close_after_flush()

    async def scenario():
        nonlocal taken
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ServerConnection(handle, CallerLimits, set(), None, UnsentMemory()),
            "127.0.0.1", 0,
        )  # fmt: skip
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        caller.connect(server.sockets[0].getsockname())
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        caller.setblocking(False)
        # 1.3 MB/s: the kernel's part alone takes longer than a caller may take nothing.
        while data := await loop.sock_recv(caller, 65_536):
            taken += len(data)
            await asyncio.sleep(0.05)
        caller.close()
        server.close()

    asyncio.run(scenario())
    assert taken > size
