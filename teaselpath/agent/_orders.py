"""Orders to the engine: wanted state from the bundle, leases on the log, HTTP to the engine."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
from eliot import log_message

from teaselpath.agent._engine import LoadReport
from teaselpath.bundle import Bundle
from teaselpath.clients import LogRecord
from teaselpath.control import ControlPlane
from teaselpath.orders import (
    LEASE_GRACE_PERIOD_S,
    LEASE_S,
    STREAM,
    DesiredState,
    EngineReported,
    LoadRecord,
    Order,
    OrderCore,
    OrderDone,
    OrderFailed,
    SendOrder,
)
from teaselpath.wire import Append

ORDER_TIMEOUT_S = 30.0
# A report is older than it looks by at most this much, so a switch of weights may not show yet.
REPORT_MARGIN_S = 1.0


def wanted_orders(bundle: Bundle) -> tuple[Order, ...]:
    """Return the wanted state of all engines: the models' weights, then the explicit orders."""
    weights = {model.id: model.weights for model in bundle.models}
    implied = [
        Order(spec.id, "load_weights", model, weights[model])
        for spec in bundle.endpoints
        if spec.kind == "engine"
        for model in spec.models
        if model in weights
    ]
    explicit = [
        Order(order.endpoint, order.kind, order.model, order.version, order.role)
        for order in bundle.orders
    ]
    return (*implied, *explicit)


class OrderService:
    """The only sender of orders to the engine.

    :param plane: log and settings of this process.
    :param endpoint: id of the endpoint.
    :param url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param spawn: starts a task whose life is bound to the agent.
    :param wait_for_prefill: returns once the requests that were sent before have their first byte,
        or at a deadline.
    """

    def __init__(
        self,
        plane: ControlPlane,
        endpoint: str,
        url: str,
        session: aiohttp.ClientSession,
        spawn: Callable,
        wait_for_prefill: Callable[[float], Awaitable[None]],
    ):
        self.plane = plane
        self.url = url.rstrip("/")
        self.session = session
        self.spawn = spawn
        self.wait_for_prefill = wait_for_prefill
        self.core = OrderCore(endpoint, f"{plane.settings.host}/{plane.incarnation}")
        self.in_flight = 0
        self.unsettled_until = float("-inf")
        # Without the log it is not known whether a predecessor sent a load that has not ended.
        self.predecessor_until = time.monotonic() + LEASE_S + LEASE_GRACE_PERIOD_S
        self.follower = plane.follow(STREAM, self._take_record)
        if plane.bundle is not None:
            self.bundle_changed(plane.bundle)

    def bundle_changed(self, bundle: Bundle) -> None:
        """Take the wanted state of a bundle."""
        self._act(self.core.handle(DesiredState(wanted_orders(bundle)), time.monotonic()))

    def engine_seen(self, report: LoadReport) -> None:
        """Take what the engine reports to have loaded."""
        weights = frozenset({(report.model, report.weights)} if report.model else ())
        seen = EngineReported(
            report.incarnation, weights, frozenset(report.adapters.items()), report.role
        )
        self._act(self.core.handle(seen, time.monotonic()))

    def are_weights_certain(self, report: LoadReport, now: float) -> bool:
        """Return whether the engine surely runs the weights that it reported last.

        They are in doubt while a load is under way, shortly after one, and after a start of this
        agent, whose predecessor may have sent a load that has not ended.
        """
        if self.in_flight or now < self.unsettled_until:
            return False
        ledger = self.core.ledger
        is_read = self.follower is not None and self.follower.is_caught_up
        if not (is_read and ledger.is_complete(now)):
            return now >= self.predecessor_until
        return not ledger.has_lease_of_other_term(self.core.endpoint, self.core.term, now)

    def tick(self, now: float) -> None:
        """Apply the deadlines."""
        self._act(self.core.tick(now))

    def _take_record(self, record: LogRecord) -> None:
        event = LoadRecord(record.offset, record.age_ms, record.data)
        self._act(self.core.handle(event, time.monotonic()))

    def _act(self, actions: list) -> None:
        for action in actions:
            match action:
                case SendOrder():
                    self.in_flight += 1
                    self.spawn(self._send(action))
                case Append():
                    self.plane.append(action)

    async def _send(self, action: SendOrder) -> None:
        order = action.order
        log_message("order_sent", kind=order.kind, version=order.version, fence=action.fence)
        event: OrderDone | OrderFailed = OrderFailed(action.fence)
        try:
            # A request that waits inside the engine would find new weights but an old cache salt.
            await self.wait_for_prefill(action.not_after)
            if time.monotonic() < action.not_after:
                event = await self._post(action)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_message("order_failed", fence=action.fence, error=repr(error))
        finally:
            self.in_flight -= 1
            # An order without an answer may still take effect.
            margin_s = REPORT_MARGIN_S if isinstance(event, OrderDone) else ORDER_TIMEOUT_S
            self.unsettled_until = max(self.unsettled_until, time.monotonic() + margin_s)
        self._act(self.core.handle(event, time.monotonic()))

    async def _post(self, action: SendOrder) -> OrderDone | OrderFailed:
        order = action.order
        body = {
            "fence": action.fence,
            "kind": order.kind,
            "model": order.model,
            "version": order.version,
            "role": order.role,
        }
        async with (
            asyncio.timeout(ORDER_TIMEOUT_S),
            self.session.post(self.url + "/orders", json=body) as answer,
        ):
            log_message("order_answered", fence=action.fence, status=answer.status)
            if answer.status == 200:
                return OrderDone(action.fence)
            retry_after = answer.headers.get("Retry-After", "0")
            return OrderFailed(action.fence, float(retry_after) if retry_after.isdecimal() else 0.0)
