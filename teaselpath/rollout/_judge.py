"""Judgement on a new version of a service's software, by its answers beside those of the old one.

Per route, and over all routes, two sequential tests compare the part of failed and of slow answers
of the new version with that of the old version over the same seconds. Each is the cumulative sum of
E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954): the sum of log likelihood ratios
of a bad version against a good one, restarted at zero. Between two restarts it is A. Wald's
sequential probability ratio test (Ann. Math. Stat. 16, 1945), so that a good version reaches the
threshold ``log(1 / FALSE_ALARM_RATE)`` from a restart with at most ``FALSE_ALARM_RATE``. A sum
leaves zero only with a bad answer; a thousand bad answers of a good version therefore convict it
with a probability of at most 1 %. A version counts as good once the sum over all routes, without
restarts, falls below ``log(MISSED_RATE)``.

One engine alone cannot convict a version that runs on several: the sums without the answers of any
one engine must have reached a threshold of their own.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# Rate at which an excursion of the sum of a good version convicts it.
FALSE_ALARM_RATE = 1e-5
CONVICTION = math.log(1 / FALSE_ALARM_RATE)
# The same for the sum without the engine that contributes most.
OTHERS_RATE = 1e-2
OTHERS_CONVICTION = math.log(1 / OTHERS_RATE)
# Rate at which an excursion of the sum of a good version delays its rollout.
SUSPICION = math.log(1 / 0.05)
# Rate at which a bad version counts as good.
MISSED_RATE = 1e-2
ACCEPTANCE = math.log(MISSED_RATE)
# Fraction of bad answers by which a bad version exceeds the old one.
EXCESS = 0.18
# Bounds of the assumed fraction of bad answers of a good version.
MIN_BAD_FRACTION = 0.02
MAX_BAD_FRACTION = 0.6
# The same, at least, while no old engine answers requests that could be compared.
ALONE_BAD_FRACTION = 0.06
# Answers of the old version, at the least fraction, by which a few answers are weighed.
PRIOR_ANSWERS = 20
# Answers of the old version of the same seconds from which they can be compared.
MIN_COMPARED = 20
# Answers of a route that show whether it is bad.
MIN_ROUTE_ANSWERS = 16
# Age up to which answers of the old version are of the same seconds, and of the newest of them, in
# seconds. Trouble that has just begun shows in the latter.
WINDOW_S = 3.0
NEWEST_S = 0.8
ALL_ROUTES = ""
OLD_VERSION = 0
# Kinds of bad answers: their places in a total.
FAILED = 1
SLOW = 2


@dataclass(slots=True)
class Sum:
    """Cumulative sum of one route and kind of bad answer.

    :ivar value: sum over all engines.
    :ivar without: sum without the answers of each engine.
    :ivar bad: bad answers since the sum was zero, and all answers since then.
    """

    value: float = 0.0
    without: dict[int, float] = field(default_factory=dict)
    bad: int = 0
    answered: int = 0

    def add(self, engine: int, increase: float, bad: int, answered: int) -> None:
        """Add answers of an engine."""
        self.without.setdefault(engine, self.value)
        for other, value in self.without.items():
            if other != engine:
                self.without[other] = max(0.0, value + increase)
        self.value = max(0.0, self.value + increase)
        self.bad, self.answered = self.bad + bad, self.answered + answered
        if not self.value:
            self.bad = self.answered = 0

    def convicts(self, *, has_several_engines: bool) -> bool:
        """Return whether the answers show a bad version."""
        if self.value < CONVICTION:
            return False
        return not has_several_engines or min(self.without.values()) >= OTHERS_CONVICTION


@dataclass(slots=True, frozen=True)
class Answers:
    """Answers of one engine on one route.

    :param engine: ``Endpoint.number``; ``OLD_VERSION`` for all engines of the old version.
    :param failed: answers that failed.
    :param slow: answers that came several times later than usual.
    """

    engine: int
    route: str
    answered: int
    failed: int
    slow: int


class _Window:
    """Answers of the old version in the last seconds, summed up by route."""

    __slots__ = ("duration_s", "seen", "totals")

    def __init__(self, duration_s: float):
        self.duration_s = duration_s
        self.seen: deque[tuple[float, Answers]] = deque()
        self.totals: dict[str, list[int]] = {}

    def add(self, answers: Answers, now: float) -> None:
        """Add answers."""
        self.seen.append((now, answers))
        self._count(answers, 1)

    def of(self, route: str, now: float) -> list[int]:
        """Return the answers on a route, and the failed and slow ones of them."""
        while self.seen and self.seen[0][0] < now - self.duration_s:
            self._count(self.seen.popleft()[1], -1)
        return self.totals.get(route, [0, 0, 0])

    def _count(self, answers: Answers, sign: int) -> None:
        for route in {answers.route, ALL_ROUTES}:
            total = self.totals.setdefault(route, [0, 0, 0])
            total[0] += sign * answers.answered
            total[1] += sign * answers.failed
            total[2] += sign * answers.slow


class VersionJudge:
    """Judges one version by the answers that all gateways report.

    Times are in seconds.

    :ivar windows: answers of the old version, longest window first.
    :ivar evidence: log likelihood ratio of a bad version, over all routes.
    :ivar answered: answers of the version.
    :ivar by_route: the same by route.
    :ivar old_by_route: answers of the old version by route.
    :ivar bad: bad ones of them.
    :ivar reason: why the version is bad; empty while it is not shown.
    """

    def __init__(self) -> None:
        self.windows = [_Window(WINDOW_S), _Window(NEWEST_S)]
        self.sums: dict[tuple[str, int], Sum] = {}
        self.ended: set[int] = set()
        self.evidence = 0.0
        self.by_route: dict[str, int] = {}
        self.old_by_route: dict[str, int] = {}
        self.answered = 0
        self.bad = 0
        self.reason = ""

    @property
    def is_accepted(self) -> bool:
        """Return whether the answers so far show a good version."""
        return self.evidence <= ACCEPTANCE

    @property
    def is_suspect(self) -> bool:
        """Return whether the newest bad answers may be those of a bad version."""
        return any(found.value >= SUSPICION for found in self.sums.values())

    @property
    def has_unproven_route(self) -> bool:
        """Return whether a route that the old version serves has too few answers of this one."""
        return any(
            answered >= MIN_COMPARED and self.by_route.get(route, 0) < MIN_ROUTE_ANSWERS
            for route, answered in self.old_by_route.items()
        )

    def observe_old(self, answers: Answers, now: float) -> None:
        """Record answers of the old version."""
        before = self.old_by_route.get(answers.route, 0)
        self.old_by_route[answers.route] = before + answers.answered
        for window in self.windows:
            window.add(answers, now)

    def observe_end(self, engine: int, now: float, *, has_several_engines: bool) -> None:
        """Record that an engine of the version has ended: one bad answer, however many it ran."""
        if engine not in self.ended:
            self.ended.add(engine)
            end = Answers(engine, ALL_ROUTES, 1, 1, 0)
            self.observe(end, now, has_several_engines=has_several_engines)

    def observe(self, answers: Answers, now: float, *, has_several_engines: bool) -> None:
        """Record answers of the version.

        :param has_several_engines: whether several engines of the version are listed.
        """
        bad = min(answers.answered, answers.failed + answers.slow)
        self.answered += answers.answered
        self.by_route[answers.route] = self.by_route.get(answers.route, 0) + answers.answered
        self.bad += bad
        for kind, count in ((FAILED, answers.failed), (SLOW, answers.slow)):
            for route in {answers.route, ALL_ROUTES}:
                expected = self.expected_fraction(route, kind, now)
                increase = _log_ratio(expected, count, answers.answered)
                found = self.sums.setdefault((route, kind), Sum())
                found.add(answers.engine, increase, count, answers.answered)
                if not self.reason and found.convicts(has_several_engines=has_several_engines):
                    self.reason = _describe(route, kind, found, expected)
        expected = max(self.expected_fraction(ALL_ROUTES, k, now) for k in (FAILED, SLOW))
        self.evidence += _log_ratio(expected, bad, answers.answered)

    def expected_fraction(self, route: str, kind: int, now: float) -> float:
        """Return the fraction of bad answers to expect of a good version in these seconds.

        :param kind: ``FAILED`` or ``SLOW``.
        """
        if self.windows[0].of(route, now)[0] < MIN_COMPARED:
            route = ALL_ROUTES
        if self.windows[0].of(route, now)[0] < MIN_COMPARED:
            return ALONE_BAD_FRACTION
        return max(_fraction(window.of(route, now), kind) for window in self.windows)


def _describe(route: str, kind: int, found: Sum, expected: float) -> str:
    place = f"route {route}" if route != ALL_ROUTES else "all routes"
    name = "failed" if kind == FAILED else "slow"
    return (
        f"{found.bad} of {found.answered} answers {name} on {place}, "
        f"expected {expected:.0%}; sum {found.value:.1f} of {CONVICTION:.1f}"
    )


def _fraction(total: list[int], kind: int) -> float:
    """Return the fraction of bad answers, weighed by that of a version without trouble."""
    bad = total[kind] + MIN_BAD_FRACTION * PRIOR_ANSWERS
    return min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, bad / (total[0] + PRIOR_ANSWERS)))


def _log_ratio(expected: float, bad: int, answered: int) -> float:
    """Return the log likelihood ratio of answers, of a bad version against a good one."""
    worse = expected + EXCESS
    good = max(0, answered - bad)
    return bad * math.log(worse / expected) + good * math.log((1 - worse) / (1 - expected))
