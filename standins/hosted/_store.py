"""Simulated metadata store: topics of keyed records with conditional appends."""

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from random import Random
from urllib.parse import parse_qsl, urlsplit

from teaselpath.http1 import Exchange

MAX_WAIT_S = 30.0
# Delay after which an append with a lost reply takes effect, if it is to take effect late.
LATE_APPEND_DELAY_S = 1.0


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    :param mode: ``ok``, ``busy`` (replies 503), ``reset`` (closes connections) or ``silent``
        (sends no reply).
    :param lost: fraction of the appends whose reply is lost.
    :param late: whether these appends take effect with a delay.
    :param delay_s: delay before each call is carried out.
    :param affected_gateways: names of the gateways to which ``mode`` applies; empty for all.
    """

    mode: str = "ok"
    lost: float = 0.0
    late: bool = False
    delay_s: float = 0.0
    affected_gateways: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (offset, value)
        return {key: entry for key, entry in found.items() if entry[1]}


# All topics at some time.
StoreCopy = dict[str, _Topic]


class HostedStore:
    """The store; ``handle`` processes its HTTP requests."""

    def __init__(self, random: Random):
        self.random = random
        self.faults = StoreFaults()
        self.topics: dict[str, _Topic] = {}
        self.era = 1
        self.calls = 0

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as an operator or a server does; None removes the key.

        :param value: bytes are written as they are, anything else as JSON.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        data = b"" if value is None else data
        self._append(self._topic(topic), [(key, data)])

    def newest_keys(self, topic: str) -> set[str]:
        """Return the keys of a topic that have a record."""
        return set(self._topic(topic).newest())

    def discard_history(self) -> None:
        """Make all past records unreadable; the newest record of each key can still be listed."""
        for topic in self.topics.values():
            topic.first = len(topic.records)

    def copy_topics(self) -> StoreCopy:
        """Return a copy of all topics, for ``restore``."""
        return {
            name: _Topic(list(topic.records), topic.first) for name, topic in self.topics.items()
        }

    def restore(self, copied: StoreCopy) -> None:
        """Continue from a copy, as after the loss of all later records; begins a new era.

        Polls in flight return records of the era in which they were sent. Operators and servers
        have to write their records again.
        """
        self.era += 1
        before = self.topics
        self.topics = {
            name: _Topic(list(topic.records), topic.first) for name, topic in copied.items()
        }
        for topic in before.values():
            topic.changed.set()

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"Store-Era", b"%d" % self.era)]

    async def handle(self, exchange: Exchange, gateway: str = "") -> None:
        """Handle one HTTP request.

        :param gateway: name of the calling gateway.
        """
        self.calls += 1
        faults = self.faults
        if faults.mode != "ok" and (
            not faults.affected_gateways or gateway in faults.affected_gateways
        ):
            await self._apply_mode(exchange, faults.mode)
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        parts = urlsplit(exchange.request.target.decode())
        query = dict(parse_qsl(parts.query))
        topic = self._topic(query.get("topic", ""))
        match parts.path:
            case "/-/log-newest":
                self._list_newest(exchange, topic, query)
            case "/-/log-read":
                await self._read(exchange, topic, query)
            case "/-/log-append":
                await self._write(exchange, topic, query)
            case _:
                exchange.respond(404, self._headers())

    async def _apply_mode(self, exchange: Exchange, mode: str) -> None:
        match mode:
            case "busy":
                exchange.respond(503, self._headers())
            case "silent":
                await asyncio.sleep(MAX_WAIT_S)
            case _:
                exchange.abort()

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _append(self, topic: _Topic, records: list[tuple[str, bytes]]) -> None:
        topic.records += records
        topic.changed.set()
        topic.changed = asyncio.Event()

    def _list_newest(self, exchange: Exchange, topic: _Topic, query: dict[str, str]) -> None:
        newest = topic.newest()
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        body = {"items": items, "hasMore": len(keys) > 500, "end": len(topic.records)}
        exchange.respond(200, self._headers(), json.dumps(body).encode())

    async def _read(self, exchange: Exchange, topic: _Topic, query: dict[str, str]) -> None:
        start = int(query["from"])
        if not topic.first <= start <= len(topic.records):
            body = json.dumps({"first": topic.first}).encode()
            exchange.respond(410, self._headers(), body)
            return
        headers = self._headers()
        if start >= len(topic.records):
            try:
                async with asyncio.timeout(float(query.get("waitMs", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        parts = [struct.pack(">QQ", len(topic.records), topic.first)]
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts += [struct.pack(">I", len(content)), content]
        exchange.respond(200, headers, b"".join(parts))

    async def _write(self, exchange: Exchange, topic: _Topic, query: dict[str, str]) -> None:
        records, body, position = [], exchange.request.body, 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            split = 1 + content[0]
            records.append((content[1:split].decode(), content[split:]))
            position += 4 + length
        is_lost = self.random.random() < self.faults.lost
        if is_lost and self.faults.late:
            await asyncio.sleep(LATE_APPEND_DELAY_S)
            topic = self._topic(query.get("topic", ""))
        at = query.get("at")
        if at is not None and int(at) != len(topic.records):
            if not is_lost:
                body = json.dumps({"end": len(topic.records)}).encode()
                exchange.respond(412, self._headers(), body)
            return
        self._append(topic, records)
        if is_lost:
            exchange.abort()
            return
        end = len(topic.records)
        body = json.dumps({"offset": end - len(records), "end": end}).encode()
        exchange.respond(200, self._headers(), body)
