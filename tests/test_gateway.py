"""End-to-end tests of gateway processes against the stand-in platform."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from standins.hosted import Answer, Caller, HostedSite, SiteRoute, SiteTenant

PREFIX = "aa11:2000,bb{}:300"
WAIT_S = 15.0


@asynccontextmanager
async def open_site(folder, gateways=1, **fields):
    async with HostedSite(folder, Random(7), **fields) as site:
        for number in range(3):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
        for number in range(2):
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        site.write_config()
        await site.start_gateways(gateways)
        yield site


def make_caller(site, name="gw-0", key="key-1") -> Caller:
    return Caller(f"{site.gateways[name].ip}:{site.ports['front']}", key)


async def wait_until(condition, what):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, what
        await asyncio.sleep(0.02)


def assert_whole(answers: list[Answer], *, is_stream: bool) -> None:
    for answer in answers:
        assert answer.status == 200
        assert answer.is_complete
        assert answer.fault(is_stream=is_stream) is None


def runs_by_request(site) -> Counter:
    return Counter(run.request_id for run in site.runs)


@pytest.fixture
def folder(tmp_path):
    return tmp_path


def test_all_request_kinds_are_served_through_two_gateways(folder):
    async def scenario():
        async with open_site(folder, gateways=2) as site:
            callers = [make_caller(site, f"gw-{n}") for n in range(2)]
            streams = [
                callers[n % 2].send(f"/{kind}/x", f"{kind}{n}", prefix=PREFIX.format(n))
                for n, kind in itertools.product(range(12), ("review", "query"))
            ]
            plain = [
                callers[n % 2].send(f"/{kind}/x", f"{kind}{n}")
                for n, kind in itertools.product(range(12), ("pay", "lookup"))
            ]
            return site, await asyncio.gather(*streams), await asyncio.gather(*plain)

    site, streams, plain = asyncio.run(scenario())
    assert_whole(streams, is_stream=True)
    assert_whole(plain, is_stream=False)
    assert set(runs_by_request(site).values()) == {1}
    for run in site.runs:
        assert run.tenant == "office"
        assert "authorization" not in run.headers
        assert "key-1" not in str(run.headers)


def test_unknown_keys_and_routes_are_rejected(folder):
    async def scenario():
        async with open_site(folder) as site:
            wrong = await make_caller(site, key="nobody").send("/pay/x", "r1")
            missing = await make_caller(site).send("/nowhere/x", "r2")
            return site, wrong, missing

    site, wrong, missing = asyncio.run(scenario())
    assert (wrong.status, missing.status) == (401, 404)
    assert site.runs == []


def test_removed_and_added_keys_take_effect(folder):
    async def scenario():
        async with open_site(folder) as site:
            old, new = make_caller(site), make_caller(site, key="key-2")
            site.tenants[0].keys = ["key-2"]
            site.write_config()
            deadline = time.monotonic() + WAIT_S
            while (await new.send("/lookup/x", "n")).status != 200:
                assert time.monotonic() < deadline
            return await old.send("/lookup/x", "o")

    assert asyncio.run(scenario()).status == 401


@pytest.mark.parametrize("gateways", [1, 2])
def test_graceful_shutdown_under_load_breaks_no_request(folder, gateways):
    """A stopping gateway serves what it accepts, or refuses it as not run if it is the only one."""

    async def scenario():
        async with open_site(folder, gateways) as site:
            caller, answers, number = make_caller(site), [], itertools.count()
            stop = asyncio.Event()

            async def send_load():
                while not stop.is_set():
                    n = next(number)
                    answers.append(await caller.send("/query/x", f"q{n}", prefix=PREFIX.format(n)))

            tasks = [asyncio.create_task(send_load()) for _ in range(4)]
            await wait_until(lambda: len(answers) > 20, "no more than 20 requests were answered")
            site.signal_gateway("gw-0", signal.SIGTERM)
            await site.gateways["gw-0"].process.wait()
            stop.set()
            await asyncio.gather(*tasks)
            return site, answers, site.gateways["gw-0"].process.returncode

    site, answers, code = asyncio.run(scenario())
    assert code == 0
    refused = [answer for answer in answers if answer.status == 503]
    served = [answer for answer in answers if answer.status not in (0, 503)]
    assert_whole(served, is_stream=True)
    run_counts = runs_by_request(site)
    assert all(run_counts[answer.request_id] == 0 for answer in answers if not answer.status)
    assert all(run_counts[answer.request_id] == 0 for answer in refused)
    assert all(answer.retry_after_s for answer in refused)
    assert bool(refused) == (gateways == 1)


def test_gateway_that_stops_alone_answers_as_long_as_it_can(folder):
    """No other gateway takes its place, so a closed listener would only lose requests."""

    async def scenario():
        async with open_site(folder) as site:
            site.signal_gateway("gw-0", signal.SIGTERM)
            answers, refused = [], 0
            for number in range(60):
                caller = make_caller(site)
                answer = await caller.send("/lookup/x", f"s{number}", timeout_s=2.0)
                caller.close()
                answers.append(answer)
                refused += answer.status == 503
                if refused == 5:
                    break
                await asyncio.sleep(0.1)
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    assert {answer.status for answer in answers} == {200, 503}
    for answer in answers:
        if answer.status == 503:
            assert answer.retry_after_s is not None
            assert not run_counts[answer.request_id]


def test_requests_that_outlast_a_stop_get_a_final_answer(folder):
    async def scenario():
        routes = [
            SiteRoute("pay", "/pay/", "unsafe", "desk", timeout_ms=20_000),
            SiteRoute("query", "/query/", "stream", "llm", timeout_ms=20_000, has_prompt=True),
        ]
        async with open_site(folder, routes=routes) as site:
            for placed in site.engines.values():
                placed.engine.faults.mute = 1.0
            caller = make_caller(site)
            calls = [
                asyncio.create_task(caller.send(path, f"m{path}", prefix=prefix, timeout_s=20.0))
                for path, prefix in (("/pay/x", ""), ("/query/x", "p:100"))
            ]
            await wait_until(lambda: len(site.runs) == 2, "the requests do not run")
            site.signal_gateway("gw-0", signal.SIGTERM)
            return await asyncio.gather(*calls)

    # Both may have run, so they are not refused as not run.
    assert [answer.status for answer in asyncio.run(scenario())] == [502, 502]


def test_one_lease_holder_rolls_out_weights_to_all_engines(folder):
    async def scenario():
        async with open_site(folder, gateways=2) as site:
            engines = [p.engine for p in site.engines.values() if p.engine.model]
            for _ in range(3):
                version = site.announce_weights()
                await wait_until(
                    lambda v=version: all(e.version == v for e in engines),
                    "the new weights version did not reach all engines",
                )
            return site, [order for e in engines for order in e.orders]

    _, orders = asyncio.run(scenario())
    accepted = [order for order in orders if order.status == 202]
    assert len(accepted) == 9
    assert len({order.holder for order in orders}) == 1


def test_cached_parts_of_older_weights_or_other_isolated_tenants_are_not_used(folder):
    tenants = [SiteTenant("office", ["key-1"]), SiteTenant("closed", ["key-2"], isolated=True)]

    async def scenario():
        async with open_site(folder, tenants=tenants) as site:
            callers = [make_caller(site), make_caller(site, key="key-2")]
            for round_number in range(3):
                for n in range(12):
                    request_id = f"r{round_number}-{n}"
                    await callers[n % 2].send("/review/x", request_id, prefix=PREFIX.format(n))
                site.announce_weights()
            return site

    site = asyncio.run(scenario())
    assert sum(run.stale_parts for run in site.runs) == 0
    scopes = {"office": set(), "closed": set()}
    for run in site.runs:
        scopes[run.tenant].add(run.scope)
    assert not scopes["office"] & scopes["closed"]


FAULTS = ["cuts", "lost", "errors", "sheds", "extra", "encoded", "floods"]


@pytest.mark.parametrize("fault", FAULTS)
def test_faulty_engines_never_cause_a_wrong_answer_or_a_second_run(folder, fault):
    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                setattr(placed.engine.faults, fault, 0.3)
            caller = make_caller(site)
            kinds = ("review", "query", "pay", "lookup")
            answers = {
                kind: await asyncio.gather(
                    *(
                        caller.send(
                            f"/{kind}/x",
                            f"{kind}{n}",
                            prefix=PREFIX.format(n) if kind in ("review", "query") else "",
                        )
                        for n in range(25)
                    )
                )
                for kind in kinds
            }
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    for kind, group in answers.items():
        is_stream = kind in ("review", "query")
        for answer in group:
            assert answer.fault(is_stream=is_stream) is None
            if kind in ("pay", "query"):
                assert run_counts[answer.request_id] <= 1
                assert not (answer.status in (429, 503) and run_counts[answer.request_id])
            else:
                assert run_counts[answer.request_id] <= 2
    assert any(a.status == 200 and a.is_complete for group in answers.values() for a in group)


def test_resumable_stream_continues_on_another_engine(folder):
    async def scenario():
        async with open_site(folder) as site:
            site.engines["llm-0"].engine.faults.cuts = 1.0
            caller = make_caller(site)
            return await asyncio.gather(
                *(caller.send("/review/x", f"r{n}", prefix=f"p{n}:100") for n in range(20))
            )

    assert_whole(asyncio.run(scenario()), is_stream=True)


def test_refusal_that_is_sent_once_more_refuses_no_other_request(folder):
    """The engine has begun to run the next request when the copy of the refusal arrives."""

    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                placed.engine.faults.sheds = 0.4
                placed.engine.faults.repeats = 1.0
            caller = make_caller(site)
            answers = []
            for n in range(60):
                answers.append(await caller.send("/pay/x", f"p{n}"))
                answers.append(await caller.send("/query/x", f"q{n}", prefix=PREFIX.format(n)))
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    for answer in answers:
        assert answer.fault(is_stream=answer.request_id.startswith("q")) is None
        assert run_counts[answer.request_id] <= 1
        assert not (answer.status in (429, 503) and run_counts[answer.request_id])
    assert sum(answer.status == 200 for answer in answers) > 60


@pytest.mark.parametrize("path", ["/review/x", "/query/x", "/pay/x"])
def test_answer_without_framing_is_complete_when_its_connection_ends(folder, path):
    async def scenario():
        async with open_site(folder) as site:
            for engine in site.all_engines:
                engine.faults.unframed = 1.0
            caller = make_caller(site)
            prefix = "" if path.startswith("/pay") else "{}:100,{}:50"
            return [
                await caller.send(path, f"u{n}", prefix=prefix.format(f"aa{n}", f"bb{n}"))
                for n in range(6)
            ]

    assert_whole(asyncio.run(scenario()), is_stream=not path.startswith("/pay"))


def test_stream_without_framing_that_ends_inside_an_event_continues_elsewhere(folder):
    async def scenario():
        async with open_site(folder) as site:
            for engine in site.all_engines[:1]:
                engine.faults.unframed = engine.faults.cuts = 1.0
            caller = make_caller(site)
            sends = [caller.send("/review/x", f"v{n}", prefix=f"aa{n}:100,bb:50") for n in range(9)]
            return site, [await send for send in sends]

    site, answers = asyncio.run(scenario())
    assert any(count > 1 for count in runs_by_request(site).values())
    for answer in answers:
        assert answer.fault(is_stream=True) is None
        if answer.status == 200 and not answer.is_complete:
            assert runs_by_request(site)[answer.request_id] == 2
    assert sum(answer.is_complete for answer in answers) >= 6


def test_stalled_stream_continues_on_another_engine(folder):
    """Comments and single bytes are no progress; the caller gets each event once, in order."""

    async def scenario():
        async with open_site(folder) as site:
            site.engines["llm-0"].engine.faults.stalls = 1.0
            caller = make_caller(site)
            answers = await asyncio.gather(
                *(caller.send("/review/x", f"r{n}", prefix=f"p{n}:100") for n in range(6))
            )
            await wait_until(
                lambda: all(run.ended_at for run in site.runs), "an engine still runs a request"
            )
            return answers

    assert_whole(asyncio.run(scenario()), is_stream=True)


def test_late_answer_is_awaited_without_a_retry_budget(folder):
    """Giving up the work of a late engine serves nobody if the request cannot run elsewhere."""

    async def scenario():
        bounds = {"budgetRatio": 0.0, "budgetExtra": 0.0}
        async with open_site(folder, bounds=bounds) as site:
            for placed in site.engines.values():
                placed.engine.faults.slow = 1.0
            caller = make_caller(site)
            answer = await caller.send("/review/x", "late", prefix="p:100")
            return site, answer

    site, answer = asyncio.run(scenario())
    assert_whole([answer], is_stream=True)
    assert runs_by_request(site)["late"] == 1


def test_stalled_stream_that_may_not_run_again_ends_at_its_deadline(folder):
    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                placed.engine.faults.stalls = 1.0
            caller = make_caller(site)
            answer = await caller.send("/query/x", "q", prefix="p:100", timeout_s=1.0)
            await wait_until(
                lambda: all(run.ended_at for run in site.runs), "an engine still runs the request"
            )
            return site, answer

    site, answer = asyncio.run(scenario())
    assert not answer.is_complete
    assert runs_by_request(site)["q"] == 1


@pytest.mark.parametrize("path", ["/query/x", "/pay/x", "/lookup/x"])
def test_answers_without_end_do_not_fill_the_memory(folder, path):
    """Each engine sends bytes until the gateway closes, in a head or in a body."""

    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                placed.engine.faults.floods = 1.0
            caller = make_caller(site)
            pid = next(iter(site.gateways.values())).process.pid
            before = peak_memory_bytes(pid)
            prefix = "p:100" if path == "/query/x" else ""
            answers = [await caller.send(path, f"f{n}", prefix=prefix) for n in range(4)]
            flooded = sum(engine.flooded_bytes for engine in site.all_engines)
            return answers, peak_memory_bytes(pid) - before, flooded

    answers, growth, flooded = asyncio.run(scenario())
    assert not any(answer.status == 200 and answer.is_complete for answer in answers)
    assert growth <= 24 << 20
    # Up to eight attempts, each with what the sockets buffer.
    assert flooded <= 8 * (16 << 20)


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory of a process so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")


def test_disconnected_caller_frees_its_engine(folder):
    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                placed.engine.faults.mute = 1.0
            caller = make_caller(site)
            await caller.send("/pay/x", "gone", disconnect_after_s=0.3)
            await wait_until(
                lambda: site.runs and site.runs[0].ended_at,
                "the engine still runs the request of the disconnected caller",
            )

    asyncio.run(scenario())


def test_engine_that_leaves_polls_unanswered_keeps_its_running_requests(folder):
    """It counts as silent for new requests; what it runs is neither given up nor sent again."""

    async def scenario():
        async with open_site(folder) as site:
            for placed in site.engines.values():
                placed.engine.faults.polls_unanswered = 1.0
                placed.engine.faults.slow = 1.0
            caller = make_caller(site)
            answer = await caller.send("/query/x", "running", prefix="p:100")
            log = site.gateways["gw-0"].log.read_text()
            return site, answer, "engine_silent" in log

    site, answer, was_silent = asyncio.run(scenario())
    assert was_silent
    assert_whole([answer], is_stream=True)
    assert runs_by_request(site)["running"] == 1


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_restarted_gateway_uses_no_withdrawn_key_and_no_endpoint_that_has_left(folder, mode):
    """The store turns the restarted gateway away; its peer knows what has been withdrawn."""

    async def scenario():
        async with open_site(folder, gateways=2) as site:
            site.tenants[0].keys = ["key-2"]
            site.write_config()
            site.drain_engine("desk-0")
            await wait_until_refused(site, "gw-0")
            site.store.faults.affected_gateways = {"gw-1"}
            site.store.faults.mode = mode
            site.signal_gateway("gw-1", signal.SIGKILL)
            await site.gateways["gw-1"].process.wait()
            restarted = await site.start_gateway("gw-1", "127.0.0.3", "b", seeds=["127.0.0.2:1"])
            await site.wait_until_ready(restarted)
            old, new = make_caller(site, "gw-1"), make_caller(site, "gw-1", "key-2")
            refused = [await old.send("/lookup/x", f"old{n}") for n in range(5)]
            served = [await new.send("/lookup/x", f"new{n}") for n in range(10)]
            return site, refused, served

    site, refused, served = asyncio.run(scenario())
    assert {answer.status for answer in refused} == {401}
    assert_whole(served, is_stream=False)
    engines = {run.endpoint_id for run in site.runs if run.request_id.startswith("new")}
    assert len(engines) == 1


async def wait_until_refused(site, name):
    """Wait until a gateway refuses the key that the configuration no longer has."""
    deadline = time.monotonic() + WAIT_S
    while (await make_caller(site, name).send("/lookup/x", "w")).status != 401:
        assert time.monotonic() < deadline
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("mode", ["busy", "reset", "silent"])
def test_gateway_without_store_access_is_updated_by_its_peers(folder, mode):
    async def scenario():
        async with open_site(folder, gateways=2) as site:
            caller = make_caller(site, "gw-1", "key-2")
            site.store.faults.affected_gateways = {"gw-1"}
            site.store.faults.mode = mode
            await asyncio.sleep(0.3)
            site.tenants[0].keys = ["key-1", "key-2"]
            site.write_config()
            deadline = time.monotonic() + WAIT_S
            while (await caller.send("/lookup/x", "after")).status != 200:
                assert time.monotonic() < deadline
                await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_requests_are_served_while_the_store_is_down_and_leases_expire(folder):
    async def scenario():
        async with open_site(folder) as site:
            site.store.faults.mode = "reset"
            await asyncio.sleep(0.7)
            for name in list(site.engines):
                site.store.put("keyed.servers", name, None)
            caller = make_caller(site)
            during = [await caller.send("/lookup/x", f"d{n}") for n in range(5)]
            site.store.faults.mode = "ok"
            after = []
            for n in range(20):
                after.append(await caller.send("/lookup/x", f"a{n}"))
                await asyncio.sleep(0.1)
            return during + after

    assert_whole(asyncio.run(scenario()), is_stream=False)


def test_draining_endpoint_gets_no_new_requests(folder):
    async def scenario():
        async with open_site(folder) as site:
            caller = make_caller(site)
            site.drain_engine("desk-0")
            deadline = time.monotonic() + WAIT_S
            while time.monotonic() < deadline:
                mark = len(site.runs)
                await asyncio.gather(*(caller.send("/lookup/x", f"l{n}") for n in range(10)))
                if all(run.endpoint_id == "desk-1" for run in site.runs[mark:]):
                    return True
            return False

    assert asyncio.run(scenario())


def test_store_is_not_polled_in_a_loop(folder):
    async def scenario():
        async with HostedSite(folder, Random(7)) as site:
            gateway = await site.start_gateway("gw-0", "127.0.0.2")
            await wait_until(
                lambda: site.store.calls >= 4, "the gateway made fewer than 4 calls to the store"
            )
            await asyncio.sleep(1.0)
            assert gateway.process.returncode is None
            return site.store.calls

    # Expected: two listings, two long polls, and the calls for the members and the lease.
    assert asyncio.run(scenario()) <= 12
