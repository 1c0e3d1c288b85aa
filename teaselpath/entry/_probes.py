"""Probes of agents, and the waiting for their replies."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from teaselpath.transport import Node
from teaselpath.wire import Probe, ProbeReply


@dataclass(slots=True)
class _Round:
    """Replies to the probes of one request."""

    expected: int
    first: asyncio.Event = field(default_factory=asyncio.Event)
    complete: asyncio.Event = field(default_factory=asyncio.Event)
    replies: list[ProbeReply] = field(default_factory=list)


class Prober:
    """Sends probes and collects the replies that come in time.

    :param node: sockets of this process.
    """

    def __init__(self, node: Node):
        self.node = node
        self.rounds: dict[int, _Round] = {}
        self.next_id = 0
        self.sent = 0

    async def ask(
        self, hosts: Sequence[str], probe: Probe, timeout_s: float, settle_s: float
    ) -> list[ProbeReply]:
        """Probe several agents at once.

        :param timeout_s: longest wait for the first reply, in seconds.
        :param settle_s: after the first reply, how long slower ones are waited for, in seconds.
        :returns: the replies that came in time, possibly none.
        """
        self.next_id += 1
        probe.probe_id = self.next_id
        sent = sum(self.node.send(host, probe).is_ok() for host in hosts)
        self.sent += sent
        if not sent:
            return []
        round_ = _Round(sent)
        self.rounds[probe.probe_id] = round_
        try:
            await _wait(round_.first, timeout_s)
            if round_.replies:
                await _wait(round_.complete, settle_s)
        finally:
            del self.rounds[probe.probe_id]
        return round_.replies

    def handle(self, reply: ProbeReply) -> None:
        """Take a reply; one that is late or was never asked for is dropped."""
        round_ = self.rounds.get(reply.probe_id)
        if round_ is None or len(round_.replies) >= round_.expected:
            return
        round_.replies.append(reply)
        round_.first.set()
        if len(round_.replies) == round_.expected:
            round_.complete.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
