"""Reassembly of one stream at the entry."""

import msgspec

from teaselpath.results import Code, Ran
from teaselpath.wire import Chunk, End


class Deliver(msgspec.Struct, frozen=True):
    """Hand the chunk to the caller."""

    chunk: Chunk


class AckDue(msgspec.Struct, frozen=True):
    """Send ``Ack``, after the caller took what was delivered before it."""

    number: int
    window: int


class ResumeDue(msgspec.Struct, frozen=True):
    """Send ``Resume`` to the agent."""

    after: int


class Completed(msgspec.Struct, frozen=True):
    """The stream is over; with code OK all of it was delivered.

    :param delivered: chunks that the caller got.
    """

    code: int
    ran: str
    delivered: int
    detail: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


AssemblerAction = Deliver | AckDue | ResumeDue | Completed

# Ends that come from an agent without the stream; their chunk count says nothing.
_NO_STREAM = frozenset(
    (Code.UNKNOWN_REQUEST, Code.WRONG_WORKSPACE, Code.DUPLICATE_REQUEST, Code.OUTCOME_UNKNOWN)
)


class StreamAssembler:
    """Puts the chunks of one attempt in order, once each.

    :param request_id: request id.
    :param attempt: attempt; chunks of other attempts are ignored. With 0, the attempt of the first
        message is taken, for a caller that resumes by request id alone.
    :param now: instant of the start or resume.
    :param window: chunks that may be outstanding; also the bound on chunks held back by a gap.
    :param stall_s: time without progress after which the stream is resumed, in seconds. It also
        tells the agent that the entry is alive.
    :param gap_s: the same while later chunks have come, in seconds.
    :param delivered: chunks that the caller got already.
    """

    def __init__(
        self,
        request_id: str,
        attempt: int,
        now: float,
        *,
        window: int = 64,
        stall_s: float = 2.0,
        gap_s: float = 0.1,
        delivered: int = 0,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.window = window
        self.stall_s = stall_s
        self.gap_s = gap_s
        self.delivered = delivered
        self.completed: Completed | None = None
        self.resume_at = now + stall_s
        self._pending: dict[int, Chunk] = {}
        self._end: End | None = None
        self._acked = delivered
        self._is_in_doubt = False

    def handle(self, message: Chunk | End, now: float) -> list[AssemblerAction]:
        """Apply a message of the agent and return what to do."""
        if message.request_id != self.request_id:
            return []
        if self.attempt == 0:
            self.attempt = message.attempt
        if message.attempt != self.attempt:
            return []
        if self.completed is not None:
            return self._after_completion(message)
        if isinstance(message, Chunk):
            return self._chunk(message, now)
        return self._end_received(message, now)

    def tick(self, now: float) -> list[AssemblerAction]:
        """Resume a stream that made no progress."""
        if self.completed is not None or now < self.resume_at:
            return []
        self.resume_at = now + self.stall_s
        return [ResumeDue(self.delivered)]

    def _chunk(self, chunk: Chunk, now: float) -> list[AssemblerAction]:
        number = chunk.number
        if number != self.delivered + 1:
            return self._out_of_order(chunk, now)
        actions: list[AssemblerAction] = [Deliver(chunk)]
        self.delivered = number
        self._is_in_doubt = False
        if self._pending:
            self._deliver_pending(actions)
        self.resume_at = now + (self.gap_s if self._pending else self.stall_s)
        if self._end is not None and self.delivered >= self._end.chunks:
            return actions + self._complete(self._end)
        if 4 * (self.delivered - self._acked) >= self.window:
            self._acked = self.delivered
            actions.append(AckDue(self.delivered, self.window))
        return actions

    def _deliver_pending(self, actions: list[AssemblerAction]) -> None:
        while (chunk := self._pending.pop(self.delivered + 1, None)) is not None:
            self.delivered = chunk.number
            actions.append(Deliver(chunk))

    def _out_of_order(self, chunk: Chunk, now: float) -> list[AssemblerAction]:
        # A number outside the window is either a duplicate or breaks the protocol.
        if self.delivered < chunk.number <= self.delivered + self.window:
            if not self._pending:
                self.resume_at = min(self.resume_at, now + self.gap_s)
            self._pending[chunk.number] = chunk
        return []

    def _end_received(self, end: End, now: float) -> list[AssemblerAction]:
        if end.code == Code.BUFFER_EXPIRED:
            # The agent dropped the chunks up to this number; later ones can still come.
            return self._complete(end) if end.chunks > self.delivered else []
        if end.code in _NO_STREAM:
            return self._no_stream(end, now)
        if end.chunks < self.delivered:
            detail = "the end names fewer chunks than were received"
            return self._fail(end, Code.ENDPOINT_PROTOCOL, detail)
        if end.chunks == self.delivered:
            return self._complete(end)
        self._end = end
        self.resume_at = min(self.resume_at, now + self.gap_s)
        return []

    def _no_stream(self, end: End, now: float) -> list[AssemblerAction]:
        # The answer to a resume that overtook the start is out of date, so one more is asked for.
        if end.code == Code.UNKNOWN_REQUEST and not self._is_in_doubt:
            self._is_in_doubt = True
            self.resume_at = now + self.stall_s
            return [ResumeDue(self.delivered)]
        return self._fail(end, end.code, end.detail)

    def _complete(self, end: End) -> list[AssemblerAction]:
        actions = self._fail(end, end.code, end.detail)
        if end.code != Code.BUFFER_EXPIRED:
            actions.insert(0, AckDue(end.chunks + 1, self.window))
        return actions

    def _fail(self, end: End, code: int, detail: str) -> list[AssemblerAction]:
        # A stream of which chunks were delivered ran, whatever an agent without memory says.
        ran = Ran.RAN if self.delivered else end.ran
        self._pending.clear()
        self.completed = Completed(
            code,
            ran,
            self.delivered,
            detail,
            end.prompt_tokens,
            end.cached_tokens,
            end.output_tokens,
        )
        return [self.completed]

    def _after_completion(self, message: Chunk | End) -> list[AssemblerAction]:
        """Acknowledge an end that is sent again because the acknowledgement was lost."""
        if not isinstance(message, End) or message.code in _NO_STREAM:
            return []
        if message.code == Code.BUFFER_EXPIRED:
            return []
        return [AckDue(message.chunks + 1, self.window)]
