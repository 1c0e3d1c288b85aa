"""Steady seeded load of several workspaces, sent by careful callers."""

import asyncio
import json
import time
from dataclasses import replace
from itertools import count
from random import Random

import aiohttp

from benchmarks.fault_client import Attempt, send
from benchmarks.fault_cluster import (
    KEYS_PER_WORKSPACE,
    MODEL,
    OVERLOADED,
    START_OVER_CLASS,
    WORKSPACES,
    Cluster,
)
from standins.fleet import make_key
from standins.testing import expected_tokens
from teaselpath.results import Code, Ran

# Requests per second of each workspace; the overloaded one wants several times its rate.
ARRIVALS_PER_S = dict.fromkeys(WORKSPACES, 2.5) | {OVERLOADED: 3.0}
# Weights of the kinds of requests.
KINDS = {"stream": 5, "start-over": 2, "plain": 2, "booking": 2, "keyed": 3}
OVERLOADED_KINDS = {"stream": 1, "plain": 1}
MAX_TRIES = 6
RETRY_S = 0.3
SHARED_TEXT = "Sponsored benches along the wadi are listed with their stone, place and donor. "
# Keys of this number and below are never withdrawn, so that the load goes on.
KEPT_KEYS = 4
FINAL_CODES = frozenset((Code.RATE_EXCEEDED, Code.LARGER_THAN_BURST, Code.KEY_WITHDRAWN))


class Load:
    """Sends requests until it is told to stop, and keeps every attempt.

    :param cluster: the running fleet.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random = Random(f"load/{seed}")
        self.attempts: list[Attempt] = []
        self.open: dict[int, Attempt] = {}
        self.withdrawn: set[tuple[str, int]] = set()
        self.serial = count(1)
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send until ``stopping`` is set, then wait for the open requests."""
        for node in self.cluster.fleet.entries():
            self.sessions[node.name] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), read_bufsize=1 << 20
            )
        try:
            async with asyncio.TaskGroup() as group:
                for name in WORKSPACES:
                    group.create_task(self._arrivals(name, group))
        finally:
            for session in self.sessions.values():
                await session.close()

    async def _arrivals(self, workspace: str, group: asyncio.TaskGroup) -> None:
        kinds = OVERLOADED_KINDS if workspace == OVERLOADED else KINDS
        due = time.monotonic()
        while not self.stopping.is_set():
            due += self.random.expovariate(ARRIVALS_PER_S[workspace])
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            kind = self.random.choices(list(kinds), list(kinds.values()))[0]
            group.create_task(self._work(workspace, kind, Random(self.random.random())))

    async def _work(self, workspace: str, kind: str, random: Random) -> None:
        """Do one piece of work as a careful caller: repeat it only where that is safe."""
        tag = f"{workspace}-{kind}-{next(self.serial)}"
        is_booking = kind in ("booking", "keyed")
        body = self._booking(tag, random) if is_booking else self._prompt(tag, kind, random)
        template = self._template(tag, workspace, kind, body, random)
        entries = list(self.sessions)
        random.shuffle(entries)
        for number in range(MAX_TRIES):
            entry = entries[number % len(entries)]
            attempt = await self.send_one(replace(template, entry=entry, times=[]), body)
            if attempt.is_served or not _may_repeat(attempt, kind):
                return
            # A caller that starts its stream over does so at once.
            pause_s = 0.0 if kind == "start-over" and attempt.text else RETRY_S * (number + 1)
            await asyncio.sleep(pause_s)

    def _template(self, tag: str, workspace: str, kind: str, body: dict, random: Random) -> Attempt:
        if kind in ("booking", "keyed"):
            expected, claim = json.dumps(body, sort_keys=True), tag
        else:
            expected, claim = "".join(expected_tokens(body)), ""
        usable = [
            n
            for n in range(1, KEYS_PER_WORKSPACE + 1)
            if n <= KEPT_KEYS or (workspace, n) not in self.withdrawn
        ]
        name = "booking" if kind in ("booking", "keyed") else kind
        return Attempt(
            tag=tag,
            entry="",
            workspace=workspace,
            key_number=random.choice(usable),
            kind=name,
            expected=expected,
            claim=claim,
            request_class=START_OVER_CLASS if kind == "start-over" else "interactive",
        )

    def _booking(self, tag: str, random: Random) -> dict:
        return {"tag": tag, "van": random.randrange(100)}

    def _prompt(self, tag: str, kind: str, random: Random) -> dict:
        workspace = tag.rsplit(f"-{kind}-", 1)[0]
        topic = random.randrange(3)
        prompt = (f"[{workspace}] " + SHARED_TEXT * 110)[:8192]
        if kind != "plain" and random.random() < 0.5:
            prompt += (f"[topic {topic}] " + SHARED_TEXT * 110)[:8192]
        return {
            "model": MODEL,
            "prompt": prompt + f"Question {tag}: what is free?",
            "max_tokens": random.choice((24, 60, 150, 250)),
            "stream": kind != "plain",
            "user": tag,
        }

    async def send_one(self, attempt: Attempt, body: dict) -> Attempt:
        """Send one request on a connection that is kept alive."""
        headers = {
            "Authorization": f"Bearer {make_key(attempt.workspace, attempt.key_number)}",
        }
        if attempt.kind == "booking":
            path = "/bookings"
            if "-keyed-" in attempt.tag:
                headers["Idempotency-Key"] = attempt.claim
        else:
            path = "/v1/completions"
            headers["x-teaselpath-class"] = attempt.request_class
        self.attempts.append(attempt)
        self.open[id(attempt)] = attempt
        try:
            url = self.cluster.fleet.nodes[attempt.entry].http_url + path
            await send(self.sessions[attempt.entry], url, body, headers, attempt)
        finally:
            del self.open[id(attempt)]
        return attempt

    async def probe_key(self, workspace: str, number: int, entry: str) -> None:
        """Send a short request with a key that was withdrawn."""
        tag = f"{workspace}-probe-{next(self.serial)}"
        body = {
            "model": MODEL,
            "prompt": f"Probe {tag}",
            "max_tokens": 2,
            "stream": False,
            "user": tag,
        }
        attempt = Attempt(tag, entry, workspace, number, "plain", request_class="interactive")
        attempt.expected = "".join(expected_tokens(body))
        await self.send_one(attempt, body)

    async def wait_for_older(self, instant: float) -> None:
        """Wait until each request that was sent before an instant has ended."""
        while any(0 < attempt.sent < instant for attempt in self.open.values()):
            await asyncio.sleep(0.05)


def _may_repeat(attempt: Attempt, kind: str) -> bool:
    """Whether a careful caller sends the same work again."""
    if attempt.timed_out or attempt.code in FINAL_CODES:
        return False
    if kind == "booking":
        return attempt.ran == Ran.NOT_RUN
    return attempt.code != Code.DUPLICATE_CLAIM
