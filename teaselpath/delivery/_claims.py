"""Idempotency claims of the agent of a plain service."""

from collections import deque
from typing import assert_never

from teaselpath.delivery._claim_events import (
    AppendDone,
    AppendFailed,
    ClaimAction,
    ClaimEntry,
    ClaimEvent,
    ClaimFinished,
    ClaimGranted,
    ClaimRecord,
    ClaimRefused,
    ClaimRequested,
    ReadProgress,
    ResultEntry,
    decode_group,
    encode_group,
)
from teaselpath.delivery._holders import ClaimId, Holder, HolderMap
from teaselpath.results import Code, Ran
from teaselpath.wire import Append


class ClaimTable:
    """Claims idempotency keys in the log, so that at most one request runs for each key.

    A claim is granted once its record and all earlier records were read. One append is in flight at
    a time; claims that arrive meanwhile are batched into the next one.

    :param service: name of the service; the stream is ``claims.<service>``.
    :param host: this host.
    :param incarnation: number of this process; it never takes over a claim of another process.
    :param window_s: how long a key stays blocked after its claim, in seconds.
    :param max_group: entries per append.
    :param max_claims: maximum number of blocked keys; at the limit new claims are refused, because
        evicting a key would allow a second run.
    :param max_answer_bytes: total size of the answers stored for duplicates.
    :param retry_s: delay before a failed append is retried, in seconds.
    """

    def __init__(
        self,
        service: str,
        host: str,
        incarnation: int,
        *,
        window_s: float = 3600.0,
        max_group: int = 256,
        max_claims: int = 1_000_000,
        max_answer_bytes: int = 16 << 20,
        retry_s: float = 0.05,
    ) -> None:
        self.service = service
        self.host = host
        self.incarnation = incarnation
        self.window_s = window_s
        self.max_group = max_group
        self.max_claims = max_claims
        self.retry_s = retry_s
        self.holder_map = HolderMap(window_s, max_answer_bytes)
        self.next_offset = 0
        self.has_caught_up = False
        # Until this instant, records that were trimmed unread may lie within the claim window.
        self.ready_at = 0.0
        self._pending: dict[ClaimId, ClaimEntry] = {}
        self._deadlines: dict[ClaimId, float] = {}
        self._active: dict[bytes, ClaimEntry] = {}
        self._serial = 0
        self._queue: deque[ClaimEntry | ResultEntry] = deque()
        self._in_flight: list[ClaimEntry | ResultEntry] | None = None
        self._retry_at = 0.0

    def is_ready(self, now: float) -> bool:
        """Whether every claim within the window was read and there is room for more."""
        return (
            self.has_caught_up
            and now >= self.ready_at
            and len(self.holder_map.holders) < self.max_claims
        )

    def handle(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        """Apply one event and return the resulting actions."""
        actions: list[ClaimAction] = []
        match event:
            case ClaimRequested():
                self._handle_request(event, now, actions)
            case ClaimRecord(offset, data, age_s):
                self._handle_record(offset, data, age_s, now, actions)
            case ReadProgress():
                self._handle_progress(event, now)
            case AppendDone(offset):
                self._handle_append_done(offset, now, actions)
            case AppendFailed():
                self._handle_append_failed(event, now, actions)
            case ClaimFinished():
                self._handle_finished(event, now)
            case _:
                assert_never(event)
        return actions + self._flush(now)

    def tick(self, now: float) -> list[ClaimAction]:
        """Refuse claims whose deadline passed and retry a due append."""
        actions: list[ClaimAction] = []
        for claim_id, deadline in list(self._deadlines.items()):
            if deadline <= now:
                detail = "the log did not confirm the claim in time"
                self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)
        self.holder_map.prune(now, self._active.__contains__)
        return actions + self._flush(now)

    # Claims

    def _handle_request(
        self, request: ClaimRequested, now: float, actions: list[ClaimAction]
    ) -> None:
        claim_id = (request.key, request.request_id, request.attempt)
        active = self._active.get(request.key)
        is_active = active is not None and claim_id == _claim_id(active)
        if claim_id in self._pending or is_active:
            return
        # Unread records cannot free a key that is already known to be held.
        runs_here = active is not None and active.request_id != request.request_id
        if runs_here or not self.holder_map.is_free(*claim_id, now):
            self._refuse_duplicate(claim_id, now, actions)
        elif not self.is_ready(now):
            detail = "the claims of the whole window are not known"
            self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)
        else:
            self._serial += 1
            entry = ClaimEntry(*claim_id, self.host, self.incarnation, self._serial)
            self._pending[claim_id] = entry
            self._deadlines[claim_id] = request.deadline
            self._queue.append(entry)

    def _refuse(
        self,
        claim_id: ClaimId,
        code: Code,
        ran: Ran,
        detail: str,
        actions: list[ClaimAction],
        holder: Holder | None = None,
    ) -> None:
        self._discard_pending(claim_id)
        answer = holder.answer if holder is not None else None
        actions.append(ClaimRefused(*claim_id, code, ran, detail, answer))

    def _refuse_duplicate(self, claim_id: ClaimId, now: float, actions: list[ClaimAction]) -> None:
        holder = self.holder_map.find(claim_id[0], now)
        ran = holder.ran if holder is not None else Ran.UNKNOWN
        detail = "another request has claimed the idempotency key"
        self._refuse(claim_id, Code.DUPLICATE_CLAIM, ran, detail, actions, holder)

    def _handle_finished(self, event: ClaimFinished, now: float) -> None:
        claim_id = (event.key, event.request_id, event.attempt)
        # A claim cancelled while its append is in flight is released when the record is read.
        self._discard_pending(claim_id)
        entry = self._active.get(event.key)
        if entry is None or _claim_id(entry) != claim_id:
            return
        del self._active[event.key]
        if event.answer is not None and event.ran == Ran.RAN:
            self.holder_map.store(event.key, event.answer)
        if event.ran == Ran.RAN:
            # Applied locally at once; the other readers apply it from the log.
            self.holder_map.finish(_result(entry, Ran.RAN))
            self._queue.append(_result(entry, Ran.RAN))
        elif event.ran == Ran.NOT_RUN and self._can_release(entry, now):
            self._queue.append(_result(entry, Ran.NOT_RUN))

    def _can_release(self, entry: ClaimEntry, now: float) -> bool:
        """Whether the key may be released.

        In the second half of its window it may not: a release that is appended late could then free
        the key while a later claim holds it.
        """
        holder = self.holder_map.holders.get(entry.key)
        return holder is not None and now < holder.expires_at - self.window_s / 2

    def _discard_pending(self, claim_id: ClaimId) -> None:
        self._pending.pop(claim_id, None)
        self._deadlines.pop(claim_id, None)

    # Reading

    def _handle_record(
        self, offset: int, data: bytes, age_s: float, now: float, actions: list[ClaimAction]
    ) -> None:
        if offset < self.next_offset:
            return
        if offset > self.next_offset:
            # The trimmed records are at least as old as this one.
            self.ready_at = max(self.ready_at, now - age_s + self.window_s)
        self.next_offset = offset + 1
        for entry in decode_group(data):
            if isinstance(entry, ClaimEntry):
                self._apply_claim(entry, now - age_s, now, actions)
            else:
                self.holder_map.finish(entry)

    def _apply_claim(
        self, entry: ClaimEntry, instant: float, now: float, actions: list[ClaimAction]
    ) -> None:
        is_holder = self.holder_map.claim(entry, instant)
        if entry.host != self.host or entry.incarnation != self.incarnation:
            return
        claim_id = _claim_id(entry)
        if self._pending.get(claim_id) != entry:
            if is_holder:
                self._release_unused(entry)
            return
        deadline = self._deadlines[claim_id]
        if not is_holder:
            self._refuse_duplicate(claim_id, now, actions)
        elif now >= deadline or not self.can_grant(now):
            detail = "the log confirmed the claim too late"
            self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)
            self._release_unused(entry)
        else:
            self._discard_pending(claim_id)
            self._active[entry.key] = entry
            holder = self.holder_map.holders[entry.key]
            holder.was_granted = True
            actions.append(ClaimGranted(*claim_id, holder.expires_at))

    def can_grant(self, now: float) -> bool:
        """Whether no unread record can hold a key; a gap may appear while a claim is pending."""
        return self.has_caught_up and now >= self.ready_at

    def _release_unused(self, entry: ClaimEntry) -> None:
        """Release a key that this process holds for an attempt that was cancelled or refused."""
        if not self.holder_map.holders[entry.key].was_granted:
            self._queue.append(_result(entry, Ran.NOT_RUN))

    def _handle_progress(self, event: ReadProgress, now: float) -> None:
        self.has_caught_up = True
        if event.next_offset > self.next_offset:
            # The age of records that were trimmed unread is unknown.
            self.ready_at = max(self.ready_at, now + self.window_s)
            self.next_offset = event.next_offset

    # Appending

    def _flush(self, now: float) -> list[ClaimAction]:
        if self._in_flight is not None or now < self._retry_at:
            return []
        group: list[ClaimEntry | ResultEntry] = []
        while self._queue and len(group) < self.max_group:
            entry = self._queue.popleft()
            if isinstance(entry, ResultEntry) or self._is_pending(entry):
                group.append(entry)
        if not group:
            return []
        self._in_flight = group
        return [Append(f"claims.{self.service}", encode_group(group))]

    def _is_pending(self, entry: ClaimEntry) -> bool:
        return self._pending.get(_claim_id(entry)) == entry

    def _handle_append_done(self, offset: int, now: float, actions: list[ClaimAction]) -> None:
        group, self._in_flight = self._in_flight, None
        # All earlier records were read, so the record need not be read back from the log.
        if group is not None and offset == self.next_offset:
            self._handle_record(offset, encode_group(group), 0.0, now, actions)

    def _handle_append_failed(
        self, event: AppendFailed, now: float, actions: list[ClaimAction]
    ) -> None:
        group, self._in_flight = self._in_flight, None
        if group is None:
            return
        self._retry_at = now + max(event.retry_after_s, self.retry_s)
        is_retried = event.may_have_applied or event.retry_after_s > 0
        for entry in reversed(group):
            if is_retried or isinstance(entry, ResultEntry):
                self._queue.appendleft(entry)
            elif self._is_pending(entry):
                claim_id = _claim_id(entry)
                detail = "the log takes no claims"
                self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)


def _claim_id(entry: ClaimEntry) -> ClaimId:
    return (entry.key, entry.request_id, entry.attempt)


def _result(entry: ClaimEntry, ran: Ran) -> ResultEntry:
    return ResultEntry(*_claim_id(entry), entry.host, entry.incarnation, entry.serial, ran)
