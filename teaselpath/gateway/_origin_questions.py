"""Questions to other gateways for the origin of a stream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from teaselpath.lineage import OriginQuery, OriginReply

# Time for which other gateways are asked for an origin, in seconds, and that after which the
# question is repeated, since datagrams can be lost. A round trip to another region fits in.
ASK_S = 0.25
REPEAT_S = 0.12


@dataclass(slots=True)
class _Question:
    """A question that waits for replies.

    :param awaited: number of gateways that were asked.
    :param is_answered: set once one of them knows the origin, or all have replied.
    """

    awaited: int
    is_answered: asyncio.Event = field(default_factory=asyncio.Event)
    replies: dict[str, OriginReply] = field(default_factory=dict)


class OriginQuestions:
    """Asks other gateways, and collects their replies by address.

    :param send: sends a question to gateways by host.
    """

    def __init__(self, send: Callable[[list[str], OriginQuery], None]):
        self.send = send
        self.numbers = count()
        self.waiting: dict[int, _Question] = {}

    async def ask(
        self, hosts: list[str], key: int, service: str, since_s: float
    ) -> dict[str, OriginReply]:
        """Return the replies of gateways by address; only some if one of them knows the origin.

        :param since_s: time in which the stream may have begun, in seconds before now.
        """
        number = next(self.numbers)
        question = self.waiting[number] = _Question(len(hosts))
        query = OriginQuery(number, key, service, int(since_s * 1000))
        try:
            async with asyncio.timeout(ASK_S):
                self.send(hosts, query)
                try:
                    async with asyncio.timeout(REPEAT_S):
                        await question.is_answered.wait()
                except TimeoutError:
                    self.send(hosts, query)
                    await question.is_answered.wait()
        except TimeoutError:
            # What has come by now may be enough.
            pass
        finally:
            del self.waiting[number]
        return question.replies

    def handle_reply(self, reply: OriginReply, ip: str) -> None:
        """Handle the reply of the gateway at an address."""
        question = self.waiting.get(reply.number)
        if question is None:
            return
        question.replies[ip] = reply
        if reply.is_known or len(question.replies) >= question.awaited:
            question.is_answered.set()
