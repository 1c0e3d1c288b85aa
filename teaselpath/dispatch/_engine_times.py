"""Times that one model engine needs for its work, learned from its answers.

Engines of one service differ in speed for good, and share their machines with others that slow
them down for some hundred milliseconds. The long-term speed is learned from first events; the pace
of the moment is what the engine states, as far as such statements have agreed with measured times.

An engine of which nothing is learned has the typical times of its service. Where learning is off,
all engines have the assumed speed.
"""

import math
from dataclasses import dataclass

# Assumed prefill speed of an engine, in tokens per second.
PREFILL_TOKENS_PER_S = 40_000.0
# Assumed time to the first event of a prompt without tokens to prefill, in seconds.
ASSUMED_FIXED_S = 0.02
# Assumed time for which a request occupies a slot of its engine, in seconds.
ASSUMED_SLOT_S = 0.5
# Assumed pause between two events of an answer, in seconds.
ASSUMED_STEP_S = 0.01
# Tokens of an answer up to which the time that they take counts in the choice of an engine.
MAX_DECODED_TOKENS = 16
# Largest step towards one observation, as a logarithm: answers that were preempted, or whose parts
# were not cached as expected, are off by any factor.
MAX_LOG_STEP = 0.4
# Weight below which observations may take larger steps, as the assumed time may be far off.
START_WEIGHT = 6.0
# Observations after which an estimate gives a new one the smallest weight, so that it still
# follows a change.
MAX_WEIGHT = 12.0
# Weight of the typical times of a service beside what is learned of one engine, in observations.
SERVICE_WEIGHT = 1.0
# Weight of an observation of a request that had to wait for a slot, whose wait is only estimated.
QUEUED_WEIGHT = 0.1
# Half-life of what other gateways have stated, in seconds.
PEER_HALF_LIFE_S = 10.0
# Share of a peer's statement in what is known from all of them.
PEER_GAIN = 0.2
# Longest times that a peer can state, in seconds: no engine takes as long to prefill a token, or
# for the fixed part.
MAX_STATED_PREFILL_S = 0.01
MAX_STATED_FIXED_S = 60.0
# Interval at which the combined estimates are refreshed, in seconds.
REFRESH_S = 0.05
# Time constant with which a stated pace loses its effect, in seconds.
PACE_LIFE_S = 0.3
# Bounds of the effect of a stated pace.
MIN_PACE, MAX_PACE = 0.5, 3.0
# Smallest deviation of a stated pace, as a logarithm, of which an answer shows whether it is true.
MIN_CHECKED_LOG_PACE = 0.15
# Share of one answer in the trust in stated paces.
TRUST_GAIN = 0.1


class Estimate:
    """Typical value of a time, from observations with outliers.

    :ivar log_value: its logarithm, which moves towards each observation by a bounded step.
    :ivar weight: weight of the observations so far, up to ``MAX_WEIGHT``.
    """

    __slots__ = ("log_value", "weight")

    def __init__(self, value_s: float) -> None:
        self.log_value = math.log(value_s)
        self.weight = 0.0

    def add(self, observed_s: float, weight: float = 1.0) -> None:
        """Add an observation."""
        error = math.log(max(1e-9, observed_s)) - self.log_value
        self.weight = min(MAX_WEIGHT, self.weight + weight)
        bound = MAX_LOG_STEP * max(1.0, START_WEIGHT / self.weight)
        step = min(bound, max(-bound, error))
        self.log_value += step * min(1.0, weight / self.weight)

    @property
    def value_s(self) -> float:
        """Return the value, in seconds."""
        return math.exp(self.log_value)


class PeerEstimate:
    """Typical value of a time as other gateways have learned it; it ages.

    :ivar log_value: its logarithm.
    :ivar weight: weight of their statements at ``stated_at``; 0 if there is none.
    """

    __slots__ = ("log_value", "stated_at", "weight")

    def __init__(self) -> None:
        self.log_value = 0.0
        self.weight = 0.0
        self.stated_at = 0.0

    def add(self, value_s: float, weight: float, now: float) -> None:
        """Add the statement of a gateway with the weight of its own observations."""
        before = self.weight_at(now)
        gain = PEER_GAIN * min(1.0, weight / MAX_WEIGHT) if before else 1.0
        self.log_value += gain * (math.log(value_s) - self.log_value)
        self.weight = min(MAX_WEIGHT, max(before, weight))
        self.stated_at = now

    def weight_at(self, now: float) -> float:
        """Return the weight that the statements still have."""
        return self.weight * 0.5 ** ((now - self.stated_at) / PEER_HALF_LIFE_S)


class ServiceTimes:
    """Typical times of the engines of one service.

    :ivar is_learning: whether times are learned and used.
    :ivar prefill: time to prefill one token.
    :ivar fixed: time to the first event of a prompt without tokens to prefill.
    :ivar slot: time for which a request occupies a slot.
    :ivar step: pause between two events of an answer.
    """

    __slots__ = ("fixed", "is_learning", "prefill", "slot", "step")

    def __init__(self, *, is_learning: bool = False) -> None:
        self.is_learning = is_learning
        self.prefill = Estimate(1.0 / PREFILL_TOKENS_PER_S)
        self.fixed = Estimate(ASSUMED_FIXED_S)
        self.slot = Estimate(ASSUMED_SLOT_S)
        self.step = Estimate(ASSUMED_STEP_S)


@dataclass(slots=True, frozen=True)
class ExpectedTimes:
    """Expected times of a request at one engine, in seconds, and penalties that are no times.

    :param network_s: round trip between gateway and engine.
    :param queue_s: wait for a slot.
    :param fixed_s: time to the first event apart from the others.
    :param batch_s: slow-down by the requests that the engine runs.
    :param ahead_s: prefill of the prompts that are ahead of this one.
    :param prefill_s: prefill of its uncached tokens.
    :param fetch_s: fetch of cached parts from another engine or a store.
    :param decode_s: time from its first event to the end of its answer.
    :param penalty_s: costs that are no times of this request.
    """

    network_s: float = 0.0
    queue_s: float = 0.0
    fixed_s: float = 0.0
    batch_s: float = 0.0
    ahead_s: float = 0.0
    prefill_s: float = 0.0
    fetch_s: float = 0.0
    decode_s: float = 0.0
    penalty_s: float = 0.0

    @property
    def first_event_s(self) -> float:
        """Return the expected time to the first event."""
        return (
            self.network_s
            + self.queue_s
            + self.fixed_s
            + self.batch_s
            + self.ahead_s
            + self.prefill_s
            + self.fetch_s
        )

    @property
    def cost_s(self) -> float:
        """Return the cost by which engines are compared."""
        return self.first_event_s + self.decode_s + self.penalty_s


class EngineTimes:
    """Times of one start of an engine.

    :ivar service: typical times of its service.
    :ivar prefill: time to prefill one token, from this gateway's answers.
    :ivar fixed: the fixed part of the first event, likewise.
    :ivar slot: time for which a request occupies a slot, likewise.
    :ivar step: pause between two events, likewise.
    :ivar peer_prefill: the prefill time as other gateways have learned it.
    :ivar peer_fixed: the fixed part, likewise.
    :ivar pace: stated pace, as a multiple of the usual time; 1 if none is stated.
    :ivar pace_stated_at: time at which it was stated.
    :ivar pace_trust: share of a stated deviation that answers have shown, from 0 to 1.
    """

    __slots__ = (
        "fixed",
        "known_fixed_s",
        "known_prefill_s",
        "pace",
        "pace_stated_at",
        "pace_trust",
        "peer_fixed",
        "peer_prefill",
        "prefill",
        "refreshed_at",
        "service",
        "slot",
        "step",
    )

    def __init__(self, service: ServiceTimes | None = None) -> None:
        self.service = service or ServiceTimes()
        self.prefill = Estimate(self.service.prefill.value_s)
        self.fixed = Estimate(self.service.fixed.value_s)
        self.slot = Estimate(self.service.slot.value_s)
        self.step = Estimate(self.service.step.value_s)
        self.peer_prefill = PeerEstimate()
        self.peer_fixed = PeerEstimate()
        self.pace = 1.0
        self.pace_stated_at = float("-inf")
        self.pace_trust = 1.0
        self.refreshed_at = float("-inf")
        self.known_prefill_s = 1.0 / PREFILL_TOKENS_PER_S
        self.known_fixed_s = ASSUMED_FIXED_S

    @property
    def is_learning(self) -> bool:
        """Return whether times are learned and used."""
        return self.service.is_learning

    def s_per_token(self, now: float) -> float:
        """Return the expected time to prefill one token at this moment, in seconds."""
        if not self.service.is_learning:
            return 1.0 / PREFILL_TOKENS_PER_S
        self._refresh(now)
        return self.known_prefill_s * self.pace_effect(now)

    def slowness(self, now: float) -> float:
        """Return the factor on costs of recomputing tokens: their time over the assumed one, or 1.

        Recomputing takes time from all other requests, at fast engines, too.
        """
        return max(1.0, self.s_per_token(now) * PREFILL_TOKENS_PER_S)

    def tokens_in(self, duration_s: float, now: float) -> int:
        """Return the tokens that the engine prefills in a time."""
        if not self.service.is_learning:
            return int(duration_s * PREFILL_TOKENS_PER_S)
        return int(duration_s / self.s_per_token(now))

    def prefill_s(self, tokens: int, now: float) -> float:
        """Return the expected time to prefill tokens at this moment, in seconds."""
        return tokens * self.s_per_token(now)

    def fixed_s(self, now: float) -> float:
        """Return the time to the first event of a prompt without tokens to prefill, in seconds."""
        self._refresh(now)
        return self.known_fixed_s * self.pace_effect(now)

    def slot_s(self) -> float:
        """Return the time for which a request occupies a slot, in seconds."""
        known = self.slot if self.slot.weight else self.service.slot
        return known.value_s

    def decode_s(self, tokens: int) -> float:
        """Return the expected time from the first event of an answer to its end, in seconds.

        It is 0 where learning is off. Most answers are shorter than what their callers allow.
        """
        if not self.service.is_learning:
            return 0.0
        known = self.step if self.step.weight else self.service.step
        return min(tokens, MAX_DECODED_TOKENS) * known.value_s

    def pace_effect(self, now: float) -> float:
        """Return the factor of the moment on all times.

        A statement counts as far as earlier ones were true, and less with its age.
        """
        age_s = now - self.pace_stated_at
        if age_s > 5 * PACE_LIFE_S:
            return 1.0
        share = self.pace_trust * math.exp(-max(0.0, age_s) / PACE_LIFE_S)
        return min(MAX_PACE, max(MIN_PACE, self.pace)) ** share

    def record_pace(self, pace: float, now: float) -> None:
        """Record the pace that an answer states."""
        self.service.is_learning = True
        self.pace = pace
        self.pace_stated_at = now

    def record_first_event(
        self, expected: ExpectedTimes, uncached_tokens: int, elapsed_s: float, now: float
    ) -> None:
        """Learn from the time to the first event of a request.

        The larger part of the time, prefill or the rest, takes the difference from what was
        expected.

        :param expected: its times as expected when it was placed.
        :param elapsed_s: time since then.
        """
        if not self.service.is_learning:
            return
        self._refresh(now)
        others_s = expected.network_s + expected.queue_s + expected.batch_s + expected.fetch_s
        own_s = max(elapsed_s - others_s, 0.1 * elapsed_s)
        # Work ahead, in tokens, of which only this gateway's share is well known.
        ahead_tokens = expected.ahead_s * uncached_tokens / max(1e-9, expected.prefill_s)
        prefilled_s = (uncached_tokens + ahead_tokens) * self.known_prefill_s
        self._check_pace(own_s / (prefilled_s + self.known_fixed_s))
        own_s /= self.pace_effect(now)
        weight = uncached_tokens / max(1.0, uncached_tokens + ahead_tokens)
        if expected.queue_s > 0.0:
            weight *= QUEUED_WEIGHT
        if prefilled_s > self.known_fixed_s:
            tokens = max(1.0, uncached_tokens + ahead_tokens)
            observed_s = (own_s - self.known_fixed_s) / tokens
            self._add("prefill", observed_s, weight)
        else:
            self._add("fixed", own_s - prefilled_s, max(QUEUED_WEIGHT, weight))
        self.refreshed_at = float("-inf")

    def record_step(self, pause_s: float) -> None:
        """Learn from the pause between two events of an answer."""
        if self.service.is_learning:
            self._add("step", pause_s, 1.0)

    def record_slot_time(self, duration_s: float) -> None:
        """Learn from the time for which a request has occupied its slot."""
        if self.service.is_learning:
            self._add("slot", duration_s, 1.0)

    def statement(self) -> tuple[int, int, int] | None:
        """Return what this gateway has learned itself, for the others; None if it is nothing.

        It is the prefill time of a token in ns, the fixed part in 0.1 ms, each 0 if unknown, and
        the weight of the observations.
        """
        prefill, fixed = self.prefill, self.fixed
        weight = int(max(prefill.weight, fixed.weight))
        if not self.service.is_learning or weight < 1:
            return None
        return (
            round(prefill.value_s * 1e9) if prefill.weight >= 1.0 else 0,
            round(fixed.value_s * 1e4) if fixed.weight >= 1.0 else 0,
            weight,
        )

    def record_peer(self, statement: tuple[int, int, int], now: float) -> bool:
        """Record what another gateway has learned of this engine; return whether it is valid."""
        prefill_s, fixed_s, weight = statement[0] * 1e-9, statement[1] * 1e-4, statement[2]
        is_possible = 0 <= prefill_s <= MAX_STATED_PREFILL_S and 0 <= fixed_s <= MAX_STATED_FIXED_S
        if not is_possible or not 0 < weight <= MAX_WEIGHT:
            return False
        if prefill_s:
            self.peer_prefill.add(prefill_s, weight, now)
        if fixed_s:
            self.peer_fixed.add(fixed_s, weight, now)
        return True

    def _add(self, name: str, observed_s: float, weight: float) -> None:
        own: Estimate = getattr(self, name)
        typical: Estimate = getattr(self.service, name)
        if not own.weight:
            own.log_value = typical.log_value
        own.add(observed_s, weight)
        typical.add(observed_s, weight)

    def _check_pace(self, ratio: float) -> None:
        """Compare a stated pace with the measured one, and trust the next accordingly."""
        log_pace = math.log(min(MAX_PACE, max(MIN_PACE, self.pace)))
        if abs(log_pace) < MIN_CHECKED_LOG_PACE or ratio <= 0.0:
            return
        shown = min(1.5, max(-0.5, math.log(ratio) / log_pace))
        self.pace_trust += TRUST_GAIN * (shown - self.pace_trust)
        self.pace_trust = min(1.0, max(0.0, self.pace_trust))

    def _refresh(self, now: float) -> None:
        """Combine what is known from own answers, from peers and of the service."""
        if now - self.refreshed_at < REFRESH_S:
            return
        self.refreshed_at = now
        service = self.service
        self.known_prefill_s = _combine(self.prefill, service.prefill, self.peer_prefill, now)
        self.known_fixed_s = _combine(self.fixed, service.fixed, self.peer_fixed, now)


def _combine(own: Estimate, typical: Estimate, peers: PeerEstimate, now: float) -> float:
    peer_weight = peers.weight_at(now)
    total = own.weight + peer_weight + SERVICE_WEIGHT
    weighted = own.weight * own.log_value + peer_weight * peers.log_value
    return math.exp((weighted + SERVICE_WEIGHT * typical.log_value) / total)
