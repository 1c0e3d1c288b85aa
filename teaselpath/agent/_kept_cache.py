"""Kept KV cache: imports from the store before a run, exports of shared prefixes after it."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Sequence

import aiohttp
from eliot import log_message
from result import Ok

from teaselpath.clients import CacheStoreClient
from teaselpath.prefix import CacheIndex, ImportSource, LinkBudget, plan_import

# Recomputing less than this is not worth asking the store.
MIN_PREFILL_S = 0.02
LOOKUP_TIMEOUT_S = 0.05
IMPORT_TIMEOUT_S = 2.0
EXPORT_TIMEOUT_S = 10.0
# Until an import was measured: time for one block.
FIRST_GUESS_S_PER_BLOCK = 0.01
SAMPLE_WEIGHT = 0.2
# A block is kept once this many requests had it in their prompt; others are rarely asked for again.
KEEP_AFTER_USES = 3
MAX_COUNTED_BLOCKS = 20_000


class KeptCache:
    """Moves blocks between the engine and the store of kept KV cache.

    :param store: client of the store.
    :param engine_url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param index: what the engine has in its cache.
    :param link: budget of the link to the store's region, None within a region.
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
        self.s_per_block = FIRST_GUESS_S_PER_BLOCK
        self.bytes_per_block = 0
        self.uses: OrderedDict[bytes, int] = OrderedDict()
        self.is_exporting = False
        self.imported_blocks = 0

    async def import_missing(self, chain: Sequence[bytes], prefill_s_per_block: float) -> None:
        """Import the blocks of a chain that the engine lacks, if that is faster than prefill."""
        matched = self.index.match(chain)
        if (len(chain) - matched) * prefill_s_per_block < MIN_PREFILL_S:
            return
        deadline = asyncio.get_running_loop().time() + LOOKUP_TIMEOUT_S
        match await self.store.lookup(chain[matched:], deadline):
            case Ok(found):
                held = matched + _leading(chain[matched:], found)
            case _:
                return
        source = ImportSource(
            self.store.url, held, self.s_per_block, self.bytes_per_block if self.link else 0
        )
        plan = plan_import([source], matched, prefill_s_per_block, self.link, time.monotonic())
        if plan is not None:
            await self._import(chain[plan.first : plan.first + plan.blocks])

    async def _import(self, blocks: Sequence[bytes]) -> None:
        started = time.monotonic()
        body = {"hashes": [block.hex() for block in blocks], "source": self.store.url}
        answer = await self._post("/cache/import", body, IMPORT_TIMEOUT_S) or {}
        imported = answer.get("imported")
        if not imported:
            return
        sample_s = (time.monotonic() - started) / len(imported)
        self.s_per_block += SAMPLE_WEIGHT * (sample_s - self.s_per_block)
        self.bytes_per_block = int(answer.get("bytes", 0)) // len(imported)
        self.imported_blocks += len(imported)
        log_message("blocks_imported", count=len(imported))

    async def export_shared(self, chain: Sequence[bytes]) -> None:
        """Count the uses of a chain's blocks and keep those that are used again and again."""
        wanted = [block for block in chain if self._count_use(block) == KEEP_AFTER_USES]
        if not wanted or self.is_exporting:
            return
        self.is_exporting = True
        try:
            body = {"hashes": [block.hex() for block in wanted], "target": self.store.url}
            answer = await self._post("/cache/export", body, EXPORT_TIMEOUT_S)
            if answer:
                log_message("blocks_exported", count=len(answer.get("exported", ())))
        finally:
            self.is_exporting = False

    def _count_use(self, block: bytes) -> int:
        count = self.uses.pop(block, 0) + 1
        self.uses[block] = count
        if len(self.uses) > MAX_COUNTED_BLOCKS:
            self.uses.popitem(last=False)
        return count

    async def _post(self, path: str, body: dict, timeout_s: float) -> dict | None:
        """Return the decoded answer, or None: a failed transfer costs a recomputation only."""
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session.post(self.engine_url + path, json=body) as answer,
            ):
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None


def _leading(chain: Sequence[bytes], found: set[bytes]) -> int:
    for position, block in enumerate(chain):
        if block not in found:
            return position
    return len(chain)
