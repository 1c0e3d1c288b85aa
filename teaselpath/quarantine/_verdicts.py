"""Verdicts: sets of parts that no request may hold together.

A verdict has one part, unless the evidence fits several parts of the same requests equally well.
An answer on one of them takes that part out; without parts, the verdict is void.
"""

from dataclasses import dataclass, replace
from hashlib import blake2b

# Duration of the first verdict on a part, in seconds. It doubles with each further one, since each
# costs the engine that ended.
VERDICT_S = 300.0
MAX_VERDICT_S = 86_400.0
MAX_VERDICTS = 256


@dataclass(slots=True, frozen=True)
class Verdict:
    """Verdict on parts that crash engines.

    :param parts: the parts, of which at least one crashes engines.
    :param issued_at: time in seconds.
    :param expires_at: time in seconds.
    :param ends: engines that had ended by them when it was issued.
    :param strikes: number of verdicts on these parts, this one included.
    :param host: host that issued it.
    """

    verdict_id: str
    parts: frozenset[str]
    issued_at: float
    expires_at: float
    ends: int
    strikes: int
    host: str


def verdict_id_of(parts: frozenset[str]) -> str:
    """Return the id of a verdict on parts; that of another gateway on the same parts is equal."""
    return blake2b(",".join(sorted(parts)).encode(), digest_size=6).hexdigest()


class VerdictTable:
    """Verdicts by id, with those that have expired.

    :ivar lifted_at: time at which verdicts were lifted or became void, by id.
    """

    def __init__(self) -> None:
        self.verdicts: dict[str, Verdict] = {}
        self.lifted_at: dict[str, float] = {}

    def issue(self, parts: frozenset[str], ends: int, host: str, now: float) -> Verdict:
        """Issue a verdict; it lasts longer if there was one on the same parts before."""
        verdict_id = verdict_id_of(parts)
        before = self.verdicts.get(verdict_id)
        strikes = 1 + (before.strikes if before else 0)
        duration_s = min(MAX_VERDICT_S, VERDICT_S * 2 ** (strikes - 1))
        verdict = Verdict(verdict_id, parts, now, now + duration_s, ends, strikes, host)
        self.lifted_at.pop(verdict_id, None)
        self._put(verdict)
        return verdict

    def merge(self, verdict: Verdict) -> bool:
        """Add a verdict of another gateway or of the store; return whether it is new here."""
        lifted_at = self.lifted_at.get(verdict.verdict_id)
        if lifted_at is not None and lifted_at >= verdict.issued_at:
            return False
        known = self.verdicts.get(verdict.verdict_id)
        is_later = known is not None and verdict.issued_at > known.expires_at
        if known is not None and not is_later and known.strikes >= verdict.strikes:
            parts = known.parts & verdict.parts
            if parts != known.parts:
                self._put(replace(known, parts=parts))
            return False
        self._put(verdict)
        return True

    def _put(self, verdict: Verdict) -> None:
        self.verdicts[verdict.verdict_id] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            oldest = min(self.verdicts.values(), key=lambda v: v.expires_at)
            del self.verdicts[oldest.verdict_id]

    def find(self, parts: frozenset[str], now: float) -> Verdict | None:
        """Return a verdict in force all of whose parts are among the given ones."""
        for verdict in self.verdicts.values():
            if verdict.expires_at > now and verdict.parts <= parts:
                return verdict
        return None

    def names(self, part: str) -> bool:
        """Return whether a verdict, in force or expired, names a part."""
        return any(part in verdict.parts for verdict in self.verdicts.values())

    def clear_part(self, part: str, at: float) -> list[Verdict]:
        """Take a part out of the verdicts that name it and were issued before ``at``.

        :returns: verdicts that are void now.
        """
        void = []
        for verdict in list(self.verdicts.values()):
            if part in verdict.parts and verdict.issued_at < at:
                rest = verdict.parts - {part}
                if rest:
                    self.verdicts[verdict.verdict_id] = replace(verdict, parts=rest)
                else:
                    self.lift(verdict.verdict_id, at)
                    void.append(verdict)
        return void

    def lift(self, verdict_id: str, at: float) -> Verdict | None:
        """Remove a verdict, and do not accept it again from others; return it if it was known.

        A verdict that was issued after ``at`` stays.
        """
        self.lifted_at[verdict_id] = max(at, self.lifted_at.get(verdict_id, at))
        if len(self.lifted_at) > MAX_VERDICTS:
            del self.lifted_at[min(self.lifted_at, key=lambda key: self.lifted_at[key])]
        known = self.verdicts.get(verdict_id)
        if known is None or known.issued_at > at:
            return None
        return self.verdicts.pop(verdict_id)

    def in_force(self, now: float) -> list[Verdict]:
        """Return the verdicts that have not expired."""
        return [verdict for verdict in self.verdicts.values() if verdict.expires_at > now]
