"""What a gateway knows of other gateways, announced weights and placements."""

from dataclasses import dataclass


@dataclass(slots=True)
class Member:
    """Another gateway.

    :param incarnation: random number that it draws at start-up.
    :param last_contact_at: event loop time of its last message; 0 if there was none.
    :param listed_at: event loop time at which its record was last read from the store, or at which
        a peer first listed this incarnation or its first message arrived.
    :param failure_domain: empty if unknown.
    """

    host: str
    ip: str
    incarnation: int
    last_contact_at: float = 0.0
    listed_at: float = 0.0
    failure_domain: str = ""


@dataclass(slots=True)
class AnnouncedWeights:
    """Weights versions that the operator announced for a model; ``version`` is the newest.

    :param announced_at: event loop time at which this gateway, or a peer before it, received the
        announcement of each version.
    """

    version: int
    announced_at: dict[int, float]

    def record_announcement(self, version: int, announced_at: float) -> None:
        """Record a version's announcement time unless an earlier one is recorded."""
        self.announced_at[version] = min(announced_at, self.announced_at.get(version, announced_at))

    def oldest_usable_version(self, now: float, grace_s: float, since: float = 0.0) -> int:
        """Return the oldest version that may run requests; 0 for no limit.

        It is the newest version that was announced more than ``grace_s`` ago.

        :param since: event loop time before which no version could be rolled out, in seconds. The
            time of a version that had not run out by then begins anew.
        """
        required = (
            version
            for version, at in self.announced_at.items()
            if now - (at if since - at > grace_s else max(at, since)) > grace_s
        )
        return max(required, default=0)


@dataclass(slots=True, frozen=True)
class LongPlacement:
    """A long prompt that a gateway sends to an engine.

    :param unread_tokens: prompt tokens that the engine has to prefill.
    :param parts: shared prompt parts: id and size in tokens.
    :param copied_from: address of the engine or store from which KV cache may be fetched.
    :param copied_tokens: tokens whose KV cache the engine is expected to fetch.
    :param saved_to: address of the store to which the engine saves the KV cache of the parts.
    """

    endpoint_id: str
    started_at_ms: int | None
    prompt_tokens: int
    unread_tokens: int
    scope: str
    parts: list[tuple[str, int]]
    copied_from: str | None
    copied_tokens: int
    saved_to: str | None
