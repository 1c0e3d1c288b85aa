"""End-to-end tests of gateways beside odd entries that another writer left among the endpoints."""

import asyncio
from random import Random

import pytest

from standins.hosted import Caller, HostedSite

SOUND = {"service": "desk", "zone": "a", "state": "ready", "slots": 4, "version": "v1", "born": 1}
NESTED = b'{"service": "desk", "x": ' + b"[" * 3_000 + b"]" * 3_000 + b"}"
ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:" + "9" * 5_000, "127.0.0.1:\u00b2", "127.0.0.999:80"]
ODD_ENTRIES = [
    NESTED,
    b"\xff\xfe",
    b"[]",
    b"7" * 5_000,
    *({**SOUND, "address": address} for address in ADDRESSES),
    {**SOUND, "address": "127.0.0.1:9", "slots": 10**300},
    {**SOUND, "address": "127.0.0.1:9", "slots": -1},
    {**SOUND, "address": "127.0.0.1:9", "born": 10**300},
    {**SOUND, "address": "127.0.0.1:9", "seq": 10**300},
    {**SOUND, "address": "127.0.0.1:9", "models": [{"name": "m", "version": 10**300}]},
]


@pytest.mark.parametrize(
    ("topic", "prefix"),
    [
        ("keyed.servers", ""),
        ("keyed.op", "version/"),
        ("keyed.members", ""),
        ("keyed.verdicts", ""),
        ("keyed.versions", ""),
        ("keyed.streams", ""),
    ],
)
def test_gateways_follow_the_store_beside_odd_records(tmp_path, topic, prefix):
    async def scenario():
        async with HostedSite(tmp_path, Random(3)) as site:
            for number in range(2):
                await site.add_engine(f"desk-{number}", "desk")
            site.write_config()
            for number, entry in enumerate(ODD_ENTRIES):
                site.store.put(topic, f"{prefix}odd-{number}", entry)
            for n in range(2):
                await site.start_gateway(f"gw-{n}", f"127.0.0.{n + 2}")
            for gateway in site.gateways.values():
                await site.wait_until_ready(gateway)
            for number, entry in enumerate(ODD_ENTRIES):
                site.store.put(topic, f"{prefix}later-{number}", entry)
            await site.add_engine("desk-new", "desk")
            for number in range(2):
                site.crash_engine(f"desk-{number}")
            await asyncio.sleep(3.0)
            answers = []
            for n in range(40):
                address = f"{site.gateways[f'gw-{n % 2}'].ip}:{site.ports['front']}"
                answers.append(await Caller(address).send("/lookup/x", f"r{n}", timeout_s=4.0))
            logs = "".join(gateway.log.read_text() for gateway in site.gateways.values())
            return answers, logs

    answers, logs = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [200] * 40
    assert "task_failed" not in logs
