"""Orders of one engine: from the wanted state to orders with fencing numbers."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from zlib import crc32

from teaselpath.orders._ledger import GUARD_S, LEASE_S, MAX_LOADS, LoadLedger
from teaselpath.orders._records import STREAM, Claim, LoadRecord, Release, Turn, encode_record
from teaselpath.wire import Append

LOAD_KINDS = frozenset({"load_weights", "load_adapter"})
# An append whose record was not read by then is sent again.
APPEND_RETRY_S = 3.0
# A load starts only if this much of its lease is left, so that it usually ends within the lease.
MIN_LEFT_S = 10.0
# Pause after an order ended, and unit of the pause after a rejected claim.
RETRY_S = 1.0
# Rejected claims wait up to this many times longer, each by another part of it. Otherwise all
# engines that wait would claim at once whenever a lease ends.
MAX_BACKOFF = 16
# Engines that want a load take turns in groups of MAX_LOADS; the log takes a few hundred appends/s
# and 2,400 claims at once would be refused almost all.
STAGGER_S = 1.5


@dataclass(slots=True, frozen=True)
class Order:
    """One wanted property of an engine, as an entry of ``orders`` in the bundle.

    :param kind: ``load_weights``, ``load_adapter`` or ``set_role``.
    """

    endpoint: str
    kind: str
    model: str = ""
    version: str = ""
    role: str = ""


@dataclass(slots=True, frozen=True)
class DesiredState:
    """Orders of the accepted bundle, for all engines; later ones override earlier ones."""

    orders: tuple[Order, ...]


@dataclass(slots=True, frozen=True)
class EngineReported:
    """State that the engine reported.

    :param weights: served model and weights version as ``(model, version)`` pairs.
    :param adapters: loaded adapters as ``(name, version)`` pairs.
    """

    incarnation: str
    weights: frozenset[tuple[str, str]] = frozenset()
    adapters: frozenset[tuple[str, str]] = frozenset()
    role: str = ""


@dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to the engine, unless ``not_after`` has passed when it is about to be sent.

    :param fence: higher than that of each earlier order to this engine.
    """

    fence: int
    order: Order
    not_after: float


@dataclass(slots=True, frozen=True)
class OrderDone:
    """The engine carried an order out."""

    fence: int


@dataclass(slots=True, frozen=True)
class OrderFailed:
    """An order failed, was not sent in time, or its outcome is unknown.

    :param retry_after_s: from the weight store's or the engine's 429; 0 if unknown.
    """

    fence: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Attempt:
    """One order on its way: claim appended, then granted (``fence`` set), then sent."""

    order: Order
    record: bytes
    lease: str
    deadline: float
    retry_at: float
    fence: int = -1


@dataclass(slots=True)
class _TurnWanted:
    record: bytes = b""
    retry_at: float = float("-inf")


@dataclass(slots=True)
class OrderCore:
    """The only sender of orders to one engine.

    :param endpoint: id of the engine's endpoint.
    :param sender: unique name of this process; a restarted process has another one.
    """

    endpoint: str
    sender: str
    ledger: LoadLedger = field(default_factory=LoadLedger)
    wanted: tuple[Order, ...] = ()
    position: int = 0
    engine: EngineReported | None = None
    attempt: _Attempt | None = None
    turn: _TurnWanted = field(default_factory=_TurnWanted)
    term: int = -1
    is_superseded: bool = False
    last_fence: int = -1
    not_before: float = float("-inf")
    serial: int = 0
    rejections: int = 0

    def handle(
        self,
        event: DesiredState | LoadRecord | OrderDone | OrderFailed | EngineReported,
        now: float,
    ) -> list[SendOrder | Append]:
        """Apply an event and return what is to be sent or appended."""
        actions: list[SendOrder | Append] = []
        match event:
            case DesiredState(orders=orders):
                self._want(orders, now)
            case LoadRecord():
                actions += self._read(event, now)
            case OrderDone(fence=fence):
                actions += self._end(fence, now)
            case OrderFailed(fence=fence, retry_after_s=retry_after_s):
                actions += self._end(fence, now)
                self.not_before = max(self.not_before, now + max(retry_after_s, RETRY_S))
            case EngineReported():
                self.engine = event
        return actions + self.tick(now)

    def tick(self, now: float) -> list[SendOrder | Append]:
        """Return the next step, if one is due."""
        if self.is_superseded or self.engine is None:
            return []
        if self.attempt is not None:
            return self._retry_claim(self.attempt, now)
        order = self._next_order()
        if order is None or now < self.not_before:
            return []
        if self.term < 0:
            return self._ask_turn(now)
        return self._claim(order, now)

    def _want(self, orders: Sequence[Order], now: float) -> None:
        latest = {(o.endpoint, o.kind, o.model if o.kind in LOAD_KINDS else ""): o for o in orders}
        wanted = tuple(order for order in latest.values() if order.endpoint == self.endpoint)
        if wanted == self.wanted:
            return
        self.wanted = wanted
        loading = sorted({o.endpoint for o in latest.values() if o.kind in LOAD_KINDS})
        group = loading.index(self.endpoint) // MAX_LOADS if self.endpoint in loading else 0
        self.not_before = max(self.not_before, now + group * STAGGER_S)

    def _next_order(self) -> Order | None:
        return next((order for order in self.wanted if not self._is_met(order)), None)

    def _is_met(self, order: Order) -> bool:
        engine = self.engine
        assert engine is not None
        match order.kind:
            case "load_weights":
                return (order.model, order.version) in engine.weights
            case "load_adapter":
                return (order.model, order.version) in engine.adapters
        return order.role == engine.role

    def _ask_turn(self, now: float) -> list[SendOrder | Append]:
        if now < self.turn.retry_at:
            return []
        if not self.turn.record:
            record = Turn(self.sender, self.endpoint, self.ledger.last)
            self.turn.record = encode_record(record)
        self.turn.retry_at = now + APPEND_RETRY_S
        return [Append(STREAM, self.turn.record)]

    def _claim(self, order: Order, now: float) -> list[SendOrder | Append]:
        """Append a claim, once nothing else may be under way at the engine and a slot is free."""
        load = order.kind in LOAD_KINDS
        active = self.ledger.active(now)
        if self.ledger.is_held_by_other(self.endpoint, self.term, now):
            return []
        if not self.ledger.is_complete(now) or (load and active >= MAX_LOADS):
            return []
        self.serial += 1
        lease = f"{self.sender}.{self.serial}"
        claim = Claim(lease, self.endpoint, self.term, load, self.ledger.last, active)
        data = encode_record(claim)
        self.attempt = _Attempt(order, data, lease, now + LEASE_S, now + APPEND_RETRY_S)
        return [Append(STREAM, data)]

    def _retry_claim(self, attempt: _Attempt, now: float) -> list[SendOrder | Append]:
        if attempt.fence >= 0:
            if now > attempt.deadline + GUARD_S:
                # Nobody reported the order's end; the lease has ended for all readers too.
                self.attempt = None
            return []
        if now < attempt.retry_at:
            return []
        if attempt.deadline - now < MIN_LEFT_S:
            # Too late to be of use; a record that is still under way is released when it is read.
            self.attempt = None
            return []
        attempt.retry_at = now + APPEND_RETRY_S
        return [Append(STREAM, attempt.record)]

    def _read(self, record: LoadRecord, now: float) -> list[SendOrder | Append]:
        applied = self.ledger.handle(record, now)
        term, sender = self.ledger.term(self.endpoint)
        if sender == self.sender:
            self.term = term
        elif self.term >= 0 and term > self.term:
            self.is_superseded = True
        if record.data == self.turn.record:
            # If the turn was void, the next one has a newer base.
            self.turn = _TurnWanted()
        match applied:
            case Claim(endpoint=self.endpoint, lease=lease):
                return self._granted(lease, record.offset, now)
        return self._rejected(record, now)

    def _granted(self, lease: str, offset: int, now: float) -> list[SendOrder | Append]:
        if not lease.startswith(f"{self.sender}."):
            return []
        attempt = self.attempt
        if attempt is None or attempt.lease != lease:
            return [self._release(lease)]
        if attempt.fence >= 0:
            return []
        is_late = attempt.deadline - now < MIN_LEFT_S
        is_wanted = attempt.order in self.wanted and not self._is_met(attempt.order)
        if is_late or not is_wanted or self.is_superseded or offset <= self.last_fence:
            self.attempt = None
            return [self._release(lease)]
        self.rejections = 0
        attempt.fence = self.last_fence = offset
        return [SendOrder(offset, attempt.order, attempt.deadline)]

    def _rejected(self, record: LoadRecord, now: float) -> list[SendOrder | Append]:
        attempt = self.attempt
        if attempt is not None and attempt.fence < 0 and record.data == attempt.record:
            self.attempt = None
            self.rejections += 1
            part = 0.5 + crc32(attempt.lease.encode()) / 2**33
            backoff = part * min(MAX_BACKOFF, 2**self.rejections)
            self.not_before = max(self.not_before, now + RETRY_S * backoff)
        return []

    def _end(self, fence: int, now: float) -> list[SendOrder | Append]:
        attempt = self.attempt
        if attempt is None or attempt.fence != fence:
            return []
        self.attempt = None
        # The engine's own report decides what is still to do; it may be a moment old.
        self.not_before = max(self.not_before, now + RETRY_S)
        return [self._release(attempt.lease)]

    def _release(self, lease: str) -> Append:
        return Append(STREAM, encode_record(Release(lease, self.endpoint)))
