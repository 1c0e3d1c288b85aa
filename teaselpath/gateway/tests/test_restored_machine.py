"""Gateways at a store that returns from copies of any age, at any moment, several times.

State machine: nothing that was acknowledged is missing once the store is calm, versions never fall,
endpoints that left stay away, and a running one is not lost.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from teaselpath.fleet import EndpointState
from teaselpath.gateway.tests.restored_fleet import TOPICS, RestoredFleet, SimulatedGateway

ENGINES = ("e0", "e1", "e2")
gateways = st.integers(0, RestoredFleet.SIZE - 1)
topics = st.sampled_from(TOPICS)
waits = st.sampled_from([0, 1, 2, 6])
engines = st.sampled_from(ENGINES)


def listed(gateway: SimulatedGateway) -> dict[str, tuple[int | None, EndpointState]]:
    """Return start and state of the endpoints that a gateway uses."""
    views = gateway.state.views
    return {k: (v.endpoint.started_at_ms, v.endpoint.state) for k, v in views.items()}


class RestoredStoreMachine(RuleBasedStateMachine):
    """Random steps of operators, engines, store and gateways.

    :ivar seen: last state of each start of an engine as each start of a gateway has listed it, None
        once it was removed, and the number of its last statement there.
    """

    def __init__(self):
        super().__init__()
        self.fleet = RestoredFleet()
        self.seen: dict[tuple[int, str, int], tuple[EndpointState | None, int]] = {}

    @initialize()
    def start(self):
        self.fleet.write_config()
        for key in ENGINES[:2]:
            self.fleet.start_engine(key)
        self.wait(2)

    def store_is_up(self):
        return self.fleet.store.is_up

    def wait(self, steps):
        for _ in range(steps):
            self.fleet.step()
            self.check_endpoints()

    # operators and engines

    @precondition(store_is_up)
    @rule(what=st.sampled_from(["config", "weights"]), steps=waits)
    def write(self, what, steps):
        self.fleet.write(what)
        self.wait(steps)

    @precondition(store_is_up)
    @rule(key=engines, steps=waits)
    def change_engine(self, key, steps):
        """Start an engine that does not run, or let it announce that it leaves."""
        engine = self.fleet.engines.get(key)
        if engine is None or not engine.is_running:
            self.fleet.start_engine(key)
        elif engine.state == "ready":
            self.fleet.announce_leaving(engine)
        self.wait(steps)

    @rule(key=engines, is_recorded=st.booleans(), steps=waits)
    def end_engine(self, key, is_recorded, steps):
        engine = self.fleet.engines.get(key)
        if engine is not None:
            is_recorded = is_recorded and self.fleet.store.is_up
            self.fleet.end_engine(engine, is_recorded=is_recorded)
        self.wait(steps)

    # store

    @rule(steps=waits, lapsed=st.sets(engines))
    def lose_store(self, steps, lapsed):
        self.fleet.store.is_up = False
        # Entries lapse after missed heartbeats, so that the gateways notice the outage before.
        self.wait(max(steps, 4) if lapsed else steps)
        for key in sorted(lapsed):
            self.fleet.expire_entry(key)

    @precondition(lambda self: not self.fleet.store.is_up)
    @rule(steps=waits)
    def regain_store(self, steps):
        self.fleet.regain_store()
        self.wait(steps)

    @rule(age=st.integers(0, 8), operators_are_late=st.booleans(), steps=waits)
    def restore_store(self, age, operators_are_late, steps):
        """Return from a copy, at times without an outage that anyone notices."""
        self.fleet.restore(age)
        if not operators_are_late:
            self.fleet.repeat_operators_records()
        self.wait(steps)

    @precondition(store_is_up)
    @rule(steps=waits)
    def repeat_operators_records(self, steps):
        self.fleet.repeat_operators_records()
        self.wait(steps)

    # gateways

    @rule(number=gateways, is_cut=st.booleans())
    def cut(self, number, is_cut):
        self.fleet.gateways[number].is_cut = is_cut

    @rule(number=gateways)
    def restart(self, number):
        self.fleet.gateways[number] = self.fleet.start_gateway(number)

    @precondition(store_is_up)
    @rule(number=gateways, topic=topics)
    def send_poll(self, number, topic):
        """The answer leaves the store now and arrives later, maybe after a return."""
        if not self.fleet.gateways[number].is_cut:
            self.fleet.gateways[number].send_poll(topic)

    @rule(number=gateways, peer=gateways)
    def hear(self, number, peer):
        if number != peer:
            self.fleet.gateways[number].hear(self.fleet.gateways[peer])

    # guarantees

    @invariant()
    def versions_do_not_fall(self):
        for gateway in self.fleet.gateways:
            assert gateway.configs == sorted(gateway.configs)
            weights = gateway.state.announced_versions().get("m", 0)
            assert weights <= self.fleet.acknowledged["weights"]

    @invariant()
    def check_endpoints(self):
        for gateway in self.fleet.gateways:
            current = listed(gateway)
            for key, (born, state) in current.items():
                self._check_listed(gateway, key, born, state)
            for (incarnation, key, born), _ in list(self.seen.items()):
                is_own = incarnation == gateway.state.incarnation
                if is_own and current.get(key, (None,))[0] != born:
                    self._check_removed(incarnation, key, born)

    def _check_listed(self, gateway, key, born, state):
        start = (gateway.state.incarnation, key, born)
        sequence = gateway.state.endpoints.entries[key].revision.sequence
        if start in self.seen:
            before, known_sequence = self.seen[start]
            engine = self.fleet.engines[key]
            is_running = engine.is_running and engine.born == born
            # A gateway that has started lately cannot tell a later statement from a copied one.
            may_return = is_running or sequence > known_sequence
            assert before is not None or may_return, f"{key} left and came back"
            if before is EndpointState.LEAVING:
                assert state is before, f"{key} was leaving and is {state}"
            sequence = max(sequence, known_sequence)
        self.seen[start] = (state, sequence)

    def _check_removed(self, incarnation, key, born):
        engine = self.fleet.engines[key]
        is_running = engine.is_running and engine.born == born
        assert not is_running, f"{key} is running and was removed"
        self.seen[incarnation, key, born] = (None, self.seen[incarnation, key, born][1])

    @precondition(store_is_up)
    @rule()
    def calm_down(self):
        self.fleet.calm_down()
        self.check_endpoints()
        running = {
            key: (
                engine.born,
                EndpointState.READY if engine.state == "ready" else EndpointState.LEAVING,
            )
            for key, engine in self.fleet.engines.items()
            if engine.is_running
        }
        for gateway in self.fleet.gateways:
            state = gateway.state
            assert (state.config.version if state.config else 0) == self.fleet.acknowledged[
                "config"
            ]
            assert state.announced_versions().get("m", 0) == self.fleet.acknowledged["weights"]
            assert listed(gateway) == running

    def teardown(self):
        self.fleet.store.is_up = True
        self.calm_down()


TestRestoredStore = RestoredStoreMachine.TestCase
TestRestoredStore.settings = settings(max_examples=120, stateful_step_count=25)
