"""Rate limits of workspaces over all gateways, from counters that the gateways exchange."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from teaselpath.fleet import Workspace

# Longest ``retry_after_s`` of a refusal, in seconds.
MAX_RETRY_AFTER_S = 8.0
# Fraction of the tolerated slack that is added to a bucket's capacity.
SLACK_FRACTION = 0.3


@dataclass(slots=True, frozen=True)
class Granted:
    """The request is within the rate."""


@dataclass(slots=True, frozen=True)
class OverRate:
    """The request exceeds the rate.

    :param retry_after_s: time until the bucket holds enough tokens at its present fill rate.
    :param level: tokens in the bucket.
    :param rate: fill rate of the bucket, in tokens per second.
    :param reachable_fraction: fraction of the gateways that is reachable.
    """

    retry_after_s: float
    level: float
    rate: float
    reachable_fraction: float


@dataclass(slots=True)
class _Bucket:
    level: float
    capacity: float
    rate: float
    updated_at: float


class SharedQuota:
    """Token buckets of all workspaces, charged with the usage of all reachable gateways.

    The limit also holds for a workspace that sends through many gateways at once. Every gateway has
    a bucket for the full rate; it subtracts its own usage immediately and that of the others as
    their counters arrive. Unreachable gateways may also spend tokens, so the bucket is scaled by
    the fraction of gateways that is reachable.

    :param slack: tokens beyond rate and burst that the deployment tolerates. A fraction of them
        covers the error of the counters, so that requests within the rate are not refused.
    :ivar used: tokens charged by this gateway, by workspace.
    :ivar peer_totals: last known counters of each peer, by host and incarnation.
    :ivar reachable_fraction: fraction of the gateways that is reachable.
    """

    def __init__(self, slack: float = 0.0) -> None:
        self.slack = slack
        self.buckets: dict[str, _Bucket] = {}
        self.used: dict[str, float] = {}
        self.peer_totals: dict[tuple[str, int], dict[str, float]] = {}
        self.reachable_fraction = 1.0

    def set_reachable_fraction(self, reachable: int, possible: int) -> None:
        """Set the fraction from the numbers of reachable and of possibly running gateways.

        Both numbers include this gateway.
        """
        self.reachable_fraction = min(1.0, reachable / max(1, possible))

    def charge(self, workspace: Workspace, tokens: float, now: float) -> Granted | OverRate:
        """Charge a request to the workspace's bucket, or refuse it.

        A request larger than the bucket is granted when the bucket is full.
        """
        if workspace.rate <= 0:
            return Granted()
        bucket = self._bucket(workspace, now)
        grant = self._decide(bucket, tokens)
        if isinstance(grant, Granted):
            bucket.level -= tokens
            self.used[workspace.name] = self.used.get(workspace.name, 0.0) + tokens
        return grant

    def peek(self, workspace: Workspace, tokens: float, now: float) -> Granted | OverRate:
        """Return what ``charge`` would return, without a charge."""
        if workspace.rate <= 0:
            return Granted()
        return self._decide(self._updated(workspace, now), tokens)

    def level_of(self, workspace: Workspace, now: float) -> float | None:
        """Return the tokens in a workspace's bucket; None without a rate."""
        return None if workspace.rate <= 0 else self._updated(workspace, now).level

    def _decide(self, bucket: _Bucket, tokens: float) -> Granted | OverRate:
        needed = min(tokens, bucket.capacity)
        if bucket.level >= needed:
            return Granted()
        wait_s = min(MAX_RETRY_AFTER_S, (needed - bucket.level) / max(1.0, bucket.rate))
        return OverRate(wait_s, bucket.level, bucket.rate, self.reachable_fraction)

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Refund a request that provably did not run."""
        bucket = self.buckets.get(workspace.name)
        if workspace.rate <= 0 or bucket is None:
            return
        bucket.level = min(bucket.capacity, bucket.level + tokens)
        self.used[workspace.name] = self.used.get(workspace.name, 0.0) - tokens

    def merge(
        self, peer: str, incarnation: int, used: Mapping[str, float], *, is_complete: bool = True
    ) -> None:
        """Subtract what another gateway has charged since its last message.

        The first complete counters of an incarnation are only recorded, as the baseline.

        :param is_complete: whether the counters of all workspaces are included.
        """
        previous = self.peer_totals.get((peer, incarnation))
        if previous is None:
            if not is_complete:
                return
            for key in [key for key in self.peer_totals if key[0] == peer]:
                del self.peer_totals[key]
            self.peer_totals[peer, incarnation] = dict(used)
            return
        for name, total in used.items():
            spent = total - previous.get(name, 0.0)
            previous[name] = total
            bucket = self.buckets.get(name)
            if bucket is not None and spent:
                bucket.level = min(bucket.capacity, bucket.level - spent)

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        bucket = self.buckets[workspace.name] = self._updated(workspace, now)
        return bucket

    def _updated(self, workspace: Workspace, now: float) -> _Bucket:
        """Return the bucket of a workspace as of now; the recorded one stays as it is."""
        rate = workspace.rate * self.reachable_fraction
        capacity = max(
            1.0, (workspace.burst + SLACK_FRACTION * self.slack) * self.reachable_fraction
        )
        known = self.buckets.get(workspace.name)
        bucket = _Bucket(capacity, capacity, rate, now) if known is None else replace(known)
        if now > bucket.updated_at:
            bucket.level += bucket.rate * (now - bucket.updated_at)
            bucket.updated_at = now
        bucket.rate = rate
        bucket.capacity = capacity
        bucket.level = min(bucket.level, capacity)
        return bucket
