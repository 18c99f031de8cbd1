"""Workers are cut off and run on, and connections to them are reset. Without the
trouble nothing is cut."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import TROUBLE, need, play

FOLDER = os.path.dirname(os.path.realpath(__file__))
CUT = 8  # of 48: a share of 0.17
CUT_S = 5.5


async def scenario(world):
    record = world.record
    for i in range(24):
        job = f"{i:016x}"
        world.work[job] = (20000, 24000)
        status = await world.submit(
            job, [{"count": 16, "cpu": 2500, "mem-mb": 100, "estimated-ms": 22000}], host=i % 3)
        need(status == 200, f"a job was answered with {status}")
    await asyncio.sleep(3)
    need(world.runs_seen == 24 * 16, f"only {world.runs_seen} tasks started")
    cut = world.workers[5 : 5 + CUT]
    if TROUBLE:
        for worker in cut:
            worker.cut_with_resets()
            record(f"worker {worker.name} is cut off with resets, with {len(worker.runs)} runs")
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        for worker in cut:
            await worker.heal()
            record(f"worker {worker.name} is reached again")
    await asyncio.sleep(4)
    return [f"TWICE: {text}" for text in world.twice]


play(scenario, FOLDER)
