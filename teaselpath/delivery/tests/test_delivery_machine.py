"""Ledger, assembler and outcome together must deliver exactly, once, and tell the truth."""

import pytest
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from teaselpath.delivery import LeaveStarted, RequestLedger, RunEnd, StopRequested, StreamAssembler
from teaselpath.delivery.tests.world import AGENTS, World
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, Send

SETTINGS = settings(max_examples=200, stateful_step_count=20)
SEARCHES = 5
FAULTS = ["kill agent", "copies", "leave", "see", "kill entry", "cut", "move", "stop"]


class DeliveryMachine(RuleBasedStateMachine):
    """Rules are the events of the channels, the processes and the callers."""

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
        """Take small steps; most of them move messages and runs on."""
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
        # Half of the messages are taken in order.
        message = messages.pop(0 if kind < 4 else choice % min(len(messages), 6))
        if kind in (3, 6):
            self.world.copies.append(message)
        if kind != 7:
            self.world.deliver(message)

    def step_run(self, choice, kind):
        runs = self.world.active_runs()
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
            case "kill agent":
                world.kill_agent(host)
            case "copies":
                copies, world.copies = world.copies, []
                for message in copies:
                    world.deliver(message)
            case "leave" if host == "h":
                world.to_ledger(host, LeaveStarted())
            case "see":
                world.see_agents()
            case "kill entry":
                world.kill_entry(entry)
            case "cut":
                world.cut(host, entry)
            case "move":
                world.take_over_all(entry)
            case "stop" if world.callers:
                newest = list(world.callers.values())[-1]
                world.to_outcome(newest, StopRequested(Code.CALLER_GONE))

    @rule(seconds=st.sampled_from([0.3, 2.1, 2.1, 25.0, 61.0]))
    def tick(self, seconds):
        self.world.tick(seconds)

    def teardown(self):
        """Without further faults every request ends, and every agent drains."""
        world = self.world
        world.see_agents()
        for _ in range(60):
            for message in [world.messages.pop(0) for _ in range(len(world.messages))]:
                world.deliver(message)
            for host, key in world.active_runs():
                if world.runs[host][key].is_running:
                    world.produce(host, key)
                else:
                    world.start_run(host, key)
            world.tick(2.1)
        callers = world.callers.values()
        assert all(c.is_finished for c in callers if c.entry is not None), "a request hangs"
        assert all(ledger.is_drained for ledger in world.ledgers.values()), "an agent never drains"


def test_delivery_is_exact_and_truthful():
    """Guards against lost or doubled bytes, second runs, false "not run" and hanging requests."""
    run_state_machine_as_test(DeliveryMachine, settings=SETTINGS)


class ForgetfulLedger(RequestLedger):
    """Faulty: answers a fence of an id that has not arrived, but does not remember it."""

    def _cancel(self, host, cancel, now):
        key = (cancel.request_id, cancel.attempt)
        if key in self.records or key in self.finished.requests:
            return super()._cancel(host, cancel, now)
        return [Send(host, Cancelled(*key, False, Ran.NOT_RUN))]


class TrustingLedger(RequestLedger):
    """Faulty: takes a start that was meant for an earlier process."""

    def _start(self, host, start, now):
        start.agent_incarnation = self.incarnation
        return super()._start(host, start, now)


class SkippingAssembler(StreamAssembler):
    """Faulty: takes a chunk after a gap as the next one."""

    def _out_of_order(self, chunk, now):
        if chunk.number > self.delivered:
            self.delivered = chunk.number - 1
            return self._chunk(chunk, now)
        return []


class HastyAssembler(StreamAssembler):
    """Faulty: completes at the end although chunks are missing."""

    def _end_received(self, end, now):
        return self._complete(end)


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ({"ledger_class": ForgetfulLedger}, "called not run"),
        ({"ledger_class": TrustingLedger}, "called not run|ran twice"),
        ({"assembler_class": SkippingAssembler}, "out of order"),
        ({"assembler_class": HastyAssembler}, "not whole"),
    ],
)
def test_known_faults_are_found(fault, message):
    """Guards against a machine that cannot fail."""
    world_class = type("FaultyWorld", (World,), fault)
    machine = type("FaultyMachine", (DeliveryMachine,), {"world_class": world_class})
    search = settings(SETTINGS, max_examples=2000, phases=[Phase.generate])
    with pytest.raises(AssertionError, match=message):
        search_for_faults(machine, search)


def search_for_faults(machine, search):
    """Search with several seeds.

    What one search generates also depends on the modules that other tests have imported, whose
    constants hypothesis uses, so a search that finds nothing is repeated with another seed.
    """
    for number in range(SEARCHES):
        run_state_machine_as_test(seed(number)(machine), settings=search)
