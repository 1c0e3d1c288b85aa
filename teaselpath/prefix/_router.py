"""Choice of an endpoint for a request, at the entry."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from teaselpath.prefix._cost import CostModel
from teaselpath.prefix._events import Choice, Finished, Routed
from teaselpath.prefix._hints import HotPrefixes, RecentRoutes
from teaselpath.prefix._imports import ImportSource, plan_import
from teaselpath.prefix._link import LinkBudget
from teaselpath.prefix._load import RegionLoad
from teaselpath.prefix._placement import DEPTH, Placement
from teaselpath.wire import ProbeReply

# Requests that are tracked between ``Routed`` and ``Finished``.
MAX_PENDING = 16_384


@dataclass(slots=True, frozen=True)
class RouterLimits:
    """Limits and constants of the router.

    :param max_probes: probes per request within the region; one is a sample of its load.
    :param remote_probes: further probes in the other region.
    :param copy_weight: weight of blocks that an engine does not have, on top of their latency in
        this request. Recomputing takes time from other requests, and each further copy of a block,
        recomputed or imported, evicts another one.
    :param busy_copy_weight: further weight when the region is busy, where lost capacity costs more.
    :param stray_s: cost of an endpoint that is not a home of the prompt, because later requests
        will not look for its copy, in seconds.
    :param remote_wait_s: the other region is probed when local engines make a request wait longer
        ...
    :param remote_gain: ... or when recomputing the prompt would cost this many times its transfer.
    :param remote_round_trip_s: round trip to the other region.
    :param bytes_per_token: bytes of a prompt that cross the link, per token.
    :param link_bytes_per_s: rate of the link for requests.
    """

    max_probes: int = 4
    remote_probes: int = 3
    copy_weight: float = 1.0
    busy_copy_weight: float = 2.0
    stray_s: float = 1.0
    remote_wait_s: float = 0.1
    remote_gain: float = 3.0
    remote_round_trip_s: float = 0.06
    bytes_per_token: float = 4.0
    link_bytes_per_s: float = 500_000.0


def level_positions(length: int) -> list[int]:
    """Return the chain positions used as levels, deepest first.

    They are the powers of two: a prefix of n blocks that requests share is then told apart by a
    level of more than n/2 blocks, wherever its boundary lies. The last block is no level of its
    own, because in most prompts it belongs to one request.
    """
    return [(1 << power) - 1 for power in reversed(range(length.bit_length()))]


class PrefixRouter:
    """Candidates for a request, and the choice among those that answered a probe.

    An entry has one router per model, because the order of the endpoints is kept for one list.

    :param region: region of this entry.
    :param regions: region of each endpoint; an endpoint that is missing counts as local.
    :param link: budget of the link to the other region; requests that cross it are charged. The
        router plans imports within its region only.
    """

    def __init__(
        self,
        region: str = "",
        regions: Mapping[str, str] | None = None,
        link: LinkBudget | None = None,
        limits: RouterLimits | None = None,
    ) -> None:
        self.region = region
        self.regions = regions if regions is not None else {}
        self.link = link
        self.limits = limits if limits is not None else RouterLimits()
        self.endpoints: Sequence[str] = ()
        self.local = Placement(())
        self.remote = Placement(())
        self.costs = CostModel()
        self.recent = RecentRoutes()
        self.hot = HotPrefixes(DEPTH)
        self.load = RegionLoad()
        self.pending: OrderedDict[str, Routed] = OrderedDict()
        self.link_free_at = 0.0
        self.local_order: list[str] = []
        self.turn = 0

    def candidates(self, chain: Sequence[bytes], endpoints: Sequence[str], now: float) -> list[str]:
        """Return the endpoints to probe, best first.

        :param endpoints: endpoints that serve the model; pass the same object until it changes.
        """
        if endpoints is not self.endpoints:
            self._change_endpoints(endpoints)
        found = self._homes(chain)
        sample = self._sample()
        if not chain:
            # Without a full block there is nothing to share; a fixed key would give all short
            # prompts the same few endpoints.
            found = self.local.top(self._turn_key(), self.limits.max_probes)
        elif sample and sample not in found:
            found.append(sample)
        if self.remote.known and (not found or self._is_remote_useful(len(chain))):
            key = self._main_level(chain) if chain else self._turn_key()
            found += self.remote.top(key, self.limits.remote_probes)
        return found

    def _change_endpoints(self, endpoints: Sequence[str]) -> None:
        self.endpoints = endpoints
        self.local_order = [name for name in endpoints if self._is_local(name)]
        self.local.change(self.local_order)
        self.remote.change([name for name in endpoints if not self._is_local(name)])
        self.costs.keep(frozenset(endpoints))

    def _is_local(self, endpoint: str) -> bool:
        return self.regions.get(endpoint, self.region) == self.region

    def _sample(self) -> str:
        """Return a local endpoint in turn, whatever its cache.

        Its reply shows the load of the region, which the homes of a hot prefix do not, and it can
        take the request when they are overloaded.
        """
        self.turn += 1
        return self.local_order[self.turn % len(self.local_order)] if self.local_order else ""

    def _turn_key(self) -> bytes:
        return (self.turn % 2**32).to_bytes(4, "big")

    def _is_remote_useful(self, blocks: int) -> bool:
        if self.load.local_wait_s > self.limits.remote_wait_s:
            return True
        recompute_s = (1 + self._copy_weight()) * blocks * self.load.block_s
        transfer_s = self._transfer_s(blocks * self.load.block_tokens, float("inf"))
        return recompute_s > self.limits.remote_gain * transfer_s

    def _copy_weight(self) -> float:
        return self.limits.copy_weight + self.limits.busy_copy_weight * self.load.busy()

    def _main_level(self, chain: Sequence[bytes]) -> bytes:
        return chain[level_positions(len(chain))[0]]

    def _homes(self, chain: Sequence[bytes]) -> list[str]:
        """Return one endpoint per level, then further ones of the deepest level."""
        count = self.limits.max_probes - 1
        found: dict[str, None] = {}
        if not chain or not self.local.known:
            return []
        spread_by = int.from_bytes(chain[-1][-4:], "big")
        for position in level_positions(len(chain)):
            value = chain[position]
            found[self.local.nth(value, spread_by % self.hot.width(value))] = None
        for endpoint in self.local.top(self._main_level(chain), count):
            found[endpoint] = None
        return list(found)[:count]

    def choose(
        self, chain: Sequence[bytes], prompt_tokens: int, replies: Sequence[ProbeReply], now: float
    ) -> Choice | None:
        """Return the endpoint with the lowest expected time to first token.

        :param replies: answers to the probes, in the order of the candidates.
        :returns: None if no endpoint accepts new work.
        """
        accepting = [reply for reply in replies if reply.accepting]
        if not accepting:
            return None
        block_tokens = prompt_tokens / max(1, len(chain))
        homes = self._homes(chain)
        self._observe(chain, block_tokens, homes, accepting, now)
        weight = self._copy_weight()
        best: Choice | None = None
        lowest = float("inf")
        for reply in accepting:
            choice = self._choice(chain, prompt_tokens, reply, accepting, now)
            missed = len(chain) - choice.matched_blocks
            copy_s = missed * block_tokens * reply.prefill_us_per_token / 1e6
            cost = choice.expected_s + weight * copy_s
            if homes and self._is_local(reply.endpoint) and reply.endpoint not in homes:
                cost += self.limits.stray_s
            if cost < lowest:
                best, lowest = choice, cost
        return best

    def _observe(
        self,
        chain: Sequence[bytes],
        block_tokens: float,
        homes: Sequence[str],
        replies: Sequence[ProbeReply],
        now: float,
    ) -> None:
        """Learn the load of the region; resize the sets of the prompt's prefixes."""
        local = [reply for reply in replies if self._is_local(reply.endpoint)]
        if chain:
            self.load.observe_block(block_tokens, replies[0].prefill_us_per_token)
        excess_s = self.load.observe_waits(
            [reply.wait_ms / 1e3 for reply in local if reply.endpoint in homes],
            [reply.wait_ms / 1e3 for reply in local if reply.endpoint not in homes],
        )
        for position in level_positions(len(chain)):
            self.hot.record(chain[position], excess_s, now)

    def _choice(
        self,
        chain: Sequence[bytes],
        prompt_tokens: int,
        reply: ProbeReply,
        replies: Sequence[ProbeReply],
        now: float,
    ) -> Choice:
        claimed = min(reply.matched_blocks, len(chain))
        matched = self.recent.extend(chain, reply.endpoint, claimed, now)
        block_tokens = prompt_tokens / max(1, len(chain))
        expected_s = self.costs.expected_s(reply, matched * block_tokens, prompt_tokens, now)
        source, blocks = "", 0
        if self._is_local(reply.endpoint):
            prefill_s = block_tokens * reply.prefill_us_per_token / 1e6
            plan = plan_import(self._sources(reply, replies), matched, prefill_s, None, now)
            if plan is not None:
                source, blocks, expected_s = plan.source, plan.blocks, expected_s - plan.saving_s
        else:
            expected_s += self._transfer_s(prompt_tokens, now)
        return Choice(
            reply.endpoint,
            matched,
            expected_s,
            reply.weights,
            reply.engine_incarnation,
            source,
            blocks,
        )

    def _sources(self, reply: ProbeReply, replies: Sequence[ProbeReply]) -> list[ImportSource]:
        if not reply.import_us_per_block:
            return []
        return [
            ImportSource(other.endpoint, other.matched_blocks, reply.import_us_per_block / 1e6)
            for other in replies
            if other is not reply
            and self._is_local(other.endpoint)
            and other.weights == reply.weights
        ]

    def _transfer_s(self, prompt_tokens: float, now: float) -> float:
        limits = self.limits
        queued_s = max(0.0, self.link_free_at - now)
        size = prompt_tokens * limits.bytes_per_token
        return limits.remote_round_trip_s + queued_s + size / limits.link_bytes_per_s

    def handle(self, event: Routed | Finished, now: float) -> list:
        """Learn from a request that was sent or that ended; there are no actions."""
        match event:
            case Routed():
                self._record_routed(event, now)
            case Finished():
                self._record_finished(event, now)
        return []

    def _record_routed(self, event: Routed, now: float) -> None:
        self.pending[event.request_id] = event
        if len(self.pending) > MAX_PENDING:
            self.pending.popitem(last=False)
        self.recent.add(event.chain, event.choice.endpoint, now)
        if self._is_local(event.choice.endpoint):
            return
        size = int(event.prompt_tokens * self.limits.bytes_per_token)
        start = max(now, self.link_free_at)
        self.link_free_at = start + size / self.limits.link_bytes_per_s
        if self.link is not None:
            self.link.record_request(size, now)

    def _record_finished(self, event: Finished, now: float) -> None:
        routed = self.pending.pop(event.request_id, None)
        if routed is None:
            return
        if event.first_token_s >= 0:
            self.costs.learn(routed.choice, event.first_token_s, now)
