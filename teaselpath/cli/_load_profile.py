"""Load profiles, and the calls that the load tool generates from them."""

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
    """Base class of the parts of a profile; rejects unknown fields."""


class Surge(_Strict):
    """A period during which a workspace sends at a multiple of its rate.

    :param from_s: start, in seconds after the start of the run.
    :param to_s: end, in seconds after the start of the run.
    """

    from_s: float
    to_s: float
    factor: float


class WorkspaceLoad(_Strict):
    """Load of one workspace.

    :param rate: requests per second.
    :param classes: weight of each request class in the mix; if empty, each class has its own
        ``weight``.
    """

    id: str
    rate: float
    classes: dict[str, float] = {}
    surges: list[Surge] = []


class PrefixLevel(_Strict):
    """One level of the tree of shared prefixes.

    :param fan_out: number of children of each node of the level above.
    :param tokens: length of the text of a node.
    :param zipf: Zipf exponent of the popularity of the children; 0 for equal popularity.
    """

    fan_out: int
    tokens: int
    zipf: float = 1.0


class ClassLoad(_Strict):
    """A class of requests.

    :param kind: ``chat``, ``completion`` or ``service``.
    :param weight: relative weight in the mix.
    :param prefix_depth: number of levels of the prefix tree whose texts precede the prompt.
    :param prompt_tokens: minimum and maximum length of the unshared part of the prompt.
    :param max_tokens: minimum and maximum of the requested ``max_tokens``.
    :param path: path of a service call; ``{n}`` is replaced by a record number.
    :param numbers: count of record numbers, drawn with Zipf popularity.
    :param idempotency_key: whether each call has a unique ``Idempotency-Key``.
    :param body: fields of a service call's body.
    :param headers: additional headers.
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
    """A load profile.

    :param shift_s: interval at which the popularity of the prefixes is reassigned; 0 for never.
    """

    name: str
    model: str
    workspaces: list[WorkspaceLoad]
    classes: list[ClassLoad]
    prefixes: list[PrefixLevel] = []
    shift_s: float = 0.0


@dataclass(slots=True)
class PlannedCall:
    """A call with its intended send time ``at_s``, in seconds after the start of the run."""

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
    """Zipf distribution of the ranks 0 to ``count - 1``: weight ``1 / (rank + 1) ** exponent``."""

    def __init__(self, count: int, exponent: float) -> None:
        self.cumulative_weights = list(accumulate((rank + 1) ** -exponent for rank in range(count)))

    def choose(self, random: Random) -> int:
        """Draw a rank."""
        return min(
            bisect(self.cumulative_weights, random.random() * self.cumulative_weights[-1]),
            len(self.cumulative_weights) - 1,
        )


@lru_cache(MAX_CACHED_TEXTS)
def _shared_text(name: str, tokens: int) -> str:
    """Return a text of ``tokens`` tokens that depends only on the name and the length."""
    random = Random(name)
    letters = random.choices("abcdefghijklmnopqrstuvwxyz", k=3 * tokens)
    return "".join("".join(letters[i : i + 3]) + " " for i in range(0, 3 * tokens, 3))


class Workload:
    """The calls of a profile; equal seeds give equal calls.

    :param scale: factor applied to all rates.
    """

    def __init__(self, profile: Profile, seed: int, scale: float = 1.0) -> None:
        self.profile = profile
        self.seed = seed
        self.scale = scale
        self.classes = {c.id: c for c in profile.classes}
        self.levels = [Zipf(level.fan_out, level.zipf) for level in profile.prefixes]
        self.numbers = {c.id: Zipf(max(c.numbers, 1), 1.0) for c in profile.classes}

    def calls(self, duration_s: float) -> Iterator[PlannedCall]:
        """Return an iterator over the calls, ordered by send time."""
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
            # Thinning a Poisson process at the peak rate gives one at the time-varying rate.
            if random.random() * peak < _rate_at(load, at_s) * self.scale:
                name = random.choices(list(weights), list(weights.values()))[0]
                yield self._plan_call(load.id, self.classes[name], at_s, random)

    def _plan_call(
        self, workspace: str, load_class: ClassLoad, at_s: float, random: Random
    ) -> PlannedCall:
        headers = dict(load_class.headers)
        if load_class.idempotency_key:
            headers["Idempotency-Key"] = f"{random.getrandbits(128):032x}"
        method, path, body = self._build_request(load_class, at_s, random)
        stream = load_class.stream and load_class.kind != "service"
        return PlannedCall(
            at_s, workspace, load_class.id, load_class.kind, method, path, headers, body, stream
        )

    def _build_request(
        self, load_class: ClassLoad, at_s: float, random: Random
    ) -> tuple[str, str, dict[str, Any] | None]:
        if load_class.kind == "service":
            path = load_class.path.replace("{n}", str(self.numbers[load_class.id].choose(random)))
            if load_class.method == "GET":
                return load_class.method, path, None
            return (
                load_class.method,
                path,
                {**load_class.body, "call": f"{random.getrandbits(64):016x}"},
            )
        prefix = self._shared_prefix(load_class.prefix_depth, at_s, random)
        unshared = _unshared_text(random, random.randint(*load_class.prompt_tokens))
        body: dict[str, Any] = {
            "model": self.profile.model,
            "max_tokens": random.randint(*load_class.max_tokens),
            "stream": load_class.stream,
        }
        if load_class.kind == "completion":
            return "POST", "/v1/completions", {**body, "prompt": prefix + unshared}
        messages = [{"role": "system", "content": prefix}] if prefix else []
        messages.append({"role": "user", "content": unshared})
        return "POST", "/v1/chat/completions", {**body, "messages": messages}

    def _shared_prefix(self, depth: int, at_s: float, random: Random) -> str:
        shift = int(at_s / self.profile.shift_s) if self.profile.shift_s else 0
        name, parts = "root", []
        for level, zipf in list(zip(self.profile.prefixes, self.levels, strict=True))[:depth]:
            # Each shift reassigns the popularity ranks of the children of a node at random.
            ranks = list(range(level.fan_out))
            Random(f"{name}/{shift}").shuffle(ranks)
            name = f"{name}/{ranks[zipf.choose(random)]}"
            parts.append(_shared_text(name, level.tokens))
        return "".join(parts)


def _unshared_text(random: Random, tokens: int) -> str:
    return " ".join(f"{random.getrandbits(28):07x}" for _ in range(tokens // 2)) + " ?"


def _rate_at(load: WorkspaceLoad, at_s: float) -> float:
    rate = load.rate
    for surge in load.surges:
        if surge.from_s <= at_s < surge.to_s:
            rate *= surge.factor
    return rate


def check_profile(data: bytes) -> Profile | str:
    """Decode and validate a profile; return it, or an error message."""
    try:
        profile = msgspec.json.decode(data, type=Profile)
    except msgspec.DecodeError as error:
        return str(error)
    known = {c.id for c in profile.classes}
    for load in profile.workspaces:
        unknown = sorted(set(load.classes) - known)
        if unknown:
            return f"workspace {load.id} names the unknown classes {', '.join(unknown)}"
    for load_class in profile.classes:
        if load_class.kind not in ("chat", "completion", "service"):
            return f"class {load_class.id} has the unknown kind {load_class.kind}"
        if load_class.prefix_depth > len(profile.prefixes):
            return (
                f"class {load_class.id} has a prefix_depth above the {len(profile.prefixes)} levels"
            )
        if load_class.kind == "service" and not load_class.path.startswith("/"):
            return f"class {load_class.id} has no path"
    return profile
