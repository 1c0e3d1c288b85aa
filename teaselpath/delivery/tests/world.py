"""Simulation of two entries and two agents over channels that lose, duplicate and reorder."""

from collections import Counter

from teaselpath.delivery import (
    Accept,
    AckDue,
    AgentLost,
    AgentReply,
    CancelRun,
    Completed,
    Deliver,
    Delivered,
    DeliveryLimits,
    EntryLost,
    Finished,
    FromEntry,
    Outcome,
    PauseRun,
    RequestLedger,
    RequestOutcome,
    ResumeDue,
    ResumeRun,
    Routed,
    RouteRequested,
    RunChunk,
    RunEnd,
    RunStarting,
    SendCancel,
    SendStart,
    StreamAssembler,
    StreamCompleted,
)
from teaselpath.delivery.tests.test_ledger import make_start
from teaselpath.results import Code, Ran
from teaselpath.wire import Ack, Cancel, Cancelled, Chunk, End, Refused, Resume, Send

AGENTS = ("g", "h")
LIMITS = DeliveryLimits(window_chunks=4, finished_retention_s=20, max_finished=3)
WINDOW = 4


class Run:
    """A request in the queue of an agent, or on its engine."""

    def __init__(self, start):
        self.start = start
        self.number = start.resume_after
        self.is_running = False
        self.is_paused = False


class Caller:
    """A caller with the text that it received, and its session at an entry.

    ``received`` counts the chunks of all attempts, ``attempt_base`` those before the current one.
    """

    def __init__(self, request_id, length, repeatable):
        self.request_id = request_id
        self.chunks = [b"%s.%d;" % (request_id.encode(), n) for n in range(1, length + 1)]
        self.repeatable = repeatable
        self.text = b""
        self.received = 0
        self.attempt_base = 0
        self.entry: str | None = None
        self.host = ""
        self.attempt = 0
        self.sequences: dict[int, int] = {}
        self.outcome: RequestOutcome | None = None
        self.assembler: StreamAssembler | None = None
        self.is_finished = False


class World:
    """All processes and messages in flight; asserts the delivery invariants at each event."""

    ledger_class = RequestLedger
    assembler_class = StreamAssembler

    def __init__(self):
        self.now = 0.0
        self.incarnations = dict.fromkeys(AGENTS, 1)
        self.known_incarnations = dict(self.incarnations)
        self.ledgers = {host: self.ledger_class(1, LIMITS) for host in AGENTS}
        self.runs: dict[str, dict] = {host: {} for host in AGENTS}
        self.entry_incarnations = {"a": 1, "b": 1}
        self.sequences = {"a": 0, "b": 0}
        self.messages: list[tuple[str, str, object]] = []
        # Duplicates, which the channels may deliver at any later time.
        self.duplicates: list[tuple[str, str, object]] = []
        self.callers: dict[str, Caller] = {}
        self.executions: Counter[tuple[str, int]] = Counter()
        self.reported_not_run: set[tuple[str, int]] = set()

    # Agents

    def to_ledger(self, host, event):
        self.from_ledger(host, self.ledgers[host].handle(event, self.now))

    def from_ledger(self, host, actions):
        runs = self.runs[host]
        for action in actions:
            match action:
                case Send(entry, message):
                    self.check_not_run(message)
                    self.messages.append((host, entry, message))
                case Accept(_, start):
                    runs[start.request_id, start.attempt] = Run(start)
                case PauseRun(request_id, attempt) | ResumeRun(request_id, attempt):
                    runs[request_id, attempt].is_paused = isinstance(action, PauseRun)
                case CancelRun(request_id, attempt):
                    run = runs.pop((request_id, attempt), None)
                    if run is not None and run.is_running:
                        end = RunEnd(request_id, attempt, Code.CANCELLED, Ran.RAN)
                        self.to_ledger(host, end)

    def check_not_run(self, message):
        if isinstance(message, Refused) or (isinstance(message, Cancelled) and not message.started):
            key = (message.request_id, message.attempt)
            assert not self.executions[key], "a request that ran was reported as not run"
            self.reported_not_run.add(key)

    def unpaused_runs(self):
        return [(h, k) for h in AGENTS for k, run in self.runs[h].items() if not run.is_paused]

    def start_run(self, host, key):
        if self.ledgers[host].handle(RunStarting(*key), self.now):
            self.runs[host].pop(key, None)
            return
        self.runs[host][key].is_running = True
        assert key not in self.reported_not_run, "a request ran that was reported as not run"
        self.executions[key] += 1
        caller = self.callers[key[0]]
        runs = sum(self.executions[key[0], attempt] for attempt in range(1, 9))
        assert caller.repeatable or runs == 1, "a request that is not repeatable ran twice"
        outcome = caller.outcome.finished if caller.outcome is not None else None
        assert outcome is None or outcome.outcome is not Outcome.NOT_RUN

    def produce(self, host, key):
        run = self.runs[host][key]
        chunks = self.callers[key[0]].chunks
        if run.number < len(chunks):
            run.number += 1
            self.to_ledger(host, RunChunk(key[0], key[1], chunks[run.number - 1]))
        else:
            del self.runs[host][key]
            self.to_ledger(host, RunEnd(key[0], key[1], Code.OK, Ran.RAN))

    def restart_agent(self, host):
        self.incarnations[host] += 1
        self.ledgers[host] = self.ledger_class(self.incarnations[host], LIMITS)
        self.runs[host] = {}

    # Entries

    def open_request(self, entry, length, *, repeatable):
        caller = Caller(f"r{len(self.callers)}", length, repeatable)
        self.callers[caller.request_id] = caller
        caller.entry = entry
        caller.outcome = RequestOutcome(
            repeatable=repeatable, continuable=repeatable, first_byte_deadline=self.now + 30
        )
        self.from_outcome(caller, caller.outcome.begin())

    def open_callers(self):
        return [caller for caller in self.callers.values() if not caller.is_finished]

    def from_outcome(self, caller, actions):
        for action in actions:
            match action:
                case RouteRequested():
                    caller.assembler = None
                    free = [host for host in AGENTS if host not in action.excluded]
                    host = free[0] if free else AGENTS[action.attempt % 2]
                    self.to_outcome(caller, Routed(host, self.known_incarnations[host]))
                case SendStart():
                    self.send_start(caller, action)
                case SendCancel(host, attempt, incarnation):
                    self.send_cancel(caller, host, attempt, incarnation)
                case Finished(outcome):
                    caller.is_finished = True
                    self.check_finished(caller, outcome)

    def to_outcome(self, caller, event):
        if caller.outcome is not None:
            self.from_outcome(caller, caller.outcome.handle(event, self.now))

    def check_finished(self, caller, outcome):
        ran = any(self.executions[caller.request_id, attempt] for attempt in range(1, 9))
        if outcome is Outcome.NOT_RUN:
            assert not ran, "a request that ran ended as not run"
        if outcome is Outcome.SERVED:
            assert caller.text == b"".join(caller.chunks), "a served stream is incomplete"

    def send_start(self, caller, action):
        self.sequences[caller.entry] += 1
        caller.sequences[action.attempt] = self.sequences[caller.entry]
        caller.host, caller.attempt, caller.attempt_base = (
            action.host,
            action.attempt,
            caller.received,
        )
        start = make_start(
            caller.request_id,
            action.attempt,
            sequence=self.sequences[caller.entry],
            repeatable=caller.repeatable,
            incarnation=action.agent_incarnation,
        )
        start.entry_incarnation = self.entry_incarnations[caller.entry]
        start.resume_after = caller.attempt_base
        self.messages.append((caller.entry, action.host, start))
        self.open_assembler(caller, delivered=0)

    def open_assembler(self, caller, delivered):
        caller.assembler = self.assembler_class(
            caller.request_id, caller.attempt, self.now, window=WINDOW, delivered=delivered
        )

    def send_cancel(self, caller, host, attempt, incarnation):
        cancel = Cancel(caller.request_id, attempt, True, incarnation)
        cancel.entry_incarnation = self.entry_incarnations[caller.entry]
        cancel.sequence = caller.sequences[attempt]
        self.messages.append((caller.entry, host, cancel))

    def from_assembler(self, caller, actions):
        for action in actions:
            match action:
                case Deliver(chunk):
                    self.receive_chunk(caller, chunk)
                case AckDue(number, window):
                    ack = Ack(caller.request_id, caller.attempt, number, window)
                    self.messages.append((caller.entry, caller.host, ack))
                case ResumeDue(after):
                    resume = Resume(caller.request_id, caller.attempt, "w", after)
                    self.messages.append((caller.entry, caller.host, resume))
                case Completed():
                    self.handle_completed(caller, action)

    def receive_chunk(self, caller, chunk):
        assert chunk.number == caller.received - caller.attempt_base + 1, (
            "a chunk arrived out of order"
        )
        caller.text += chunk.data
        caller.received += 1
        expected = b"".join(caller.chunks)
        assert expected.startswith(caller.text), "a stream differs from what was produced"
        self.to_outcome(caller, Delivered(caller.attempt))

    def handle_completed(self, caller, completed):
        if caller.outcome is not None:
            self.to_outcome(caller, StreamCompleted(caller.attempt, completed))
            return
        caller.is_finished = True
        if completed.code == Code.OK:
            self.check_finished(caller, Outcome.SERVED)

    def restart_entry(self, entry):
        """Restart an entry; its callers lose their sessions."""
        self.entry_incarnations[entry] += 1
        self.sequences[entry] = 0
        for caller in self.callers.values():
            if caller.entry == entry and not caller.is_finished:
                caller.entry, caller.outcome, caller.assembler = None, None, None

    def reconnect_caller(self, caller, entry):
        """Connect a caller that lost its entry to another one, which resumes the stream."""
        caller.entry = entry
        self.open_assembler(caller, delivered=caller.received - caller.attempt_base)
        resume = ResumeDue(caller.received - caller.attempt_base)
        self.from_assembler(caller, [resume])

    def reconnect_callers(self, entry):
        """Reconnect all callers that lost their entry."""
        for caller in self.callers.values():
            if caller.entry is None and caller.attempt:
                self.reconnect_caller(caller, entry)

    def detect_restarts(self):
        """Let the entries detect restarted agents."""
        lost = [host for host in AGENTS if self.known_incarnations[host] != self.incarnations[host]]
        self.known_incarnations = dict(self.incarnations)
        for caller in self.callers.values():
            for host in lost:
                if caller.host == host:
                    self.to_outcome(caller, AgentLost(host))

    # Channels and time

    def deliver(self, message):
        source, target, body = message
        if target in AGENTS:
            self.to_ledger(target, FromEntry(source, body))
            return
        caller = self.callers[body.request_id]
        if caller.entry != target:
            return
        if isinstance(body, Refused | Cancelled):
            self.to_outcome(caller, AgentReply(source, body))
        elif isinstance(body, Chunk | End) and caller.assembler is not None:
            self.from_assembler(caller, caller.assembler.handle(body, self.now))

    def drop_connection(self, host, entry):
        """Drop all messages between two processes; the agent detects the lost connection."""
        ends = {host, entry}
        self.messages = [message for message in self.messages if set(message[:2]) != ends]
        self.to_ledger(host, EntryLost(entry))

    def tick(self, seconds):
        self.now += seconds
        for host in AGENTS:
            self.from_ledger(host, self.ledgers[host].tick(self.now))
        for caller in self.callers.values():
            if caller.assembler is not None:
                self.from_assembler(caller, caller.assembler.tick(self.now))
            if caller.outcome is not None:
                self.from_outcome(caller, caller.outcome.tick(self.now))
