"""Reassembly of one stream at the entry."""

import msgspec

from teaselpath.results import Code, Ran
from teaselpath.wire import Chunk, End


class Deliver(msgspec.Struct, frozen=True):
    """Deliver the chunk to the caller."""

    chunk: Chunk


class AckDue(msgspec.Struct, frozen=True):
    """Send ``Ack`` once the caller has received the chunks delivered before this action."""

    number: int
    window: int


class ResumeDue(msgspec.Struct, frozen=True):
    """Send ``Resume`` to the agent."""

    after: int


class Completed(msgspec.Struct, frozen=True):
    """The stream ended; with code OK all of it was delivered.

    :param delivered: number of chunks delivered to the caller.
    """

    code: int
    ran: str
    delivered: int
    detail: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


AssemblerAction = Deliver | AckDue | ResumeDue | Completed

# Codes of ends from an agent that does not have the stream; their chunk count has no meaning.
_NO_STREAM = frozenset(
    (Code.UNKNOWN_REQUEST, Code.WRONG_WORKSPACE, Code.DUPLICATE_REQUEST, Code.OUTCOME_UNKNOWN)
)


class StreamAssembler:
    """Reorders and deduplicates the chunks of one attempt.

    :param request_id: id of the request.
    :param attempt: attempt; chunks of other attempts are ignored. With 0, the attempt of the first
        message is used, for a caller that resumes by request id alone.
    :param now: instant of the start or resume.
    :param window: chunks that may be unacknowledged; also the limit on chunks buffered behind a
        gap.
    :param stall_s: time without progress after which the stream is resumed, in seconds. The resume
        also extends the time for which the agent retains the stream.
    :param gap_s: the same timeout while later chunks are buffered behind a gap, in seconds.
    :param delivered: number of chunks delivered to the caller already.
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
        self._has_unknown_reply = False

    def handle(self, message: Chunk | End, now: float) -> list[AssemblerAction]:
        """Apply a message of the agent and return the resulting actions."""
        if message.request_id != self.request_id:
            return []
        if self.attempt == 0:
            self.attempt = message.attempt
        if message.attempt != self.attempt:
            return []
        if self.completed is not None:
            return self._handle_after_completion(message)
        if isinstance(message, Chunk):
            return self._handle_chunk(message, now)
        return self._handle_end(message, now)

    def tick(self, now: float) -> list[AssemblerAction]:
        """Resume a stream that made no progress."""
        if self.completed is not None or now < self.resume_at:
            return []
        self.resume_at = now + self.stall_s
        return [ResumeDue(self.delivered)]

    def _handle_chunk(self, chunk: Chunk, now: float) -> list[AssemblerAction]:
        number = chunk.number
        if number != self.delivered + 1:
            return self._handle_out_of_order(chunk, now)
        actions: list[AssemblerAction] = [Deliver(chunk)]
        self.delivered = number
        self._has_unknown_reply = False
        if self._pending:
            self._deliver_pending(actions)
        self.resume_at = now + (self.gap_s if self._pending else self.stall_s)
        if self._end is not None and self.delivered >= self._end.chunks:
            return actions + self._complete(self._end)
        # Acknowledge each quarter of the window.
        if 4 * (self.delivered - self._acked) >= self.window:
            self._acked = self.delivered
            actions.append(AckDue(self.delivered, self.window))
        return actions

    def _deliver_pending(self, actions: list[AssemblerAction]) -> None:
        while (chunk := self._pending.pop(self.delivered + 1, None)) is not None:
            self.delivered = chunk.number
            actions.append(Deliver(chunk))

    def _handle_out_of_order(self, chunk: Chunk, now: float) -> list[AssemblerAction]:
        # A chunk outside the window is a duplicate or violates the protocol; it is ignored.
        if self.delivered < chunk.number <= self.delivered + self.window:
            if not self._pending:
                self.resume_at = min(self.resume_at, now + self.gap_s)
            self._pending[chunk.number] = chunk
        return []

    def _handle_end(self, end: End, now: float) -> list[AssemblerAction]:
        if end.code == Code.BUFFER_EXPIRED:
            # The agent discarded the chunks up to this number; later ones may still arrive.
            return self._complete(end) if end.chunks > self.delivered else []
        if end.code in _NO_STREAM:
            return self._handle_no_stream(end, now)
        if end.chunks < self.delivered:
            detail = "the end names fewer chunks than were received"
            return self._finish(end, Code.ENDPOINT_PROTOCOL, detail)
        if end.chunks == self.delivered:
            return self._complete(end)
        self._end = end
        self.resume_at = min(self.resume_at, now + self.gap_s)
        return []

    def _handle_no_stream(self, end: End, now: float) -> list[AssemblerAction]:
        # The reply may be to a resume that overtook the start, so the stream is resumed once more.
        if end.code == Code.UNKNOWN_REQUEST and not self._has_unknown_reply:
            self._has_unknown_reply = True
            self.resume_at = now + self.stall_s
            return [ResumeDue(self.delivered)]
        return self._finish(end, end.code, end.detail)

    def _complete(self, end: End) -> list[AssemblerAction]:
        actions = self._finish(end, end.code, end.detail)
        if end.code != Code.BUFFER_EXPIRED:
            actions.insert(0, AckDue(end.chunks + 1, self.window))
        return actions

    def _finish(self, end: End, code: int, detail: str) -> list[AssemblerAction]:
        # Delivered chunks prove that the attempt ran, even if a restarted agent reports otherwise.
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

    def _handle_after_completion(self, message: Chunk | End) -> list[AssemblerAction]:
        """Acknowledge an end that is resent because the acknowledgement was lost."""
        if not isinstance(message, End) or message.code in _NO_STREAM:
            return []
        if message.code == Code.BUFFER_EXPIRED:
            return []
        return [AckDue(message.chunks + 1, self.window)]
