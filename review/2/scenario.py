"""Workers that drain are cut off and run on, while new workers join. Without the
trouble they drain, and others join, without the cut."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import TROUBLE, Worker, need, play

FOLDER = os.path.dirname(os.path.realpath(__file__))
DRAINING = 3  # of 48: a share of 0.065
CUT_S = 5.5
LEAVES_S = 8.0  # drain-ms (2 s) and a little longer
JOIN_S = 2.0


async def scenario(world):
    record = world.record
    jobs = [f"{i:016x}" for i in range(24)]
    for i, job in enumerate(jobs):
        world.work[job] = (20000, 24000)
        status = await world.submit(
            job, [{"count": 16, "cpu": 3500, "mem-mb": 100, "estimated-ms": 22000}], host=i % 3)
        need(status == 200, f"a job was answered with {status}")
    await asyncio.sleep(3)
    need(world.runs_seen == 24 * 16, f"only {world.runs_seen} tasks started")
    leaving = sorted(world.workers, key=lambda each: -len(each.runs))[:DRAINING]
    for worker in leaving:
        await world.drain(worker, LEAVES_S)
    await asyncio.sleep(1.3)
    if TROUBLE:
        for worker in leaving:
            worker.is_cut = True
            record(f"worker {worker.name} is cut off, with {len(worker.runs)} runs")
    healed_at = record.now() + CUT_S
    number = 0
    while record.now() < healed_at:
        joined = Worker(world, f"j-{number:04d}", 32000, "r-9")
        number += 1
        await world.add(joined)
        record(f"worker {joined.name} joins")
        await asyncio.sleep(min(JOIN_S, max(0.01, healed_at - record.now())))
    for worker in leaving:
        worker.is_cut = False
        record(f"worker {worker.name} is reached again")
    await asyncio.sleep(6)
    return [f"TWICE: {text}" for text in world.twice]


play(scenario, FOLDER)
