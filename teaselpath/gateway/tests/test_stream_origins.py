"""Streams that are taken up at a gateway which may be out of step."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._origins import StreamOrigins
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.lineage import OriginNote, OriginQuery, VersionNote
from teaselpath.platform import PlatformStore

SERVICE = SimpleNamespace(name="s")
ROUTE = SimpleNamespace(timeout_s=8.0, is_resumable=True)


class Fleet:
    """Gateways whose messages arrive at once, unless one of them is cut off.

    :ivar origins: origins by host; the address of each host is its name.
    :ivar cut: hosts that other gateways do not reach.
    :ivar listed: records that the store lists.
    :ivar away: hosts that do not reach the store.
    """

    def __init__(self, hosts):
        self.origins: dict[str, StreamOrigins] = {}
        self.cut: set[str] = set()
        self.away: set[str] = set()
        self.listed: list[Any] = []
        now = asyncio.get_running_loop().time()
        for host in hosts:
            state = GatewayState(SETTINGS, PlatformStore("127.0.0.1:9", HttpClient()), 1)
            for other in hosts:
                if other != host:
                    state.record_member(other, other, 1, now).last_contact_at = now
            state.record_store_success(now)
            origins = StreamOrigins(
                state, state.store, GatewayMetrics(host), Channel(self, host), self.reader(host)
            )
            origins.synchronizer.has_read = True
            state.on_endpoint_changed = origins.update_versions
            self.origins[host] = origins

    def reader(self, host):
        async def confirm() -> bool:
            if host in self.away:
                return False
            self.read_store(host)
            return True

        return confirm

    def read_store(self, host) -> None:
        state = self.origins[host].state
        for record in self.listed:
            state.apply_endpoint_record(record, "store", state.store_regained_at)

    def start_engine(self, key, software, *readers) -> None:
        """List an engine; only ``readers`` have read of it."""
        self.listed.append(endpoint_record(key, 1 + len(self.listed), version=software))
        for host in readers:
            self.read_store(host)

    def begin(self, host, request_id, key) -> None:
        """Forward the first event of a stream."""
        call = make_call(request_id)
        origins = self.origins[host]
        origins.record_begun(call, origins.state.views[key])

    def take_up(self, host, resumes):
        """Return the version at which a stream goes on, and what told it."""
        return self.origins[host]._find_version(make_call("again", resumes))


class Channel:
    """Sends messages of one gateway."""

    def __init__(self, fleet, host):
        self.fleet, self.host = fleet, host

    def send_lineage(self, hosts, message) -> None:
        others = [host for host in self.fleet.origins if host != self.host]
        for host in others if hosts is None else hosts:
            if host not in self.fleet.cut and self.host not in self.fleet.cut:
                self.fleet.origins[host].handle(message, self.host)

    def reply_lineage(self, ip, message) -> None:
        self.send_lineage([ip], message)


def make_call(request_id, resumes=None) -> Any:
    request = SimpleNamespace(request_id=request_id, resumes=resumes)
    return cast(
        Any,
        SimpleNamespace(
            request=request, route=ROUTE, service=SERVICE, workspace=None, software=None
        ),
    )


HOSTS = ("gw-0", "gw-1", "gw-2")


def run(scenario):
    """Run a scenario with three gateways in a service of one version."""

    async def begin():
        fleet = Fleet(HOSTS)
        fleet.start_engine("old", "v1", *HOSTS)
        return await scenario(fleet)

    return asyncio.run(begin())


def test_stream_of_the_only_version_goes_on_without_a_question():
    async def scenario(fleet):
        fleet.begin("gw-0", "first", "old")
        fleet.cut = set(HOSTS)
        return await fleet.take_up("gw-1", "first")

    assert run(scenario) == ("v1", "versions")


@pytest.mark.parametrize("cut", [(), ("gw-0",), ("gw-1",), HOSTS])
@pytest.mark.parametrize("away", [(), ("gw-1",), ("gw-1", "gw-2"), HOSTS])
def test_stream_of_a_version_that_the_gateway_has_not_heard_of_is_not_joined(cut, away):
    """Guards against lost notes of new versions, and against gateways that are cut off."""

    async def scenario(fleet):
        fleet.cut = set(cut)
        fleet.start_engine("new", "v2", "gw-0")
        fleet.begin("gw-0", "first", "new")
        fleet.away = set(away)
        return (await fleet.take_up("gw-1", "first"))[0]

    version = run(scenario)
    # Who reaches the gateway that began the stream, or one that was told, need not refuse.
    assert version == ("v2" if not cut else None)


def test_stream_goes_on_while_the_store_is_away_if_all_gateways_know_one_version():
    async def scenario(fleet):
        fleet.begin("gw-0", "first", "old")
        fleet.away = set(HOSTS)
        fleet.origins["gw-0"].table.origins.clear()
        agreed = await fleet.take_up("gw-1", "first")
        fleet.cut = {"gw-0"}
        return agreed, await fleet.take_up("gw-1", "first")

    agreed, without_one = run(scenario)
    assert agreed == ("v1", "gateway")
    # The gateway that is silent may have begun the stream at another version.
    assert without_one[0] is None


@pytest.mark.parametrize("away", [(), HOSTS])
@pytest.mark.parametrize("is_mixed", [False, True])
def test_stream_whose_caller_names_no_request_goes_on_only_at_the_one_version(away, is_mixed):
    """Guards against refusals in an outage, and against a version that is guessed."""

    async def scenario(fleet):
        if is_mixed:
            fleet.start_engine("new", "v2", "gw-0")
        fleet.away = set(away)
        version, _ = await fleet.take_up("gw-1", None)
        fleet.cut = {"gw-2"}
        return version, (await fleet.take_up("gw-1", None))[0]

    version, with_silent_gateway = run(scenario)
    assert version == (None if is_mixed else "v1")
    assert with_silent_gateway == (None if is_mixed or away else "v1")


def test_gateway_that_has_not_read_the_versions_takes_part_in_no_agreement():
    """Guards against gateways that started without the store and know the newest version only."""

    async def scenario(fleet):
        fleet.away = set(HOSTS)
        fleet.origins["gw-2"].synchronizer.has_read = False
        refused = await fleet.take_up("gw-1", "first")
        fleet.origins["gw-1"].synchronizer.has_read = False
        return refused[0], (await fleet.take_up("gw-1", "first"))[0]

    assert run(scenario) == (None, None)


def test_messages_of_gateways_without_versions_can_be_read():
    """Guards against gateways that cannot talk to each other during their own release."""
    origins = run(lambda fleet: _reply_to_old_question(fleet))
    assert origins == [(None, False)]


async def _reply_to_old_question(fleet):
    sent = []
    origins = fleet.origins["gw-0"]
    origins.channel = SimpleNamespace(reply_lineage=lambda ip, reply: sent.append(reply))
    origins.handle(OriginQuery(1, 5), "gw-1")
    origins.handle(VersionNote("s", "v1"), "gw-1")
    origins.handle(OriginNote("s", "v1", 100, [6]), "gw-1")
    return [(reply.versions, reply.is_known) for reply in sent]
