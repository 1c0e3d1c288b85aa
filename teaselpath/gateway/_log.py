"""Structured log on standard output, rate-limited and non-blocking."""

import asyncio
import os
from collections import deque
from typing import Any

import eliot
import msgspec

# Lines that a process writes per second; further lines are dropped and counted.
MAX_LINES_PER_S = 400
# Largest number of lines buffered until standard output accepts them.
MAX_PENDING_LINES = 2_000
FLUSH_INTERVAL_S = 0.1


class LogSink:
    """Destination of eliot messages.

    Lines beyond the rate, or beyond what standard output accepts, are dropped; a ``log_dropped``
    line reports their number.

    :param descriptor: file descriptor of standard output.
    """

    def __init__(self, descriptor: int = 1):
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.unwritten = b""
        self.dropped = 0
        self.line_budget = MAX_LINES_PER_S
        self.encoder = msgspec.json.Encoder(enc_hook=str)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message."""
        if self.line_budget <= 0 or len(self.lines) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        self.line_budget -= 1
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        self.lines.append(self.encoder.encode(message) + b"\n")

    def open(self) -> None:
        """Register with eliot and make standard output non-blocking."""
        os.set_blocking(self.descriptor, False)
        eliot.add_destinations(self)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.line_budget = min(
                MAX_LINES_PER_S, self.line_budget + int(MAX_LINES_PER_S * FLUSH_INTERVAL_S)
            )
            if self.dropped:
                count, self.dropped = self.dropped, 0
                eliot.log_message("log_dropped", lines=count)
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        data = self.unwritten + b"".join(self.lines)
        self.lines.clear()
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the output, so the error cannot be reported; discard the lines.
            written = len(data)
        self.unwritten = data[written:]
