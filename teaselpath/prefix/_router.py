"""Selection of the endpoint for a request, at the entry."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from teaselpath.prefix._cost import CostModel
from teaselpath.prefix._events import Choice, Finished, Routed
from teaselpath.prefix._hints import HotPrefixes, RecentRoutes
from teaselpath.prefix._imports import ImportSource, plan_import
from teaselpath.prefix._link import LinkBudget
from teaselpath.prefix._load import RegionLoad
from teaselpath.prefix._placement import ENDPOINTS_PER_SLOT, Placement
from teaselpath.wire import ProbeReply

# Limit of the requests tracked between ``Routed`` and ``Finished``.
MAX_PENDING = 16_384


@dataclass(slots=True, frozen=True)
class RouterLimits:
    """Limits and cost parameters of the router.

    :param max_probes: probes per request within the region, including one to a sampled endpoint.
    :param remote_probes: additional probes in the other region.
    :param missed_block_weight: factor of the time to recompute the blocks that an engine does not
        have. The product is added to the expected time to first token, which already includes the
        latency in this request, and accounts for the effect on others: recomputing delays other
        requests, and each additional copy of a block, recomputed or imported, evicts another block.
    :param busy_missed_block_weight: additional weight in a busy region, where lost capacity costs
        more.
    :param non_preferred_cost_s: cost of a local endpoint that is not a preferred one, in seconds;
        later requests with the same prefix usually do not probe it, so they do not use the blocks
        that it caches.
    :param remote_wait_threshold_s: the other region is probed if the moving average of the shortest
        wait at the probed local endpoints exceeds this, in seconds.
    :param remote_gain_factor: the other region is also probed if the weighted time to recompute the
        whole prompt exceeds this many times the time to send it there over an idle link.
    :param remote_round_trip_s: round-trip time to the other region.
    :param bytes_per_token: prompt bytes sent over the link, per token.
    :param link_bytes_per_s: transfer rate of the link for requests.
    """

    max_probes: int = 4
    remote_probes: int = 3
    missed_block_weight: float = 1.0
    busy_missed_block_weight: float = 2.0
    non_preferred_cost_s: float = 1.0
    remote_wait_threshold_s: float = 0.1
    remote_gain_factor: float = 3.0
    remote_round_trip_s: float = 0.06
    bytes_per_token: float = 4.0
    link_bytes_per_s: float = 500_000.0


def level_positions(length: int) -> list[int]:
    """Return the chain positions that are used as placement levels, deepest first.

    Levels end after a power-of-two number of blocks. Any shared prefix of n blocks thus contains a
    level of more than n/2 blocks, wherever it ends. There is no extra level at the last block,
    because in most prompts it is unique to one request.
    """
    return [(1 << power) - 1 for power in reversed(range(length.bit_length()))]


class PrefixRouter:
    """Candidate endpoints for a request, and the choice among those that replied to a probe.

    An entry has one router per model, because the placement is computed for one list of endpoints.

    :param region: region of this entry.
    :param regions: region of each endpoint; an endpoint without one counts as local.
    :param link: budget of the link to the other region, charged for requests that cross it. The
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
        self.hot = HotPrefixes(ENDPOINTS_PER_SLOT)
        self.load = RegionLoad()
        self.pending: OrderedDict[str, Routed] = OrderedDict()
        self.link_free_at = 0.0
        self.local_endpoints: list[str] = []
        self.rotation = 0

    def candidates(self, chain: Sequence[bytes], endpoints: Sequence[str], now: float) -> list[str]:
        """Return the endpoints to probe, best first.

        :param endpoints: endpoints that serve the model; pass the same object while it is
            unchanged, because the comparison is by identity.
        """
        if endpoints is not self.endpoints:
            self._update_endpoints(endpoints)
        found = self._preferred_endpoints(chain)
        sample = self._sample()
        if not chain:
            # A prompt without a full block has no hash that could select endpoints; a fixed key
            # would send the probes of all short prompts to the same few endpoints.
            found = self.local.top(self._rotation_key(), self.limits.max_probes)
        elif sample and sample not in found:
            found.append(sample)
        if self.remote.known and (not found or self._is_remote_useful(len(chain))):
            key = self._deepest_level(chain) if chain else self._rotation_key()
            found += self.remote.top(key, self.limits.remote_probes)
        return found

    def _update_endpoints(self, endpoints: Sequence[str]) -> None:
        self.endpoints = endpoints
        self.local_endpoints = [name for name in endpoints if self._is_local(name)]
        self.local.update(self.local_endpoints)
        self.remote.update([name for name in endpoints if not self._is_local(name)])
        self.costs.retain(frozenset(endpoints))

    def _is_local(self, endpoint: str) -> bool:
        return self.regions.get(endpoint, self.region) == self.region

    def _sample(self) -> str:
        """Return the next local endpoint in rotation, regardless of its cache.

        Its reply shows the load of the region, which the preferred endpoints of a hot prefix do
        not, and it can accept the request when they are overloaded.
        """
        self.rotation += 1
        return (
            self.local_endpoints[self.rotation % len(self.local_endpoints)]
            if self.local_endpoints
            else ""
        )

    def _rotation_key(self) -> bytes:
        return (self.rotation % 2**32).to_bytes(4, "big")

    def _is_remote_useful(self, blocks: int) -> bool:
        if self.load.local_wait_s > self.limits.remote_wait_threshold_s:
            return True
        recompute_s = (1 + self._missed_block_weight()) * blocks * self.load.block_s
        # An infinite time leaves out the wait for the link.
        transfer_s = self._transfer_s(blocks * self.load.block_tokens, float("inf"))
        return recompute_s > self.limits.remote_gain_factor * transfer_s

    def _missed_block_weight(self) -> float:
        return (
            self.limits.missed_block_weight
            + self.limits.busy_missed_block_weight * self.load.busy_fraction()
        )

    def _deepest_level(self, chain: Sequence[bytes]) -> bytes:
        return chain[level_positions(len(chain))[0]]

    def _preferred_endpoints(self, chain: Sequence[bytes]) -> list[str]:
        """Return one endpoint per level, followed by further ones of the deepest level."""
        # One probe is for the sampled endpoint.
        count = self.limits.max_probes - 1
        found: dict[str, None] = {}
        if not chain or not self.local.known:
            return []
        # Requests that differ in their last block are spread over the engines of a hot prefix.
        spread_hash = int.from_bytes(chain[-1][-4:], "big")
        for position in level_positions(len(chain)):
            value = chain[position]
            found[self.local.nth(value, spread_hash % self.hot.width(value))] = None
        for endpoint in self.local.top(self._deepest_level(chain), count):
            found[endpoint] = None
        return list(found)[:count]

    def choose(
        self, chain: Sequence[bytes], prompt_tokens: int, replies: Sequence[ProbeReply], now: float
    ) -> Choice | None:
        """Return the endpoint with the lowest cost.

        The cost is the expected time to first token plus penalties for missed blocks and for an
        endpoint that is not preferred.

        :param replies: replies to the probes, in the order of the candidates.
        :returns: None if no endpoint accepts new requests.
        """
        accepting = [reply for reply in replies if reply.accepting]
        if not accepting:
            return None
        block_tokens = prompt_tokens / max(1, len(chain))
        preferred = self._preferred_endpoints(chain)
        self._observe(chain, block_tokens, preferred, accepting, now)
        weight = self._missed_block_weight()
        best: Choice | None = None
        lowest = float("inf")
        for reply in accepting:
            choice = self._build_choice(chain, prompt_tokens, reply, accepting, now)
            missed = len(chain) - choice.matched_blocks
            missed_prefill_s = missed * block_tokens * reply.prefill_us_per_token / 1e6
            cost = choice.expected_s + weight * missed_prefill_s
            if preferred and self._is_local(reply.endpoint) and reply.endpoint not in preferred:
                cost += self.limits.non_preferred_cost_s
            if cost < lowest:
                best, lowest = choice, cost
        return best

    def _observe(
        self,
        chain: Sequence[bytes],
        block_tokens: float,
        preferred: Sequence[str],
        replies: Sequence[ProbeReply],
        now: float,
    ) -> None:
        """Update the load of the region and the widths of the prompt's prefixes."""
        local = [reply for reply in replies if self._is_local(reply.endpoint)]
        if chain:
            self.load.observe_block(block_tokens, replies[0].prefill_us_per_token)
        excess_s = self.load.observe_waits(
            [reply.wait_ms / 1e3 for reply in local if reply.endpoint in preferred],
            [reply.wait_ms / 1e3 for reply in local if reply.endpoint not in preferred],
        )
        for position in level_positions(len(chain)):
            self.hot.record(chain[position], excess_s, now)

    def _build_choice(
        self,
        chain: Sequence[bytes],
        prompt_tokens: int,
        reply: ProbeReply,
        replies: Sequence[ProbeReply],
        now: float,
    ) -> Choice:
        reported = min(reply.matched_blocks, len(chain))
        matched = self.recent.extend(chain, reply.endpoint, reported, now)
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
        """Record a request that was sent or that ended; the list of actions is always empty."""
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
