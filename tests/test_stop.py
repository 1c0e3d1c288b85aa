"""Planned stops while engines are slow, with gateway processes."""

import asyncio
import signal

import pytest

from standins.hosted import EngineFaults, SiteRoute
from tests.test_gateway import make_caller, open_site, runs_by_request

# Slow engines stream for 1.6 to 4.8 s.
SLOW_EVENT_INTERVAL_S = 0.4
# Requests on kept connections, so long after SIGTERM.
AGES_S = [2.7 + 0.15 * number for number in range(22)]


def test_streams_taken_late_in_a_stop_are_whole_or_get_a_final_answer(tmp_path, monkeypatch):
    """Sent 4.3 s after SIGTERM, a stream began and was cut as the process ended."""
    routes = [SiteRoute("query", "/query/", "stream", "llm", timeout_ms=8_000, has_prompt=True)]

    async def scenario():
        async with open_site(tmp_path, routes=routes) as site:
            callers = [make_caller(site) for _ in AGES_S]
            sends = [c.send("/query/x", f"w{n}", prefix="p:100") for n, c in enumerate(callers)]
            await asyncio.gather(*sends)
            monkeypatch.setattr("standins.hosted._engine.EVENT_INTERVAL_S", SLOW_EVENT_INTERVAL_S)
            site.signal_gateway("gw-0", signal.SIGTERM)

            async def send_late(number):
                await asyncio.sleep(AGES_S[number])
                return await callers[number].send("/query/x", f"l{number}", prefix="p:100")

            answers = await asyncio.gather(*(send_late(n) for n in range(len(AGES_S))))
            await site.gateways["gw-0"].process.wait()
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    assert [a.request_id for a in answers if a.status == 200 and not a.is_complete] == []
    for answer in answers:
        assert answer.fault(is_stream=True) is None
        if answer.status == 503:
            assert run_counts[answer.request_id] == 0
    assert any(answer.status == 200 for answer in answers)


# Plain requests at slow engines, so long after SIGTERM: through the whole grace period.
PLAIN_AGES_S = [0.1 * number for number in range(82)]


@pytest.mark.parametrize("gateways", [1, 2])
def test_plain_requests_that_a_stopping_gateway_passes_on_get_an_answer(tmp_path, gateways):
    """Requests taken late in the grace were cut without an answer at its end."""

    async def scenario():
        async with open_site(tmp_path, gateways=gateways) as site:
            callers = [make_caller(site) for _ in PLAIN_AGES_S]
            await asyncio.gather(*(c.send("/pay/x", f"w{n}") for n, c in enumerate(callers)))
            for listed in site.engines.values():
                listed.engine.faults = EngineFaults(slow=0.3)
            site.signal_gateway("gw-0", signal.SIGTERM)

            async def send_late(number):
                await asyncio.sleep(PLAIN_AGES_S[number])
                kind = ("pay", "lookup")[number % 2]
                return await callers[number].send(f"/{kind}/x", f"{kind}{number}", timeout_s=5.0)

            answers = await asyncio.gather(*(send_late(n) for n in range(len(PLAIN_AGES_S))))
            await site.gateways["gw-0"].process.wait()
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    ran = [answer for answer in answers if run_counts[answer.request_id]]
    assert [answer.request_id for answer in ran if answer.status in (0, 503)] == []
    assert [a.request_id for a in answers if a.status == 200 and not a.is_complete] == []
    assert all(run_counts[a.request_id] <= 1 for a in answers if a.request_id.startswith("pay"))
    assert len(ran) > 20
