"""KV cache transfers: import from the store before a run, export of shared prefixes after it."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Sequence

import aiohttp
from eliot import log_message
from result import Ok

from teaselpath.clients import CacheStoreClient
from teaselpath.prefix import CacheIndex, ImportSource, LinkBudget, plan_import

# Below this prefill time, recomputing is cheaper than a store look-up.
MIN_RECOMPUTE_S = 0.02
LOOKUP_TIMEOUT_S = 0.05
IMPORT_TIMEOUT_S = 2.0
EXPORT_TIMEOUT_S = 10.0
# Initial estimate, replaced by the moving average of measured imports.
INITIAL_IMPORT_S_PER_BLOCK = 0.01
SAMPLE_WEIGHT = 0.2
# Blocks that occurred in fewer prompts are rarely requested again.
EXPORT_MIN_USES = 3
MAX_TRACKED_BLOCKS = 20_000


class CacheTransfers:
    """Transfers KV cache blocks between the engine and the cache store.

    :param store: client of the store.
    :param engine_url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param index: index of the blocks in the engine's cache.
    :param link: bandwidth budget of the link to the store's region, None within a region.
    """

    def __init__(
        self,
        store: CacheStoreClient,
        engine_url: str,
        session: aiohttp.ClientSession,
        index: CacheIndex,
        link: LinkBudget | None = None,
    ):
        self.store = store
        self.engine_url = engine_url.rstrip("/")
        self.session = session
        self.index = index
        self.link = link
        self.s_per_block = INITIAL_IMPORT_S_PER_BLOCK
        self.bytes_per_block = 0
        self.uses: OrderedDict[bytes, int] = OrderedDict()
        self.is_exporting = False
        self.imported_blocks = 0

    async def import_missing(self, chain: Sequence[bytes], prefill_s_per_block: float) -> None:
        """Import missing blocks of a chain from the store if that is faster than prefill."""
        matched = self.index.match(chain)
        if (len(chain) - matched) * prefill_s_per_block < MIN_RECOMPUTE_S:
            return
        deadline = asyncio.get_running_loop().time() + LOOKUP_TIMEOUT_S
        match await self.store.lookup(chain[matched:], deadline):
            case Ok(found):
                stored_blocks = matched + _count_leading(chain[matched:], found)
            case _:
                return
        source = ImportSource(
            self.store.url,
            stored_blocks,
            self.s_per_block,
            self.bytes_per_block if self.link else 0,
        )
        plan = plan_import([source], matched, prefill_s_per_block, self.link, time.monotonic())
        if plan is not None:
            await self._import(chain[plan.first : plan.first + plan.blocks])

    async def _import(self, blocks: Sequence[bytes]) -> None:
        started = time.monotonic()
        body = {"hashes": [block.hex() for block in blocks], "source": self.store.url}
        response = await self._post("/cache/import", body, IMPORT_TIMEOUT_S) or {}
        imported = response.get("imported")
        if not imported:
            return
        sample_s = (time.monotonic() - started) / len(imported)
        self.s_per_block += SAMPLE_WEIGHT * (sample_s - self.s_per_block)
        self.bytes_per_block = int(response.get("bytes", 0)) // len(imported)
        self.imported_blocks += len(imported)
        log_message("blocks_imported", count=len(imported))

    async def export_shared(self, chain: Sequence[bytes]) -> None:
        """Count the uses of a chain's blocks and export those that reach ``EXPORT_MIN_USES``."""
        reused = [block for block in chain if self._count_use(block) == EXPORT_MIN_USES]
        if not reused or self.is_exporting:
            return
        self.is_exporting = True
        try:
            body = {"hashes": [block.hex() for block in reused], "target": self.store.url}
            response = await self._post("/cache/export", body, EXPORT_TIMEOUT_S)
            if response:
                log_message("blocks_exported", count=len(response.get("exported", ())))
        finally:
            self.is_exporting = False

    def _count_use(self, block: bytes) -> int:
        count = self.uses.pop(block, 0) + 1
        self.uses[block] = count
        if len(self.uses) > MAX_TRACKED_BLOCKS:
            self.uses.popitem(last=False)
        return count

    async def _post(self, path: str, body: dict, timeout_s: float) -> dict | None:
        """Return the decoded response; None on failure, which only costs a recomputation."""
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session.post(self.engine_url + path, json=body) as response,
            ):
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None


def _count_leading(chain: Sequence[bytes], found: set[bytes]) -> int:
    for position, block in enumerate(chain):
        if block not in found:
            return position
    return len(chain)
