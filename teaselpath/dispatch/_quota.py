"""Rate limits of workspaces over all gateways, from counters that the gateways exchange."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from teaselpath.fleet import Workspace

# Longest ``retry_after_s`` of a refusal, in seconds, and the time in which a bucket without further
# charges recovers from any counters.
MAX_RETRY_AFTER_S = 8.0
# Fraction of the tolerated slack that is added to a bucket's capacity.
SLACK_FRACTION = 0.3
# Time without counters after which a gateway is forgotten, in seconds: from then on only the number
# of gateways that may be running counts, and its next counters are a new baseline.
FORGET_SILENT_S = 30.0
# Least time between two searches for gateways that have fallen silent, in seconds.
SILENCE_CHECK_S = 0.05


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


@dataclass(slots=True, frozen=True)
class Contact:
    """A message that shows what its gateway had charged when it arrived.

    :param at: time of arrival, in seconds.
    :param late_after_s: time until the next message is late, in seconds.
    :param covered_s: time before it in which each change of a counter is included, in seconds.
    :param is_current: whether it has not waited for long before it was read.
    """

    at: float
    late_after_s: float
    covered_s: float
    is_current: bool = True


@dataclass(slots=True)
class _Bucket:
    """Token bucket of a workspace.

    :param level: tokens, less what silent gateways are presumed to have charged.
    :param known: tokens by known charges only, the upper limit of ``level``.
    :param presumed_s: value of ``SharedQuota.presumed_s`` at the last update.
    :param full_share_s: value of ``SharedQuota.share_s`` when it was last full.
    """

    level: float
    known: float
    capacity: float
    rate: float
    updated_at: float
    presumed_s: float
    full_share_s: float


@dataclass(slots=True)
class _PeerContact:
    """Last message of another gateway.

    :param share_s: value of ``SharedQuota.share_s`` when it arrived.
    """

    at: float
    late_at: float
    share_s: float
    is_late: bool = False


class SharedQuota:
    """Token buckets of all workspaces, charged with the usage of all gateways.

    The limit also holds for a workspace that sends through many gateways at once. Every gateway has
    a bucket for the full rate; it subtracts its own usage immediately and that of the others as
    their counters arrive. A gateway whose next message is late is presumed to have charged its part
    of the rate since its last one. What its counters say replaces this when they arrive; a bucket
    never gets more back than the known charges leave.

    :param slack: tokens beyond rate and burst that the deployment tolerates. A fraction of them
        covers the error of the counters, so that requests within the rate are not refused.
    :param started_at: time at which this gateway started, in seconds. Others may have used the
        burst just before, so that buckets fill from then on.
    :ivar used: tokens charged by this gateway, by workspace.
    :ivar peer_totals: last known counters of each peer, by host and incarnation.
    :ivar without_baseline: time until which each gateway counts as silent that was heard of without
        complete counters, so that its use is not known yet.
    :ivar reachable_fraction: fraction of the gateways whose charges are known.
    :ivar share_s: time integral of one gateway's part of a rate, in seconds of the rate.
    :ivar presumed_s: what all silent gateways are presumed to have charged so far and have not
        stated since, in seconds of a workspace's rate.
    """

    def __init__(self, slack: float = 0.0, started_at: float = float("-inf")) -> None:
        self.slack = slack
        self.started_at = started_at
        self.buckets: dict[str, _Bucket] = {}
        self.used: dict[str, float] = {}
        self.peer_totals: dict[tuple[str, int], dict[str, float]] = {}
        self.contacts: dict[str, _PeerContact] = {}
        self.without_baseline: dict[str, float] = {}
        self.reachable = self.possible = 1
        self.late_count = self.silent = 0
        self.reachable_fraction = 1.0
        self.share_s = 0.0
        self.presumed_s = 0.0
        self.advanced_at: float | None = None
        self.checked_at = float("-inf")

    def set_reachable_fraction(self, reachable: int, possible: int) -> None:
        """Set the fraction from the numbers of reachable and of possibly running gateways.

        Both numbers include this gateway.
        """
        self.possible = max(1, possible)
        self.reachable = min(self.possible, reachable)
        self._update_fraction()

    def charge(self, workspace: Workspace, tokens: float, now: float) -> Granted | OverRate:
        """Charge a request to the workspace's bucket, or refuse it.

        A request larger than the bucket is granted when the bucket is full.
        """
        if workspace.rate <= 0:
            return Granted()
        self._advance(now)
        bucket = self._bucket(workspace, now)
        grant = self._decide(bucket, tokens)
        if isinstance(grant, Granted):
            bucket.level -= tokens
            bucket.known -= tokens
            self.used[workspace.name] = self.used.get(workspace.name, 0.0) + tokens
        return grant

    def peek(self, workspace: Workspace, tokens: float, now: float) -> Granted | OverRate:
        """Return what ``charge`` would return, without a charge."""
        if workspace.rate <= 0:
            return Granted()
        self._advance(now)
        return self._decide(self._updated(workspace, now), tokens)

    def level_of(self, workspace: Workspace, now: float) -> float | None:
        """Return the tokens in a workspace's bucket; None without a rate."""
        if workspace.rate <= 0:
            return None
        self._advance(now)
        return self._updated(workspace, now).level

    def _decide(self, bucket: _Bucket, tokens: float) -> Granted | OverRate:
        needed = min(tokens, bucket.capacity * self.reachable_fraction)
        if bucket.level >= needed:
            return Granted()
        fill_rate = bucket.rate * self.reachable_fraction
        wait_s = min(MAX_RETRY_AFTER_S, (needed - bucket.level) / max(1.0, fill_rate))
        return OverRate(wait_s, bucket.level, fill_rate, self.reachable_fraction)

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Refund a request that provably did not run."""
        bucket = self.buckets.get(workspace.name)
        if workspace.rate <= 0 or bucket is None:
            return
        _add(bucket, tokens)
        self.used[workspace.name] = self.used.get(workspace.name, 0.0) - tokens

    def merge(
        self,
        peer: str,
        incarnation: int,
        used: Mapping[str, float],
        *,
        is_complete: bool = True,
        contact: Contact | None = None,
    ) -> Mapping[str, float]:
        """Subtract what another gateway has charged since its last message.

        The first complete counters of a gateway are only recorded, as the baseline. Those of a
        later incarnation count in full, as it has started since.

        :param is_complete: whether the counters of all workspaces are included.
        :param contact: arrival of the message; None if silence of the gateway means nothing.
        :returns: tokens that it has charged since, by workspace.
        """
        previous = self.peer_totals.get((peer, incarnation))
        if previous is None:
            if not is_complete:
                if contact is not None:
                    self.without_baseline[peer] = contact.at + contact.late_after_s
                    self._update_fraction()
                return {}
            previous = {} if self._discard_totals(peer) else dict(used)
            self.peer_totals[peer, incarnation] = previous
        is_late = contact is not None and self._is_late(peer, contact.at)
        ends_silence = contact is not None and self._covers(peer, contact, is_complete=is_complete)
        if is_late and not ends_silence:
            return {}
        spent = {name: total - previous.get(name, 0.0) for name, total in used.items()}
        previous.update(used)
        if is_late:
            self._replace_presumed(peer, spent)
        else:
            for name, tokens in spent.items():
                if name in self.buckets:
                    _add(self.buckets[name], -tokens)
        if contact is not None and ends_silence:
            self.without_baseline.pop(peer, None)
            late_at = contact.at + contact.late_after_s
            self.contacts[peer] = _PeerContact(contact.at, late_at, self.share_s)
            self._update_fraction()
        return spent

    def _is_late(self, peer: str, now: float) -> bool:
        self._advance(now)
        return peer in self.contacts and self.contacts[peer].is_late

    def _covers(self, peer: str, contact: Contact, *, is_complete: bool) -> bool:
        """Return whether all charges of a gateway up to a message are known with it."""
        last = self.contacts.get(peer)
        is_covered = last is not None and contact.at - last.at <= contact.covered_s
        return contact.is_current and (is_complete or is_covered)

    def _replace_presumed(self, peer: str, spent: Mapping[str, float]) -> None:
        """Replace what a gateway is presumed to have charged in its silence.

        What it has charged no faster than presumed is paid for already: it takes nothing more, even
        from a bucket that has overflowed meanwhile.
        """
        assert self.advanced_at is not None
        presumed_s = self.share_s - self.contacts[peer].share_s
        for name, bucket in self.buckets.items():
            self._refill(bucket, self.advanced_at)
            tokens = spent.get(name, 0.0)
            beyond = tokens - bucket.rate * presumed_s
            paid = bucket.level - max(0.0, beyond)
            bucket.known = max(bucket.known - tokens, paid)
            bucket.level = min(bucket.known, bucket.level - beyond)
            bucket.presumed_s -= presumed_s
        self.presumed_s -= presumed_s
        self.late_count -= 1
        self.contacts[peer].is_late = False

    def _discard_totals(self, peer: str) -> bool:
        """Discard the counters of a gateway; return whether there were any."""
        known = [key for key in self.peer_totals if key[0] == peer]
        for key in known:
            del self.peer_totals[key]
        return bool(known)

    def _advance(self, now: float) -> None:
        """Continue what is presumed of silent gateways, and find those that have fallen silent."""
        if self.advanced_at is not None and now > self.advanced_at:
            elapsed_s = now - self.advanced_at
            self.share_s += elapsed_s / self.possible
            self.presumed_s += elapsed_s * (1.0 - self.reachable_fraction)
        self.advanced_at = now if self.advanced_at is None else max(now, self.advanced_at)
        if now - self.checked_at < SILENCE_CHECK_S:
            return
        self.checked_at = now
        for peer, contact in list(self.contacts.items()):
            if not contact.is_late and now > contact.late_at:
                contact.is_late = True
                self.late_count += 1
                self.presumed_s += self.share_s - contact.share_s
            if now - contact.at > FORGET_SILENT_S:
                del self.contacts[peer]
                self.late_count -= contact.is_late
                self._discard_totals(peer)
        for peer in [peer for peer, until in self.without_baseline.items() if now > until]:
            del self.without_baseline[peer]
        self._update_fraction()

    def _update_fraction(self) -> None:
        silent = max(self.possible - self.reachable, self.late_count) + len(self.without_baseline)
        self.silent = min(silent, self.possible - 1)
        self.reachable_fraction = 1.0 - self.silent / self.possible

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        bucket = self.buckets[workspace.name] = self._updated(workspace, now)
        return bucket

    def _updated(self, workspace: Workspace, now: float) -> _Bucket:
        """Return the bucket of a workspace as of now; the recorded one stays as it is."""
        capacity = max(1.0, workspace.burst + SLACK_FRACTION * self.slack)
        known = self.buckets.get(workspace.name)
        if known is None:
            age_s = max(0.0, now - self.started_at)
            level = min(capacity, workspace.rate * age_s)
            bucket = _Bucket(
                level, level, capacity, workspace.rate, now, self.presumed_s, self.share_s
            )
        else:
            bucket = replace(known)
        self._refill(bucket, now)
        bucket.rate, bucket.capacity = workspace.rate, capacity
        self._limit(bucket)
        return bucket

    def _refill(self, bucket: _Bucket, now: float) -> None:
        elapsed_s = max(0.0, now - bucket.updated_at)
        # What was charged while the bucket overflowed is not missing.
        silent_since_full = self.silent * (self.share_s - bucket.full_share_s)
        presumed_s = min(self.presumed_s - bucket.presumed_s, silent_since_full)
        bucket.level += bucket.rate * (elapsed_s - presumed_s)
        bucket.known += bucket.rate * elapsed_s
        bucket.updated_at = max(now, bucket.updated_at)
        bucket.presumed_s = self.presumed_s
        self._limit(bucket)

    def _limit(self, bucket: _Bucket) -> None:
        """Limit a bucket to its capacity, of which silent gateways have their parts."""
        bucket.known = min(bucket.capacity, bucket.known)
        usable = bucket.capacity * self.reachable_fraction
        if bucket.level >= usable:
            bucket.level, bucket.full_share_s = usable, self.share_s
        bucket.level = min(bucket.level, bucket.known)
        _limit_debt(bucket)


def _add(bucket: _Bucket, tokens: float) -> None:
    """Add tokens to a bucket, or take them if the number is negative."""
    bucket.known = min(bucket.capacity, bucket.known + tokens)
    bucket.level = min(bucket.known, bucket.level + tokens)
    _limit_debt(bucket)


def _limit_debt(bucket: _Bucket) -> None:
    """Limit what a bucket lacks, whatever another gateway states."""
    least = -MAX_RETRY_AFTER_S * bucket.rate
    bucket.known, bucket.level = max(least, bucket.known), max(least, bucket.level)
