"""TCP proxy on loopback that delays, resets, silences or cuts connections one way."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536


class LinkFault(Enum):
    """What happens to the bytes of a proxy's connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    REQUESTS_LOST = "requests_lost"
    ANSWERS_LOST = "answers_lost"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards connections to a target.

    :param target: IP:PORT.
    :ivar fault: what happens now, to open and to new connections.
    """

    def __init__(self, target: str, delay_s: float = 0.2):
        self.target = target
        self.delay_s = delay_s
        self.fault = LinkFault.NONE
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> "FaultyProxy":
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
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
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, LinkFault.REQUESTS_LOST),
                self._pump(far_reader, writer, LinkFault.ANSWERS_LOST),
            )
        finally:
            self.writers -= ends
            for end in ends:
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, losing: LinkFault
    ) -> None:
        is_silent = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                # A connection that has lost bytes stays silent, as one behind a partition.
                is_silent = is_silent or self.fault in (LinkFault.SILENCE, losing)
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
        if not is_silent:
            writer.close()
