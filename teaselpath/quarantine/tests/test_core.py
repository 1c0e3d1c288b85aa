"""Decisions of one gateway: suspects, trials, verdicts and their end."""

import msgspec
import pytest

from teaselpath.quarantine import (
    Admit,
    Hold,
    Quarantine,
    QuarantineUpdate,
    Reject,
    SoundNote,
    Try,
    VerdictNote,
    whole_request,
)
from teaselpath.quarantine._evidence import (
    EVIDENCE_S,
    MAX_RUN_PARTS,
    MAX_SOUND_PARTS,
    MAX_SUSPECTS,
)
from teaselpath.quarantine._trials import CLAIM_S
from teaselpath.quarantine._verdicts import MAX_VERDICTS, VERDICT_S

DEADLY, HOT = "m/dead", "m/hot"
REQUESTS = [whole_request(f"{n}") for n in range(4)]


@pytest.fixture
def quarantine() -> Quarantine:
    """Return the quarantine of a newly started gateway."""
    return Quarantine("gw-0")


@pytest.fixture
def judged(quarantine) -> Quarantine:
    """Return a quarantine with a verdict on one part, issued at 3 s."""
    quarantine.record_sound((HOT,), 0.0)
    for number in range(3):
        quarantine.record_end(number, float(number), (HOT, DEADLY), is_trial=number > 0)
    assert quarantine.judge((HOT, DEADLY), 3.0) is not None
    return quarantine


def test_part_is_tried_alone_from_the_second_end_on(quarantine):
    quarantine.record_end(1, 1.0, (DEADLY,), is_trial=False)
    assert quarantine.decide((DEADLY,), 1.5) == Admit()
    quarantine.record_end(2, 2.0, (DEADLY,), is_trial=False)
    assert quarantine.decide((DEADLY,), 2.5) == Try(frozenset({DEADLY}))
    quarantine.claim(frozenset({DEADLY}), 2.5)
    assert isinstance(quarantine.decide((HOT, DEADLY), 2.6), Hold)
    assert quarantine.decide((HOT,), 2.6) == Admit()
    # A gateway that is killed in its trial does not block the others.
    assert isinstance(quarantine.decide((DEADLY,), 2.5 + CLAIM_S), Try)


@pytest.mark.parametrize("shared", [5, 70, 400])
def test_deadly_part_behind_many_others_is_judged_after_as_many_ends_as_behind_few(shared):
    """Each request has sound parts that others share, and the deadly one behind them."""
    quarantine = Quarantine("gw-0")
    sound = tuple(f"m/{n}" for n in range(shared))
    for number in range(3):
        parts = (REQUESTS[number], *sound, DEADLY)
        quarantine.record_end(number, 1.0 + number, parts, is_trial=number > 0)
        quarantine.record_sound(sound, 1.5 + number)
    assert quarantine.decide((REQUESTS[3], *sound, DEADLY), 4.0) == Try(frozenset({DEADLY}))
    verdict = quarantine.judge((REQUESTS[2], *sound, DEADLY), 4.0)
    assert verdict is not None
    assert verdict.parts == {DEADLY}
    assert quarantine.decide((REQUESTS[3], *sound), 4.0) == Admit()


def test_notes_on_prompts_of_many_parts_fit_a_datagram_and_memory_is_bounded():
    quarantine, sizes = Quarantine("gw-0"), []
    for number in range(200):
        parts = tuple(f"model-a/{number:04x}{n:04x}" for n in range(1_200))
        for _ in range(2):
            note = quarantine.record_end(number, float(number), parts, is_trial=False)
        sizes.append(len(msgspec.msgpack.encode(note)))
        quarantine.decide(parts, float(number))
    runs = [run for engine in quarantine.evidence.engines.values() for run in engine.runs]
    assert max(sizes) < 4_096
    assert len(msgspec.msgpack.encode(quarantine.snapshot(200.0))) < 65_507
    assert sum(len(run.parts) for run in runs) <= MAX_RUN_PARTS


def test_request_that_lost_its_engine_is_tried_alone_unless_its_parts_are_proven(quarantine):
    quarantine.record_sound((HOT,), 0.0)
    quarantine.record_end(1, 1.0, (HOT, DEADLY), is_trial=False)
    assert quarantine.decide((HOT,), 1.1, is_resend=True) == Admit()
    assert quarantine.decide((HOT, DEADLY), 1.1, is_resend=True) == Try(frozenset({DEADLY}))


def test_answer_clears_a_suspect(quarantine):
    for number in range(2):
        quarantine.record_end(number, float(number), (DEADLY,), is_trial=False)
    assert quarantine.record_sound((DEADLY, HOT), 2.0) == [DEADLY]
    assert quarantine.decide((DEADLY,), 2.1) == Admit()
    # An end that is reported late does not count again.
    assert quarantine.record_end(0, 0.0, (DEADLY,), is_trial=False) is None


def test_verdict_needs_three_ends_and_two_failed_trials(quarantine):
    for number in range(5):
        quarantine.record_end(number, float(number), (DEADLY,), is_trial=number == 0)
    assert quarantine.judge((DEADLY,), 5.0) is None
    quarantine.record_end(5, 5.0, (DEADLY,), is_trial=True)
    verdict = quarantine.judge((DEADLY,), 5.1)
    assert verdict is not None
    assert (verdict.parts, verdict.ends) == (frozenset({DEADLY}), 6)
    assert quarantine.decide((HOT, DEADLY), 5.2) == Reject(verdict)


def test_part_that_was_answered_on_is_not_judged_with_an_unproven_one(judged):
    assert isinstance(judged.decide((HOT, DEADLY), 3.1), Reject)
    assert not isinstance(judged.decide((HOT,), 3.1), Reject)


def test_parts_that_cannot_be_told_apart_are_refused_together_until_an_answer_does(quarantine):
    for number in range(3):
        quarantine.record_end(number, float(number), (HOT, DEADLY), is_trial=number > 0)
    verdict = quarantine.judge((HOT, DEADLY), 3.0)
    assert verdict is not None
    assert verdict.parts == {HOT, DEADLY}
    assert isinstance(quarantine.decide((HOT, DEADLY), 3.1), Reject)
    assert isinstance(quarantine.decide((HOT,), 3.1), Try)
    quarantine.record_sound((HOT,), 3.5)
    assert quarantine.decide((HOT,), 3.6) == Admit()
    assert isinstance(quarantine.decide(("m/other", DEADLY), 3.6), Reject)


def test_engines_that_end_together_count_once(quarantine):
    for number in range(5):
        quarantine.record_end(number, 1.0 + 0.01 * number, (HOT,), is_trial=False)
    assert quarantine.count_ends(HOT, 2.0) == 1
    assert quarantine.decide((HOT,), 2.0) == Admit()
    # The trial of a part may run on one of them.
    quarantine.record_end(5, 1.05, (HOT,), is_trial=True)
    assert quarantine.count_ends(HOT, 2.0) == 2
    assert quarantine.judge((HOT,), 2.0) is None


def test_trials_that_fail_soon_after_each_other_count_each(quarantine):
    for number in range(3):
        quarantine.record_end(number, 1.0 + 0.15 * number, (DEADLY,), is_trial=number > 0)
    assert quarantine.judge((DEADLY,), 1.4) is not None


def test_verdict_expires_and_the_next_one_lasts_twice_as_long(judged):
    later = 3.0 + VERDICT_S
    judged.expire(later + EVIDENCE_S)
    assert isinstance(judged.decide((DEADLY,), later), Try)
    judged.record_end(9, later + 1.0, (HOT, DEADLY), is_trial=True)
    verdict = judged.judge((HOT, DEADLY), later + 1.1)
    assert verdict is not None
    assert verdict.parts == {DEADLY}
    assert verdict.expires_at - verdict.issued_at == pytest.approx(2 * VERDICT_S)


def test_expired_verdict_ends_with_an_answer(judged):
    later = 3.0 + VERDICT_S
    judged.record_sound((DEADLY,), later)
    judged.expire(later)
    assert judged.decide((DEADLY,), later + 0.1) == Admit()


def test_restarted_gateway_learns_verdicts_and_evidence_from_a_peer(judged):
    judged.record_end(7, 3.0, ("m/new",), is_trial=False)
    judged.record_end(8, 3.5, ("m/new",), is_trial=False)
    data = msgspec.msgpack.encode(judged.snapshot(4.0))
    started = Quarantine("gw-1")
    started.apply(msgspec.msgpack.decode(data, type=QuarantineUpdate), 100.0)
    assert isinstance(started.decide((HOT, DEADLY), 100.1), Reject)
    assert isinstance(started.decide(("m/new",), 100.1), Try)


def test_verdict_outlasts_an_earlier_lifting_of_the_same_parts(judged):
    """A peer, or a store restored from a copy, may still know of the lifting only."""
    verdict = judged.table.in_force(4.0)[0]
    lifting = VerdictNote(verdict.verdict_id, [], 2000, 0, 0, 0, "")
    judged.apply(QuarantineUpdate("gw-1", verdicts=[lifting]), 4.0)
    assert judged.table.in_force(4.0) == [verdict]
    assert judged.table.lifted_at[verdict.verdict_id] == 2.0


def test_lifted_verdict_does_not_come_back_from_a_peer(judged):
    stale = judged.snapshot(4.0)
    verdict = next(iter(judged.table.verdicts.values()))
    judged.lift(verdict.verdict_id, 5.0)
    judged.apply(stale, 5.1)
    assert judged.decide((DEADLY,), 5.2) == Admit()


def test_peer_with_stale_evidence_is_told_of_the_answer(quarantine):
    peer = Quarantine("gw-1")
    peer.record_end(1, 1.0, (DEADLY,), is_trial=False)
    quarantine.record_sound((DEADLY,), 2.0)
    notes = quarantine.apply(peer.snapshot(2.5), 2.5)
    assert [note.part for note in notes] == [DEADLY]
    peer.apply(QuarantineUpdate("gw-0", sound=notes), 2.6)
    assert peer.count_ends(DEADLY, 2.6) == 0


def test_only_one_of_two_claims_at_the_same_time_runs():
    first, second = Quarantine("gw-0"), Quarantine("gw-1")
    parts = frozenset({DEADLY})
    claims = first.claim(parts, 1.0), second.claim(parts, 1.0)
    first.apply(second.snapshot(1.0), 1.05)
    second.apply(first.snapshot(1.0), 1.05)
    assert first.begin_trial(claims[0], 1.1) is not None
    assert second.begin_trial(claims[1], 1.1) is None


def test_running_trial_goes_before_a_later_claim():
    first, second = Quarantine("gw-1"), Quarantine("gw-0")
    parts = frozenset({DEADLY})
    running = first.begin_trial(first.claim(parts, 1.0), 1.1)
    assert running is not None
    claim = second.claim(parts, 1.15)
    second.apply(first.snapshot(1.2), 1.2)
    assert second.begin_trial(claim, 1.25) is None
    first.apply(second.snapshot(1.2), 1.2)
    assert first.trials.holds(running)


def test_memory_does_not_grow_with_the_parts_that_callers_send(quarantine):
    for n in range(3 * MAX_SUSPECTS):
        quarantine.record_end(n, float(n), (f"m/{n}",), is_trial=True)
        quarantine.table.issue(frozenset({f"m/{n}"}), 3, "gw-0", float(n))
        quarantine.table.lift(f"v{n}", float(n))
    for n in range(2 * MAX_SOUND_PARTS):
        quarantine.record_sound((f"s/{n}",), float(n))
    assert len(quarantine.evidence.suspects) <= MAX_SUSPECTS
    assert len(quarantine.evidence.sound_at) <= MAX_SOUND_PARTS
    assert len(quarantine.table.verdicts) <= MAX_VERDICTS
    assert len(quarantine.table.lifted_at) <= MAX_VERDICTS
    # Fits one datagram.
    assert len(msgspec.msgpack.encode(quarantine.snapshot(1e4))) < 60_000


def test_answer_on_a_void_part_is_ignored(quarantine):
    quarantine.apply(QuarantineUpdate("gw-1", sound=[SoundNote("m/x", 10)]), 1.0)
    assert quarantine.decide(("m/x",), 1.1) == Admit()


def test_part_that_comes_with_several_deadly_ones_is_not_judged_in_their_place(quarantine):
    others = ["m/dead1", "m/dead2", "m/dead3", "m/dead1", "m/dead2"]
    for number, other in enumerate(others):
        quarantine.record_end(number, float(number), (HOT, other), is_trial=number > 1)
    verdict = quarantine.judge((HOT, "m/dead2"), 5.0)
    assert verdict is not None
    assert verdict.parts == {HOT, "m/dead2"}
    assert not isinstance(quarantine.decide((HOT, "m/own"), 5.1), Reject)


def test_end_that_a_verdict_explains_does_not_count_against_other_parts(quarantine):
    for number in range(3):
        quarantine.record_end(number, float(number), (HOT, DEADLY), is_trial=False)
    assert quarantine.count_ends(HOT, 3.0) == 3
    quarantine.table.issue(frozenset({DEADLY}), 3, "gw-1", 3.0)
    assert quarantine.count_ends(HOT, 3.1) == 0
    assert quarantine.decide((HOT,), 3.1) == Admit()
    assert quarantine.count_ends(DEADLY, 3.1) >= 3


def test_failed_trial_counts_beside_requests_under_which_fewer_engines_ended(quarantine):
    for number in range(5):
        quarantine.record_end(number, float(number), (DEADLY,), is_trial=number > 0)
        for other in range(8):
            part = f"m/new{number // 2}-{other}"
            quarantine.record_end(number, float(number), (part,), is_trial=False)
    assert quarantine.judge((DEADLY,), 5.0) is not None


def test_deadly_request_is_refused_and_not_the_part_that_sound_ones_share(quarantine):
    for number in range(3):
        quarantine.record_sound((HOT,), number - 0.5)
        parts = REQUESTS[0], HOT
        quarantine.record_end(number, float(number), parts, is_trial=number > 0)
    verdict = quarantine.judge((REQUESTS[0], HOT), 3.0)
    assert verdict is not None
    assert verdict.parts == {REQUESTS[0]}
    assert quarantine.decide((REQUESTS[1], HOT), 3.1) == Admit()


def test_deadly_part_is_refused_for_all_though_one_request_with_it_came_twice(quarantine):
    for number, request in enumerate([REQUESTS[0], REQUESTS[0], REQUESTS[1]]):
        quarantine.record_end(number, float(number), (request, DEADLY), is_trial=number > 0)
    verdict = quarantine.judge((REQUESTS[1], DEADLY), 3.0)
    assert verdict is not None
    assert verdict.parts == {DEADLY}
    assert isinstance(quarantine.decide((REQUESTS[2], DEADLY), 3.1), Reject)


def test_part_of_which_only_one_request_is_known_is_not_refused_for_others(quarantine):
    for number in range(3):
        parts = REQUESTS[0], DEADLY
        quarantine.record_end(number, float(number), parts, is_trial=number > 0)
    assert quarantine.judge((REQUESTS[0], DEADLY), 3.0) is not None
    assert isinstance(quarantine.decide((REQUESTS[0], DEADLY), 3.1), Reject)
    # The next request shows whether it is the part: its end is enough for a verdict.
    assert isinstance(quarantine.decide((REQUESTS[1], DEADLY), 3.1), Try)
    quarantine.record_end(4, 4.0, (REQUESTS[1], DEADLY), is_trial=True)
    assert quarantine.judge((REQUESTS[1], DEADLY), 4.1) is not None
    assert isinstance(quarantine.decide((REQUESTS[2], DEADLY), 4.2), Reject)


def test_request_that_was_answered_is_not_judged_for_engines_that_others_ended(quarantine):
    popular = REQUESTS[0]
    quarantine.record_sound((popular,), 0.0)
    for number in range(4):
        quarantine.record_end(number, number + 1.0, (popular,), is_trial=number > 0)
        quarantine.record_end(number, number + 1.0, (f"=dead{number}",), is_trial=False)
    assert quarantine.judge((popular,), 5.0) is None
    # Engines that ran nothing else leave no doubt.
    for number in (4, 5):
        quarantine.record_end(number, number + 1.0, (popular,), is_trial=True)
    assert quarantine.judge((popular,), 7.0) is not None
