"""Checks of the fault run on top of ``teaselpath.history``, and its table.

Charges are not visible to callers. The check of P7 uses what is: the tokens that answers report,
charged at some instant between the sending of a request and the first byte of its answer. The sum
over the requests that lie wholly inside an interval is a lower bound of the charges in it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from benchmarks.fault_client import Attempt
from benchmarks.fault_cluster import WORKSPACES
from benchmarks.fault_history import Audit
from benchmarks.fault_kinds import FaultRun, Rates
from teaselpath.history import (
    CacheReused,
    ConfigAccepted,
    ExecutionStarted,
    History,
    RequestAnswered,
    RequestSent,
    StreamDelivered,
    check_all,
    check_restarts,
)
from teaselpath.results import Ran

# A version may come into force at a node this long after its acceptance, in seconds.
IN_FORCE_LIMIT_S = 15.0
# An accepted version may be in force at a node before the publisher knows of it.
PUBLISH_LIMIT_S = 10.0
INVARIANTS = [*(f"P{number}" for number in range(1, 14)), "answer"]
Problem = tuple[str, str]


@dataclass(slots=True)
class Verdict:
    """Result of the checks.

    :param checked: how many cases of each invariant were checked.
    """

    checked: dict[str, int]
    problems: list[Problem] = field(default_factory=list)
    first: dict[str, str] = field(default_factory=dict)


def check_run(
    run: FaultRun, audits: list[Audit], history: History, unclear: list[tuple[float, float]]
) -> Verdict:
    """Check everything that a run recorded."""
    attempts = run.load.attempts
    clear = _clear_history(history, unclear)
    problems = [(v.invariant, str(v)) for v in check_all(history) if v.invariant != "P3"]
    problems += [("P3", str(violation)) for violation in check_restarts(clear)]
    problems += run.problems
    problems += check_answers_come(attempts)
    problems += check_bookings(attempts, audits)
    for workspace in WORKSPACES:
        problems += check_rate(workspace, attempts, run.rates)
    verdict = Verdict(_count_cases(run, history, clear), problems)
    for invariant, detail in problems:
        verdict.first.setdefault(invariant, detail)
    return verdict


def _clear_history(history: History, unclear: list[tuple[float, float]]) -> History:
    """Leave out the answers to requests sent while faults may hide a cold start.

    An entry without state and an entry whose endpoints are all down answer alike.
    """
    hidden = {
        event.request_id
        for event in history.of_type(RequestSent)
        if any(start <= event.at <= end for start, end in unclear)
    }
    return History(
        event
        for event in history.events
        if not (isinstance(event, RequestAnswered) and event.request_id in hidden)
    )


def check_answers_come(attempts: list[Attempt]) -> Iterable[Problem]:
    """Each request has a terminal answer, or its connection was closed."""
    for attempt in attempts:
        if attempt.timed_out:
            yield "answer", f"{attempt.request_id} {attempt.tag}: {attempt.detail}"


def check_bookings(attempts: list[Attempt], audits: list[Audit]) -> Iterable[Problem]:
    """No key and no request id was executed twice by any service; answers to one key agree."""
    by_key: Counter[str] = Counter()
    by_request: Counter[str] = Counter()
    for audit in audits:
        by_key.update(audit.by_key)
        by_request.update(audit.by_request)
    for name, count in [*by_key.items(), *by_request.items()]:
        if name and count > 1:
            yield "P10", f"{name} was executed {count} times"
    answers: dict[str, set[str]] = defaultdict(set)
    for attempt in attempts:
        if attempt.claim and attempt.is_served:
            answers[attempt.claim].add(f"{attempt.text} {attempt.usage}")
    for claim, texts in answers.items():
        if len(texts) > 1:
            yield "P8", f"answers to {claim} differ: {sorted(texts)}"


def check_rate(workspace: str, attempts: list[Attempt], rates: list[Rates]) -> Iterable[Problem]:
    """The tokens of answers fit rate x t + burst in each interval."""
    rate, burst = WORKSPACES[workspace]
    charged = sorted(
        (a.first, a.sent, a.usage["prompt_tokens"] + a.usage["completion_tokens"])
        for a in attempts
        if a.workspace == workspace and a.usage and "prompt_tokens" in a.usage
    )
    for start in sorted({sent for _, sent, _ in charged}):
        total = 0
        for first, sent, tokens in charged:
            if sent < start:
                continue
            total += tokens
            allowed = rate * _factor_s(start, first, rates) + burst
            if total > allowed:
                yield (
                    "P7",
                    f"{workspace} got {total} tokens in {first - start:.2f} s from {start:.2f}, "
                    f"allowed {allowed:.0f}",
                )
                return


def _factor_s(start: float, end: float, rates: list[Rates]) -> float:
    """Integrate the largest rate factor that may have been in force anywhere at each instant."""
    edges = {start, end}
    spans = [(float("-inf"), rates[0].at + IN_FORCE_LIMIT_S if rates else float("inf"), 1.0)]
    for number, change in enumerate(rates):
        until = rates[number + 1].at + IN_FORCE_LIMIT_S if number + 1 < len(rates) else float("inf")
        spans.append((change.at - PUBLISH_LIMIT_S, until, change.factor))
    edges |= {edge for span in spans for edge in span[:2] if start < edge < end}
    points = sorted(edges)
    total = 0.0
    for left, right in pairwise(points):
        middle = (left + right) / 2
        total += (right - left) * max(f for a, b, f in spans if a <= middle <= b)
    return total


def _count_cases(run: FaultRun, history: History, clear: History) -> dict[str, int]:
    executions = history.of_type(ExecutionStarted)
    answers = history.of_type(RequestAnswered)
    attempts = run.load.attempts
    return {
        "P1": len(history.of_type(CacheReused)),
        "P2": len(history.of_type(StreamDelivered)),
        "P3": len(clear.of_type(RequestAnswered)),
        "P4": len(executions),
        "P5": len(executions),
        "P6": run.checks["P6 tries with a withdrawn key"],
        "P7": sum(bool(a.usage) and a.kind != "booking" for a in attempts),
        "P8": sum(a.is_served for a in attempts),
        "P9": sum(answer.ran == Ran.NOT_RUN for answer in answers),
        "P10": sum(a.kind == "booking" for a in attempts),
        "P11": run.checks["P11 leaving endpoints"] + run.checks["planned stops"],
        "P12": run.checks["planned stops"],
        "P13": len(history.of_type(ConfigAccepted)),
        "answer": len(attempts),
    }


def measure_recovery(run: FaultRun, audits: list[Audit]) -> dict[str, list[float]]:
    """Return times from an engine's crash to the first new chunk, in seconds.

    :returns: under ``continued`` for streams that the router went on with, under ``start-over`` for
        callers that sent the request again and read to the place where they were cut.
    """
    runs: dict[str, list[tuple[str, dict]]] = defaultdict(list)
    for audit in audits:
        for entry in audit.requests:
            if "finish_reason" in entry:
                runs[entry["request_id"]].append((audit.node.endpoint, entry))
    later: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in run.load.attempts:
        later[attempt.tag].append(attempt)
    times: dict[str, list[float]] = {"continued": [], "start-over": []}
    for attempt in run.load.attempts:
        crash_at = _crash_of(attempt, runs[attempt.request_id], run.crashes)
        if crash_at is None or attempt.kind not in ("stream", "start-over") or not attempt.times:
            continue
        if attempt.kind == "stream":
            found = _continued_at(attempt, runs[attempt.request_id])
        else:
            found = _started_over_at(attempt, later[attempt.tag])
        name = "continued" if attempt.kind == "stream" else "start-over"
        if found is not None and found >= crash_at:
            times[name].append(found - crash_at)
    return times


def _crash_of(
    attempt: Attempt, runs: list[tuple[str, dict]], crashes: list[tuple[float, str]]
) -> float | None:
    crashed = {endpoint for endpoint, entry in runs if entry["finish_reason"] == "crashed"}
    found = [at for at, name in crashes if name in crashed and attempt.sent < at < attempt.ended]
    return found[0] if len(found) == 1 else None


def _continued_at(attempt: Attempt, runs: list[tuple[str, dict]]) -> float | None:
    sizes = sorted({entry["prompt_tokens"] for _, entry in runs if entry["prompt_tokens"]})
    if len(sizes) != 2 or sizes[1] - sizes[0] >= len(attempt.times):
        return None
    return attempt.times[sizes[1] - sizes[0]]


def _started_over_at(attempt: Attempt, attempts: list[Attempt]) -> float | None:
    if attempt.is_whole:
        return None
    for other in attempts:
        if other.sent >= attempt.ended and len(other.times) > len(attempt.times):
            return other.times[len(attempt.times)]
    return None


def percentile(values: list[float], part: float) -> float | None:
    """Return a percentile in milliseconds, None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * part))] * 1e3, 1)
