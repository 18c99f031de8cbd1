"""One job of 24 can never be done. Without the trouble it can."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import TROUBLE, need, play

FOLDER = os.path.dirname(os.path.realpath(__file__))
JOBS = 24
RACK = "r-3"  # 8 workers of 32 cores
STEP = {"cpu": 2000, "mem-mb": 100, "estimated-ms": 800}
FINISH_S = 14
IDLE_S = 3.0


async def scenario(world):
    record = world.record
    hopeless, last = f"{JOBS - 2:016x}", f"{JOBS - 1:016x}"
    for i in range(JOBS - 2):
        job = f"{i:016x}"
        world.work[job] = (700, 900)
        need(await world.submit(job, [{**STEP, "count": 8}], host=i % 3) == 200, "a job was not accepted")
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    if TROUBLE:
        world.hopeless.add(hopeless)
    world.work[hopeless] = (300, 400)
    status = await world.submit(hopeless, [{**STEP, "count": 40, "constraints": RACK}])
    need(status == 200, "the hopeless job was not accepted")
    await asyncio.sleep(1)
    world.work[last] = (700, 900)
    status = await world.submit(last, [{**STEP, "count": 8, "constraints": RACK}], host=1)
    need(status == 200, "the last job was not accepted")
    ended_at = record.now()
    await asyncio.sleep(FINISH_S)
    idle = longest = 0.0
    before = record.now()
    while record.now() < ended_at + 40:
        await asyncio.sleep(0.05)
        now = record.now()
        done = sum(1 for task in world.done if task.startswith(last))
        running = sum(1 for each in world.workers for task in each.runs if task.startswith(last))
        used = sum(2000 * len(each.runs) for each in world.workers)
        is_idle = running == 0 and done < 8 and used * 2 < 32000 * len(world.workers)
        idle = idle + now - before if is_idle else 0.0
        longest = max(longest, idle)
        before = now
    state = await world.state(last)
    record.say(f"the last job is {state} at last; longest time with nothing running {longest:.1f} s")
    if longest <= IDLE_S:
        return []
    return [
        f"LOST: from {FINISH_S} s after the end of the traffic job {last} had nothing running for "
        f"{longest:.1f} s, with all 8 workers of its rack free"
    ]


play(scenario, FOLDER)
