"""Long prompts beside short ones: both have to meet their aims at the same engines."""

import pytest

from teaselpath.dispatch import max_backlog_s
from teaselpath.dispatch._long_prompts import (
    MAX_LONG_SHARE,
    MIN_LONG_SHARE,
    LongShare,
    has_prefill_room,
)


def test_bound_comes_from_the_shortest_aim_of_the_service():
    """Guards against a bound that suits long prompts only."""
    assert max_backlog_s([1.2, 0.4, 0.0]) == pytest.approx(0.2)
    assert max_backlog_s([0.0]) is None
    assert max_backlog_s([]) is None


def test_long_prompt_beyond_the_bound_gets_an_idle_engine():
    """Guards against prompts so long that no engine would ever get them."""
    assert has_prefill_room(0.0, 0.8, 0.2)
    assert not has_prefill_room(0.1, 0.8, 0.2)


def play_mix(bound_s: float) -> dict[str, float]:
    """Play short requests beside a burst of long prompts at engines that prefill in order.

    Returns the fraction of each kind whose first event is in time.
    """
    engines, waiting = [0.0] * 6, []
    counts = {"short": [0, 0], "long": [0, 0]}
    for tick in range(2000):
        now = tick * 0.005
        # 24 long prompts a second of 0.15 s on six engines, which is 60 % of what they can prefill.
        if tick % 25 in (0, 1, 2):
            waiting.append(now)
        for arrived_at in waiting[:]:
            engine = min(range(6), key=lambda n: engines[n])
            pending_s = max(0.0, engines[engine] - now)
            if not has_prefill_room(pending_s, 0.15, bound_s):
                break
            waiting.remove(arrived_at)
            engines[engine] = now + pending_s + 0.15
            counts["long"][0] += engines[engine] - arrived_at <= 1.2
            counts["long"][1] += 1
        # A gateway that does not know the pending prefill chooses any engine.
        engine = tick * 7 % 6
        wait_s = max(0.0, engines[engine] - now)
        counts["short"][0] += wait_s + 0.15 <= 0.4
        counts["short"][1] += 1
    return {kind: in_time / total for kind, (in_time, total) in counts.items()}


def test_both_kinds_meet_their_aims_at_the_same_engines():
    """Guards against short requests that wait behind several long prompts."""
    bound_s = max_backlog_s([1.2, 0.4])
    assert bound_s is not None
    shares = play_mix(bound_s)
    assert shares["short"] >= 0.95
    assert shares["long"] >= 0.95


def test_long_prompts_get_less_room_while_short_ones_are_held_up_and_get_it_back():
    """Guards against long prompts that take longer than anybody expects."""
    share = LongShare()
    for _ in range(30):
        share.record_short(0.5, 0.4)
    assert share.share == MIN_LONG_SHARE
    assert share.limit(part=4.0) == 1.0
    for _ in range(60):
        share.record_short(0.05, 0.4)
    assert share.share == MAX_LONG_SHARE


def test_short_prompts_without_an_aim_take_no_room_from_long_ones():
    """Guards against routes that state no aim."""
    share = LongShare()
    share.record_short(9.0, 0.0)
    assert share.share == MAX_LONG_SHARE


def test_share_settles_where_short_prompts_meet_their_aim():
    """Guards against a part that swings between all and nothing.

    The first event of a short prompt takes as long as the long prompts in flight are prefilled.
    """
    share, firsts = LongShare(), []
    for _ in range(400):
        firsts.append(0.02 + 0.05 * share.limit(part=12.0))
        share.record_short(firsts[-1], 0.4)
    settled = firsts[100:]
    assert sum(first_s <= 0.4 for first_s in settled) == len(settled)
    assert sum(settled) / len(settled) > 0.15
