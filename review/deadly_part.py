"""A part of prompts ends each engine that begins to answer on it; for the cases 12 and 13."""

import asyncio
import time

from small_platform import BOUNDS, Answer, Platform, Tenant, has_trouble
from stream_engine import EVENTS

ENGINES = 9
DOWN_S = 2.0
SHARED, DEADLY = "5c1e07a2:8000", "dead0001"
# Rounds of one request with the part and several sound ones: 20 s in all.
ROUNDS, ROUND_S, SOUND = 40, 0.5, 5
# Requests with the part that may reach engines later than the window after the fifth crash.
ALLOWED = 3


async def play_deadly_part(platform: Platform, *, is_framed: bool, deadly_events: int) -> bool:
    """Return whether too many requests with the part reached engines.

    :param is_framed: as for ``Behaviour``, like ``deadly_events``.
    """
    for number in range(ENGINES):
        await platform.add_engine_process(
            f"i-{number}",
            is_framed=is_framed,
            deadly_part=DEADLY if has_trouble() else "",
            deadly_events=deadly_events,
        )
    platform.write_config([Tenant("family", "key-family")])
    for number in (2, 3):
        await platform.start_gateway(f"front-{number}", number, "a")
    await asyncio.sleep(4.0)
    keeper = asyncio.create_task(platform.keep_engines_running(DOWN_S))
    deadly, sound = [], []
    for number in range(ROUNDS):
        prefix = f"{SHARED},{DEADLY}:300,d{number}:100"
        deadly.append(_send(platform, number, prefix))
        for other in range(SOUND):
            sound.append(_send(platform, number + other, f"{SHARED},a{number}-{other}:100"))
        await asyncio.sleep(ROUND_S)
    deadly_ids = {(await call).request_id for call in deadly}
    answers = [await call for call in sound]
    keeper.cancel()
    whole = sum(answer.body.count(b"\n\n") == EVENTS for answer in answers)
    crashes = sorted(platform.crashes)
    text = f"{len(crashes)} crashes, {whole} of {len(answers)} sound requests answered whole"
    if len(crashes) < 5:
        print(text)
        return False
    since = crashes[4] + BOUNDS["stableWindowMs"] / 1000
    late = [
        arrival
        for arrival in platform.arrivals
        if arrival.request_id in deadly_ids and arrival.at > since
    ]
    text += f", {len(late)} requests with the part at engines later than the window after the fifth"
    platform.record.write(f"BUDGET: {text}, {time.monotonic() - crashes[4]:.1f} s after that crash")
    print(text)
    return len(late) > ALLOWED


def _send(platform: Platform, number: int, prefix: str) -> asyncio.Task[Answer]:
    call = platform.send(2 + number % 2, "key-family", "/review/a", prefix)
    return asyncio.create_task(call)
