"""Prometheus metrics of a process."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.72,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    float("inf"),
)


class Metrics:
    """Metrics of one process in a separate registry.

    :param role: ``entry`` or ``agent``, a label on each series.
    :param host: own host name, a label on each series.
    """

    def __init__(self, role: str, host: str):
        self.registry = Registry()
        labels = {"role": role, "host": host}

        def make(kind, name, doc, **options):
            return kind(f"teaselpath_{name}", doc, labels, registry=self.registry, **options)

        self.first_token = make(
            Histogram,
            "first_token_seconds",
            "Time from arrival to the first byte of the answer, by workspace and class",
            buckets=LATENCY_BUCKETS_S,
        )
        self.total_time = make(
            Histogram,
            "request_seconds",
            "Time from arrival to the end of the answer, by workspace and class",
            buckets=LATENCY_BUCKETS_S,
        )
        self.requests = make(Counter, "requests_total", "Requests by workspace, class and code")
        self.tokens = make(
            Counter, "tokens_total", "Tokens by workspace and kind: prompt, cached, output"
        )
        self.running = make(Gauge, "running", "Requests that are running")
        self.queued = make(Gauge, "queued", "Requests that wait for a slot")
        self.bundle_version = make(Gauge, "bundle_version", "Version of the bundle in force")
        self.config_offset = make(Gauge, "config_offset", "Log offset of the bundle in force")
        self.log_up = make(Gauge, "log_up", "1 if the last call to the log succeeded")
        self.members = make(Gauge, "members", "Known members by state")
        self.control_bytes = make(Gauge, "control_bytes", "Bytes sent between nodes")
        self.malformed = make(Gauge, "malformed_messages", "Messages that could not be decoded")

    def observe_request(
        self,
        workspace: str,
        request_class: str,
        code: str,
        first_byte_s: float | None,
        total_s: float,
    ) -> None:
        """Count one finished request.

        :param first_byte_s: time to the first byte in seconds, None if there was none.
        """
        labels = {"workspace": workspace, "class": request_class}
        if first_byte_s is not None:
            self.first_token.observe(labels, first_byte_s)
        self.total_time.observe(labels, total_s)
        self.requests.inc({**labels, "code": code})

    def observe_tokens(self, workspace: str, prompt: int, cached: int, output: int) -> None:
        """Count the tokens of one finished request."""
        for kind, count in (("prompt", prompt), ("cached", cached), ("output", output)):
            self.tokens.add({"workspace": workspace, "kind": kind}, count)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Render the metrics in a format from the Accept header; return body and HTTP headers."""
        return render(self.registry, accept)
