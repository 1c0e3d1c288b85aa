"""Holders of claimed keys, which every reader of the claim log computes in the same way."""

from collections.abc import Callable

from teaselpath.delivery._claim_events import ClaimEntry, ResultEntry, StoredAnswer
from teaselpath.results import Ran

ClaimId = tuple[bytes, str, int]


class Holder:
    """The claim that holds a key.

    :param claim: the claim.
    :param expires_at: instant until which the claim holds the key.

    ``was_granted`` means that this process granted the claim, so the attempt may have run.
    """

    __slots__ = ("answer", "claim", "expires_at", "ran", "was_granted")

    def __init__(self, claim: ClaimEntry, expires_at: float) -> None:
        self.claim = claim
        self.expires_at = expires_at
        self.ran = Ran.UNKNOWN
        self.answer: StoredAnswer | None = None
        self.was_granted = False

    def matches(self, result: ResultEntry) -> bool:
        """Whether the result belongs to this claim."""
        claim = self.claim
        return (claim.request_id, claim.attempt, claim.host) == (
            result.request_id,
            result.attempt,
            result.host,
        ) and (claim.incarnation, claim.serial) == (result.incarnation, result.serial)


class HolderMap:
    """Maps each claimed key to its holder.

    The holders depend only on the entries of the claim log in their order; the stored answers are
    local to this agent.

    :param window_s: how long a claim holds its key, in seconds.
    :param max_answer_bytes: total size of the stored answers.
    """

    def __init__(self, window_s: float, max_answer_bytes: int) -> None:
        self.window_s = window_s
        self.max_answer_bytes = max_answer_bytes
        self.holders: dict[bytes, Holder] = {}
        self._answer_sizes: dict[bytes, int] = {}
        self._answer_bytes = 0

    def find(self, key: bytes, instant: float) -> Holder | None:
        """Return the claim that holds a key at an instant, or None."""
        holder = self.holders.get(key)
        return holder if holder is not None and holder.expires_at > instant else None

    def can_acquire(self, key: bytes, request_id: str, attempt: int, instant: float) -> bool:
        """Whether this attempt can acquire the key.

        A later attempt of the same request can, because an entry starts it only after the earlier
        one is proven not run.
        """
        holder = self.find(key, instant)
        if holder is None:
            return True
        is_later = holder.claim.request_id == request_id and holder.claim.attempt < attempt
        return is_later and holder.ran is not Ran.RAN

    def claim(self, claim: ClaimEntry, instant: float) -> bool:
        """Apply a claim; return whether it now holds the key.

        A claim that is refused still extends the hold on the key to the end of its own window.
        The instant that a reader computes from the age of a record is only an upper bound and
        differs between readers, so another reader may find that the claim acquired the key.
        """
        can_acquire = self.can_acquire(claim.key, claim.request_id, claim.attempt, instant)
        # Removed and reinserted, so that the holders stay ordered by the end of their window.
        holder = self.holders.pop(claim.key, None)
        if holder is None or can_acquire:
            if claim.key in self._answer_sizes:
                self._remove_answer(claim.key)
            holder = Holder(claim, instant + self.window_s)
        holder.expires_at = max(holder.expires_at, instant + self.window_s)
        self.holders[claim.key] = holder
        return holder.claim == claim

    def finish(self, result: ResultEntry) -> None:
        """Apply a result; one of an attempt that no longer holds the key is ignored."""
        holder = self.holders.get(result.key)
        if holder is None or not holder.matches(result):
            return
        if result.ran == Ran.NOT_RUN:
            self._remove(result.key)
        elif result.ran == Ran.RAN:
            holder.ran = Ran.RAN

    def store(self, key: bytes, answer: StoredAnswer) -> None:
        """Store an answer and evict the oldest ones above the size limit."""
        size = len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
        if size > self.max_answer_bytes or key not in self.holders:
            return
        self.holders[key].answer = answer
        self._answer_sizes[key] = size
        self._answer_bytes += size
        while self._answer_bytes > self.max_answer_bytes:
            self._remove_answer(next(iter(self._answer_sizes)))

    def prune(self, now: float, is_active: Callable[[bytes], bool]) -> None:
        """Remove keys whose window is over, unless their request still runs here."""
        for key in list(self.holders):
            if self.holders[key].expires_at > now:
                return
            if not is_active(key):
                self._remove(key)

    def _remove(self, key: bytes) -> None:
        if key in self._answer_sizes:
            self._remove_answer(key)
        del self.holders[key]

    def _remove_answer(self, key: bytes) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key)
        if (holder := self.holders.get(key)) is not None:
            holder.answer = None
