"""Spread of the accepted bundle and of revocations between nodes."""

from random import Random

from teaselpath.membership._events import ConfigChanged
from teaselpath.wire import ConfigPull, ConfigPush, Gossip, Send, SignedRecord

# Revocations in one message; a longer set is sent in turns.
REVOCATIONS_PER_MESSAGE = 64
# A node that reads the log gets a new version from there; it asks a peer after this time only.
PULL_DELAY_S = 2.0
# A pull without an effect is repeated, at another peer, after this time.
PULL_RETRY_S = 2.0
DIGEST_BYTES = 16


class ConfigSync:
    """What this node has, what a peer has on top, and when to ask for it."""

    def __init__(self, self_host: str, random: Random) -> None:
        self.self_host = self_host
        self.random = random
        self.record: SignedRecord | None = None
        self.version = 0
        self.digest = b""
        self.revocation_digest = b""
        self.revocations: list[bytes] = []
        self.has_gap = False
        self.is_log_reachable = False
        self.wanted: tuple[int, int] = (0, -1)
        self.wanted_from = ""
        self.pull_at = float("inf")
        self.revocation_pull_at = 0.0

    @property
    def offset(self) -> int:
        """Offset of the accepted record; -1 without one."""
        return self.record.offset if self.record else -1

    def change(self, event: ConfigChanged) -> bool:
        """Take this node's new state; return whether its version rose."""
        is_newer = event.version > self.version
        self.record = event.record
        self.version = event.version
        self.digest = event.digest[:DIGEST_BYTES]
        self.revocation_digest = event.revocation_digest
        self.revocations = list(event.revocations)
        self.has_gap = event.has_gap
        if self.wanted <= (self.version, self.offset):
            self.pull_at = float("inf")
        return is_newer

    def compare(self, gossip: Gossip, now: float) -> list[Send]:
        """Compare a peer's digest with this node's state; return the pulls that are due."""
        theirs = (gossip.version, gossip.offset)
        if gossip.version > self.version:
            if theirs > self.wanted or self.pull_at == float("inf"):
                delay_s = PULL_DELAY_S if self.is_log_reachable else 0.0
                self.pull_at = min(self.pull_at, now + delay_s)
                self.wanted = max(self.wanted, theirs)
                self.wanted_from = gossip.host
            return self.due_pulls(now, gossip.host)
        is_different = gossip.revocation_digest != self.revocation_digest
        if gossip.version == self.version and is_different and now >= self.revocation_pull_at:
            self.revocation_pull_at = now + PULL_RETRY_S
            return [Send(gossip.host, ConfigPull(self.self_host, self.offset + 1, True))]
        return []

    def due_pulls(self, now: float, peer: str) -> list[Send]:
        """Return the pull that is due.

        :param peer: whom to ask if the peer that had the news was asked already.
        """
        is_behind = self.wanted[0] > self.version
        if now < self.pull_at or not (is_behind or self.has_gap):
            return []
        self.pull_at = now + PULL_RETRY_S
        host, self.wanted_from = self.wanted_from or peer, ""
        from_offset = 0 if self.has_gap else self.offset + 1
        return [Send(host, ConfigPull(self.self_host, from_offset, True))] if host else []

    def answer(self, pull: ConfigPull) -> list[Send]:
        """Return the push for a peer's pull."""
        is_wanted = self.record is not None and self.record.offset >= pull.from_offset
        records = [self.record] if self.record is not None and is_wanted else []
        revocations = self._some_revocations() if pull.revocations else []
        if not records and not revocations:
            return []
        return [Send(pull.host, ConfigPush(self.self_host, records, revocations))]

    def _some_revocations(self) -> list[bytes]:
        if len(self.revocations) <= REVOCATIONS_PER_MESSAGE:
            return self.revocations
        return self.random.sample(self.revocations, REVOCATIONS_PER_MESSAGE)
