"""Answers in a rollout of software: those of this gateway, and those that the others report.

Counts are cumulative since a gateway learnt of the rollout. A lost message is made up for by the
next one, and a gateway that starts in the middle gets what the others have counted.
"""

from teaselpath.rollout._judge import OLD_VERSION, Answers, VersionJudge
from teaselpath.rollout._messages import AnswerCounts, TimeCounts
from teaselpath.rollout._times import UsualTimes, bin_of

Counts = dict[tuple[int, str], list[int]]
Times = dict[tuple[str, int], dict[int, int]]


class RolloutEvidence:
    """Evidence on the target of one rollout, at one gateway.

    :ivar own: answers of this gateway by engine and route: all, failed, slow.
    :ivar own_times: its times of the old version by route and size.
    :ivar own_ended: engines of the target that ended while they ran its requests.
    :ivar seen: what was last reported by each source, with ``own`` as that of this gateway.
    """

    def __init__(self) -> None:
        self.judge = VersionJudge()
        self.times = UsualTimes()
        self.own: Counts = {}
        self.own_times: Times = {}
        self.own_ended: set[int] = set()
        self.seen: dict[object, tuple[Counts, Times]] = {}

    def record(
        self, engine: int, route: str, *, answered: int = 0, failed: int = 0, slow: int = 0
    ) -> None:
        """Count answers of this gateway; for ``engine``, see ``AnswerCounts``."""
        counts = self.own.setdefault((engine, route), [0, 0, 0])
        counts[0] += answered
        counts[1] += failed
        counts[2] += slow

    def record_time(self, route: str, size: int, time_s: float) -> None:
        """Count the time of an answer of the old version, in seconds."""
        bins = self.own_times.setdefault((route, size), {})
        number = bin_of(time_s)
        bins[number] = bins.get(number, 0) + 1

    def describe(self) -> tuple[list[str], list[AnswerCounts], list[TimeCounts]]:
        """Return the names of routes, and this gateway's counts and times by them."""
        names = sorted({r for _, r in self.own} | {r for r, _ in self.own_times})
        places = {name: place for place, name in enumerate(names)}
        counts = [AnswerCounts(e, places[r], *c) for (e, r), c in self.own.items()]
        times = [TimeCounts(places[r], size, bins) for (r, size), bins in self.own_times.items()]
        return names, counts, times

    def apply_own(self, now: float, *, has_several_engines: bool) -> None:
        """Judge what this gateway has counted since the last time."""
        ended = list(self.own_ended)
        self._apply(
            None, self.own, self.own_times, ended, now, has_several_engines=has_several_engines
        )

    def apply(
        self,
        source: object,
        routes: list[str],
        counts: list[AnswerCounts],
        times: list[TimeCounts],
        ended: list[int],
        now: float,
        *,
        has_several_engines: bool,
    ) -> None:
        """Judge what another gateway has counted since its last report.

        :param source: key of this start of the gateway.
        """
        listed = len(routes)
        self._apply(
            source,
            {(c.engine, routes[c.route]): [c.answered, c.failed, c.slow] for c in counts
             if 0 <= c.route < listed},
            {(routes[t.route], t.size): t.bins for t in times if 0 <= t.route < listed},
            ended,
            now,
            has_several_engines=has_several_engines,
        )  # fmt: skip

    def _apply(
        self,
        source: object,
        counts: Counts,
        times: Times,
        ended: list[int],
        now: float,
        *,
        has_several_engines: bool,
    ) -> None:
        before, times_before = self.seen.get(source, ({}, {}))
        for (route, size), bins in times.items():
            known = times_before.get((route, size), {})
            for number, count in bins.items():
                if count > known.get(number, 0):
                    self.times.observe(route, size, number, count - known.get(number, 0), now)
        # The old version first: what troubles both must not tell against the new one.
        for (engine, route), total in sorted(counts.items()):
            known_total = before.get((engine, route), [0, 0, 0])
            answered, failed, slow = (
                max(0, new - old) for new, old in zip(total, known_total, strict=True)
            )
            if not answered and not failed and not slow:
                continue
            answers = Answers(engine, route, answered, failed, slow)
            if engine == OLD_VERSION:
                self.judge.observe_old(answers, now)
            else:
                self.judge.observe(answers, now, has_several_engines=has_several_engines)
        for engine in ended:
            self.judge.observe_end(engine, now, has_several_engines=has_several_engines)
        self.seen[source] = (
            {key: list(total) for key, total in counts.items()},
            {key: dict(bins) for key, bins in times.items()},
        )
