"""The placement command against a running gateway."""

import asyncio
import json
from random import Random

from click.testing import CliRunner

from standins.hosted import Caller, HostedSite
from teaselpath.cli import main
from teaselpath.dispatch import ExpectedTimes


async def ask(address: str, *options: str):
    arguments = ["placement", "--gateway", address, "--host", "site.example", *options]
    return await asyncio.to_thread(CliRunner().invoke, main, arguments)


def test_command_names_the_engine_that_a_request_then_reaches(tmp_path):
    async def scenario():
        async with HostedSite(tmp_path, Random(5)) as site:
            for number in range(4):
                await site.add_engine(f"llm-{number}", "llm", is_model=True)
            site.write_config()
            await site.start_gateways(1)
            ip = site.gateways["gw-0"].ip
            address = f"{ip}:{site.ports['peer']}"
            prompt = ("--path", "/review/x", "--model", "model-a", "--parts", "aa:2000,b1:200")
            workspace = ("--workspace", "office")
            asked = await ask(address, *prompt, *workspace, "--json")
            table = await ask(address, *prompt, *workspace)
            unknown = await ask(address, *prompt, "--json")
            malformed = await ask(address, "--path", "/review/x", "--parts", "aa")
            nobody = await ask("127.0.0.1:9", *prompt)
            runs = len(site.runs)
            caller = Caller(f"{ip}:{site.ports['front']}")
            answer = await caller.send("/review/x", "r1", prefix="aa:2000,b1:200", tokens="2200,10")
            caller.close()
            return asked, table, unknown, malformed, nobody, runs, answer, site.runs

    asked, table, unknown, malformed, nobody, runs, answer, ran = asyncio.run(scenario())
    found = json.loads(asked.output)
    assert (asked.exit_code, found["decision"], found["route"]) == (0, "send", "review")
    assert runs == 0
    assert (answer.status, [run.endpoint_id for run in ran]) == (200, [found["endpoint"]])
    assert table.exit_code == 0
    assert f"endpoint: {found['endpoint']}" in table.output
    costs = table.output.partition("cost_s is the sum of:\n")[2].splitlines()
    assert costs[0].split() == ["endpoint", *ExpectedTimes.__dataclass_fields__]
    assert [line.split()[0] for line in costs[1:]] == [c["endpoint"] for c in found["candidates"]]
    assert json.loads(unknown.output)["code"] == "UNKNOWN_KEY"
    assert (malformed.exit_code, nobody.exit_code) == (2, 3)
