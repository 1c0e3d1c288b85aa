"""Results of the load tool: counts, HDR histograms and a time series by second."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from teaselpath.cli._load_client import CallOutcome

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
RESULTS = ("ok", "refused", "failed", "incomplete", "wrong", "unfinished")
MAX_EXAMPLES = 20
US_PER_S = 1e6


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US))


def _summary(histogram: HdrHistogram) -> dict[str, Any]:
    values = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {
        "count": histogram.get_total_count(),
        "unit": "ms",
        **values,
        "max": histogram.get_max_value() / 1000,
        "hdr": histogram.encode().decode(),
    }


@dataclass(slots=True)
class _Group:
    """Results of one request class in one workspace."""

    results: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token: HdrHistogram = field(default_factory=_new_histogram)
    total: HdrHistogram = field(default_factory=_new_histogram)
    gap: HdrHistogram = field(default_factory=_new_histogram)

    def add(self, other: "_Group") -> None:
        """Add the results of another group."""
        self.results.update(other.results)
        self.statuses.update(other.statuses)
        self.errors.update(other.errors)
        for name in ("sent", "prompt_tokens", "cached_tokens", "output_tokens"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name in ("first_token", "total", "gap"):
            getattr(self, name).add(getattr(other, name))

    def as_dict(self, elapsed_s: float) -> dict[str, Any]:
        """Return the results for JSON; goodput counts only complete and correct answers."""
        return {
            "sent": self.sent,
            "results": {name: self.results[name] for name in RESULTS},
            "statuses": {str(k): v for k, v in sorted(self.statuses.items())},
            "errors": dict(sorted(self.errors.items())),
            "prompt_tokens": self.prompt_tokens,
            "cached_tokens": self.cached_tokens,
            "output_tokens": self.output_tokens,
            "prefix_hit_rate": self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0,
            "goodput_requests_per_s": self.results["ok"] / elapsed_s,
            "goodput_tokens_per_s": self.output_tokens / elapsed_s,
            "first_token": _summary(self.first_token),
            "total": _summary(self.total),
            "between_events": _summary(self.gap),
        }


@dataclass(slots=True)
class _Second:
    """Results of one second of the run."""

    sent: int = 0
    results: Counter[str] = field(default_factory=Counter)
    output_tokens: int = 0
    first_token_ms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


class LoadReport:
    """Results of a run, by workspace and request class.

    Latencies are measured from the intended send time, to avoid coordinated omission: a stall of
    the tool or of the entry shows in the latency of every call that it delayed.

    :param started_at: start of the run in monotonic seconds.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.groups: dict[tuple[str, str], _Group] = defaultdict(_Group)
        self.examples: list[dict[str, Any]] = []
        self.series: list[dict[str, Any]] = []
        self.second = _Second()
        self.in_flight = 0
        self.late_s = 0.0

    def record_sent(self, workspace: str, request_class: str, late_s: float) -> None:
        """Count a call that was sent ``late_s`` after its intended time."""
        self.groups[workspace, request_class].sent += 1
        self.second.sent += 1
        self.in_flight += 1
        self.late_s = max(self.late_s, late_s)

    def record_outcome(self, outcome: CallOutcome) -> None:
        """Record the outcome and the latencies of a call."""
        call = outcome.call
        group = self.groups[call.workspace, call.request_class]
        intended_at = self.started_at + call.at_s
        self.in_flight -= 1
        group.results[outcome.result] += 1
        group.statuses[outcome.status] += 1
        self.second.results[outcome.result] += 1
        if outcome.result != "ok":
            if outcome.code:
                group.errors[f"{outcome.code} {outcome.ran}".rstrip()] += 1
            self._add_example(outcome)
            return
        group.prompt_tokens += outcome.prompt_tokens
        group.cached_tokens += outcome.cached_tokens
        group.output_tokens += outcome.output_tokens
        self.second.output_tokens += outcome.output_tokens
        first_s = outcome.first_token_at - intended_at
        _record(group.first_token, first_s)
        _record(group.total, outcome.done_at - intended_at)
        for gap_s in outcome.gaps_s:
            _record(group.gap, gap_s)
        self.second.first_token_ms[call.request_class].append(first_s * 1000)

    def _add_example(self, outcome: CallOutcome) -> None:
        count = sum(e["result"] == outcome.result for e in self.examples)
        if count < MAX_EXAMPLES:
            self.examples.append(
                {
                    "at_s": round(outcome.call.at_s, 3),
                    "workspace": outcome.call.workspace,
                    "class": outcome.call.request_class,
                    "result": outcome.result,
                    "status": outcome.status,
                    "code": outcome.code,
                    "ran": outcome.ran,
                    "detail": outcome.detail,
                }
            )

    def end_second(self) -> str:
        """Append the current second to the series; return its progress line."""
        second, self.second = self.second, _Second()
        times = sorted(t for ts in second.first_token_ms.values() for t in ts)
        entry = {
            "second": len(self.series) + 1,
            "sent": second.sent,
            "results": dict(second.results),
            "output_tokens": second.output_tokens,
            "in_flight": self.in_flight,
            "first_token_ms": {
                name: {"p50": _quantile(sorted(ts), 0.5), "p99": _quantile(sorted(ts), 0.99)}
                for name, ts in second.first_token_ms.items()
            },
        }
        self.series.append(entry)
        failures = " ".join(f"{r} {n}" for r, n in sorted(second.results.items()) if r != "ok")
        return (
            f"{entry['second']:4d} s  sent {second.sent}  ok {second.results['ok']}"
            f"  in flight {self.in_flight}  tokens/s {second.output_tokens}"
            f"  first token p50 {_quantile(times, 0.5):.1f} ms p99 {_quantile(times, 0.99):.1f} ms"
            f"  {failures}"
        ).rstrip()

    def as_dict(self, elapsed_s: float) -> dict[str, Any]:
        """Return all results for JSON."""
        total = _Group()
        workspaces: dict[str, _Group] = defaultdict(_Group)
        classes: dict[str, _Group] = defaultdict(_Group)
        for (workspace, request_class), group in self.groups.items():
            for aggregate in (total, workspaces[workspace], classes[request_class]):
                aggregate.add(group)
        return {
            "elapsed_s": elapsed_s,
            "sent_late_max_ms": self.late_s * 1000,
            "all": total.as_dict(elapsed_s),
            "worst_workspace": _worst_workspaces(workspaces),
            "workspaces": {name: g.as_dict(elapsed_s) for name, g in sorted(workspaces.items())},
            "classes": {name: g.as_dict(elapsed_s) for name, g in sorted(classes.items())},
            "groups": [
                {"workspace": workspace, "class": request_class, **group.as_dict(elapsed_s)}
                for (workspace, request_class), group in sorted(self.groups.items())
            ],
            "examples": self.examples,
            "series": self.series,
        }


def _worst_workspaces(workspaces: dict[str, _Group]) -> dict[str, Any]:
    """Return the workspaces with the slowest first token and the lowest fraction of ok calls."""
    if not workspaces:
        return {}

    def p99_ms(name: str) -> float:
        return workspaces[name].first_token.get_value_at_percentile(99.0) / 1000

    def ok_fraction(name: str) -> float:
        return workspaces[name].results["ok"] / max(workspaces[name].sent, 1)

    slowest, lowest = max(workspaces, key=p99_ms), min(workspaces, key=ok_fraction)
    return {
        "first_token_p99": {"workspace": slowest, "ms": p99_ms(slowest)},
        "ok_fraction": {"workspace": lowest, "fraction": ok_fraction(lowest)},
    }


def _quantile(values: list[float], fraction: float) -> float:
    return values[min(int(len(values) * fraction), len(values) - 1)] if values else 0.0
