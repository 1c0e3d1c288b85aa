"""Tests of the profiles and the generated workload of the load tool."""

from collections import Counter
from pathlib import Path

import msgspec
import pytest

from teaselpath.cli._load_profile import (
    ClassLoad,
    PrefixLevel,
    Profile,
    Surge,
    Workload,
    WorkspaceLoad,
    check_profile,
)

EXAMPLES = Path(__file__).parents[3] / "examples"


def profile(**changes):
    values = {
        "name": "test",
        "model": "m",
        "workspaces": [WorkspaceLoad(id="a", rate=50.0)],
        "classes": [ClassLoad(id="ask", prefix_depth=2)],
        "prefixes": [PrefixLevel(fan_out=2, tokens=4), PrefixLevel(fan_out=3, tokens=2, zipf=2.0)],
    }
    return Profile(**{**values, **changes})


@pytest.mark.parametrize("name", ["benches", "shredding"])
def test_examples_are_valid(name):
    """Guards against an example profile that the tool rejects."""
    found = check_profile((EXAMPLES / f"profile-{name}.json").read_bytes())
    assert isinstance(found, Profile), found
    times = [c.at_s for c in Workload(found, 1).calls(20.0)]
    assert times == sorted(times)
    assert len(times) > 100


@pytest.mark.parametrize(
    "changes",
    [
        {"classes": [ClassLoad(id="ask", prefix_depth=3)]},
        {"classes": [ClassLoad(id="ask", kind="chatt")]},
        {"workspaces": [WorkspaceLoad(id="a", rate=1.0, classes={"unknown": 1.0})]},
    ],
)
def test_invalid_profile_is_rejected(changes):
    """Guards against an invalid profile that only fails during the run."""
    assert isinstance(check_profile(msgspec.json.encode(profile(**changes))), str)


def test_same_seed_gives_the_same_calls():
    """Guards against runs that are not reproducible."""
    first, second = (list(Workload(profile(), 7).calls(5.0)) for _ in range(2))
    assert first == second
    assert first != list(Workload(profile(), 8).calls(5.0))


def test_surge_multiplies_the_rate():
    """Guards against a surge outside its period or with another factor."""
    load = WorkspaceLoad(id="a", rate=50.0, surges=[Surge(from_s=20.0, to_s=40.0, factor=5.0)])
    calls = Workload(profile(workspaces=[load]), 1).calls(40.0)
    counts = Counter(call.at_s >= 20.0 for call in calls)
    assert counts[False] == pytest.approx(1000, rel=0.15)
    assert counts[True] == pytest.approx(5000, rel=0.15)


def prefix_of(call):
    assert call.body is not None
    return call.body["messages"][0]["content"]


def test_prefixes_form_a_skewed_tree():
    """Guards against prefixes that are not shared, or all equally popular."""
    calls = Workload(profile(), 1).calls(40.0)
    texts = Counter(prefix_of(call) for call in calls)
    assert len(texts) == 6
    assert len({text[:16] for text in texts}) == 2
    assert texts.most_common()[0][1] > 4 * texts.most_common()[-1][1]


def test_popular_prefixes_shift():
    """Guards against a most popular prefix that never changes."""
    calls = list(Workload(profile(shift_s=20.0), 1).calls(200.0))
    most_popular = set()
    for start in range(0, 200, 20):
        window = [c for c in calls if start <= c.at_s < start + 20]
        texts = Counter(prefix_of(c) for c in window)
        most_popular.add(texts.most_common(1)[0][0])
    assert len(most_popular) > 1


def test_idempotency_keys_are_unique():
    """Guards against two calls with the same key."""
    load_class = ClassLoad(
        id="pay", kind="service", method="POST", path="/payments", idempotency_key=True
    )
    calls = list(Workload(profile(classes=[load_class]), 1).calls(10.0))
    keys = {call.headers["Idempotency-Key"] for call in calls}
    assert len(keys) == len(calls)
