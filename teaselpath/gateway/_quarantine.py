"""Quarantine at one gateway: holds, trials, exchange with others and the store."""

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from eliot import log_message

from teaselpath.fleet import MetadataStore
from teaselpath.gateway._call import Call
from teaselpath.gateway._engine_ends import EngineEnd
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._verdict_store import VerdictSynchronizer
from teaselpath.quarantine import (
    JUDGE_DELAY_S,
    SETTLE_S,
    SUSPECT_ENDS,
    Admit,
    ClaimNote,
    Decision,
    Hold,
    MemoryEnds,
    Quarantine,
    QuarantineUpdate,
    Reject,
    SoundNote,
    Try,
    Verdict,
    VerdictNote,
    claim_note,
    verdict_note,
)
from teaselpath.results import Code

# Events of an attempt from which its engine has proved to answer on the prompt.
PROVING_EVENTS = 2
# Longest time for which a request waits for a trial, in seconds and as a fraction of the time that
# it has left.
MAX_HOLD_S = 1.2
MAX_HOLD_FRACTION = 0.25
HOLD_POLL_INTERVAL_S = 0.02
# Retry-After of a request that was held, in seconds, if the trial is not known to end later.
HOLD_RETRY_AFTER_S = 0.5
# Time after the start in which a gateway learns verdicts before it sends prompts, in seconds. If
# neither the store nor a peer is reached by then, it serves without them.
INFORM_S = 2.5
UNINFORMED_RETRY_AFTER_S = 0.3
# Interval at which a gateway tells others everything that it knows, in seconds, and their number.
GOSSIP_INTERVAL_S = 1.0
GOSSIP_TARGETS = 2


class UpdateChannel(Protocol):
    """Messages to other gateways."""

    def publish(self, update: QuarantineUpdate) -> None:
        """Send an update to all gateways at once."""

    def send_update(self, ip: str, update: QuarantineUpdate) -> None:
        """Send an update to one gateway."""

    def reachable_ips(self) -> list[str]:
        """Return the addresses of the reachable gateways."""


@dataclass(slots=True, frozen=True)
class Quarantined:
    """A request that is not sent, because it or a part of its prompt may crash engines."""

    code: Code
    retry_after_s: float
    reason: str


class QuarantineGate:
    """Decides which requests are sent, and keeps evidence, trials and verdicts up to date.

    :param host: own host.
    :ivar has_snapshot: whether a peer has sent everything that it knows.
    :ivar synchronizer: reads and writes the verdicts of the store.
    """

    def __init__(
        self, host: str, store: MetadataStore, metrics: GatewayMetrics, channel: UpdateChannel
    ):
        self.quarantine = Quarantine(host)
        self.memory_ends = MemoryEnds()
        self.metrics = metrics
        self.channel = channel
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.has_snapshot = False
        self.synchronizer = VerdictSynchronizer(self.quarantine, store, self._log_learned)
        self.random = random.Random()

    # requests

    def is_informed(self) -> bool:
        """Return whether the verdicts are known, or cannot be learned soon."""
        is_late = self.loop.time() - self.started_at > INFORM_S
        return self.synchronizer.has_read or self.has_snapshot or is_late

    async def admit(self, call: Call) -> Quarantined | None:
        """Wait until a request may be sent; return why it may not.

        A request with suspect parts is sent as a trial, ``call.trial``.
        """
        if call.trial is not None:
            return None
        if not self.is_informed():
            return Quarantined(Code.NO_BUNDLE, UNINFORMED_RETRY_AFTER_S, "uninformed")
        now = self.loop.time()
        hold_until = now + min(MAX_HOLD_S, MAX_HOLD_FRACTION * (call.deadline - now))
        while True:
            now = self.loop.time()
            match self._decide(call, now):
                case Admit():
                    return None
                case Reject(verdict):
                    self.metrics.count_quarantined("verdict")
                    reason = f"verdict {verdict.verdict_id}"
                    return Quarantined(Code.PART_QUARANTINED, verdict.expires_at - now, reason)
                case Try(parts) | Hold(parts) if call.lost_engine and self._are_suspect(parts, now):
                    self.metrics.count_quarantined("not_resent")
                    return Quarantined(Code.PART_SUSPECT, HOLD_RETRY_AFTER_S, "not resent")
                case Try(parts):
                    if await self._claim_trial(call, parts):
                        return None
                case Hold(_, until) if now >= hold_until:
                    self.metrics.count_quarantined("held")
                    wait_s = max(HOLD_RETRY_AFTER_S, until - now)
                    return Quarantined(Code.PART_SUSPECT, wait_s, "trial of another request")
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)

    def may_send(self, call: Call) -> bool:
        """Return whether an admitted request may still be sent, after it was queued."""
        decision = self._decide(call, self.loop.time())
        if call.trial is not None:
            return not isinstance(decision, Reject)
        return isinstance(decision, Admit)

    def _decide(self, call: Call, now: float) -> Decision:
        # Without evidence against any request, none waits for its digest before it is sent.
        if self.quarantine.is_empty:
            return Admit()
        return self.quarantine.decide(call.parts, now, is_resend=call.lost_engine)

    def preview(self, call: Call) -> str:
        """Return what would become of a request, for operators."""
        match self._decide(call, self.loop.time()):
            case Reject(verdict):
                return f"refused by verdict {verdict.verdict_id}"
            case Try():
                return "sent as a trial"
            case Hold():
                return "held until the trial of another request ends"
            case Admit():
                return "admitted"

    def _are_suspect(self, parts: frozenset[str], now: float) -> bool:
        return any(self.quarantine.count_ends(part, now) >= SUSPECT_ENDS for part in parts)

    async def _claim_trial(self, call: Call, parts: frozenset[str]) -> bool:
        claim = self.quarantine.claim(parts, self.loop.time())
        self._publish_claims(claim_note(claim, self.loop.time()))
        try:
            await asyncio.sleep(SETTLE_S)
        except asyncio.CancelledError:
            self._release(claim.number)
            raise
        running = self.quarantine.begin_trial(claim, self.loop.time())
        if running is None:
            self._release(claim.number)
            return False
        call.trial = running
        self._publish_claims(claim_note(running, self.loop.time()))
        self.metrics.count_quarantined("trial")
        log_message(
            "trial_started", request_id=call.request.request_id, parts=sorted(running.parts)
        )
        return True

    def end_trial(self, call: Call) -> None:
        """End the trial of a request, if it was one; after the end of its engine, once judged."""
        if call.trial is None:
            return
        number, call.trial = call.trial.number, None
        # The caller may have left while it is found out whether the engine has ended.
        if call.lost_engine or call.checked_until:
            judged_at = max(self.loop.time(), call.checked_until) + JUDGE_DELAY_S
            self.loop.call_at(judged_at, self._release, number)
        else:
            self._release(number)

    def _release(self, number: int) -> None:
        self.quarantine.trials.release(self.quarantine.host, number)
        self._publish_claims(ClaimNote(self.quarantine.host, number, [], False, 0))

    def _publish_claims(self, *claims: ClaimNote) -> None:
        self.channel.publish(QuarantineUpdate(self.quarantine.host, claims=list(claims)))

    # evidence

    def record_answer(self, call: Call) -> None:
        """Record that an engine answers a request, so that it and its prompt parts are sound."""
        before = self.quarantine.table.verdicts.copy()
        cleared = self.quarantine.record_sound(call.parts, self.loop.time())
        if not cleared:
            return
        log_message("parts_cleared", request_id=call.request.request_id, parts=cleared)
        notes = [SoundNote(part, 0) for part in cleared]
        self.channel.publish(QuarantineUpdate(self.quarantine.host, sound=notes))
        for verdict in before.values():
            after = self.quarantine.table.verdicts.get(verdict.verdict_id)
            if after is None:
                self._log_lifted(verdict, "answer")
                self.synchronizer.write(verdict, is_lifted=True)
            elif after.parts != verdict.parts:
                self.synchronizer.write(after)

    def handle_end(self, end: EngineEnd) -> None:
        """Record the end of an engine as evidence, and judge the parts of a trial.

        An engine whose memory was nearly full is evidence against trials only.
        """
        now = self.loop.time()
        is_explained = self.memory_ends.explains(end.number, end.held_fraction, end.at)
        if is_explained:
            log_message(
                "engine_memory_full",
                endpoint=end.endpoint_id,
                held_fraction=round(end.held_fraction, 2),
            )
        notes = []
        for run in end.runs:
            if run.events >= PROVING_EVENTS or (is_explained and not run.is_trial):
                continue
            note = self.quarantine.record_end(end.number, end.at, run.parts, is_trial=run.is_trial)
            if note is not None:
                notes.append(note)
            if run.is_trial:
                self.loop.call_later(JUDGE_DELAY_S, self._judge, run.parts)
        if notes:
            self.channel.publish(QuarantineUpdate(self.quarantine.host, ends=notes))
            self._log_suspects(sorted({part for note in notes for part in note.parts}), now)

    def _judge(self, parts: tuple[str, ...]) -> None:
        """Judge the parts of a failed trial."""
        now = self.loop.time()
        verdict = self.quarantine.judge(parts, now)
        if verdict is not None:
            notes = [verdict_note(verdict, now)]
            self.channel.publish(QuarantineUpdate(self.quarantine.host, verdicts=notes))
            self._log_issued(verdict, now)
            self.synchronizer.write(verdict)

    def _log_suspects(self, parts: list[str], now: float) -> None:
        suspects = [part for part in parts if self.quarantine.count_ends(part, now) >= SUSPECT_ENDS]
        if suspects:
            log_message(
                "parts_suspected",
                parts=suspects,
                ends=[self.quarantine.count_ends(part, now) for part in suspects],
            )

    def _log_issued(self, verdict: Verdict, now: float) -> None:
        self.metrics.count_quarantined("verdict_issued")
        ages = {
            part: [
                round(now - end.at, 2) for end in self.quarantine.evidence.ends_of(part).values()
            ]
            for part in sorted(verdict.parts)
        }
        log_message(
            "verdict_issued",
            verdict=verdict.verdict_id,
            parts=sorted(verdict.parts),
            ends=verdict.ends,
            end_ages_s=ages,
            strikes=verdict.strikes,
            duration_s=verdict.expires_at - verdict.issued_at,
        )

    def _log_lifted(self, verdict: Verdict, reason: str) -> None:
        self.metrics.count_quarantined("verdict_lifted")
        log_message(
            "verdict_lifted",
            verdict=verdict.verdict_id,
            parts=sorted(verdict.parts),
            age_s=round(self.loop.time() - verdict.issued_at, 2),
            reason=reason,
        )

    # other gateways

    def handle_update(self, update: QuarantineUpdate, ip: str) -> None:
        """Apply an update of another gateway, and tell it of answers that it does not know of."""
        known = set(self.quarantine.table.verdicts)
        answers = self.quarantine.apply(update, self.loop.time())
        self.has_snapshot = self.has_snapshot or update.is_complete
        if answers:
            self.channel.send_update(ip, QuarantineUpdate(self.quarantine.host, sound=answers))
        for verdict_id, verdict in self.quarantine.table.verdicts.items():
            if verdict_id not in known:
                self._log_learned(verdict, f"peer {update.host}")

    def _log_learned(self, verdict: Verdict, source: str) -> None:
        log_message(
            "verdict_learned",
            verdict=verdict.verdict_id,
            parts=sorted(verdict.parts),
            age_s=round(self.loop.time() - verdict.issued_at, 2),
            issued_by=verdict.host,
            source=source,
        )

    def greet(self, ip: str) -> None:
        """Tell a gateway that has started, or was cut off, everything that is known."""
        if self.quarantine.has_news():
            self.channel.send_update(ip, self.quarantine.snapshot(self.loop.time()))

    async def gossip(self) -> None:
        """Tell a few gateways everything that is known, so that lost messages are made up for."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            self.quarantine.expire(self.loop.time())
            if not self.quarantine.has_news():
                continue
            ips = self.channel.reachable_ips()
            snapshot = self.quarantine.snapshot(self.loop.time())
            for ip in self.random.sample(ips, min(GOSSIP_TARGETS, len(ips))):
                self.channel.send_update(ip, snapshot)

    # operators

    def describe(self) -> list[dict[str, object]]:
        """Return the verdicts in force, for operators."""
        now = self.loop.time()
        return [
            {
                "verdict": verdict.verdict_id,
                "parts": sorted(verdict.parts),
                "ends": verdict.ends,
                "strikes": verdict.strikes,
                "issued_by": verdict.host,
                "age_s": round(now - verdict.issued_at, 1),
                "left_s": round(verdict.expires_at - now, 1),
            }
            for verdict in self.quarantine.table.in_force(now)
        ]

    def lift(self, verdict_id: str) -> bool:
        """Lift a verdict at all gateways and in the store; return whether it was known."""
        now = self.loop.time()
        verdict = self.quarantine.lift(verdict_id, now)
        if verdict is None:
            return False
        note = VerdictNote(verdict_id, [], 0, 0, 0, 0, "")
        sound = [SoundNote(part, 0) for part in verdict.parts]
        update = QuarantineUpdate(self.quarantine.host, verdicts=[note], sound=sound)
        self.channel.publish(update)
        self._log_lifted(verdict, "operator")
        self.synchronizer.write(verdict, is_lifted=True)
        return True
