"""Idempotency claims of the agent of a plain service, which has no model engines."""

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
    ClaimRefused,
    ClaimRequested,
    ReadProgress,
    RecordRead,
    ResultEntry,
    decode_record,
    encode_record,
)
from teaselpath.delivery._holders import ClaimId, Holder, HolderMap
from teaselpath.results import Code, Ran
from teaselpath.wire import Append


class ClaimTable:
    """Claims idempotency keys in the log, so that at most one request runs for each key.

    A claim is granted once its record and all earlier records were read. One append is in flight at
    a time; claims that arrive meanwhile are batched into the next one.

    :param service: name of the service; the log stream is ``claims.<service>``.
    :param host: this host.
    :param incarnation: incarnation of this process; claims of an earlier process on this host are
        not treated as its own.
    :param window_s: how long a claim holds its key, in seconds.
    :param max_entries_per_append: maximum number of entries per append.
    :param max_claims: maximum number of held keys; at the limit new claims are refused, because
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
        max_entries_per_append: int = 256,
        max_claims: int = 1_000_000,
        max_answer_bytes: int = 16 << 20,
        retry_s: float = 0.05,
    ) -> None:
        self.service = service
        self.host = host
        self.incarnation = incarnation
        self.window_s = window_s
        self.max_entries_per_append = max_entries_per_append
        self.max_claims = max_claims
        self.retry_s = retry_s
        self.holder_map = HolderMap(window_s, max_answer_bytes)
        self.next_offset = 0
        self.has_caught_up = False
        # Until this instant, records that were trimmed unread may lie within the claim window.
        self.ready_at = 0.0
        self._pending: dict[ClaimId, ClaimEntry] = {}
        self._deadlines: dict[ClaimId, float] = {}
        # Granted claims whose attempt has not finished, by key.
        self._active_claims: dict[bytes, ClaimEntry] = {}
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
            case RecordRead(offset, data, age_s):
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
        self.holder_map.prune(now, self._active_claims.__contains__)
        return actions + self._flush(now)

    # Claims

    def _handle_request(
        self, request: ClaimRequested, now: float, actions: list[ClaimAction]
    ) -> None:
        claim_id = (request.key, request.request_id, request.attempt)
        active = self._active_claims.get(request.key)
        is_active = active is not None and claim_id == _claim_id(active)
        if claim_id in self._pending or is_active:
            return
        # A held key is refused even while records are unread, because a refusal never leads to a
        # second run.
        runs_here = active is not None and active.request_id != request.request_id
        if runs_here or not self.holder_map.can_acquire(*claim_id, now):
            self._refuse_duplicate(claim_id, now, actions)
        elif not self.is_ready(now):
            detail = "the claims of the whole window are not known"
            self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)
        else:
            self._serial += 1
            claim = ClaimEntry(*claim_id, self.host, self.incarnation, self._serial)
            self._pending[claim_id] = claim
            self._deadlines[claim_id] = request.deadline
            self._queue.append(claim)

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
        claim = self._active_claims.get(event.key)
        if claim is None or _claim_id(claim) != claim_id:
            return
        del self._active_claims[event.key]
        if event.answer is not None and event.ran == Ran.RAN:
            self.holder_map.store(event.key, event.answer)
        if event.ran == Ran.RAN:
            # Applied locally at once; the other readers apply it from the log.
            self.holder_map.finish(_result(claim, Ran.RAN))
            self._queue.append(_result(claim, Ran.RAN))
        elif event.ran == Ran.NOT_RUN and self._can_release(claim, now):
            self._queue.append(_result(claim, Ran.NOT_RUN))

    def _can_release(self, claim: ClaimEntry, now: float) -> bool:
        """Whether the key may be released.

        In the second half of its window it may not: a release that is appended late could then free
        the key while a later claim holds it.
        """
        holder = self.holder_map.holders.get(claim.key)
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
        for item in decode_record(data):
            if isinstance(item, ClaimEntry):
                self._apply_claim(item, now - age_s, now, actions)
            else:
                self.holder_map.finish(item)

    def _apply_claim(
        self, claim: ClaimEntry, instant: float, now: float, actions: list[ClaimAction]
    ) -> None:
        is_holder = self.holder_map.claim(claim, instant)
        if claim.host != self.host or claim.incarnation != self.incarnation:
            return
        claim_id = _claim_id(claim)
        if self._pending.get(claim_id) != claim:
            if is_holder:
                self._release_unused(claim)
            return
        deadline = self._deadlines[claim_id]
        if not is_holder:
            self._refuse_duplicate(claim_id, now, actions)
        elif now >= deadline or not self.can_grant(now):
            detail = "the log confirmed the claim too late"
            self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)
            self._release_unused(claim)
        else:
            self._discard_pending(claim_id)
            self._active_claims[claim.key] = claim
            holder = self.holder_map.holders[claim.key]
            holder.was_granted = True
            actions.append(ClaimGranted(*claim_id, holder.expires_at))

    def can_grant(self, now: float) -> bool:
        """Whether no unread record can hold a key.

        Checked again when a claim is read, because a gap may have appeared since it was requested.
        """
        return self.has_caught_up and now >= self.ready_at

    def _release_unused(self, claim: ClaimEntry) -> None:
        """Release a key that this process holds for an attempt that was cancelled or refused."""
        if not self.holder_map.holders[claim.key].was_granted:
            self._queue.append(_result(claim, Ran.NOT_RUN))

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
        entries: list[ClaimEntry | ResultEntry] = []
        while self._queue and len(entries) < self.max_entries_per_append:
            item = self._queue.popleft()
            if isinstance(item, ResultEntry) or self._is_pending(item):
                entries.append(item)
        if not entries:
            return []
        self._in_flight = entries
        return [Append(f"claims.{self.service}", encode_record(entries))]

    def _is_pending(self, claim: ClaimEntry) -> bool:
        return self._pending.get(_claim_id(claim)) == claim

    def _handle_append_done(self, offset: int, now: float, actions: list[ClaimAction]) -> None:
        entries, self._in_flight = self._in_flight, None
        # All earlier records were read, so the record need not be read back from the log.
        if entries is not None and offset == self.next_offset:
            self._handle_record(offset, encode_record(entries), 0.0, now, actions)

    def _handle_append_failed(
        self, event: AppendFailed, now: float, actions: list[ClaimAction]
    ) -> None:
        entries, self._in_flight = self._in_flight, None
        if entries is None:
            return
        self._retry_at = now + max(event.retry_after_s, self.retry_s)
        # A record that was written after all may be appended twice: the serials of its claims show
        # that they are duplicates.
        is_retried = event.may_have_applied or event.retry_after_s > 0
        for item in reversed(entries):
            if is_retried or isinstance(item, ResultEntry):
                self._queue.appendleft(item)
            elif self._is_pending(item):
                claim_id = _claim_id(item)
                detail = "the log takes no claims"
                self._refuse(claim_id, Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN, detail, actions)


def _claim_id(claim: ClaimEntry) -> ClaimId:
    return (claim.key, claim.request_id, claim.attempt)


def _result(claim: ClaimEntry, ran: Ran) -> ResultEntry:
    return ResultEntry(*_claim_id(claim), claim.host, claim.incarnation, claim.serial, ran)
