"""State of a request in flight."""

from dataclasses import dataclass, field

from teaselpath.dispatch import (
    LONG_PROMPT_TOKENS,
    Placed,
    Progress,
    Reservation,
    RetryGrant,
    caller_gap_limit_s,
)
from teaselpath.fleet import AnswerInfo, CallerRequest, RequestKind, Route, Service, Workspace
from teaselpath.gateway._events import EventSplitter
from teaselpath.quarantine import Claim, whole_request


@dataclass(slots=True)
class Call:
    """A request in flight.

    :param deadline: event loop time at which the caller stops waiting.
    :param number: its number among the requests whose time is observed; 0 before admission.
    :param tried: ids of the endpoints of its attempts, including failed connections; they are
        excluded from placement.
    :param attempts: endpoint, outcome and duration of each attempt, for the log.
    :param was_sent: whether an attempt is in flight, or ran or may have run.
    :param retry: a retry that was taken from the budget and not sent yet; None if there is none.
    :param retry_waits: times from the grant of each retry to its sending in seconds, for the log.
    :param lost_engine: whether the engine of its last attempt ended before it answered.
    :param checked_until: event loop time until which that is found out; 0 if it is known.
    :param trial: its claim, if it is sent to find out whether its prompt crashes engines.
    :param tokens: tokens charged to the workspace's quota.
    :param has_begun: whether an engine has brought an event of the stream, to this request or, if
        it takes the stream up, to an earlier one of its caller.
    :param software: software version of that engine, the only one at which the stream may go on;
        None if it is not known.
    :param known_digest: its digest, once it was needed.
    :param reads_slowly: whether its stream was broken off because its caller reads too slowly.
    :param first_event_s: expected and actual time to the first event of the attempt that brought
        it, in seconds; None if times are not learned.
    :param room: what was known of the room at engines when it was rejected for its aim, for the
        log.
    :param takes_target: whether a rollout of software tries its target on this request; None if
        that is not decided.
    :param reservation: its load at the endpoint of the current attempt; None between attempts.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: float
    deadline: float
    number: int = 0
    progress: Progress = field(default_factory=Progress)
    tried: set[str] = field(default_factory=set)
    attempts: list[tuple[str, str, float]] = field(default_factory=list)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    was_sent: bool = False
    retry: RetryGrant | None = None
    retry_waits: list[float] = field(default_factory=list)
    lost_engine: bool = False
    checked_until: float = 0.0
    trial: Claim | None = None
    tokens: int = 0
    first_byte_at: float | None = None
    answer: AnswerInfo | None = None
    answer_body: bytes = b""
    placed: Placed | None = None
    reservation: Reservation | None = None
    has_begun: bool = False
    software: str | None = None
    known_digest: str | None = None
    reads_slowly: bool = False
    first_event_s: tuple[float, float] | None = None
    room: dict[str, float | bool] | None = None
    takes_target: bool | None = None

    def __post_init__(self) -> None:
        """Expect the events after the one at which the caller resumes its stream."""
        if self.route.is_resumable:
            self.splitter.resume_after(self.request.last_event_id)

    @property
    def takes_up(self) -> bool:
        """Return whether the caller takes up a stream of which it has a part."""
        is_stream = self.route.kind is RequestKind.STREAM
        return is_stream and self.request.last_event_id is not None

    @property
    def can_go_on(self) -> bool:
        """Return whether another engine can continue the stream of which the caller has a part."""
        return self.splitter.can_resume and (self.software is not None or not self.has_begun)

    @property
    def digest(self) -> str:
        """Return what this request has in common with equal ones of its caller."""
        if self.known_digest is None:
            self.known_digest = self.request.digest(self.workspace.name if self.workspace else None)
        return self.known_digest

    @property
    def parts(self) -> tuple[str, ...]:
        """Return the keys of all that may crash an engine.

        They are that of the request as a whole, and those of the prompt parts that others share.
        """
        whole, prompt = whole_request(self.digest), self.request.prompt
        if prompt is None or self.service.engine is None:
            return (whole,)
        return (whole, *prompt.shared_keys)

    @property
    def kind(self) -> tuple[str, bool]:
        """Return what requests that take a similar time have in common: route, long prompt."""
        prompt = self.request.prompt
        return self.route.name, prompt is not None and prompt.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def abandoned_at(self) -> float:
        """Return when the caller leaves if no answer has begun, in event loop time."""
        return self.arrived_at + caller_gap_limit_s(self.route)

    @property
    def priority(self) -> int:
        """Return the workspace's priority if it has one, else the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
