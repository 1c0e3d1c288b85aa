"""End-to-end tests of streams in a service whose engines have two software versions."""

import asyncio
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Answer, Caller, EngineFaults, HostedSite
from tests.crashing import GATEWAYS, restart_gateways

ENGINES = 6
PREFIX = "aa11:100,ff{:04x}:50"
EVENT_INTERVAL_S = 0.1
# Time after which callers leave, within their streams.
LEAVE_AFTER_S = 0.3
STREAMS = 12


@asynccontextmanager
async def open_site(folder, versions=("v1", "v2")):
    """Run a site whose model engines have these versions in turn."""
    async with HostedSite(folder, Random(5)) as site:
        for number in range(ENGINES):
            version = versions[number % len(versions)]
            await site.add_engine(
                f"llm-{number}", "llm", "ab"[number // 3], is_model=True, software=version
            )
        site.write_config()
        await site.start_gateways(GATEWAYS)
        for gateway in site.gateways.values():
            while gateway.log.read_text().count('"member_listed"') < GATEWAYS - 1:
                await asyncio.sleep(0.05)
        yield site


def slow_down(site: HostedSite) -> None:
    for listed in site.engines.values():
        listed.engine.event_interval_s = EVENT_INTERVAL_S


async def send(site: HostedSite, gateway: int, request_id: str, number: int, **options) -> Answer:
    address = f"{site.gateways[f'gw-{gateway}'].ip}:{site.ports['front']}"
    return await Caller(address).send(
        "/review/x", request_id, prefix=PREFIX.format(number), tokens="150,10", **options
    )


async def begin_streams(
    site: HostedSite, gateway: int, numbers: range = range(STREAMS)
) -> dict[str, str]:
    """Begin streams and leave them; return the id of the last event of each."""
    slow_down(site)
    answers = await asyncio.gather(
        *(send(site, gateway, f"first{n}", n, disconnect_after_s=LEAVE_AFTER_S) for n in numbers)
    )
    last_ids = {answer.request_id: answer.last_whole_event_id for answer in answers}
    assert all(last_ids.values())
    return last_ids


async def take_up(site: HostedSite, gateway: int, begun: dict[str, str]) -> list[Answer]:
    """Take streams up at a gateway."""
    return await asyncio.gather(
        *(
            send(
                site, gateway, first.replace("first", f"again{gateway}-"),
                int(first.removeprefix("first")), last_event_id=event_id, resumes=first,
            )
            for first, event_id in begun.items()
        )
    )  # fmt: skip


def joined_streams(site: HostedSite) -> list[str]:
    """Return the streams that hold events of engines of several software versions."""
    versions: dict[str, set[str]] = {}
    for run in site.runs:
        if run.events:
            stream = run.headers.get("resumes", run.request_id)
            versions.setdefault(stream, set()).add(str(run.software))
    return [stream for stream, found in versions.items() if len(found) > 1]


def test_stream_goes_on_at_its_own_version_within_one_answer(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            for listed in site.engines.values():
                listed.engine.faults = EngineFaults(cuts=0.5)
            answers = []
            for n in range(40):
                answers.append(await send(site, n % GATEWAYS, f"first{n}", n))
            return site, answers

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    went_on = {run.request_id for run in site.runs if "last-event-id" in run.headers}
    assert went_on
    assert sum(answer.status == 200 and answer.is_complete for answer in answers) > 20


def test_stream_goes_on_at_its_own_version_at_another_gateway(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            begun = await begin_streams(site, 0)
            return site, await take_up(site, 1, begun)

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert [answer.status for answer in answers] == [200] * STREAMS


def test_stream_goes_on_at_its_own_version_after_its_gateway_was_killed(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            begun = await begin_streams(site, 0)
            site.gateways["gw-0"].process.kill()
            answers = await take_up(site, 1, begun)
            # A stream that was taken up is taken up again; it still names its first attempt.
            return site, answers, await take_up(site, 2, begun)

    site, *answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    for taken_up in answers:
        assert [answer.status for answer in taken_up] == [200] * STREAMS


@pytest.mark.parametrize("leaves", [False, True])
def test_stream_is_not_joined_after_all_gateways_were_killed(tmp_path, leaves):
    async def scenario():
        async with open_site(tmp_path) as site:
            begun = await begin_streams(site, 0)
            for name in [name for name in site.engines if leaves and int(name[-1]) % 2 == 0]:
                site.crash_engine(name)
            await restart_gateways(site)
            answers = [*await take_up(site, 1, begun), *await take_up(site, 2, begun)]
            fresh = await send(site, 0, "fresh", 77)
            return site, answers, fresh

    site, answers, fresh = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert {answer.status for answer in answers} <= {200, 503}
    assert fresh.status == 200


def test_streams_of_two_versions_go_on_after_all_gateways_were_killed(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            begun = await begin_streams(site, 0)
            await asyncio.sleep(0.5)
            await restart_gateways(site)
            answers = await take_up(site, 1, begun)
            # What was stored holds over a second loss, of which the first gateway is not back.
            for name in ("gw-1", "gw-2"):
                site.gateways[name].process.kill()
                await site.gateways[name].process.wait()
                await site.start_gateway(name, site.gateways[name].ip, "ab"[int(name[-1]) % 2])
                await site.wait_until_ready(site.gateways[name])
            site.gateways["gw-0"].process.kill()
            return site, answers, await take_up(site, 2, begun)

    site, *answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    for taken_up in answers:
        assert [answer.status for answer in taken_up] == [200] * STREAMS


def test_stream_of_the_only_version_goes_on_after_all_gateways_were_killed(tmp_path):
    async def scenario():
        async with open_site(tmp_path, ["v1"]) as site:
            begun = await begin_streams(site, 0)
            await restart_gateways(site)
            return await take_up(site, 1, begun)

    answers = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [200] * STREAMS


def test_stream_that_began_before_a_release_is_not_joined_after_it(tmp_path):
    async def scenario():
        async with open_site(tmp_path, ["v1"]) as site:
            begun = await begin_streams(site, 0)
            for number in range(ENGINES):
                await site.add_engine(f"new-{number}", "llm", is_model=True, software="v2")
            for number in range(1, ENGINES):
                site.drain_engine(f"llm-{number}")
            await asyncio.sleep(2.0)
            site.gateways["gw-0"].process.kill()
            return site, await take_up(site, 1, begun)

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert [answer.status for answer in answers] == [200] * STREAMS


@pytest.mark.parametrize("version", [None, 7, "", ["v1"]])
def test_version_that_cannot_be_read_equals_no_other(tmp_path, version):
    async def scenario():
        async with open_site(tmp_path, [version]) as site:
            begun = await begin_streams(site, 0)
            return await take_up(site, 1, begun)

    answers = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {503}


@pytest.mark.parametrize("resumes", ["", "unknown", "x" * 5000])
def test_stream_of_an_unknown_attempt_is_refused_in_a_service_of_two_versions(tmp_path, resumes):
    async def scenario():
        async with open_site(tmp_path) as site:
            refused = await send(site, 0, "again", 1, last_event_id="2", resumes=resumes)
            begun = await send(site, 0, "fresh", 2, resumes=resumes)
            return refused, begun

    refused, begun = asyncio.run(scenario())
    assert refused.status == 503
    assert refused.retry_after_s is not None
    assert begun.status == 200


def test_stream_of_another_workspace_does_not_name_a_version(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            begun = await begin_streams(site, 0, range(1))
            site.tenants.append(type(site.tenants[0])("drivers", ["key-2"]))
            site.write_config()
            await asyncio.sleep(1.0)
            address = f"{site.gateways['gw-1'].ip}:{site.ports['front']}"
            return await Caller(address, "key-2").send(
                "/review/x", "again", prefix=PREFIX.format(1), tokens="150,10",
                last_event_id="1", resumes=next(iter(begun)),
            )  # fmt: skip

    assert asyncio.run(scenario()).status == 503


def test_streams_are_taken_up_while_versions_change(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            answers = []
            for number in range(3):
                await site.add_engine(
                    f"new-{number}", "llm", is_model=True, software=f"v{3 + number}"
                )
                site.drain_engine(f"llm-{number}")
                begun = await begin_streams(site, number, range(6 * number, 6 * number + 6))
                answers += await take_up(site, (number + 1) % GATEWAYS, begun)
            return site, answers

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert sum(answer.status == 200 for answer in answers) >= len(answers) // 2


def test_event_that_an_engine_leaves_out_of_a_taken_up_stream_is_noticed(tmp_path):
    async def scenario():
        async with open_site(tmp_path, ["v1"]) as site:
            whole = [await send(site, n % GATEWAYS, f"whole{n}", 100 + n) for n in range(6)]
            begun = await begin_streams(site, 0)
            for listed in site.engines.values():
                listed.engine.faults = EngineFaults(skips=1.0)
            return whole, await take_up(site, 1, begun)

    whole, answers = asyncio.run(scenario())
    assert {answer.status for answer in whole} == {200}
    for answer in answers:
        assert answer.fault(is_stream=True) is None


def test_document_does_not_continue_a_stream_that_was_taken_up(tmp_path):
    """Guards against an engine whose document ends a stream as complete (soak seed 9103)."""

    async def scenario():
        async with open_site(tmp_path, ["v1"]) as site:
            begun = await begin_streams(site, 0)
            for listed in site.engines.values():
                listed.engine.faults = EngineFaults(plain=1.0)
            return await take_up(site, 1, begun)

    answers = asyncio.run(scenario())
    assert not any(answer.status == 200 and answer.is_complete for answer in answers)
