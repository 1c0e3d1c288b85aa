"""Orders to an engine: weights, adapters and roles, with or without fencing."""

import asyncio
from time import monotonic
from typing import Any, Literal

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from standins._http import ConnectionDropped, json_error
from standins.engine._core import EngineCore

# Number of engines that can load weights concurrently at full speed.
MAX_FULL_SPEED_LOADS = 3
LOAD_TIMEOUT_S = 120.0


class OrderRequest(msgspec.Struct):
    """Body of ``POST /orders``."""

    fence: int
    kind: Literal["load_weights", "load_adapter", "set_role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class ActiveLoads:
    """Number of loads in progress at all engines of this process."""

    count = 0


class OrderExecutor:
    """Executes the orders of one engine.

    Without fencing, every order is executed and the load that finishes last wins. With fencing,
    an order below the highest fence received so far is rejected, and the result of a load is
    discarded if an order with a higher fence arrived meanwhile.
    """

    def __init__(self, core: EngineCore, session: ClientSession) -> None:
        self.core = core
        self.session = session
        self.fence = -1
        self.history: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task[dict[str, Any]]] = set()

    def cancel_loads(self) -> None:
        """Cancel the loads in progress, as a crash does; completed loads stay in effect."""
        for task in self.tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel the loads in progress and wait for their end."""
        self.cancel_loads()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def execute(self, order: OrderRequest) -> dict[str, Any]:
        """Execute an order and return its entry in the history."""
        entry = {**msgspec.to_builtins(order), "state": "loading", "received_at": monotonic()}
        self.history.append(entry)
        if self.core.config.fencing and order.fence < self.fence:
            entry["state"] = "refused"
            raise json_error(409, "old fence", fence=self.fence)
        self.fence = max(self.fence, order.fence)
        # The load continues if the caller disconnects.
        task = asyncio.create_task(self._run(order, entry))
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise ConnectionDropped from None
            raise

    def _on_done(self, task: asyncio.Task[dict[str, Any]]) -> None:
        self.tasks.discard(task)
        # Retrieve the exception here, as nobody awaits the task once the caller has disconnected.
        if not task.cancelled():
            task.exception()

    async def _run(self, order: OrderRequest, entry: dict[str, Any]) -> dict[str, Any]:
        if order.kind != "set_role":
            try:
                await self._load(order)
            except (ClientError, TimeoutError) as error:
                entry["state"] = "failed"
                raise json_error(503, f"load failed: {error}") from error
        if self.core.config.fencing and order.fence < self.fence:
            entry["state"] = "overtaken"
            raise json_error(409, "overtaken by a newer order", fence=self.fence)
        self._apply(order)
        entry.update(state="done", done_at=monotonic())
        return entry

    def _apply(self, order: OrderRequest) -> None:
        core = self.core
        match order.kind:
            case "set_role":
                core.role = order.role
            case "load_adapter":
                core.adapters[order.adapter] = order.version
            case "load_weights":
                core.model = order.model or core.model
                core.weights = order.version
                if core.config.clear_cache_on_load:
                    core.cache.clear(monotonic())

    async def _load(self, order: OrderRequest) -> None:
        config = self.core.config
        if config.weight_store_url:
            name = order.adapter or order.model or self.core.model
            url = f"{config.weight_store_url}/weights/{name}/{order.version}"
            timeout = ClientTimeout(total=LOAD_TIMEOUT_S)
            async with self.session.get(url, timeout=timeout, raise_for_status=True) as answer:
                await answer.read()
            return
        ActiveLoads.count += 1
        try:
            slowdown = max(1.0, ActiveLoads.count / MAX_FULL_SPEED_LOADS)
            await asyncio.sleep(config.weight_load_s * slowdown)
        finally:
            ActiveLoads.count -= 1
