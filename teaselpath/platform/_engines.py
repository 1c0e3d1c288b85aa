"""Calls to model engines and to KV cache stores."""

from typing import TypeVar

import msgspec

from teaselpath.fleet import (
    CacheChange,
    CacheChanges,
    EngineCallError,
    EngineReport,
    WeightsOrder,
)
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout, Response
from teaselpath.platform._numbers import Count
from teaselpath.platform._requests import parse_hold_off, states_leaving
from teaselpath.utils import Unreadable, decode_json

T = TypeVar("T")

# Largest answer to a call, in bytes; a page of cache events has some hundred KB at most.
MAX_ANSWER_BYTES = 2 << 20
_ORDER_STATUS = {200: "done", 202: "accepted", 409: "busy", 412: "fenced", 421: "elsewhere"}


class _Model(msgspec.Struct):
    name: str
    version: Count = 0


class _Report(msgspec.Struct):
    # Number of orders accepted since start-up.
    seq: Count = 0
    busy: bool = False
    models: list[_Model] = []


class _Events(msgspec.Struct, rename="camel"):
    boot_epoch: Count
    # Cursor for the next call; has nothing to do with tokens.
    next_token: Count
    # Whether changes after the cursor are no longer available.
    lost: bool = False
    # Event number, + or -, scope, part id, tokens cached after the event, model.
    events: list[tuple[int, str, str, str, int, str]] = []


class PlatformEngines:
    """Calls to model engines and cache stores other than callers' requests."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def fetch_report(self, address: str, deadline: float) -> EngineReport:
        """Return the state of an engine."""
        response = await self._call(address, b"GET", b"/-/report", deadline)
        report = _decode(response, _Report)
        weights = {model.name: model.version for model in report.models}
        is_leaving = states_leaving(response.head.headers)
        return EngineReport(report.seq, report.busy, weights, is_leaving)

    async def send_order(self, order: WeightsOrder, deadline: float) -> str:
        """Send an order to load weights after the running requests have finished.

        :returns: ``accepted``, ``done``, ``busy``, ``fenced``, ``elsewhere`` or ``invalid``.
            ``fenced``: the engine refuses the fence; ``elsewhere``: another process replies at
            the address.
        :raises EngineCallError: if the engine did not reply, or wants no calls for a while.
        """
        fields = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "switchMode": "wait",
            "holder": order.holder,
            "fence": order.fence,
        }
        if order.orders_before is not None:
            # The engine refuses the order if it has accepted a different number of orders.
            fields["expect"] = order.orders_before
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Expect-Instance", order.endpoint_id.encode()),
        ]
        body = msgspec.json.encode(fields)
        response = await self._call(
            order.address, b"POST", b"/-/order", deadline, headers, body, needs_proof=True
        )
        if response.head.status == 503:
            raise _refusal(response)
        return _ORDER_STATUS.get(response.head.status, "invalid")

    async def poll_cache_changes(
        self, address: str, cursor: int, wait_s: float, deadline: float
    ) -> CacheChanges:
        """Return cache changes after a cursor; 0 for all changes that are still available."""
        target = b"/-/kv-events?since=%d" % cursor
        headers = [(b"Wait-Ms", b"%d" % (wait_s * 1000))]
        response = await self._call(address, b"GET", target, deadline, headers)
        page = _decode(response, _Events)
        changes = [CacheChange(scope, part, tokens) for _, _, scope, part, tokens, _ in page.events]
        is_leaving = states_leaving(response.head.headers)
        return CacheChanges(page.boot_epoch, page.next_token, page.lost, changes, is_leaving)

    async def _call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        deadline: float,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes = b"",
        *,
        needs_proof: bool = False,
    ) -> Response:
        try:
            return await self.http.call(
                address,
                method,
                target,
                deadline=deadline,
                headers=headers,
                body=body,
                max_body_bytes=MAX_ANSWER_BYTES,
                needs_proof=needs_proof,
            )
        except ConnectFailed as error:
            raise EngineCallError(str(error), is_outcome_unknown=False) from error
        except (ConnectionBroken, ReadTimeout) as error:
            raise EngineCallError(f"no answer: {error!r}", is_outcome_unknown=True) from error


def _decode(response: Response, kind: type[T]) -> T:
    if response.head.status != 200:
        raise _refusal(response)
    try:
        return decode_json(response.body, kind)
    except Unreadable as error:
        reason = f"unreadable answer: {error}"
        raise EngineCallError(reason, is_outcome_unknown=False, has_reply=True) from error


def _refusal(response: Response) -> EngineCallError:
    head = response.head
    hold_off_s, invalid_text = parse_hold_off(head.status, head.headers)
    reason = f"refused with {head.status}"
    if invalid_text is not None:
        reason += f", invalid time {invalid_text}"
    return EngineCallError(reason, is_outcome_unknown=False, has_reply=True, hold_off_s=hold_off_s)
