"""Fair shares of contended room: the order in which workspaces' waiting requests are served.

Answers more work than the endpoints can do in time, of which one workspace asks for several times
its usual. Start-time fair queueing as in ``teaselpath.scheduling``, over what all gateways have
served: the charges of the others come with their counters. A workspace's weight is its rate, by
which the configuration tells how large it is.
"""

import math
from collections.abc import Iterable, Mapping

from teaselpath.scheduling import FlowTags

# Time over which use counts, in seconds: the time constant of its decay.
USE_WINDOW_S = 4.0
# Fraction of the mean use below which a workspace does not count as active.
MIN_ACTIVE_FRACTION = 0.01


class _Flow(FlowTags):
    """A workspace.

    :ivar use: tokens served in the last seconds, decayed to ``used_at``.
    :ivar waiting: number of its requests that wait here.
    """

    __slots__ = ("use", "used_at", "waiting")

    def __init__(self, weight: float, now: float) -> None:
        super().__init__(weight)
        self.use = 0.0
        self.used_at = now
        self.waiting = 0

    def recent_use(self, now: float) -> float:
        """Return the tokens that it was served lately, older ones for less."""
        return self.use * math.exp(-max(0.0, now - self.used_at) / USE_WINDOW_S)

    def add_use(self, tokens: float, now: float) -> None:
        self.use = max(0.0, self.recent_use(now) + tokens)
        self.used_at = now


class FairOrder:
    """Virtual-time tags of all workspaces at one gateway.

    A workspace may fall behind by at most one fair part of the use of the last seconds, so that it
    is served again once the others have had theirs.

    :ivar virtual_time: start tag of the request that was served last.
    """

    def __init__(self) -> None:
        self.weights: Mapping[str, float] = {}
        self.flows: dict[str, _Flow] = {}
        self.virtual_time = 0.0

    def set_weights(self, rates: Mapping[str, float]) -> None:
        """Set the weights from the rates of all workspaces; without a rate, the mean counts."""
        limited = [rate for rate in rates.values() if rate > 0]
        mean = sum(limited) / len(limited) if limited else 1.0
        self.weights = {name: rate / mean if rate > 0 else 1.0 for name, rate in rates.items()}
        for name, flow in self.flows.items():
            flow.weight = self.weights.get(name, 1.0)

    def add_waiting(self, workspace: str, now: float) -> None:
        """Record that a request of a workspace waits."""
        flow = self._flow(workspace, now)
        if not flow.waiting:
            flow.activate(self.virtual_time)
        flow.waiting += 1

    def remove_waiting(self, workspace: str) -> None:
        """Record that a request waits no longer."""
        flow = self.flows.get(workspace)
        if flow is not None:
            flow.waiting = max(0, flow.waiting - 1)

    def record_placed(self, workspace: str, tokens: float, now: float) -> None:
        """Charge a request that this gateway has placed."""
        flow = self._flow(workspace, now)
        if not flow.waiting:
            flow.activate(self.virtual_time)
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.charge(tokens)
        flow.add_use(tokens, now)

    def record_withdrawn(self, workspace: str, tokens: float, now: float) -> None:
        """Give back what ``record_placed`` has charged for a request that was not sent."""
        flow = self.flows.get(workspace)
        if flow is not None:
            flow.correct(-tokens)
            flow.add_use(-tokens, now)

    def record_others(self, used: Mapping[str, float], now: float) -> None:
        """Charge what another gateway has charged since its last message, by workspace."""
        for workspace, tokens in used.items():
            if tokens:
                flow = self._flow(workspace, now)
                flow.correct(tokens)
                flow.add_use(tokens, now)

    def start_tags(self, waiting: Iterable[tuple[str, float]], now: float) -> list[float]:
        """Return the start tag of each waiting request.

        :param waiting: workspace and tokens of each, those of a workspace in their order.
        """
        self._limit_lead(now)
        next_tags: dict[str, float] = {}
        tags = []
        for workspace, tokens in waiting:
            flow = self._flow(workspace, now)
            if workspace not in next_tags:
                is_idle = not flow.waiting
                start = max(self.virtual_time, flow.finish_tag) if is_idle else flow.start_tag
                next_tags[workspace] = start
            tags.append(next_tags[workspace])
            next_tags[workspace] += tokens / flow.weight
        return tags

    def excess_of(self, workspace: str, now: float) -> float:
        """Return how far a workspace is above its fair share of the last seconds' use.

        0 is at or below it, 1 at twice the share. Shares are by weight, among the workspaces that
        were served or wait; what those below their share leave counts for no one.
        """
        flow = self.flows.get(workspace)
        return _excess(flow, self._fair_use(now), now) if flow is not None else 0.0

    def excesses(self, now: float) -> dict[str, float]:
        """Return how far each workspace is above its fair share."""
        fair_use = self._fair_use(now)
        return {name: _excess(flow, fair_use, now) for name, flow in self.flows.items()}

    def _fair_use(self, now: float) -> float:
        """Return the use of the last seconds per weight of the active workspaces."""
        uses = {name: flow.recent_use(now) for name, flow in self.flows.items()}
        total = sum(uses.values())
        least = MIN_ACTIVE_FRACTION * total / max(1, len(uses))
        active = [f.weight for n, f in self.flows.items() if f.waiting or uses[n] > least]
        return total / sum(active) if active else 0.0

    def _limit_lead(self, now: float) -> None:
        latest = self.virtual_time + self._fair_use(now)
        for flow in self.flows.values():
            flow.finish_tag = min(flow.finish_tag, latest)
            flow.start_tag = min(flow.start_tag, latest)

    def _flow(self, workspace: str, now: float) -> _Flow:
        flow = self.flows.get(workspace)
        if flow is None:
            flow = self.flows[workspace] = _Flow(self.weights.get(workspace, 1.0), now)
            flow.activate(self.virtual_time)
        return flow


def _excess(flow: _Flow, fair_use: float, now: float) -> float:
    use = flow.recent_use(now) / flow.weight
    return max(0.0, use / fair_use - 1.0) if fair_use > 0.0 else 0.0
