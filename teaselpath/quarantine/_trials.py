"""Claims of gateways to run one request with a suspect part.

Without a lock that all gateways share, a gateway announces its claim, waits until the claims of
others have arrived, and runs the request if its own has precedence. A lost message can lead to two
trials of a part; it never leads to none for longer than ``CLAIM_S``.
"""

from dataclasses import dataclass

# Duration of a claim that is not renewed, in seconds.
CLAIM_S = 3.0
# Time in which the claims of other gateways arrive, in seconds.
SETTLE_S = 0.1
# Time after the end of an engine in which other gateways report what else it ran, in seconds.
JUDGE_DELAY_S = 0.15


@dataclass(slots=True, frozen=True)
class Claim:
    """Claim to run one request with suspect parts.

    :param number: number of the claim at its host.
    :param is_running: whether the request is at an engine.
    :param until: time in seconds.
    """

    host: str
    number: int
    parts: frozenset[str]
    is_running: bool
    until: float

    @property
    def precedence(self) -> tuple[bool, str, int]:
        """Sort key: a running request goes before others, which have any fixed order."""
        return (not self.is_running, self.host, self.number)


class TrialBoard:
    """Claims by part."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}

    def claimed_until(self, parts: frozenset[str], now: float) -> float | None:
        """Return the time until which one of the parts is claimed; None if none is."""
        ends = [c.until for p in parts if (c := self.claims.get(p)) is not None and c.until > now]
        return max(ends, default=None)

    def observe(self, claim: Claim, now: float) -> None:
        """Record a claim of this or another gateway where it has precedence."""
        for part in claim.parts:
            held = self.claims.get(part)
            is_same = held is not None and (held.host, held.number) == (claim.host, claim.number)
            if held is None or is_same or held.until <= now or claim.precedence < held.precedence:
                self.claims[part] = claim

    def holds(self, claim: Claim) -> bool:
        """Return whether a claim has precedence for all its parts."""
        return all(
            (held := self.claims.get(part)) is not None
            and (held.host, held.number) == (claim.host, claim.number)
            for part in claim.parts
        )

    def release(self, host: str, number: int) -> None:
        """Remove a claim."""
        for part in [p for p, c in self.claims.items() if (c.host, c.number) == (host, number)]:
            del self.claims[part]

    def end_part(self, part: str) -> None:
        """Remove the claim on a part that needs no trial any more."""
        self.claims.pop(part, None)

    def expire(self, now: float) -> None:
        """Remove the claims that have ended."""
        for part in [p for p, c in self.claims.items() if c.until <= now]:
            del self.claims[part]
