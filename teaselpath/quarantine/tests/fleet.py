"""Simulated gateways that share engines, a part that crashes them, and an unreliable network."""

from dataclasses import dataclass, field
from random import Random

from teaselpath.quarantine import (
    JUDGE_DELAY_S,
    SETTLE_S,
    Admit,
    Claim,
    Quarantine,
    QuarantineUpdate,
    Reject,
    SoundNote,
    Try,
    claim_note,
    verdict_note,
)

TICK_S = 0.01
READ_S = 0.3
ANSWER_S = 1.0
RESTART_S = 3.0
DETECT_S = 0.05
GOSSIP_S = 1.0
HOLD_S = 1.2
MAX_RUNS = 2


@dataclass(slots=True)
class Request:
    """A request and where it is."""

    parts: tuple[str, ...]
    gateway: int
    hold_until: float
    runs: int = 0
    lost_engine: bool = False
    claim: Claim | None = None
    settles_at: float = 0.0
    engine: int | None = None
    began_at: float = 0.0
    is_proven: bool = False
    outcome: str = ""


@dataclass(slots=True)
class Engine:
    """An engine; ``number`` changes with each start."""

    number: int
    up_at: float = 0.0
    runs: list[Request] = field(default_factory=list)


class SimulatedFleet:
    """Steps gateways and engines through time.

    :param deadly: parts on which an engine ends instead of answering.
    :param loss: fraction of messages that are lost.
    :param delay_s: longest delay of a message.
    :param read_s: time until an engine begins to answer, in seconds.
    :param answer_s: time that it takes to answer, in seconds.
    :param max_runs: engines that may run one request.
    """

    def __init__(
        self, random: Random, gateways: int, engines: int, deadly: set[str], *,
        loss: float = 0.1, delay_s: float = 0.06, read_s: float = READ_S,
        answer_s: float = ANSWER_S, max_runs: int = MAX_RUNS,
    ):  # fmt: skip
        self.read_s, self.answer_s, self.max_runs = read_s, answer_s, max_runs
        self.random, self.deadly, self.loss, self.delay_s = random, deadly, loss, delay_s
        self.now = 0.0
        self.hosts = [Quarantine(f"gw-{n}") for n in range(gateways)]
        self.engines = [Engine(n) for n in range(engines)]
        self.starts = engines
        self.messages: list[tuple[float, int, QuarantineUpdate]] = []
        self.reports: list[tuple[float, int, Engine, float, list[Request]]] = []
        self.judgements: list[tuple[float, int, tuple[str, ...]]] = []
        self.pending: list[Request] = []
        self.done: list[Request] = []
        self.ends: list[float] = []
        self.deadly_sends: list[float] = []
        self.cut: set[int] = set()
        self.restarts = gateways

    def restart_gateway(self, index: int) -> None:
        """Replace a gateway by one that knows what a peer tells it, and break off its requests."""
        for request in [r for r in self.pending if r.gateway == index]:
            self._finish(request, "killed")
        self.restarts += 1
        self.hosts[index] = Quarantine(f"gw-{self.restarts}")
        peer = self.random.choice([n for n in range(len(self.hosts)) if n != index])
        self.hosts[index].apply(self.hosts[peer].snapshot(self.now), self.now)

    def send(self, *parts: str) -> Request:
        """Let a request arrive at any gateway."""
        request = Request(parts, self.random.randrange(len(self.hosts)), self.now + HOLD_S)
        self.pending.append(request)
        return request

    def end_engine(self, engine: Engine) -> None:
        """End an engine; the gateways whose requests it ran detect that."""
        self.ends.append(self.now)
        runs, engine.runs = engine.runs, []
        for index in {request.gateway for request in runs}:
            own = [r for r in runs if r.gateway == index]
            self.reports.append((self.now + DETECT_S, engine.number, engine, self.now, own))
        self.starts += 1
        engine.number, engine.up_at = self.starts, self.now + RESTART_S

    def step(self) -> None:
        """Advance by one tick."""
        self.now += TICK_S
        self._deliver()
        self._judge()
        for request in list(self.pending):
            if request.engine is None:
                self._decide(request)
        for engine in self.engines:
            self._run(engine)
        if int(self.now / TICK_S) % int(GOSSIP_S / TICK_S) == 0:
            for index, host in enumerate(self.hosts):
                if host.has_news():
                    target = self.random.randrange(len(self.hosts))
                    self._post(index, target, host.snapshot(self.now))

    def _post(self, sender: int, target: int, update: QuarantineUpdate) -> None:
        if target == sender or self.random.random() < self.loss:
            return
        if (sender in self.cut) != (target in self.cut):
            return
        delay_s = self.random.uniform(0.001, self.delay_s)
        self.messages.append((self.now + delay_s, target, update))

    def _publish(self, sender: int, update: QuarantineUpdate) -> None:
        for target in range(len(self.hosts)):
            self._post(sender, target, update)

    def _deliver(self) -> None:
        due = [m for m in self.messages if m[0] <= self.now]
        self.messages = [m for m in self.messages if m[0] > self.now]
        for _, target, update in due:
            self.hosts[target].apply(update, self.now)
        reports = [r for r in self.reports if r[0] <= self.now]
        self.reports = [r for r in self.reports if r[0] > self.now]
        for _, number, _, at, runs in reports:
            self._report(number, at, runs)

    def _report(self, number: int, at: float, runs: list[Request]) -> None:
        index = runs[0].gateway
        host = self.hosts[index]
        notes = []
        for request in runs:
            if request.outcome:
                continue
            if not request.is_proven:
                is_trial = request.claim is not None
                note = host.record_end(number, at, request.parts, is_trial=is_trial)
                notes += [note] if note is not None else []
                if is_trial:
                    self.judgements.append((self.now + JUDGE_DELAY_S, index, request.parts))
            self._release(request)
            request.engine, request.lost_engine = None, True
            if request.is_proven or request.runs >= self.max_runs:
                self._finish(request, "failed")
        if notes:
            self._publish(index, QuarantineUpdate(host.host, ends=notes))

    def _judge(self) -> None:
        due = [j for j in self.judgements if j[0] <= self.now]
        self.judgements = [j for j in self.judgements if j[0] > self.now]
        for _, index, parts in due:
            verdict = self.hosts[index].judge(parts, self.now)
            if verdict is not None:
                notes = [verdict_note(verdict, self.now)]
                self._publish(index, QuarantineUpdate(self.hosts[index].host, verdicts=notes))

    def _release(self, request: Request) -> None:
        if request.claim is not None:
            self.hosts[request.gateway].trials.release(request.claim.host, request.claim.number)
            request.claim = None

    def _finish(self, request: Request, outcome: str) -> None:
        request.outcome = outcome
        self._release(request)
        self.pending.remove(request)
        self.done.append(request)

    def _decide(self, request: Request) -> None:
        if any(request in runs for _, _, _, _, runs in self.reports):
            return
        host = self.hosts[request.gateway]
        if request.claim is not None:
            self._begin_trial(request, host)
            return
        decision = host.decide(request.parts, self.now, is_resend=request.lost_engine)
        match decision:
            case Admit():
                self._place(request)
            case Reject():
                self._finish(request, "rejected")
            case Try(parts) if not self._is_spread(request, host, parts):
                request.claim = host.claim(parts, self.now)
                request.settles_at = self.now + SETTLE_S
                note = claim_note(request.claim, self.now)
                self._publish(request.gateway, QuarantineUpdate(host.host, claims=[note]))
            case _ if request.lost_engine:
                self._finish(request, "failed")
            case _ if self.now >= request.hold_until:
                self._finish(request, "held")

    def _is_spread(self, request: Request, host: Quarantine, parts: frozenset[str]) -> bool:
        return request.lost_engine and any(host.count_ends(p, self.now) >= 2 for p in parts)

    def _begin_trial(self, request: Request, host: Quarantine) -> None:
        if self.now < request.settles_at or request.claim is None:
            return
        running = host.begin_trial(request.claim, self.now)
        request.claim = running
        if running is not None:
            note = claim_note(running, self.now)
            self._publish(request.gateway, QuarantineUpdate(host.host, claims=[note]))
            self._place(request)

    def _place(self, request: Request) -> None:
        up = [number for number, e in enumerate(self.engines) if e.up_at <= self.now]
        if not up:
            return
        request.engine = min(up, key=lambda n: (len(self.engines[n].runs), self.random.random()))
        request.began_at, request.runs = self.now, request.runs + 1
        self.engines[request.engine].runs.append(request)
        if not self.deadly.isdisjoint(request.parts):
            self.deadly_sends.append(self.now)

    def _run(self, engine: Engine) -> None:
        for request in list(engine.runs):
            age_s = self.now - request.began_at
            if age_s >= self.read_s and not request.is_proven:
                if not self.deadly.isdisjoint(request.parts):
                    self.end_engine(engine)
                    return
                self._prove(request)
            if age_s >= self.read_s + self.answer_s:
                engine.runs.remove(request)
                if not request.outcome:
                    self._finish(request, "served")

    def _prove(self, request: Request) -> None:
        request.is_proven = True
        host = self.hosts[request.gateway]
        cleared = host.record_sound(request.parts, self.now)
        if cleared:
            notes = [SoundNote(part, 0) for part in cleared]
            self._publish(request.gateway, QuarantineUpdate(host.host, sound=notes))
        self._release(request)
