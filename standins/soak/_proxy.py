"""TCP proxy on loopback that delays or resets connections, or discards their data."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536


class LinkFault(Enum):
    """Fault of a proxy's connections.

    ``SILENCE`` discards the data of both directions, ``REQUESTS_LOST`` and ``ANSWERS_LOST`` that
    of one; ``REFUSE`` resets new connections.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    REQUESTS_LOST = "requests_lost"
    ANSWERS_LOST = "answers_lost"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards TCP connections to a target.

    :param target: IP:PORT.
    :param delay_s: delay of each chunk under ``LinkFault.DELAY``.
    :ivar fault: current fault, applied to existing and new connections.
    """

    def __init__(self, target: str, delay_s: float = 0.2):
        self.target = target
        self.delay_s = delay_s
        self.fault = LinkFault.NONE
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> "FaultyProxy":
        """Start listening; at the same address as before, if there was one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self.writers |= ends
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, LinkFault.REQUESTS_LOST),
                self._forward(target_reader, writer, LinkFault.ANSWERS_LOST),
            )
        finally:
            self.writers -= ends
            for end in ends:
                end.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, one_way_fault: LinkFault
    ) -> None:
        drops_data = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                # A connection that has lost data passes no more, as one behind a partition.
                drops_data = drops_data or self.fault in (LinkFault.SILENCE, one_way_fault)
                if not drops_data:
                    writer.write(data)
                    await writer.drain()
        if not drops_data:
            writer.close()
