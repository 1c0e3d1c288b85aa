"""Judgement on a version: which answers convict it, and which trouble does not."""

from random import Random

import pytest

from teaselpath.rollout import Answers, Exposure, UsualTimes, VersionJudge, bin_of, size_of
from teaselpath.rollout._times import BINS, MIN_TIMES


def feed(judge: VersionJudge, engine: int, bad: int, answered: int, now: float, route="r") -> None:
    judge.observe(Answers(engine, route, answered, bad, 0), now, has_several_engines=True)


def test_failures_of_several_engines_convict():
    judge = VersionJudge()
    judge.observe_old(Answers(0, "r", 100, 1, 0), 0.0)
    for engine in (1, 2, 3, 1, 2, 3, 1, 2):
        feed(judge, engine, 1, 2, 0.0)
    assert "failed on route r" in judge.reason
    assert judge.bad < 10


def test_one_engine_alone_does_not_convict():
    """Guards against an engine that fails on its own, while its health check is good."""
    judge = VersionJudge()
    for number in range(200):
        feed(judge, 1, number % 2, 1, 0.0)
        feed(judge, 2, 0, 1, 0.0)
    assert not judge.reason


def test_the_only_engine_convicts():
    judge = VersionJudge()
    judge.observe(Answers(1, "r", 10, 10, 0), 0.0, has_several_engines=False)
    assert judge.reason


def test_an_engine_that_ends_counts_once():
    judge = VersionJudge()
    for _ in range(50):
        judge.observe_end(1, 0.0, has_several_engines=True)
    assert judge.bad == 1


def test_trouble_of_both_versions_does_not_convict():
    """Guards against garbled answers, a burst or a cut link that meet the old version as well."""
    random, judge = Random(1), VersionJudge()
    for number in range(400):
        now = number * 0.05
        bad = sum(random.random() < 0.3 for _ in range(20))
        judge.observe_old(Answers(0, "r", 20, bad, 0), now)
        feed(judge, number % 3 + 1, random.random() < 0.3, 1, now)
    assert not judge.reason


def test_good_answers_are_accepted_and_few_are_not():
    judge = VersionJudge()
    feed(judge, 1, 0, 10, 0.0)
    assert not judge.is_accepted
    feed(judge, 2, 0, 20, 0.0)
    assert judge.is_accepted


def test_cold_caches_are_compared_by_uncached_tokens():
    """A prompt that has to be read whole takes longer at any version."""
    times = UsualTimes()
    times.observe("r", size_of(1_000), bin_of(0.05), 20, 0.0)
    short, long = (times.limit_s("r", size_of(tokens), 0.0) for tokens in (1_000, 16_000))
    assert short is not None
    assert long is not None
    assert long > 8 * short
    assert times.limit_s("other", 0, 0.0) is None


@pytest.mark.parametrize("weights", [(1, 0), (9, 1), (50, 1)])
def test_exposure_keeps_its_fraction_whatever_the_routes(weights):
    """Guards against rare routes, and restarts, that add to what a gateway sends."""
    random, taken, requests = Random(3), 0, 0
    for _ in range(40):
        exposure = Exposure(random.random())
        for _ in range(250):
            requests += 1
            (route,) = random.choices(("a", "b"), weights)
            taken += exposure.take(route, 0.08)
    assert 0.05 * requests <= taken <= 0.085 * requests


@pytest.mark.parametrize("number", [BINS, 10**9, -1, -(10**9)])
def test_time_outside_the_bins_raises_nothing(number):
    """Another gateway may count in other bins; an error would end the task that judges."""
    times = UsualTimes()
    times.observe("r", 3, bin_of(0.1), 3 * MIN_TIMES, 1.0)
    times.observe("r", 3, number, 1, 1.0)
    limit_s = times.limit_s("r", 3, 1.0)
    assert limit_s is not None
    assert limit_s < 0.5
