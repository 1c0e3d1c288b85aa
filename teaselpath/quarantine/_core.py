"""Decisions about requests with suspect parts.

A part becomes a suspect with the second engine that ends before it answered on it. Its requests
then run one at a time over all gateways, until an answer clears the part or a third engine has
ended, at least two of them in such trials: one can end by itself, or by another request.

A request as a whole counts as one more part, which only its repeats share: it may be what crashes
engines, while all that it shares with other requests is sound.
"""

from dataclasses import dataclass

from teaselpath.quarantine._evidence import EvidenceLedger
from teaselpath.quarantine._messages import (
    ClaimNote,
    EndNote,
    QuarantineUpdate,
    SoundNote,
    VerdictNote,
)
from teaselpath.quarantine._parts import is_whole_request
from teaselpath.quarantine._trials import CLAIM_S, Claim, TrialBoard
from teaselpath.quarantine._verdicts import Verdict, VerdictTable

# Ends of engines after which the requests with a part run one at a time; ends, and failed trials
# among them, after which it is judged.
SUSPECT_ENDS = 2
VERDICT_ENDS = 3
VERDICT_TRIALS = 2
# Failed trials after which a part that was answered lately is judged, if other requests were at the
# engines that ended.
PROVEN_VERDICT_TRIALS = 5
# Parts in a note to other gateways, those under which most engines ended; a prompt may have more.
MAX_NOTED_PARTS = 64
# Ends and answers in one message, the most recent ones.
MAX_NOTES = 24


@dataclass(slots=True, frozen=True)
class Admit:
    """Send the request."""


@dataclass(slots=True, frozen=True)
class Try:
    """Send the request as a trial of these parts, after a claim."""

    parts: frozenset[str]


@dataclass(slots=True, frozen=True)
class Hold:
    """Wait: another request is the trial of one of these parts.

    :param until: time in seconds.
    """

    parts: frozenset[str]
    until: float


@dataclass(slots=True, frozen=True)
class Reject:
    """Refuse the request: it holds the parts of a verdict."""

    verdict: Verdict


Decision = Admit | Try | Hold | Reject


class Quarantine:
    """Evidence, trials and verdicts as one gateway knows them.

    Times are in seconds, from the steady clock of this gateway.

    :param host: own host.
    """

    def __init__(self, host: str):
        self.host = host
        self.evidence = EvidenceLedger()
        self.trials = TrialBoard()
        self.table = VerdictTable()
        self.claim_number = 0

    # requests

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence against any request."""
        return not self.evidence.suspects and not self.table.verdicts

    def decide(self, parts: tuple[str, ...], now: float, *, is_resend: bool = False) -> Decision:
        """Return whether a request may be sent.

        :param parts: keys of the parts that other requests can share, and of the whole request.
        :param is_resend: whether an engine ended before it answered this request.
        """
        if self.is_empty:
            return Admit()
        observed = frozenset(parts)
        verdict = self.table.find(observed, now)
        if verdict is not None:
            return Reject(verdict)
        suspects = frozenset(part for part in observed if self._is_suspect(part, now, is_resend))
        if not suspects:
            return Admit()
        until = self.trials.claimed_until(suspects, now)
        return Try(suspects) if until is None else Hold(suspects, until)

    def _is_suspect(self, part: str, now: float, is_resend: bool) -> bool:
        if part not in self.evidence.suspects and not self.table.names(part):
            return False
        ends = self.count_ends(part, now)
        if is_resend and ends and not self.evidence.was_sound(part, now):
            return True
        return ends >= SUSPECT_ENDS

    def count_ends(self, part: str, now: float) -> int:
        """Return the ends that count against a part.

        A part with an earlier verdict that was not cleared is a suspect from the start.
        """
        ends = self.evidence.count_ends(part, now, self._explained(part, now))
        return ends + SUSPECT_ENDS if self.table.names(part) else ends

    def _has_failed(self, part: str, judged: frozenset[str], now: float) -> bool:
        """Return whether enough trials of a part have failed.

        One that was answered lately may be there whenever engines end: it comes often.
        """
        failed = self._count_failed_trials(part, judged, now)
        if not self.evidence.was_sound(part, now):
            return failed >= VERDICT_TRIALS
        lone = self.evidence.count_lone_trials(part, self._explained(part, now))
        return failed >= PROVEN_VERDICT_TRIALS or min(failed, lone) >= VERDICT_TRIALS

    def _count_failed_trials(self, part: str, judged: frozenset[str], now: float) -> int:
        failed = self.evidence.count_failed_trials(part, judged, self._explained(part, now))
        return failed + self.table.names(part)

    def _explained(self, part: str, now: float) -> set[int]:
        """Return the numbers of engines that ended by a verdict's parts, without this part."""
        verdicts = [v for v in self.table.in_force(now) if part not in v.parts]
        return {
            number
            for number in self.evidence.ends_of(part)
            if any(self.evidence.ended_with(number, verdict.parts) for verdict in verdicts)
        }

    def claim(self, parts: frozenset[str], now: float) -> Claim:
        """Claim a trial of parts for this gateway."""
        self.claim_number += 1
        claim = Claim(self.host, self.claim_number, parts, False, now + CLAIM_S)
        self.trials.observe(claim, now)
        return claim

    def begin_trial(self, claim: Claim, now: float) -> Claim | None:
        """Return the claim as running; None if another one has precedence."""
        if not self.trials.holds(claim):
            self.trials.release(claim.host, claim.number)
            return None
        running = Claim(claim.host, claim.number, claim.parts, True, now + CLAIM_S)
        self.trials.observe(running, now)
        return running

    # evidence

    def record_end(
        self, number: int, at: float, parts: tuple[str, ...], *, is_trial: bool
    ) -> EndNote | None:
        """Record that an engine ended before it answered a request with these parts.

        :returns: note for the other gateways; None if all parts have been answered on since.
        """
        counted = self.evidence.record_end(number, at, parts, is_trial=is_trial)
        return EndNote(number, 0, self._noted(counted), is_trial) if counted else None

    def _noted(self, parts: list[str]) -> list[str]:
        """Return the parts that a note names."""
        if len(parts) <= MAX_NOTED_PARTS:
            return parts
        return sorted(parts, key=lambda part: -len(self.evidence.ends_of(part)))[:MAX_NOTED_PARTS]

    def judge(self, parts: tuple[str, ...], now: float) -> Verdict | None:
        """Issue a verdict on the parts of a failed trial if the evidence suffices.

        All suspect parts of the request are judged together, also those with fewer ends: a part
        that several deadly ones come with has more ends than each of them. Those that no engine
        has answered on are judged alone if there are any.
        """
        observed = frozenset(parts)
        if self.table.find(observed, now) is not None:
            return None
        counts = {part: self.count_ends(part, now) for part in observed}
        suspects = frozenset(part for part, count in counts.items() if count >= SUSPECT_ENDS)
        ends = max(
            (counts[part] for part in suspects if self._has_failed(part, suspects, now)),
            default=0,
        )
        if ends < VERDICT_ENDS:
            return None
        unproven = frozenset(part for part in suspects if not self.evidence.was_sound(part, now))
        judged = self._without_explained_request(unproven or suspects)
        return self.table.issue(frozenset(self._noted(sorted(judged))), ends, self.host, now)

    def _without_explained_request(self, judged: frozenset[str]) -> frozenset[str]:
        """Return the judged parts without the whole request if one of the others ends engines.

        It does if an engine has ended on it that did not run this request.
        """
        whole = frozenset(part for part in judged if is_whole_request(part))
        rest = judged - whole
        ends = {number for part in whole for number in self.evidence.ends_of(part)}
        is_explained = any(not ends.issuperset(self.evidence.ends_of(part)) for part in rest)
        return rest if is_explained else judged

    def record_sound(self, parts: tuple[str, ...], at: float) -> list[str]:
        """Record that an engine has answered on parts; return those that were suspects."""
        cleared = []
        for part in parts:
            was_suspect = self.evidence.record_sound(part, at)
            if self.table.verdicts and self.table.names(part):
                self.table.clear_part(part, at)
                was_suspect = True
            if was_suspect:
                self.trials.end_part(part)
                cleared.append(part)
        return cleared

    def lift(self, verdict_id: str, now: float) -> Verdict | None:
        """Lift a verdict on behalf of an operator, and forget the evidence for it."""
        verdict = self.table.lift(verdict_id, now)
        for part in verdict.parts if verdict is not None else ():
            self.evidence.record_sound(part, now)
        return verdict

    def expire(self, now: float) -> None:
        """Discard what no longer counts."""
        self.evidence.expire(now)
        self.trials.expire(now)

    # other gateways

    def has_news(self) -> bool:
        """Return whether there is anything that another gateway may have to know."""
        return bool(self.evidence.suspects or self.table.verdicts or self.table.lifted_at)

    def snapshot(self, now: float) -> QuarantineUpdate:
        """Return everything that another gateway has to know, the most recent if it is much."""
        ends = [
            EndNote(number, _milliseconds(now - engine.at), self._noted(parts), run.is_trial)
            for number, engine in reversed(self.evidence.engines.items())
            for run in engine.runs
            if (parts := [part for part in sorted(run.parts) if self._counts(part, number)])
        ]
        claims = {(c.host, c.number): c for c in self.trials.claims.values() if c.until > now}
        return QuarantineUpdate(
            self.host,
            ends=ends[:MAX_NOTES],
            claims=[claim_note(claim, now) for claim in claims.values()],
            verdicts=[verdict_note(verdict, now) for verdict in self.table.verdicts.values()]
            + [
                VerdictNote(verdict_id, [], _milliseconds(now - at), 0, 0, 0, "")
                for verdict_id, at in self.table.lifted_at.items()
            ],
            is_complete=True,
        )

    def _counts(self, part: str, number: int) -> bool:
        return number in self.evidence.ends_of(part)

    def apply(self, update: QuarantineUpdate, now: float) -> list[SoundNote]:
        """Apply what another gateway knows.

        :returns: answers of which the other gateway does not know, for the parts that it suspects.
        """
        for verdict in update.verdicts:
            self._apply_verdict(verdict, now)
        answers = []
        for note in update.sound:
            self.record_sound((note.part,), now - note.age_ms / 1000)
        for end in update.ends:
            at = now - end.age_ms / 1000
            observed = end.parts[:MAX_NOTED_PARTS]
            counted = self.evidence.record_end(end.number, at, observed, is_trial=end.is_trial)
            for part in set(observed).difference(counted):
                age_ms = _milliseconds(now - self.evidence.last_sound_at(part))
                answers.append(SoundNote(part, age_ms))
        for claim in update.claims:
            if claim.host != self.host:
                self._apply_claim(claim, now)
        return answers[:MAX_NOTES]

    def _apply_verdict(self, note: VerdictNote, now: float) -> None:
        if not note.parts:
            self.table.lift(note.verdict_id, now - note.age_ms / 1000)
            return
        self.table.merge(
            Verdict(
                note.verdict_id,
                frozenset(note.parts),
                now - note.age_ms / 1000,
                now + note.left_ms / 1000,
                note.ends,
                note.strikes,
                note.host,
            )
        )

    def _apply_claim(self, note: ClaimNote, now: float) -> None:
        if not note.left_ms:
            self.trials.release(note.host, note.number)
            return
        left_s = min(CLAIM_S, note.left_ms / 1000)
        parts = frozenset(note.parts[:MAX_NOTED_PARTS])
        self.trials.observe(
            Claim(note.host, note.number, parts, note.is_running, now + left_s), now
        )


def claim_note(claim: Claim, now: float) -> ClaimNote:
    """Return the message about a claim."""
    left_ms = _milliseconds(claim.until - now)
    parts = sorted(claim.parts)[:MAX_NOTED_PARTS]
    return ClaimNote(claim.host, claim.number, parts, claim.is_running, left_ms)


def verdict_note(verdict: Verdict, now: float) -> VerdictNote:
    """Return the message about a verdict."""
    return VerdictNote(
        verdict.verdict_id,
        sorted(verdict.parts),
        _milliseconds(now - verdict.issued_at),
        _milliseconds(verdict.expires_at - now),
        verdict.ends,
        verdict.strikes,
        verdict.host,
    )


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
