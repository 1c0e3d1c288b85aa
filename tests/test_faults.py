"""Fault tests on a small fleet of real processes, checked at its callers and endpoints."""

import asyncio
import json

import aiohttp
import pytest

from benchmarks.fault_client import Attempt, send
from benchmarks.fault_cluster import MODEL, START_OVER_CLASS, Cluster
from standins.fleet import FleetPlan, make_key
from standins.testing import expected_tokens
from teaselpath.results import Code, Ran

WAIT_S = 30.0
POLL_S = 0.05
WORKSPACE = "batinah-counter"
TOKENS = 120
PLAN = FleetPlan(
    engines=("region-a",) * 2,
    services=("region-a",) * 2,
    entries=("region-a",) * 2,
    engine_options={"step_us": 5_000.0},
)


class Caller:
    """Sends requests to the fleet and reads the state that the tests wait for."""

    def __init__(self, cluster, session):
        self.cluster = cluster
        self.fleet = cluster.fleet
        self.session = session

    async def stream(self, tag, entry, tokens=TOKENS):
        """Start a stream; return its attempt record and the task that reads it."""
        body = {"model": MODEL, "prompt": f"Plaque {tag}", "max_tokens": tokens, "stream": True}
        expected = "".join(expected_tokens(body))
        attempt = Attempt(tag, entry, WORKSPACE, 1, "stream", expected)
        return attempt, asyncio.create_task(self._send("/v1/completions", body, {}, attempt))

    async def book(self, tag, entry, key=""):
        """Send one booking."""
        attempt = Attempt(tag, entry, WORKSPACE, 1, "booking")
        headers = {"Idempotency-Key": key} if key else {}
        await self._send("/bookings", {"tag": tag}, headers, attempt)
        return attempt

    async def complete(self, tag, entry, key_number):
        """Send one short request with the given key."""
        body = {"model": MODEL, "prompt": f"Plaque {tag}", "max_tokens": 2}
        attempt = Attempt(tag, entry, WORKSPACE, key_number, "plain")
        await self._send("/v1/completions", body, {}, attempt)
        return attempt

    async def _send(self, path, body, headers, attempt):
        key = make_key(attempt.workspace, attempt.key_number)
        if attempt.request_class:
            headers = headers | {"x-teaselpath-class": attempt.request_class}
        headers = headers | {"Authorization": f"Bearer {key}"}
        url = self.fleet.nodes[attempt.entry].http_url + path
        await send(self.session, url, body, headers, attempt, WAIT_S)

    async def is_ready(self, url):
        """Return whether an entry reports itself ready."""
        try:
            async with self.session.get(url + "/readyz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def restart(self, name):
        """Start a stopped node and wait until it serves."""
        self.fleet.start_node(name)
        await wait_for(lambda: self._is_serving(name))

    async def _is_serving(self, name):
        if self.fleet.nodes[name].role == "entry":
            return await self.is_ready(self.fleet.nodes[name].http_url)
        return (await self.cluster.ask([name], "status", {})).get(name, {}).get("version", 0) > 0

    async def executions(self, field):
        """Return the sums of the services' execution counts by request or by key."""
        counts = {}
        for node in self.cluster.agents("service"):
            answer = await self.fleet.get(node.endpoint_url + "/executions")
            for name, count in answer[field].items():
                counts[name] = counts.get(name, 0) + count
        return counts


async def wait_for(is_reached):
    """Wait until an asynchronous predicate is true."""
    async with asyncio.timeout(WAIT_S):
        while not await is_reached():
            await asyncio.sleep(POLL_S)


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    """Return a function that runs a scenario on the fleet of this module."""
    cluster = Cluster(tmp_path_factory.mktemp("fleet"), PLAN)

    async def scenario_with_caller(scenario):
        async with aiohttp.ClientSession() as session:
            await scenario(Caller(cluster, session))

    with asyncio.Runner() as runner:
        try:
            runner.run(cluster.start())
            yield lambda scenario: runner.run(scenario_with_caller(scenario))
        finally:
            runner.run(cluster.fleet.stop())


def test_stream_continues_after_its_engine_crashed(run):
    """Guards against lost, repeated or altered text when another engine continues a stream."""

    async def scenario(caller):
        engine = caller.cluster.agents("engine")[0]
        fault = {"die_mid_stream": {"after_tokens": 7, "count": 2}}
        await caller.fleet.set_faults(engine.endpoint_url, fault)

        async def is_used_up():
            return (await caller.fleet.get(engine.endpoint_url + "/faults"))["die_mid_stream"][
                "count"
            ] == 0

        for number in range(50):
            attempt, reading = await caller.stream(f"dies-{number}", "entry-1", 30)
            await reading
            assert attempt.is_served, attempt
            assert attempt.text == attempt.expected
            if await is_used_up():
                return
        pytest.fail("no stream met the fault")

    run(scenario)


def test_stream_continues_after_its_agent_was_killed(run):
    """Guards against a stream that stalls until its deadline although other engines are free."""

    async def scenario(caller):
        attempt, reading = await caller.stream("agent-killed", "entry-1", 400)
        busy_agents = []

        async def is_running():
            for node in caller.cluster.agents("engine"):
                load = await caller.fleet.get(node.endpoint_url + "/load")
                busy_agents.extend([node.name] if load["running"] else [])
            return bool(busy_agents)

        await wait_for(is_running)
        await caller.fleet.kill_node(busy_agents[0])
        await reading
        await caller.restart(busy_agents[0])
        assert attempt.is_served, attempt
        assert attempt.text == attempt.expected

    run(scenario)


@pytest.mark.parametrize("mode", ["no_usage", "shuffled", "after_done"])
def test_malformed_end_of_a_stream_is_not_reported_as_complete(run, mode):
    """Guards against a partial answer, or text after its end, that is reported as complete."""

    async def scenario(caller):
        for node in caller.cluster.agents("engine"):
            fault = {"sse": {"after_tokens": 3, "count": 1, "mode": mode}}
            await caller.fleet.set_faults(node.endpoint_url, fault)
        for number in range(4):
            attempt, reading = await caller.stream(f"{mode}-{number}", "entry-1", 30)
            attempt.request_class = START_OVER_CLASS
            await reading
            assert attempt.expected.startswith(attempt.text), attempt
            assert not attempt.is_whole or attempt.text == attempt.expected
        for node in caller.cluster.agents("engine"):
            await caller.fleet.set_faults(node.endpoint_url, {"sse": {"count": 0}})

    run(scenario)


def test_booking_with_a_key_runs_once_if_its_agent_is_killed(run):
    """Guards against a second execution after the agent was killed during the first one."""

    async def scenario(caller):
        services = caller.cluster.agents("service")
        for node in services:
            await caller.fleet.set_faults(node.endpoint_url, {"slow_reply_ms": 60_000.0})
        first = asyncio.create_task(caller.book("once", "entry-1", "visit-once"))
        executed_on = []

        async def is_executed():
            for node in services:
                answer = await caller.fleet.get(node.endpoint_url + "/executions")
                executed_on.extend([node] if answer["count"] else [])
            return bool(executed_on)

        await wait_for(is_executed)
        await caller.fleet.kill_node(executed_on[0].name)
        for node in services:
            await caller.fleet.set_faults(node.endpoint_url, {"slow_reply_ms": 0.0})
        retries = []

        async def is_settled():
            retries.append(await caller.book("once", "entry-2", "visit-once"))
            return retries[-1].is_served or retries[-1].code == Code.DUPLICATE_CLAIM

        await wait_for(is_settled)
        await caller.restart(executed_on[0].name)
        retries.append(await caller.book("once", "entry-1", "visit-once"))
        attempts = [await first, *retries]
        by_key = {k: n for k, n in (await caller.executions("by_key")).items() if k}
        assert list(by_key.values()) == [1], attempts
        assert not any(a.is_served for a in attempts), "the answer was lost with the agent"

    run(scenario)


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_graceful_shutdown_breaks_no_stream(run, role):
    """Guards against a rolling deployment that loses answers."""

    async def scenario(caller):
        entry = "entry-1" if role == "entry" else "entry-2"
        streams = [await caller.stream(f"stop-{role}-{n}", entry) for n in range(4)]

        async def are_all_running():
            return all(attempt.times for attempt, _ in streams)

        await wait_for(are_all_running)
        name = "entry-1"
        if role == "agent":
            for node in caller.cluster.agents("engine"):
                audit = await caller.fleet.get(node.endpoint_url + "/audit")
                if any(not entry["finish_reason"] for entry in audit["requests"]):
                    name = node.name
        assert await caller.fleet.stop_node(name) == 0
        for attempt, reading in streams:
            await reading
            assert attempt.is_served, attempt
            assert attempt.text == attempt.expected
        await caller.restart(name)

    run(scenario)


def test_revoked_key_is_refused_on_open_connections_while_the_log_is_down(run):
    """Guards against a revoked key that remains valid while the log is down."""

    async def scenario(caller):
        entries = [node.name for node in caller.fleet.entries()]
        for entry in entries:
            assert (await caller.complete("before", entry, 2)).is_served
        await caller.fleet.set_faults(caller.fleet.log_url, {"outage": True})
        try:
            assert await caller.cluster.revoke("agent-service-1", WORKSPACE, 2)
            for entry in entries:

                async def is_refused(entry=entry):
                    attempt = await caller.complete("after", entry, 2)
                    assert attempt.is_served or attempt.code == Code.KEY_WITHDRAWN, attempt
                    return attempt.code == Code.KEY_WITHDRAWN

                await wait_for(is_refused)
                assert (await caller.complete("other key", entry, 1)).is_served
        finally:
            await caller.fleet.set_faults(caller.fleet.log_url, {"outage": False})

    run(scenario)


def test_not_run_is_true_while_an_agent_is_killed(run):
    """Guards against ``not_run`` for a booking that ran, which a caller would then retry."""

    async def scenario(caller):
        killed = caller.cluster.agents("service")[0]
        for node in caller.cluster.agents("service"):
            await caller.fleet.set_faults(node.endpoint_url, {"slow_ms": 100.0})
        before = sum((await caller.executions("by_request")).values())
        entries = [node.name for node in caller.fleet.entries()]
        sending = [
            asyncio.create_task(caller.book(f"proof-{n}", entries[n % 2])) for n in range(40)
        ]

        async def has_executed():
            return sum((await caller.executions("by_request")).values()) > before

        await wait_for(has_executed)
        await caller.fleet.kill_node(killed.name)
        sending += [
            asyncio.create_task(caller.book(f"proof-{n}", entries[n % 2])) for n in range(40, 60)
        ]
        # Entries learn from the restarted process that the killed one will not respond.
        await caller.restart(killed.name)
        attempts = await asyncio.gather(*sending)
        counts = await caller.executions("by_request")
        assert max(counts.values()) == 1
        for attempt in attempts:
            assert attempt.request_id, attempt
            if attempt.ran == Ran.NOT_RUN:
                assert attempt.request_id not in counts, attempt
            if attempt.is_served:
                assert json.loads(attempt.text) == {"tag": attempt.tag}
                assert counts[attempt.request_id] == 1

    run(scenario)
