"""Stateful test of ledger, assembler and outcome: exactly-once delivery and correct outcomes."""

import pytest
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from teaselpath.delivery import LeaveStarted, RequestLedger, RunEnd, StopRequested, StreamAssembler
from teaselpath.delivery.tests.world import AGENTS, World
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, Send

SETTINGS = settings(max_examples=200, stateful_step_count=20)
# Number of seeds with which a fault is searched.
SEARCHES = 5
FAULTS = [
    "restart agent",
    "duplicates",
    "leave",
    "detect restarts",
    "restart entry",
    "drop connection",
    "reconnect",
    "stop",
]


class DeliveryMachine(RuleBasedStateMachine):
    """State machine whose rules are the events of channels, processes and callers."""

    world_class = World

    def __init__(self):
        super().__init__()
        self.world = self.world_class()

    @precondition(lambda self: len(self.world.open_callers()) < 4)
    @rule(entry=st.sampled_from("ab"), length=st.integers(0, 9), repeatable=st.booleans())
    def open_request(self, entry, length, repeatable):
        self.world.open_request(entry, length, repeatable=repeatable)

    @rule(steps=st.lists(st.integers(0, 1 << 16), min_size=20, max_size=40))
    def progress(self, steps):
        """Take many small steps, most of which deliver a message or advance a run."""
        # Kinds 0 to 7 deliver a message (3 and 6 also duplicate it, 7 loses it), 8 to 14 advance a
        # run (14 can fail it), 15 advances the time.
        for step in steps:
            kind, choice = step % 16, step // 16
            if kind < 8:
                self.pass_message(choice, kind)
            elif kind < 15:
                self.step_run(choice, kind)
            else:
                self.world.tick(0.11)

    def pass_message(self, choice, kind):
        messages = self.world.messages
        if not messages:
            return
        # Half of the messages are delivered in order.
        message = messages.pop(0 if kind < 4 else choice % min(len(messages), 6))
        if kind in (3, 6):
            self.world.duplicates.append(message)
        if kind != 7:
            self.world.deliver(message)

    def step_run(self, choice, kind):
        runs = self.world.unpaused_runs()
        if not runs:
            return
        host, key = runs[choice % len(runs)]
        is_running = self.world.runs[host][key].is_running
        if kind == 14 and choice % 8 == 0:
            del self.world.runs[host][key]
            code = Code.ENDPOINT_FAILED if is_running else Code.QUEUE_FULL
            ran = Ran.RAN if is_running else Ran.NOT_RUN
            self.world.to_ledger(host, RunEnd(key[0], key[1], code, ran))
        elif is_running:
            self.world.produce(host, key)
        else:
            self.world.start_run(host, key)

    @rule(
        fault=st.sampled_from(FAULTS),
        host=st.sampled_from(AGENTS),
        entry=st.sampled_from("ab"),
    )
    def fail(self, fault, host, entry):
        world = self.world
        match fault:
            case "restart agent":
                world.restart_agent(host)
            case "duplicates":
                duplicates, world.duplicates = world.duplicates, []
                for message in duplicates:
                    world.deliver(message)
            case "leave" if host == "h":
                world.to_ledger(host, LeaveStarted())
            case "detect restarts":
                world.detect_restarts()
            case "restart entry":
                world.restart_entry(entry)
            case "drop connection":
                world.drop_connection(host, entry)
            case "reconnect":
                world.reconnect_callers(entry)
            case "stop" if world.callers:
                newest = list(world.callers.values())[-1]
                world.to_outcome(newest, StopRequested(Code.CALLER_GONE))

    @rule(seconds=st.sampled_from([0.3, 2.1, 2.1, 25.0, 61.0]))
    def tick(self, seconds):
        self.world.tick(seconds)

    def teardown(self):
        """Check that without further faults every request ends and every agent drains."""
        world = self.world
        world.detect_restarts()
        for _ in range(60):
            for message in [world.messages.pop(0) for _ in range(len(world.messages))]:
                world.deliver(message)
            for host, key in world.unpaused_runs():
                if world.runs[host][key].is_running:
                    world.produce(host, key)
                else:
                    world.start_run(host, key)
            world.tick(2.1)
        callers = world.callers.values()
        assert all(c.is_finished for c in callers if c.entry is not None), "a request hangs"
        assert all(ledger.is_drained for ledger in world.ledgers.values()), (
            "an agent does not drain"
        )


def test_delivery_invariants_hold_under_faults():
    """Guards against lost or duplicated bytes, second runs, false "not run" and stuck requests."""
    run_state_machine_as_test(DeliveryMachine, settings=SETTINGS)


class UnrecordedFenceLedger(RequestLedger):
    """Faulty: confirms the fence of a start that has not arrived, but does not record it."""

    def _handle_cancel(self, host, cancel, now):
        key = (cancel.request_id, cancel.attempt)
        if key in self.records or key in self.finished.attempts:
            return super()._handle_cancel(host, cancel, now)
        return [Send(host, Cancelled(*key, False, Ran.NOT_RUN))]


class AnyIncarnationLedger(RequestLedger):
    """Faulty: accepts a start that was meant for an earlier process."""

    def _handle_start(self, host, start, now):
        start.agent_incarnation = self.incarnation
        return super()._handle_start(host, start, now)


class GapIgnoringAssembler(StreamAssembler):
    """Faulty: delivers a chunk after a gap as the next one."""

    def _handle_out_of_order(self, chunk, now):
        if chunk.number > self.delivered:
            self.delivered = chunk.number - 1
            return self._handle_chunk(chunk, now)
        return []


class EarlyCompletionAssembler(StreamAssembler):
    """Faulty: completes at the end although chunks are missing."""

    def _handle_end(self, end, now):
        return self._complete(end)


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ({"ledger_class": UnrecordedFenceLedger}, "reported as not run"),
        ({"ledger_class": AnyIncarnationLedger}, "reported as not run|ran twice"),
        ({"assembler_class": GapIgnoringAssembler}, "out of order"),
        ({"assembler_class": EarlyCompletionAssembler}, "incomplete"),
    ],
)
def test_faulty_implementations_are_detected(fault, message):
    """Guards against a state machine that detects no fault."""
    world_class = type("FaultyWorld", (World,), fault)
    machine = type("FaultyMachine", (DeliveryMachine,), {"world_class": world_class})
    search = settings(SETTINGS, max_examples=2000, phases=[Phase.generate])
    with pytest.raises(AssertionError, match=message):
        search_for_faults(machine, search)


def search_for_faults(machine, search):
    """Search with several seeds.

    The examples that hypothesis generates also depend on constants of the modules that other tests
    have imported, so a search that finds no fault is retried with another seed.
    """
    for number in range(SEARCHES):
        run_state_machine_as_test(seed(number)(machine), settings=search)
