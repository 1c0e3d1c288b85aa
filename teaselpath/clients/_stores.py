"""Clients of the KV cache store and of the weight store."""

from collections.abc import Sequence

import aiohttp
import msgspec
from result import Err, Ok, Result

from teaselpath.clients._http import Answer, call, decode_json, retry_after_s
from teaselpath.results import Code, Failure, Ran


class _Hashes(msgspec.Struct):
    hashes: list[str]


class CacheStoreClient:
    """Fetches and saves KV cache blocks; a failed call only costs a recomputation.

    :param session: HTTP session, closed by the caller.
    :param url: base URL of the KV cache store.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def fetch(self, block_hash: bytes, deadline: float) -> Result[bytes | None, Failure]:
        """Return a block, None if the store does not have it, or STORE_UNAVAILABLE.

        :param deadline: deadline, in event-loop time.
        """
        answered = await _call(self.session, "GET", self._block_url(block_hash), deadline)
        return answered.map(lambda answer: None if answer.status == 404 else answer.body)

    async def put(self, block_hash: bytes, data: bytes, deadline: float) -> Result[None, Failure]:
        """Save a block; STORE_UNAVAILABLE if that fails."""
        answered = await _call(self.session, "PUT", self._block_url(block_hash), deadline, data)
        return answered.map(lambda _: None)

    async def lookup(self, hashes: Sequence[bytes], deadline: float) -> Result[set[bytes], Failure]:
        """Return which of the blocks the store has, or STORE_UNAVAILABLE."""
        body = msgspec.json.encode(_Hashes([block_hash.hex() for block_hash in hashes]))
        answered = await _call(self.session, "POST", f"{self.url}/blocks/lookup", deadline, body)
        if answered.is_err():
            return Err(answered.unwrap_err())
        decoded = decode_json(answered.unwrap().body, _Hashes, Code.STORE_UNAVAILABLE)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        found = set(decoded.unwrap().hashes)
        return Ok({block_hash for block_hash in hashes if block_hash.hex() in found})

    def _block_url(self, block_hash: bytes) -> str:
        return f"{self.url}/blocks/{block_hash.hex()}"


class WeightStoreClient:
    """Fetches weights from the rate-limited weight store.

    :param session: HTTP session, closed by the caller.
    :param url: base URL of the weight store.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def fetch(
        self, model: str, version: str, deadline: float
    ) -> Result[bytes | None, Failure]:
        """Return the weights, None if the store does not have them, or STORE_UNAVAILABLE.

        :param deadline: deadline, in event-loop time.
        """
        answered = await _call(
            self.session, "GET", f"{self.url}/weights/{model}/{version}", deadline
        )
        return answered.map(lambda answer: None if answer.status == 404 else answer.body)


async def _call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    deadline: float,
    body: bytes | None = None,
) -> Result[Answer, Failure]:
    called = await call(session, method, url, deadline, body)
    if called.is_err():
        failure = called.unwrap_err()
        ran = Ran.UNKNOWN if failure.was_sent else Ran.NOT_RUN
        return Err(Failure(Code.STORE_UNAVAILABLE, failure.detail, ran))
    answer = called.unwrap()
    if answer.status in (200, 201, 204, 404):
        return Ok(answer)
    detail = f"HTTP status {answer.status}"
    return Err(Failure(Code.STORE_UNAVAILABLE, detail, Ran.NOT_RUN, retry_after_s(answer)))
