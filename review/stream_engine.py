"""An engine as a process of its own: a model engine, which streams its answers, or a plain one.

Arguments: name, IP:PORT and a JSON object, see ``Behaviour``. It writes a line to standard output
for each request that it runs.
"""

import asyncio
import json
import os
import sys
from dataclasses import dataclass

from small_platform import Engine, Record, Run, serve_at

EVENTS = 20
EVENT_INTERVAL_S = 0.1
# Work of a plain engine on a request, in seconds.
WORK_S = 0.3


@dataclass(slots=True)
class Behaviour:
    """How an engine behaves.

    :param has_model: whether it is a model engine.
    :param is_framed: whether streams come in chunks; else they end with their connection.
    :param deadly_part: id of a part of prompts that ends the process as it begins to write an
        answer on it; empty for none.
    :param deadly_events: events of that answer that the process writes before it ends.
    """

    has_model: bool = True
    is_framed: bool = True
    deadly_part: str = ""
    deadly_events: int = 1


class StreamEngine(Engine):
    """Sends the events of an answer one after the other."""

    def __init__(self, name: str, behaviour: Behaviour):
        has_model = behaviour.has_model
        super().__init__(name, Record(None), [], has_model=has_model, zone="a")
        self.behaviour = behaviour

    async def answer(self, run: Run, base: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Stream the answer, or send it whole if this engine has no model."""
        if not self.has_model:
            print(f"runs {run.request_id}", flush=True)
            await asyncio.sleep(WORK_S)
            await super().answer(run, base, writer)
            return
        is_framed = self.behaviour.is_framed
        framing = ("Transfer-Encoding", "chunked") if is_framed else ("Connection", "close")
        headers = {
            **base,
            "Response-Stamp": f"stamp-{run.request_id}",
            "Content-Type": "text/event-stream",
            "Weight-Versions": str(self.version),
            framing[0]: framing[1],
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        first = int(run.headers.get("last-event-id", 0))
        print(f"runs {run.request_id} from event {first + 1} on", flush=True)
        for number in range(first + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event) if is_framed else event)
            await writer.drain()
            if self._is_deadly(run) and number - first == self.behaviour.deadly_events:
                print(f"ends by {run.request_id}", flush=True)
                os._exit(1)
            await asyncio.sleep(EVENT_INTERVAL_S)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    def _is_deadly(self, run: Run) -> bool:
        entries = run.headers.get("prompt-prefix", "").split(",")
        parts = [entry.partition(":")[0] for entry in entries]
        return bool(self.behaviour.deadly_part) and self.behaviour.deadly_part in parts[:-1]


async def _end_with_parent() -> None:
    """End this process once the other end of its standard input is closed."""
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    await reader.read()
    os._exit(0)


async def main(name: str, address: str, behaviour: str) -> None:
    """Serve until killed, or until the process that started this one ends."""
    watch = asyncio.create_task(_end_with_parent())
    engine = StreamEngine(name, Behaviour(**json.loads(behaviour)))
    server = await serve_at(engine.handle, address)
    await server.serve_forever()
    await watch


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
