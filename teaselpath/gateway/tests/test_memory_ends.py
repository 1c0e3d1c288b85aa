"""Quarantine of a gateway whose engines end with their memory nearly full."""

import asyncio

import pytest

from teaselpath.gateway._engine_ends import BrokenRun, EngineEnd
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway.tests.front import NoPeers
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore

HOT, DEADLY = "m/hot", "m/dead"


def end_of(number: int, held: float, *parts: str, is_trial: bool = False) -> EngineEnd:
    run = BrokenRun(f"r{number}", parts, 0, 0.2, is_trial)
    return EngineEnd(f"e{number}", number, 1.0 + number, (run,), held)


def suspects_after(ends: list[EngineEnd]) -> dict[str, int]:
    async def scenario():
        store = PlatformStore("127.0.0.1:9", HttpClient())
        gate = QuarantineGate("gw-0", store, GatewayMetrics("gw-0"), NoPeers())
        for end in ends:
            gate.handle_end(end)
        return {part: len(s.ends) for part, s in gate.quarantine.evidence.suspects.items()}

    return asyncio.run(scenario())


def test_full_engines_blame_no_innocent_part():
    """Guards against a shared part that is refused for minutes since engines were overfilled."""
    assert suspects_after([end_of(n, 0.96, HOT) for n in range(3)]) == {}


@pytest.mark.parametrize("held", [0.0, 0.7])
def test_deadly_part_is_found_beside_full_engines(held):
    ends = [end_of(n, 0.96, HOT, DEADLY) for n in range(2)]
    ends += [end_of(5 + n, held, DEADLY) for n in range(2)]
    assert suspects_after(ends) == {DEADLY: 2}


def test_trial_counts_at_a_full_engine_too():
    assert suspects_after([end_of(1, 0.96, DEADLY, is_trial=True)]) == {DEADLY: 1}


def test_deadly_part_is_found_while_all_engines_are_full():
    found = suspects_after([end_of(n, 0.96, HOT, DEADLY) for n in range(6)])
    assert found[DEADLY] == 3
