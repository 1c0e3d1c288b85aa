"""Synchronization of the accepted bundle and of the revocations between nodes."""

from random import Random

from teaselpath.membership._events import ConfigChanged
from teaselpath.wire import ConfigPull, ConfigPush, Gossip, Send, SignedRecord

# Maximum number of revocations per message; of a larger set, each message has a random sample.
REVOCATIONS_PER_MESSAGE = 64
# Delay before a node that can read the log pulls a new version from a peer instead.
PULL_DELAY_S = 2.0
# A pull that had no effect is retried at another peer after this time.
PULL_RETRY_S = 2.0
DIGEST_BYTES = 16


class ConfigSync:
    """State of this node, the newest state announced by a peer, and the time of the next pull."""

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
        # Highest (version, offset) in the gossip of peers with a newer version.
        self.target: tuple[int, int] = (0, -1)
        self.target_host = ""
        self.next_pull_at = float("inf")
        self.next_revocation_pull_at = 0.0

    @property
    def offset(self) -> int:
        """Offset of the accepted record; -1 if there is none."""
        return self.record.offset if self.record else -1

    def update(self, event: ConfigChanged) -> bool:
        """Apply the new state of this node; return whether its version increased."""
        is_newer = event.version > self.version
        self.record = event.record
        self.version = event.version
        self.digest = event.digest[:DIGEST_BYTES]
        self.revocation_digest = event.revocation_digest
        self.revocations = list(event.revocations)
        self.has_gap = event.has_gap
        if self.target <= (self.version, self.offset):
            self.next_pull_at = float("inf")
        return is_newer

    def compare(self, gossip: Gossip, now: float) -> list[Send]:
        """Compare the state in a peer's gossip with this node's; return the pulls that are due."""
        theirs = (gossip.version, gossip.offset)
        if gossip.version > self.version:
            if theirs > self.target or self.next_pull_at == float("inf"):
                delay_s = PULL_DELAY_S if self.is_log_reachable else 0.0
                self.next_pull_at = min(self.next_pull_at, now + delay_s)
                self.target = max(self.target, theirs)
                self.target_host = gossip.host
            return self.due_pulls(now, gossip.host)
        is_different = gossip.revocation_digest != self.revocation_digest
        if gossip.version == self.version and is_different and now >= self.next_revocation_pull_at:
            self.next_revocation_pull_at = now + PULL_RETRY_S
            return [Send(gossip.host, ConfigPull(self.self_host, self.offset + 1, True))]
        return []

    def due_pulls(self, now: float, peer: str) -> list[Send]:
        """Return the pull that is due.

        :param peer: peer to pull from if a pull was already sent to the peer from whose gossip the
            version is known, or if there is no such peer.
        """
        is_behind = self.target[0] > self.version
        if now < self.next_pull_at or not (is_behind or self.has_gap):
            return []
        self.next_pull_at = now + PULL_RETRY_S
        host, self.target_host = self.target_host or peer, ""
        from_offset = 0 if self.has_gap else self.offset + 1
        return [Send(host, ConfigPull(self.self_host, from_offset, True))] if host else []

    def respond(self, pull: ConfigPull) -> list[Send]:
        """Return the push that responds to a peer's pull."""
        is_requested = self.record is not None and self.record.offset >= pull.from_offset
        records = [self.record] if self.record is not None and is_requested else []
        revocations = self._sample_revocations() if pull.revocations else []
        if not records and not revocations:
            return []
        return [Send(pull.host, ConfigPush(self.self_host, records, revocations))]

    def _sample_revocations(self) -> list[bytes]:
        if len(self.revocations) <= REVOCATIONS_PER_MESSAGE:
            return self.revocations
        return self.random.sample(self.revocations, REVOCATIONS_PER_MESSAGE)
