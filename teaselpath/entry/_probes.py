"""Probes of agents: sending them and collecting the replies."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from teaselpath.transport import Node
from teaselpath.wire import Probe, ProbeReply


@dataclass(slots=True)
class _ProbeRound:
    """Replies to the probes sent for one request."""

    expected: int
    first_received: asyncio.Event = field(default_factory=asyncio.Event)
    all_received: asyncio.Event = field(default_factory=asyncio.Event)
    replies: list[ProbeReply] = field(default_factory=list)


class Prober:
    """Sends probes and collects the replies that arrive in time.

    :param node: sockets of this process.
    """

    def __init__(self, node: Node):
        self.node = node
        self.rounds: dict[int, _ProbeRound] = {}
        self.next_id = 0
        self.sent = 0

    async def probe_hosts(
        self, hosts: Sequence[str], probe: Probe, timeout_s: float, straggler_wait_s: float
    ) -> list[ProbeReply]:
        """Probe several agents at once.

        :param timeout_s: timeout for the first reply, in seconds.
        :param straggler_wait_s: time to wait for slower replies after the first one, in seconds.
        :returns: the replies that arrived in time, possibly none.
        """
        self.next_id += 1
        probe.probe_id = self.next_id
        sent = sum(self.node.send(host, probe).is_ok() for host in hosts)
        self.sent += sent
        if not sent:
            return []
        round_ = _ProbeRound(sent)
        self.rounds[probe.probe_id] = round_
        try:
            await _wait(round_.first_received, timeout_s)
            if round_.replies:
                await _wait(round_.all_received, straggler_wait_s)
        finally:
            del self.rounds[probe.probe_id]
        return round_.replies

    def handle(self, reply: ProbeReply) -> None:
        """Handle a reply; a late or unsolicited reply is discarded."""
        round_ = self.rounds.get(reply.probe_id)
        if round_ is None or len(round_.replies) >= round_.expected:
            return
        round_.replies.append(reply)
        round_.first_received.set()
        if len(round_.replies) == round_.expected:
            round_.all_received.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
