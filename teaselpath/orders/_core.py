"""Orders to one engine: from its desired state to orders with fencing numbers."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from zlib import crc32

from teaselpath.orders._ledger import LEASE_GRACE_PERIOD_S, LEASE_S, MAX_LOADS, LoadLedger
from teaselpath.orders._records import STREAM, Claim, LoadRecord, Release, Turn, encode_record
from teaselpath.wire import Append

LOAD_KINDS = frozenset({"load_weights", "load_adapter"})
# An append is retried if its record was not read within this time.
APPEND_RETRY_S = 3.0
# A load is started only with this much of its lease left, so that it usually ends within the lease.
MIN_REMAINING_LEASE_S = 10.0
# Delay after the end of an order, and base delay of the backoff after a rejected claim.
RETRY_INTERVAL_S = 1.0
# Limit of the exponential backoff after rejected claims, which has jitter: otherwise all waiting
# engines would claim at the same time whenever a lease ends.
MAX_BACKOFF_FACTOR = 16
# Delay between groups of MAX_LOADS engines that need a load. The log accepts a few hundred
# appends/s, and almost all of 2,400 simultaneous claims would be rejected, because at most
# MAX_LOADS of them can be granted.
STAGGER_INTERVAL_S = 1.5


@dataclass(slots=True, frozen=True)
class Order:
    """A desired property of an engine, as in an entry of ``orders`` in the bundle.

    :param kind: ``load_weights``, ``load_adapter`` or ``set_role``.
    """

    endpoint: str
    kind: str
    model: str = ""
    version: str = ""
    role: str = ""


@dataclass(slots=True, frozen=True)
class DesiredState:
    """Orders of the accepted bundle for all engines; later orders override earlier ones."""

    orders: tuple[Order, ...]


@dataclass(slots=True, frozen=True)
class EngineReported:
    """State that the engine reported.

    :param weights: served models and weights versions as ``(model, version)`` pairs.
    :param adapters: loaded adapters as ``(name, version)`` pairs.
    """

    incarnation: str
    weights: frozenset[tuple[str, str]] = frozenset()
    adapters: frozenset[tuple[str, str]] = frozenset()
    role: str = ""


@dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to the engine.

    :param fence: fencing number; greater than those of all earlier orders to this engine.
    :param not_after: deadline of the attempt, after which the order must not be sent.
    """

    fence: int
    order: Order
    not_after: float


@dataclass(slots=True, frozen=True)
class OrderDone:
    """The engine completed an order."""

    fence: int


@dataclass(slots=True, frozen=True)
class OrderFailed:
    """An order failed, was not sent in time, or its outcome is unknown.

    :param retry_after_s: delay from a 429 response of the weight store or the engine; 0 if none.
    """

    fence: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Attempt:
    """An order in progress: claim appended, then granted (``fence`` set), then sent."""

    order: Order
    record: bytes
    lease: str
    deadline: float
    retry_at: float
    fence: int = -1


@dataclass(slots=True)
class _TurnRequest:
    """Turn record that was appended but not read yet; empty if there is none."""

    record: bytes = b""
    retry_at: float = float("-inf")


@dataclass(slots=True)
class OrderCore:
    """Sends orders to one engine while this process has the last valid turn for it.

    :param endpoint: id of the engine's endpoint.
    :param sender: unique name of this process, which changes with a restart.
    :param term: offset of this process's last valid turn; -1 if none.
    :param is_superseded: whether another process has a later valid turn.
    :param not_before: time before which no new turn or claim is appended.
    """

    endpoint: str
    sender: str
    ledger: LoadLedger = field(default_factory=LoadLedger)
    desired: tuple[Order, ...] = ()
    position: int = 0
    engine: EngineReported | None = None
    attempt: _Attempt | None = None
    turn: _TurnRequest = field(default_factory=_TurnRequest)
    term: int = -1
    is_superseded: bool = False
    last_fence: int = -1
    not_before: float = float("-inf")
    claim_count: int = 0
    rejections: int = 0

    def handle(
        self,
        event: DesiredState | LoadRecord | OrderDone | OrderFailed | EngineReported,
        now: float,
    ) -> list[SendOrder | Append]:
        """Apply an event and return the orders to send and the records to append."""
        actions: list[SendOrder | Append] = []
        match event:
            case DesiredState(orders=orders):
                self._set_desired_orders(orders, now)
            case LoadRecord():
                actions += self._handle_record(event, now)
            case OrderDone(fence=fence):
                actions += self._finish_attempt(fence, now)
            case OrderFailed(fence=fence, retry_after_s=retry_after_s):
                actions += self._finish_attempt(fence, now)
                self.not_before = max(self.not_before, now + max(retry_after_s, RETRY_INTERVAL_S))
            case EngineReported():
                self.engine = event
        return actions + self.tick(now)

    def tick(self, now: float) -> list[SendOrder | Append]:
        """Return the record to append next, if one is due."""
        if self.is_superseded or self.engine is None:
            return []
        if self.attempt is not None:
            return self._tick_attempt(self.attempt, now)
        order = self._next_order()
        if order is None or now < self.not_before:
            return []
        if self.term < 0:
            return self._request_turn(now)
        return self._claim(order, now)

    def _set_desired_orders(self, orders: Sequence[Order], now: float) -> None:
        latest = {(o.endpoint, o.kind, o.model if o.kind in LOAD_KINDS else ""): o for o in orders}
        desired = tuple(order for order in latest.values() if order.endpoint == self.endpoint)
        if desired == self.desired:
            return
        self.desired = desired
        loading_endpoints = sorted({o.endpoint for o in latest.values() if o.kind in LOAD_KINDS})
        group = (
            loading_endpoints.index(self.endpoint) // MAX_LOADS
            if self.endpoint in loading_endpoints
            else 0
        )
        self.not_before = max(self.not_before, now + group * STAGGER_INTERVAL_S)

    def _next_order(self) -> Order | None:
        return next((order for order in self.desired if not self._is_satisfied(order)), None)

    def _is_satisfied(self, order: Order) -> bool:
        engine = self.engine
        assert engine is not None
        match order.kind:
            case "load_weights":
                return (order.model, order.version) in engine.weights
            case "load_adapter":
                return (order.model, order.version) in engine.adapters
        return order.role == engine.role

    def _request_turn(self, now: float) -> list[SendOrder | Append]:
        if now < self.turn.retry_at:
            return []
        if not self.turn.record:
            record = Turn(self.sender, self.endpoint, self.ledger.last_offset)
            self.turn.record = encode_record(record)
        self.turn.retry_at = now + APPEND_RETRY_S
        return [Append(STREAM, self.turn.record)]

    def _claim(self, order: Order, now: float) -> list[SendOrder | Append]:
        """Append a claim unless a reason against it may exist.

        The reasons are an order of another sender in flight, leases that are unknown after a gap in
        the records, and, for a load, that no load slot is free.
        """
        load = order.kind in LOAD_KINDS
        active = self.ledger.count_active_loads(now)
        if self.ledger.has_lease_of_other_term(self.endpoint, self.term, now):
            return []
        if not self.ledger.is_complete(now) or (load and active >= MAX_LOADS):
            return []
        self.claim_count += 1
        lease = f"{self.sender}.{self.claim_count}"
        claim = Claim(lease, self.endpoint, self.term, load, self.ledger.last_offset, active)
        data = encode_record(claim)
        self.attempt = _Attempt(order, data, lease, now + LEASE_S, now + APPEND_RETRY_S)
        return [Append(STREAM, data)]

    def _tick_attempt(self, attempt: _Attempt, now: float) -> list[SendOrder | Append]:
        if attempt.fence >= 0:
            if now > attempt.deadline + LEASE_GRACE_PERIOD_S:
                # The end of the order was not reported; the lease has ended for all readers too.
                self.attempt = None
            return []
        if now < attempt.retry_at:
            return []
        if attempt.deadline - now < MIN_REMAINING_LEASE_S:
            # Too late to start; if the claim is still in flight and is granted, its lease is
            # released when the claim is read.
            self.attempt = None
            return []
        attempt.retry_at = now + APPEND_RETRY_S
        return [Append(STREAM, attempt.record)]

    def _handle_record(self, record: LoadRecord, now: float) -> list[SendOrder | Append]:
        applied = self.ledger.handle(record, now)
        term, sender = self.ledger.latest_turn(self.endpoint)
        if sender == self.sender:
            self.term = term
        elif self.term >= 0 and term > self.term:
            self.is_superseded = True
        if record.data == self.turn.record:
            # If the turn was invalid, the next one has a newer base.
            self.turn = _TurnRequest()
        match applied:
            case Claim(endpoint=self.endpoint, lease=lease):
                return self._handle_grant(lease, record.offset, now)
        return self._handle_rejection(record, now)

    def _handle_grant(self, lease: str, offset: int, now: float) -> list[SendOrder | Append]:
        if not lease.startswith(f"{self.sender}."):
            return []
        attempt = self.attempt
        if attempt is None or attempt.lease != lease:
            return [self._release(lease)]
        if attempt.fence >= 0:
            return []
        is_late = attempt.deadline - now < MIN_REMAINING_LEASE_S
        is_still_desired = attempt.order in self.desired and not self._is_satisfied(attempt.order)
        if is_late or not is_still_desired or self.is_superseded or offset <= self.last_fence:
            self.attempt = None
            return [self._release(lease)]
        self.rejections = 0
        attempt.fence = self.last_fence = offset
        return [SendOrder(offset, attempt.order, attempt.deadline)]

    def _handle_rejection(self, record: LoadRecord, now: float) -> list[SendOrder | Append]:
        attempt = self.attempt
        if attempt is not None and attempt.fence < 0 and record.data == attempt.record:
            self.attempt = None
            self.rejections += 1
            jitter = 0.5 + crc32(attempt.lease.encode()) / 2**33
            backoff = jitter * min(MAX_BACKOFF_FACTOR, 2**self.rejections)
            self.not_before = max(self.not_before, now + RETRY_INTERVAL_S * backoff)
        return []

    def _finish_attempt(self, fence: int, now: float) -> list[SendOrder | Append]:
        attempt = self.attempt
        if attempt is None or attempt.fence != fence:
            return []
        self.attempt = None
        # The engine's report decides whether the order is satisfied; wait, because it may lag.
        self.not_before = max(self.not_before, now + RETRY_INTERVAL_S)
        return [self._release(attempt.lease)]

    def _release(self, lease: str) -> Append:
        return Append(STREAM, encode_record(Release(lease, self.endpoint)))
