"""Tests of the candidates, the choice, hot prefixes, imports and the link budget."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpath.prefix import (
    Finished,
    ImportSource,
    LinkBudget,
    PrefixRouter,
    Routed,
    _link,
    chain_hashes,
    plan_import,
)
from teaselpath.prefix._hints import HotPrefixes
from teaselpath.prefix._placement import Placement
from teaselpath.wire import ProbeReply

NAMES = [f"e{n}" for n in range(30)]


def chain_of(*parts: str) -> list[bytes]:
    """Return a chain with one block per character."""
    return chain_hashes("".join(parts).encode(), bytes(16), 1)


def preferred_endpoints(
    router: PrefixRouter, chain: list[bytes], names: tuple[str, ...]
) -> list[str]:
    """Return the candidates without the sampled endpoint, which may be added at the end."""
    found = router.candidates(chain, names, 0.0)
    assert len(found) <= 4
    return found[:3]


def reply(endpoint: str, matched: int = 0, wait_ms: float = 0.0, **fields) -> ProbeReply:
    values = {"accepting": True, "import_us_per_block": 0.0, **fields}
    return ProbeReply(
        0, endpoint, values["accepting"], matched, wait_ms, 20.0, "v", "1", 0, 0,
        import_us_per_block=values["import_us_per_block"],
    )  # fmt: skip


@given(st.text("abc", min_size=1, max_size=40), st.integers(1, 30), st.integers(0, 29))
def test_candidates_survive_restart_and_membership_change(text, count, gone) -> None:
    """Guards against placement lost on restart, unbounded probes, and moves of other prefixes."""
    chain, names = chain_of(text), tuple(NAMES[:count])
    router = PrefixRouter()
    before = preferred_endpoints(router, chain, names)
    assert before == preferred_endpoints(PrefixRouter(), chain, names[::-1])
    assert 1 <= len(set(before)) == len(before) <= 3
    rest = tuple(name for name in names if name != NAMES[gone])
    after = preferred_endpoints(router, chain, rest)
    assert after == preferred_endpoints(PrefixRouter(), chain, rest)
    if NAMES[gone] in before:
        assert len(set(before) - set(after)) <= 2, (
            "more than the removed endpoint and one displaced"
        )
    else:
        assert after == before
    assert preferred_endpoints(router, chain, names) == before


def test_check_finds_candidates_that_depend_on_the_list_order(monkeypatch) -> None:
    """Checks that the stability test fails for a known bug: placement by position in the list."""

    def nth(self: Placement, value: bytes, position: int) -> str:
        return self.endpoints[(value[0] + position) % len(self.endpoints)]

    monkeypatch.setattr(Placement, "nth", nth)
    with pytest.raises(AssertionError):
        test_candidates_survive_restart_and_membership_change()


def test_requests_that_share_an_upper_level_share_a_candidate() -> None:
    """Guards against requests with a common prefix that never probe a common engine."""
    router, names = PrefixRouter(), tuple(NAMES)
    sets = [
        set(preferred_endpoints(router, chain_of("abcdefgh", tail * 7), names)) for tail in "xyz"
    ]
    assert set.intersection(*sets)


def test_children_of_a_hot_prefix_have_different_first_candidates() -> None:
    """Guards against sending all children of a hot prefix to the same engine first."""
    router, names = PrefixRouter(), tuple(NAMES)
    tails = [f"{n:05d}" for n in range(100)]
    firsts = {router.candidates(chain_of("abc", tail), names, 0.0)[0] for tail in tails}
    assert len(firsts) > len(NAMES) / 2


def test_short_prompts_use_all_endpoints() -> None:
    """Guards against probing the same few endpoints for all prompts without a full block."""
    router, names = PrefixRouter(), tuple(NAMES)
    probed = {name for _ in range(100) for name in router.candidates([], names, 0.0)}
    assert probed == set(NAMES)


def test_choice_weighs_wait_against_recomputation() -> None:
    """Guards against a cache match that wins over a long wait or loses to a short one."""
    router, chain = PrefixRouter(), chain_of("abcd")
    for wait_ms, expected in ((100.0, "e0"), (400.0, "e1")):
        replies = [reply("e0", 4, wait_ms), reply("e1"), reply("e2", 4, accepting=False)]
        choice = router.choose(chain, 8192, replies, 0.0)
        assert choice is not None
        assert choice.endpoint == expected
    assert router.choose(chain, 8192, [reply("e2", accepting=False)], 0.0) is None


def test_finished_requests_correct_the_cost_temporarily() -> None:
    """Guards against trusting an engine that is slower than it reports, and avoiding it forever."""
    router, chain = PrefixRouter(), chain_of("abcd")
    replies = [reply("e0"), reply("e1", 0, 5.0)]
    for number in range(20):
        choice = router.choose(chain, 8192, [replies[0]], 0.0)
        assert choice is not None
        router.handle(Routed(str(number), choice, (), 8192), 0.0)
        router.handle(Finished(str(number), 2.0, 0), 0.0)
    chosen = [router.choose(chain, 8192, replies, now) for now in (0.0, 60.0)]
    assert [choice.endpoint for choice in chosen if choice] == ["e1", "e0"]


def test_other_region_is_probed_only_under_load_and_link_cost_is_added() -> None:
    """Guards against prompts that queue on the low-bandwidth link."""
    router = PrefixRouter("a", {"e0": "a", "e1": "b"})
    chain, names = chain_of("abcd"), ("e0", "e1")
    assert router.candidates(chain, names, 0.0) == ["e0"]
    replies = [reply("e0", 0, 900.0), reply("e1")]
    sent = 0
    while (choice := router.choose(chain, 8192, replies, 0.0)) and choice.endpoint == "e1":
        router.handle(Routed(str(sent), choice, (), 8192), 0.0)
        sent += 1
    assert 0 < sent < 20
    assert router.candidates(chain, names, 0.0) == ["e0", "e1"]


def test_width_grows_on_overload_and_shrinks_slowly() -> None:
    """Guards against a width that reacts to each short queue, and one that never shrinks."""
    hot, now, widths = HotPrefixes(max_width=8), 0.0, []
    for wait_s in [0.0] * 50 + [0.9] * 20 + [0.0, 0.1] * 60 + [0.0] * 400:
        now += 0.1
        hot.record(b"p", wait_s, now)
        widths.append(hot.width(b"p"))
    assert (widths[49], max(widths), widths[189], widths[-1]) == (1, 8, 8, 5)


def test_import_only_if_cheaper_and_within_the_link_budget() -> None:
    """Guards against imports that cost more than recomputing or exceed the link budget."""
    link = LinkBudget(1000.0, 1000.0)
    near, far = ImportSource("near", 3, 0.01), ImportSource("far", 8, 0.01, 300)
    assert plan_import([near], 1, 0.009, link, 0.0) is None
    assert link.try_spend(1, 0.0) is False
    plan = plan_import([near, far], 1, 0.05, link, 0.0)
    assert plan is not None
    assert (plan.source, plan.first, plan.blocks) == ("near", 1, 2)
    assert plan_import([far], 1, 0.05, None, 0.0) is None
    choice = PrefixRouter().choose(
        chain_of("abcd"), 8192, [reply("e0", 4, 900.0), reply("e1", import_us_per_block=9e3)], 0.0
    )
    assert choice is not None
    assert (choice.endpoint, choice.import_source, choice.import_blocks) == ("e1", "e0", 4)


def spend_with_changing_users(seed: int) -> None:
    """Simulate four processes; a fifth starts at 100 s, and the first ends at 229 s.

    Each other process counts the fifth from a random time up to 29 s after its start, and stops
    counting the first at a random time up to 29 s before its end.
    """
    random, spent = Random(seed), 0
    budgets = [LinkBudget(100.0, 100.0, reserve_fraction=0.0) for _ in range(5)]
    change_times = [(100.0 + 29 * random.random(), 200.0 + 29 * random.random()) for _ in budgets]
    for tick in range(3000):
        now = tick / 10
        for number, budget in enumerate(budgets):
            joined, left = change_times[number]
            if (number == 4 and now < 100) or (number == 0 and now >= 229):
                continue
            count = 4 if now >= left or (now < joined and number < 4) else 5
            budget.set_process_count(count, now)
            while budget.try_spend(1, now):
                spent += 1
        assert spent <= 100 + 100 * now, "the processes spent more than the link budget"
    assert spent > 20_000


@given(st.integers(0, 2**32))
@settings(max_examples=5)
def test_link_users_together_stay_within_the_budget(seed) -> None:
    """Guards against exceeding the budget while processes count different numbers of users."""
    spend_with_changing_users(seed)


def test_check_finds_a_link_share_without_grace_period(monkeypatch) -> None:
    """Checks that the bound is exceeded for a known bug: a decreased count applies at once."""
    monkeypatch.setattr(_link, "SHARE_GRACE_PERIOD_S", 0.0)
    with pytest.raises(AssertionError, match="spent more"):
        spend_with_changing_users(1)


def test_requests_are_never_refused_and_pause_transfers() -> None:
    """Guards against transfers that delay requests on the link."""
    link = LinkBudget(100.0, 1000.0, reserve_fraction=0.5)
    assert not link.try_spend(1, 0.0)
    assert link.try_spend(400, 40.0)
    link.record_request(700, 40.0)
    assert not link.try_spend(1, 45.0)
