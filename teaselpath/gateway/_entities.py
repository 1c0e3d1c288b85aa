"""What a gateway knows of other gateways, announced weights and placements."""

from dataclasses import dataclass, field

from teaselpath.fleet import RolloutOrder


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
    :param assumed_at: event loop time at which each version is assumed to have been announced while
        no gateway that is known received it.
    """

    version: int
    announced_at: dict[int, float] = field(default_factory=dict)
    assumed_at: dict[int, float] = field(default_factory=dict)

    def record_announcement(self, version: int, announced_at: float) -> None:
        """Record a version's announcement time unless an earlier one is recorded."""
        self.announced_at[version] = min(announced_at, self.announced_at.get(version, announced_at))
        self.assumed_at.pop(version, None)

    def assume_announcement(self, version: int, assumed_at: float) -> None:
        """Record when a version of unknown age is assumed to have been announced."""
        if version not in self.announced_at:
            self.assumed_at[version] = assumed_at

    def oldest_usable_version(
        self, now: float, grace_s: float, lost_at: float = 0.0, restored_at: float = 0.0
    ) -> int:
        """Return the oldest version that may run requests; 0 for no limit.

        It is the newest version that was announced more than ``grace_s`` ago. The time of a version
        that had not run out when the store was lost begins anew when it has returned from a copy,
        since none could be rolled out meanwhile.

        :param lost_at: event loop time at which the store was lost, in seconds.
        :param restored_at: event loop time of its return, in seconds; 0 if there was none.
        """

        def is_required(announced_at: float) -> bool:
            had_run_out = lost_at - announced_at > grace_s
            since = announced_at if had_run_out else max(announced_at, restored_at)
            return now - since > grace_s

        times = {**self.assumed_at, **self.announced_at}
        return max((v for v, at in times.items() if is_required(at)), default=0)


@dataclass(slots=True, frozen=True)
class LongPlacement:
    """A long prompt that a gateway sends to an engine.

    :param output_tokens: tokens that the engine may generate, if they count.
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
    output_tokens: int = 0


@dataclass(slots=True)
class OrderedRollout:
    """The newest order for a rollout of a service's software.

    :param seen_at: event loop time at which it was written, as far as this gateway knows.
    :param replaced: contents of earlier orders, which a store that returns from a copy may list.
    """

    order: RolloutOrder
    seen_at: float
    replaced: frozenset[tuple[str, float]] = frozenset()
