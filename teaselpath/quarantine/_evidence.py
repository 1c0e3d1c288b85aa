"""Evidence for and against parts.

Times are in seconds, from the steady clock of this gateway.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from teaselpath.quarantine._parts import is_whole_request

# Ends of engines within this time of each other count once, in seconds: what ends several engines
# together, such as the loss of a failure domain, is not a request.
GROUP_S = 0.25
# Age at which the end of an engine is no longer counted, in seconds.
EVIDENCE_S = 300.0
# Time for which a part counts as sound after an answer, in seconds.
SOUND_S = 600.0
# Parts with ended engines, and parts with answers, that are kept in memory; of the latter as many
# whole requests, most of which never come again, beside them.
MAX_SUSPECTS = 2_048
MAX_SOUND_PARTS = 8_192
# Ended engines that are kept in memory, requests of each, and parts of all these requests.
MAX_ENGINES = 128
MAX_RUNS = 32
MAX_RUN_PARTS = 32_768


@dataclass(slots=True, frozen=True)
class PartEnd:
    """End of an engine that had not answered a request with a part.

    :param is_trial: whether that request was the only one with a suspect part that it ran.
    """

    at: float
    is_trial: bool


@dataclass(slots=True)
class _Suspect:
    ends: dict[int, PartEnd] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class EndedRun:
    """A request that an engine had not answered when it ended.

    :param parts: those that counted against it.
    """

    parts: frozenset[str]
    is_trial: bool


@dataclass(slots=True)
class EndedEngine:
    """An engine that ended, with the requests that it had not answered.

    :param at: time of the end.
    """

    at: float
    runs: set[EndedRun] = field(default_factory=set)


class EvidenceLedger:
    """Ends of engines and answers, by part.

    :ivar engines: ended engines by number, the most recent last.
    :ivar suspects: parts with evidence against them, the most recent last.
    :ivar sound_at: time of the last answer on each part of prompts, the most recent last.
    :ivar sound_requests_at: the same of whole requests.
    """

    def __init__(self) -> None:
        self.engines: OrderedDict[int, EndedEngine] = OrderedDict()
        self.suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self.sound_at: OrderedDict[str, float] = OrderedDict()
        self.sound_requests_at: OrderedDict[str, float] = OrderedDict()

    def record_end(
        self, number: int, at: float, parts: Iterable[str], *, is_trial: bool
    ) -> list[str]:
        """Record that an engine ended before it answered a request.

        :param number: number of the engine's start.
        :returns: parts that count; the others were answered on since.
        """
        counted = [
            part
            for part in sorted(set(parts))
            if self._record_part(part, number, at, is_trial=is_trial)
        ]
        if counted:
            engine = self.engines.setdefault(number, EndedEngine(at))
            engine.at = min(at, engine.at)
            run = EndedRun(frozenset(counted), is_trial)
            # Other gateways repeat each end in their messages.
            if run not in engine.runs and len(engine.runs) < MAX_RUNS:
                engine.runs.add(run)
                self._limit_memory()
        return counted

    def _limit_memory(self) -> None:
        """Forget the oldest ended engines if there are too many, or parts of their requests."""
        while len(self.engines) > MAX_ENGINES or self._count_run_parts() > MAX_RUN_PARTS:
            self.engines.popitem(last=False)

    def _count_run_parts(self) -> int:
        return sum(len(run.parts) for engine in self.engines.values() for run in engine.runs)

    def _record_part(self, part: str, number: int, at: float, *, is_trial: bool) -> bool:
        if self.last_sound_at(part) >= at:
            return False
        suspect = self.suspects.setdefault(part, _Suspect())
        known = suspect.ends.get(number)
        if known is not None:
            at, is_trial = min(at, known.at), is_trial or known.is_trial
        suspect.ends[number] = PartEnd(at, is_trial)
        self.suspects.move_to_end(part)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return True

    def record_sound(self, part: str, at: float) -> bool:
        """Record that an engine has answered on a part.

        :returns: whether there was evidence against it.
        """
        sound_at = self.sound_requests_at if is_whole_request(part) else self.sound_at
        if at > sound_at.get(part, float("-inf")):
            sound_at[part] = at
            sound_at.move_to_end(part)
            while len(sound_at) > MAX_SOUND_PARTS:
                sound_at.popitem(last=False)
        suspect = self.suspects.get(part)
        if suspect is None:
            return False
        suspect.ends = {n: end for n, end in suspect.ends.items() if end.at > at}
        if not suspect.ends:
            del self.suspects[part]
        return True

    def was_sound(self, part: str, now: float) -> bool:
        """Return whether the part was answered on lately."""
        return now - self.last_sound_at(part) < SOUND_S

    def last_sound_at(self, part: str) -> float:
        """Return when the part was last answered on; minus infinity if it is not known."""
        sound_at = self.sound_requests_at if is_whole_request(part) else self.sound_at
        return sound_at.get(part, float("-inf"))

    def count_ends(self, part: str, now: float, explained: Container[int] = ()) -> int:
        """Return the number of times that engines ended since the part was last answered on.

        Trials of a part run one after another, so each counts, however soon it fails.

        :param explained: numbers of engines that ended for another reason.
        """
        ends = [
            end
            for number, end in self.ends_of(part).items()
            if number not in explained and now - end.at < EVIDENCE_S
        ]
        count, last = sum(end.is_trial for end in ends), float("-inf")
        for at in sorted(end.at for end in ends if not end.is_trial):
            if at - last >= GROUP_S:
                count, last = count + 1, at
        return count

    def count_lone_trials(self, part: str, explained: Container[int] = ()) -> int:
        """Return the number of trials of a part that ended engines without other requests."""
        return sum(
            end.is_trial
            and number not in explained
            and all(part in run.parts for run in self._runs_of(number))
            for number, end in self.ends_of(part).items()
        )

    def count_failed_trials(
        self, part: str, judged: frozenset[str], explained: Container[int] = ()
    ) -> int:
        """Return the number of trials that prove that a part of ``judged`` ends engines.

        An engine may have ended by another request, with a part under which as many engines ended,
        or by another part of the tried request under which several did. The tried request as a
        whole is no such part: the engines that ended on it did so on its parts, too.

        :param part: one of the judged parts.
        :param explained: numbers of engines that ended for another reason.
        """
        ends = self.ends_of(part)
        return sum(
            end.is_trial
            and number not in explained
            and self._most_ends(self._other_parts(number, part, judged)) < len(ends)
            and self._most_ends(self._tried_parts(number, part, judged)) <= 1
            for number, end in ends.items()
        )

    def _other_parts(self, number: int, part: str, judged: frozenset[str]) -> set[str]:
        """Return the parts, except ``judged``, of an ended engine's requests without ``part``."""
        runs = (run for run in self._runs_of(number) if part not in run.parts)
        return {other for run in runs for other in run.parts - judged}

    def _tried_parts(self, number: int, part: str, judged: frozenset[str]) -> set[str]:
        """Return the other prompt parts, except ``judged``, of the requests with ``part``."""
        runs = (run for run in self._runs_of(number) if part in run.parts)
        others = {other for run in runs for other in run.parts - judged}
        return {other for other in others if not is_whole_request(other)}

    def _runs_of(self, number: int) -> Iterable[EndedRun]:
        engine = self.engines.get(number)
        return engine.runs if engine is not None else ()

    def _most_ends(self, parts: Iterable[str]) -> int:
        return max((len(self.ends_of(part)) for part in parts), default=0)

    def ended_with(self, number: int, parts: frozenset[str]) -> bool:
        """Return whether an ended engine had not answered a request with all these parts."""
        engine = self.engines.get(number)
        return engine is not None and any(parts <= run.parts for run in engine.runs)

    def ends_of(self, part: str) -> dict[int, PartEnd]:
        """Return the ends of engines since the part was last answered on, by number."""
        suspect = self.suspects.get(part)
        return suspect.ends if suspect is not None else {}

    def expire(self, now: float) -> None:
        """Discard evidence that is no longer counted."""
        for part in list(self.suspects):
            ends = self.suspects[part].ends
            if all(now - end.at >= EVIDENCE_S for end in ends.values()):
                del self.suspects[part]
        for number in [n for n, e in self.engines.items() if now - e.at >= EVIDENCE_S]:
            del self.engines[number]
