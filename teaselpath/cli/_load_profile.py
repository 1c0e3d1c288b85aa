"""Workload of the load tool: who sends what, and when."""

import heapq
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import accumulate
from random import Random
from typing import Any

import msgspec

BYTES_PER_TOKEN = 4
MAX_CACHED_TEXTS = 4096


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all parts of a profile: an unknown field is an error."""


class Surge(_Strict):
    """A time in which a workspace sends a multiple of its rate.

    :param from_s: start, in seconds after the start of the run.
    :param to_s: end, in seconds after the start of the run.
    """

    from_s: float
    to_s: float
    factor: float


class WorkspaceLoad(_Strict):
    """Load of one workspace.

    :param rate: requests per second.
    :param classes: weight of each request class in the mix; empty for the weights of the classes.
    """

    id: str
    rate: float
    classes: dict[str, float] = {}
    surges: list[Surge] = []


class PrefixLevel(_Strict):
    """One level of the tree of shared prefixes.

    :param fan_out: children of each node of the level above.
    :param tokens: length of a node's text.
    :param zipf: exponent of the children's popularity; 0 for equal.
    """

    fan_out: int
    tokens: int
    zipf: float = 1.0


class ClassLoad(_Strict):
    """A class of requests.

    :param kind: ``chat``, ``completion`` or ``service``.
    :param weight: share in the mix.
    :param prefix_depth: levels of the prefix tree in front of the prompt.
    :param prompt_tokens: least and greatest length of the part that is not shared.
    :param max_tokens: least and greatest length of the answer.
    :param path: path of a service call; ``{n}`` stands for a record number.
    :param numbers: record numbers that are used, with Zipf popularity.
    :param idempotency_key: whether each call has an ``Idempotency-Key`` of its own.
    :param body: fields of a service call's body.
    :param headers: further headers.
    """

    id: str
    kind: str = "chat"
    weight: float = 1.0
    prefix_depth: int = 0
    prompt_tokens: tuple[int, int] = (16, 64)
    max_tokens: tuple[int, int] = (16, 64)
    stream: bool = True
    method: str = "GET"
    path: str = ""
    numbers: int = 1
    idempotency_key: bool = False
    body: dict[str, Any] = {}
    headers: dict[str, str] = {}


class Profile(_Strict):
    """A workload.

    :param shift_s: time after which other prefixes are the popular ones; 0 for never.
    """

    name: str
    model: str
    workspaces: list[WorkspaceLoad]
    classes: list[ClassLoad]
    prefixes: list[PrefixLevel] = []
    shift_s: float = 0.0


@dataclass(slots=True)
class PlannedCall:
    """A call with its intended send time, in seconds after the start."""

    at_s: float
    workspace: str
    request_class: str
    kind: str
    method: str
    path: str
    headers: dict[str, str]
    body: dict[str, Any] | None
    stream: bool


class Zipf:
    """Choice among ranks 0 to ``count - 1`` with popularity ``1 / (rank + 1) ** exponent``."""

    def __init__(self, count: int, exponent: float) -> None:
        self.sums = list(accumulate((rank + 1) ** -exponent for rank in range(count)))

    def choose(self, random: Random) -> int:
        """Return a rank."""
        return min(bisect(self.sums, random.random() * self.sums[-1]), len(self.sums) - 1)


@lru_cache(MAX_CACHED_TEXTS)
def _text(name: str, tokens: int) -> str:
    """Return words of ``tokens`` tokens that depend on the name only."""
    random = Random(name)
    letters = random.choices("abcdefghijklmnopqrstuvwxyz", k=3 * tokens)
    return "".join("".join(letters[i : i + 3]) + " " for i in range(0, 3 * tokens, 3))


class Workload:
    """Calls of a profile, the same for the same seed.

    :param scale: factor on all rates.
    """

    def __init__(self, profile: Profile, seed: int, scale: float = 1.0) -> None:
        self.profile = profile
        self.seed = seed
        self.scale = scale
        self.classes = {c.id: c for c in profile.classes}
        self.levels = [Zipf(level.fan_out, level.zipf) for level in profile.prefixes]
        self.numbers = {c.id: Zipf(max(c.numbers, 1), 1.0) for c in profile.classes}

    def calls(self, duration_s: float) -> Iterator[PlannedCall]:
        """Yield the calls in the order of their send times."""
        streams = [self._workspace_calls(w, duration_s) for w in self.profile.workspaces]
        return heapq.merge(*streams, key=lambda call: call.at_s)

    def _workspace_calls(self, load: WorkspaceLoad, duration_s: float) -> Iterator[PlannedCall]:
        random = Random(f"{self.seed}/{load.id}")
        peak = load.rate * self.scale * max([1.0, *(s.factor for s in load.surges)])
        if peak <= 0:
            return
        weights = load.classes or {c.id: c.weight for c in self.profile.classes}
        at_s = 0.0
        while True:
            at_s += random.expovariate(peak)
            if at_s >= duration_s:
                return
            # Thinning of a Poisson process at the peak rate gives one with the varying rate.
            if random.random() * peak < _rate(load, at_s) * self.scale:
                name = random.choices(list(weights), list(weights.values()))[0]
                yield self._call(load.id, self.classes[name], at_s, random)

    def _call(self, workspace: str, kind: ClassLoad, at_s: float, random: Random) -> PlannedCall:
        headers = dict(kind.headers)
        if kind.idempotency_key:
            headers["Idempotency-Key"] = f"{random.getrandbits(128):032x}"
        method, path, body = self._request(kind, at_s, random)
        stream = kind.stream and kind.kind != "service"
        return PlannedCall(at_s, workspace, kind.id, kind.kind, method, path, headers, body, stream)

    def _request(
        self, kind: ClassLoad, at_s: float, random: Random
    ) -> tuple[str, str, dict[str, Any] | None]:
        if kind.kind == "service":
            path = kind.path.replace("{n}", str(self.numbers[kind.id].choose(random)))
            if kind.method == "GET":
                return kind.method, path, None
            return kind.method, path, {**kind.body, "call": f"{random.getrandbits(64):016x}"}
        prefix = self._prefix(kind.prefix_depth, at_s, random)
        question = _unshared_text(random, random.randint(*kind.prompt_tokens))
        body: dict[str, Any] = {
            "model": self.profile.model,
            "max_tokens": random.randint(*kind.max_tokens),
            "stream": kind.stream,
        }
        if kind.kind == "completion":
            return "POST", "/v1/completions", {**body, "prompt": prefix + question}
        messages = [{"role": "system", "content": prefix}] if prefix else []
        messages.append({"role": "user", "content": question})
        return "POST", "/v1/chat/completions", {**body, "messages": messages}

    def _prefix(self, depth: int, at_s: float, random: Random) -> str:
        shift = int(at_s / self.profile.shift_s) if self.profile.shift_s else 0
        name, parts = "root", []
        for level, zipf in list(zip(self.profile.prefixes, self.levels, strict=True))[:depth]:
            # The ranks are dealt anew to the children of a node at each shift.
            ranks = list(range(level.fan_out))
            Random(f"{name}/{shift}").shuffle(ranks)
            name = f"{name}/{ranks[zipf.choose(random)]}"
            parts.append(_text(name, level.tokens))
        return "".join(parts)


def _unshared_text(random: Random, tokens: int) -> str:
    return " ".join(f"{random.getrandbits(28):07x}" for _ in range(tokens // 2)) + " ?"


def _rate(load: WorkspaceLoad, at_s: float) -> float:
    rate = load.rate
    for surge in load.surges:
        if surge.from_s <= at_s < surge.to_s:
            rate *= surge.factor
    return rate


def check_profile(data: bytes) -> Profile | str:
    """Return the profile, or a sentence that says what is wrong with it."""
    try:
        profile = msgspec.json.decode(data, type=Profile)
    except msgspec.DecodeError as error:
        return str(error)
    known = {c.id for c in profile.classes}
    for load in profile.workspaces:
        unknown = sorted(set(load.classes) - known)
        if unknown:
            return f"workspace {load.id} names the unknown classes {', '.join(unknown)}"
    for kind in profile.classes:
        if kind.kind not in ("chat", "completion", "service"):
            return f"class {kind.id} has the unknown kind {kind.kind}"
        if kind.prefix_depth > len(profile.prefixes):
            return f"class {kind.id} has a prefix_depth above the {len(profile.prefixes)} levels"
        if kind.kind == "service" and not kind.path.startswith("/"):
            return f"class {kind.id} has no path"
    return profile
