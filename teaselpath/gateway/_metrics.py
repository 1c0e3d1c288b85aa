"""Prometheus metrics of a gateway."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, float("inf"))

FIRST_EVENT_RATIO_BUCKETS = (0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0, float("inf"))


class GatewayMetrics:
    """Metrics of one gateway; request metrics are labelled by workspace and request kind."""

    def __init__(self, host: str):
        self.registry = Registry()
        labels = {"host": host}

        def make(kind, name, doc, **options):
            return kind(f"teaselpath_{name}", doc, labels, registry=self.registry, **options)

        self.first_byte_latency = make(
            Histogram, "first_byte_seconds", "Arrival to first byte", buckets=LATENCY_BUCKETS_S
        )
        self.request_latency = make(
            Histogram, "request_seconds", "Arrival to end of the answer", buckets=LATENCY_BUCKETS_S
        )
        self.first_event_ratio = make(
            Histogram,
            "first_event_ratio",
            "Time to the first event as a multiple of the expected one, where times are learned",
            buckets=FIRST_EVENT_RATIO_BUCKETS,
        )
        self.requests = make(Counter, "requests_total", "Requests by workspace, kind and result")
        self.refusals = make(Counter, "refusals_total", "Requests refused at arrival, by reason")
        self.invalid_answers = make(
            Counter, "invalid_answers_total", "Answers that are invalid or exceed a limit"
        )
        self.connection_ends = make(
            Counter, "connection_ends_total", "Ends of connections that left something, by cause"
        )
        self.handler_failures = make(
            Counter, "handler_failures_total", "Requests whose handler raised"
        )
        self.engine_ends = make(
            Counter, "engine_ends_total", "Engines that ended while they ran requests, by service"
        )
        self.quarantined = make(
            Counter, "quarantine_total", "Trials, verdicts and requests not sent for their parts"
        )
        self.retries = make(
            Counter,
            "retries_total",
            "Retries of requests that were sent before, by service and event: taken from the "
            "budget, refused by it, sent, given back",
        )
        self.retry_wait = make(
            Histogram,
            "retry_wait_seconds",
            "From the budget's grant of a retry to its sending",
            buckets=LATENCY_BUCKETS_S,
        )
        self.take_ups = make(
            Counter, "take_ups_total", "Streams that callers took up, by what told their version"
        )
        self.exposed = make(
            Counter, "rollout_exposed_total", "Requests sent to targets of rollouts, by service"
        )
        self.bad_answers = make(
            Counter, "rollout_bad_answers_total", "Bad answers of targets of rollouts, by service"
        )
        self.rollouts = make(Gauge, "rollouts", "1 for the state of a service's newest rollout")
        self.verdicts = make(Gauge, "verdicts", "Verdicts on prompt parts and requests in force")
        self.limited_endpoints = make(
            Gauge, "limited_endpoints", "Endpoints that state a limit, by service"
        )
        self.leaving_endpoints = make(
            Gauge, "leaving_endpoints", "Listed endpoints that state that they leave, by service"
        )
        self.held_off_endpoints = make(
            Gauge, "held_off_endpoints", "Endpoints that want no requests of this host, by service"
        )
        self.workspace_excess = make(
            Gauge, "workspace_excess", "Part of its recent use above its fair share, by workspace"
        )
        self.waiting = make(Gauge, "waiting", "Requests that wait for an endpoint")
        self.room_part = make(
            Gauge, "room_part", "Requests that this host may have at engines, by service"
        )
        self.room_in_flight = make(
            Gauge, "room_in_flight", "Requests of this host at engines, by service"
        )
        self.room_crowded = make(
            Gauge, "room_crowded", "1 if the engines of a service are nearly full"
        )
        self.running = make(Gauge, "running", "Requests under way")
        self.held_bytes = make(
            Gauge, "held_bytes", "Bodies of requests, and held answers, in memory, by direction"
        )
        self.config_version = make(Gauge, "config_version", "Configuration in force")
        self.store_up = make(Gauge, "store_up", "1 if the last call to the store succeeded")
        self.store_era = make(Gauge, "store_era", "Newest known era of the store")
        self.gateways = make(Gauge, "gateways", "Gateways by state: heard, possible")

    def observe(
        self, workspace: str, kind: str, result: str, first_s: float | None, total_s: float
    ) -> None:
        """Record the result and the latencies of an admitted request.

        :param first_s: time to the first byte in seconds; None if there was none.
        """
        labels = {"workspace": workspace, "kind": str(kind)}
        if first_s is not None:
            self.first_byte_latency.observe(labels, first_s)
        self.request_latency.observe(labels, total_s)
        self.requests.inc({**labels, "result": result})

    def observe_first_event(self, service: str, expected_s: float, actual_s: float) -> None:
        """Record the time to the first event of an attempt beside the expected one."""
        ratio = actual_s / max(1e-3, expected_s)
        self.first_event_ratio.observe({"service": service}, ratio)

    def count_refusal(self, workspace: str, reason: str) -> None:
        """Count a request that was refused at admission."""
        self.refusals.inc({"workspace": workspace, "reason": reason})

    def count_invalid_answer(self, service: str) -> None:
        """Count an answer of an endpoint that is invalid or exceeds a limit."""
        self.invalid_answers.inc({"service": service})

    def count_connection_end(self, cause: str) -> None:
        """Count the end of a caller's connection that left something unanswered."""
        self.connection_ends.inc({"cause": cause})

    def count_handler_failure(self) -> None:
        """Count a request whose handler raised."""
        self.handler_failures.inc({})

    def count_engine_end(self, service: str) -> None:
        """Count an engine that ended while it ran requests of this gateway."""
        self.engine_ends.inc({"service": service})

    def count_quarantined(self, event: str) -> None:
        """Count an event of the quarantine: a trial, a verdict, a request that was not sent."""
        self.quarantined.inc({"event": event})

    def count_retry(self, service: str, event: str) -> None:
        """Count an event of the retry budget.

        :param event: ``taken``, ``refused``, ``sent`` or ``given_back``.
        """
        self.retries.inc({"service": service, "event": event})

    def observe_retry_wait(self, service: str, wait_s: float) -> None:
        """Record the time from the grant of a retry to its sending, in seconds."""
        self.retry_wait.observe({"service": service}, wait_s)

    def count_take_up(self, source: str) -> None:
        """Count a stream that a caller takes up.

        :param source: what told its software version: ``record``, ``versions``, ``gateway``, or
            ``unknown`` if nothing did.
        """
        self.take_ups.inc({"source": source})

    def count_exposed(self, service: str) -> None:
        """Count a request that is sent to the target of a rollout that runs."""
        self.exposed.inc({"service": service})

    def count_bad_answer(self, service: str) -> None:
        """Count a failed or slow answer of the target of a rollout."""
        self.bad_answers.inc({"service": service})

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in text format and the HTTP header fields that describe it."""
        return render(self.registry, ["text/plain"])
