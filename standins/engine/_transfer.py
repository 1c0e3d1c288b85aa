"""Export and import of KV cache blocks."""

import asyncio
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins._http import ConnectionDropped, json_error, json_response
from standins.engine._cache import Block
from standins.engine._core import EngineCore

TRANSFER_TIMEOUT_S = 60.0


class ExportedBlock(msgspec.Struct):
    """Wire format of a block: its metadata, and filler bytes in place of the KV data."""

    block: Block
    data: bytes


class Transfer:
    """Block transfers of one engine."""

    def __init__(self, core: EngineCore, session: ClientSession) -> None:
        self.core = core
        self.session = session
        self.timeout = ClientTimeout(total=TRANSFER_TIMEOUT_S)

    async def export_blocks(self, body: Any) -> web.Response:
        """Reply with ``{"blocks"}``, or save to ``target``: ``{"exported", "bytes"}``."""
        hashes = _hashes(body)
        filler = bytes(self.core.config.kv_block_bytes)
        exported = [ExportedBlock(b, filler) for b in self.core.export_blocks(hashes)]
        target = body.get("target")
        if not target:
            return json_response({"blocks": exported})
        total = 0
        try:
            for item in exported:
                data = msgspec.json.encode(item)
                total += len(data)
                url = f"{target}/blocks/{item.block.hash}"
                async with self.session.put(url, data=data, timeout=self.timeout) as answer:
                    answer.raise_for_status()
        except (ClientError, TimeoutError) as error:
            raise json_error(502, f"export failed: {error}") from error
        return json_response({"exported": [e.block.hash for e in exported], "bytes": total})

    async def import_blocks(self, body: Any) -> web.Response:
        """Fetch blocks from ``source``; the reply is ``{"imported", "bytes"}``."""
        hashes = _hashes(body)
        source = str(body.get("source", ""))
        incarnation = self.core.incarnation
        try:
            data = await self._from_engine(source, hashes)
            if data is None:
                data = await self._from_store(source, hashes)
        except (ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise json_error(502, f"import failed: {error}") from error
        blocks = [msgspec.json.decode(item, type=ExportedBlock).block for item in data]
        total = sum(len(item) for item in data)
        if self.core.config.transfer_bytes_per_s:
            await asyncio.sleep(total / self.core.config.transfer_bytes_per_s)
        if incarnation != self.core.incarnation:
            raise ConnectionDropped
        requested = set(hashes)
        blocks = [b for b in blocks if b.hash in requested]
        self.core.import_blocks(blocks, asyncio.get_running_loop().time())
        return json_response({"imported": [b.hash for b in blocks], "bytes": total})

    async def _from_engine(self, source: str, hashes: list[str]) -> list[bytes] | None:
        url = f"{source}/cache/export"
        async with self.session.post(url, json={"hashes": hashes}, timeout=self.timeout) as answer:
            # Only engines have this path, so a 404 means that the source is a store.
            if answer.status == 404:
                return None
            answer.raise_for_status()
            body = msgspec.json.decode(await answer.read())
        return [msgspec.json.encode(item) for item in body["blocks"]]

    async def _from_store(self, source: str, hashes: list[str]) -> list[bytes]:
        encoded_blocks = []
        for block_hash in hashes:
            url = f"{source}/blocks/{block_hash}"
            async with self.session.get(url, timeout=self.timeout) as answer:
                if answer.status == 404:
                    break
                answer.raise_for_status()
                encoded_blocks.append(await answer.read())
        return encoded_blocks


def _hashes(body: Any) -> list[str]:
    try:
        hashes = [str(h) for h in body["hashes"]]
        for block_hash in hashes:
            bytes.fromhex(block_hash)
    except (TypeError, KeyError, ValueError) as error:
        raise json_error(400, f"malformed hashes: {error}") from error
    return hashes
