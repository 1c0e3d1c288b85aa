"""Rates of workspaces over all gateways, from counters that the gateways exchange."""

from dataclasses import dataclass

from teaselpath.fleet import Workspace

# Longest wait that a refusal names, in seconds.
MAX_RETRY_AFTER_S = 8.0
# Part of the tolerated slack that a bucket holds beyond its burst.
SLACK_PART = 0.3


@dataclass(slots=True, frozen=True)
class Granted:
    """The request is within the rate."""


@dataclass(slots=True, frozen=True)
class OverRate:
    """The request is beyond the rate.

    :param retry_after_s: time until the bucket holds enough, at the present use.
    :param level: tokens that the bucket holds.
    :param rate: tokens per second that fill it.
    :param share: part of the gateways that is heard.
    """

    retry_after_s: float
    level: float
    rate: float
    share: float


@dataclass(slots=True)
class _Bucket:
    level: float
    capacity: float
    rate: float
    updated_at: float


class SharedQuota:
    """Token buckets of all workspaces, each filled by what all reachable gateways spend.

    Every gateway keeps the whole bucket and subtracts its own use at once and that of the others
    as their counters arrive. Gateways that cannot be heard may spend as well, so the bucket is
    scaled to the part of the gateways that can be.

    Answers the load of one workspace that sends beyond its rate through many gateways at once.

    :param slack: tokens beyond rate and burst that the deployment tolerates. A part of them covers
        the error of the counters, so that requests within the rate are not refused.
    """

    def __init__(self, slack: float = 0.0) -> None:
        self.slack = slack
        self.buckets: dict[str, _Bucket] = {}
        self.used: dict[str, float] = {}
        self.seen: dict[tuple[str, int], dict[str, float]] = {}
        self.share = 1.0

    def set_share(self, heard: int, possible: int) -> None:
        """Set which part of the gateways, this one included, is heard."""
        self.share = min(1.0, heard / max(1, possible))

    def charge(self, workspace: Workspace, tokens: float, now: float) -> Granted | OverRate:
        """Charge a request.

        A request larger than the bucket is granted when the bucket is full.
        """
        if workspace.rate <= 0:
            return Granted()
        bucket = self._bucket(workspace, now)
        needed = min(tokens, bucket.capacity)
        if bucket.level < needed:
            fill_rate = max(1.0, bucket.rate)
            wait_s = min(MAX_RETRY_AFTER_S, (needed - bucket.level) / fill_rate)
            return OverRate(wait_s, bucket.level, bucket.rate, self.share)
        bucket.level -= tokens
        self.used[workspace.name] = self.used.get(workspace.name, 0.0) + tokens
        return Granted()

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Refund a request that provably did not run."""
        bucket = self.buckets.get(workspace.name)
        if workspace.rate <= 0 or bucket is None:
            return
        bucket.level = min(bucket.capacity, bucket.level + tokens)
        self.used[workspace.name] = self.used.get(workspace.name, 0.0) - tokens

    def merge(self, peer: str, incarnation: int, used: dict[str, float]) -> None:
        """Subtract what another gateway has spent since its last message."""
        known = self.seen.get((peer, incarnation))
        if known is None:
            for key in [key for key in self.seen if key[0] == peer]:
                del self.seen[key]
            self.seen[peer, incarnation] = dict(used)
            return
        for name, total in used.items():
            spent = total - known.get(name, 0.0)
            known[name] = total
            bucket = self.buckets.get(name)
            if bucket is not None and spent:
                bucket.level = min(bucket.capacity, bucket.level - spent)

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        rate = workspace.rate * self.share
        capacity = max(1.0, (workspace.burst + SLACK_PART * self.slack) * self.share)
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            bucket = self.buckets[workspace.name] = _Bucket(capacity, capacity, rate, now)
        if now > bucket.updated_at:
            bucket.level += bucket.rate * (now - bucket.updated_at)
            bucket.updated_at = now
        bucket.rate = rate
        bucket.capacity = capacity
        bucket.level = min(bucket.level, capacity)
        return bucket
