"""Orders to the engine: desired state from the bundle, leases on the log, HTTP to the engine."""

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
# Upper bound on how far a load report lags behind the engine, so that it may show old weights.
MAX_REPORT_LAG_S = 1.0


def desired_orders(bundle: Bundle) -> tuple[Order, ...]:
    """Return the desired state of all engines: the models' weights, then the bundle's orders."""
    weights = {model.id: model.weights for model in bundle.models}
    weights_orders = [
        Order(spec.id, "load_weights", model, weights[model])
        for spec in bundle.endpoints
        if spec.kind == "engine"
        for model in spec.models
        if model in weights
    ]
    bundle_orders = [
        Order(order.endpoint, order.kind, order.model, order.version, order.role)
        for order in bundle.orders
    ]
    return (*weights_orders, *bundle_orders)


class OrderService:
    """Sole sender of orders to the engine.

    :param plane: log and settings of this process.
    :param endpoint: id of the endpoint.
    :param url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param spawn: starts a task in the task group of the agent.
    :param wait_for_prefill: returns once the requests already sent have produced a first byte,
        or at the given deadline.
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
        self.weights_unconfirmed_until = float("-inf")
        # Without the log, a weights load sent by a predecessor may still be running until then.
        self.predecessor_load_until = time.monotonic() + LEASE_S + LEASE_GRACE_PERIOD_S
        self.follower = plane.follow(STREAM, self._handle_record)
        if plane.bundle is not None:
            self.on_bundle_changed(plane.bundle)

    def on_bundle_changed(self, bundle: Bundle) -> None:
        """Apply the desired engine state of a bundle."""
        self._act(self.core.handle(DesiredState(desired_orders(bundle)), time.monotonic()))

    def handle_report(self, report: LoadReport) -> None:
        """Handle a load report: the weights, adapters and role that the engine has loaded."""
        weights = frozenset({(report.model, report.weights)} if report.model else ())
        event = EngineReported(
            report.incarnation, weights, frozenset(report.adapters.items()), report.role
        )
        self._act(self.core.handle(event, time.monotonic()))

    def are_weights_confirmed(self, report: LoadReport, now: float) -> bool:
        """Return whether the engine is known to run the weights of its last report.

        They are unconfirmed while an order is in flight, shortly after it, and after start-up of
        this agent, because its predecessor may have sent a load that is still running.
        """
        if self.in_flight or now < self.weights_unconfirmed_until:
            return False
        ledger = self.core.ledger
        is_read = self.follower is not None and self.follower.is_caught_up
        if not (is_read and ledger.is_complete(now)):
            return now >= self.predecessor_load_until
        return not ledger.has_lease_of_other_term(self.core.endpoint, self.core.term, now)

    def tick(self, now: float) -> None:
        """Process the timeouts of the core."""
        self._act(self.core.tick(now))

    def _handle_record(self, record: LogRecord) -> None:
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
            # A request queued in the engine would run on the new weights with the old cache salt.
            await self.wait_for_prefill(action.not_after)
            if time.monotonic() < action.not_after:
                event = await self._post(action)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_message("order_failed", fence=action.fence, error=repr(error))
        finally:
            self.in_flight -= 1
            # An order without a response may still take effect.
            margin_s = MAX_REPORT_LAG_S if isinstance(event, OrderDone) else ORDER_TIMEOUT_S
            self.weights_unconfirmed_until = max(
                self.weights_unconfirmed_until, time.monotonic() + margin_s
            )
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
            self.session.post(self.url + "/orders", json=body) as response,
        ):
            log_message("order_answered", fence=action.fence, status=response.status)
            if response.status == 200:
                return OrderDone(action.fence)
            retry_after = response.headers.get("Retry-After", "0")
            return OrderFailed(action.fence, float(retry_after) if retry_after.isdecimal() else 0.0)
