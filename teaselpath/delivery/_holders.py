"""Holders of claimed keys, as every reader of the claim stream computes them."""

from collections.abc import Callable

from teaselpath.delivery._claim_events import ClaimEntry, ResultEntry, StoredAnswer
from teaselpath.results import Ran

ClaimId = tuple[bytes, str, int]


class Holder:
    """The claim that holds a key.

    :param entry: the claim.
    :param expires_at: instant until which the key is blocked.

    ``was_granted`` says that this process let the attempt run.
    """

    __slots__ = ("answer", "entry", "expires_at", "ran", "was_granted")

    def __init__(self, entry: ClaimEntry, expires_at: float) -> None:
        self.entry = entry
        self.expires_at = expires_at
        self.ran = Ran.UNKNOWN
        self.answer: StoredAnswer | None = None
        self.was_granted = False

    def is_ended_by(self, result: ResultEntry) -> bool:
        """Whether the result was written for this very claim."""
        entry = self.entry
        return (entry.request_id, entry.attempt, entry.host) == (
            result.request_id,
            result.attempt,
            result.host,
        ) and (entry.incarnation, entry.serial) == (result.incarnation, result.serial)


class HolderMap:
    """Pure function of the entries in log order, plus the answers that this agent still has.

    :param window_s: how long a key is remembered, in seconds.
    :param max_answer_bytes: total size of the answers that are kept.
    """

    def __init__(self, window_s: float, max_answer_bytes: int) -> None:
        self.window_s = window_s
        self.max_answer_bytes = max_answer_bytes
        self.holders: dict[bytes, Holder] = {}
        self._answers: dict[bytes, int] = {}
        self._answer_bytes = 0

    def find(self, key: bytes, instant: float) -> Holder | None:
        """Return the holder of a key at an instant."""
        holder = self.holders.get(key)
        return holder if holder is not None and holder.expires_at > instant else None

    def is_free(self, key: bytes, request_id: str, attempt: int, instant: float) -> bool:
        """Whether a claim of this attempt would win.

        An entry starts a later attempt only after it has proof that the earlier one did not run.
        """
        holder = self.find(key, instant)
        if holder is None:
            return True
        is_later = holder.entry.request_id == request_id and holder.entry.attempt < attempt
        return is_later and holder.ran is not Ran.RAN

    def claim(self, entry: ClaimEntry, instant: float) -> bool:
        """Apply a claim; return whether it holds the key now.

        A claim that loses blocks the key for a window of its own. Readers know the age of a record
        only as an upper bound of its instant, so one of them may find that the claim had won.
        """
        is_free = self.is_free(entry.key, entry.request_id, entry.attempt, instant)
        # Taken out first, so that the holders stay ordered by the end of their window.
        holder = self.holders.pop(entry.key, None)
        if holder is None or is_free:
            if entry.key in self._answers:
                self._drop_answer(entry.key)
            holder = Holder(entry, instant + self.window_s)
        holder.expires_at = max(holder.expires_at, instant + self.window_s)
        self.holders[entry.key] = holder
        return holder.entry == entry

    def finish(self, entry: ResultEntry) -> None:
        """Apply a result; one of an attempt that lost its key is ignored."""
        holder = self.holders.get(entry.key)
        if holder is None or not holder.is_ended_by(entry):
            return
        if entry.ran == Ran.NOT_RUN:
            self._remove(entry.key)
        elif entry.ran == Ran.RAN:
            holder.ran = Ran.RAN

    def store(self, key: bytes, answer: StoredAnswer) -> None:
        """Keep an answer; the oldest ones go when there is no room."""
        size = len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
        if size > self.max_answer_bytes or key not in self.holders:
            return
        self.holders[key].answer = answer
        self._answers[key] = size
        self._answer_bytes += size
        while self._answer_bytes > self.max_answer_bytes:
            self._drop_answer(next(iter(self._answers)))

    def prune(self, now: float, is_active: Callable[[bytes], bool]) -> None:
        """Forget keys whose window is over, unless their request still runs here."""
        for key in list(self.holders):
            if self.holders[key].expires_at > now:
                return
            if not is_active(key):
                self._remove(key)

    def _remove(self, key: bytes) -> None:
        if key in self._answers:
            self._drop_answer(key)
        del self.holders[key]

    def _drop_answer(self, key: bytes) -> None:
        self._answer_bytes -= self._answers.pop(key)
        if (holder := self.holders.get(key)) is not None:
            holder.answer = None
