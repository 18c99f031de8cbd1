"""A configuration drops a queue's route and adds one of another name in its place,
with the same host, prefix and service. Without the trouble the route keeps its name."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import TROUBLE, need, play

FOLDER = os.path.dirname(os.path.realpath(__file__))
JOBS = 12
STEP = {"count": 4, "cpu": 1000, "mem-mb": 100, "estimated-ms": 2000}
FINISH_S = 14
IDLE_S = 3.0


async def scenario(world):
    record = world.record
    jobs = [f"{i:016x}" for i in range(JOBS)]
    for i, job in enumerate(jobs):
        world.work[job] = (2000, 2000)
        steps = [STEP, {**STEP, "depends-on": [0]}]
        need(await world.submit(job, steps, host=i % 3) == 200, "a job was not accepted")
    await asyncio.sleep(0.5)
    config = world.config(4)
    config["routes"][0]["target-latency-ms"] = 1500
    if TROUBLE:
        config["routes"][0]["name"] = "gnijezdo-2"
    await world.store.put("op", "config", config)
    record("configuration 4 is acknowledged")
    ended_at = record.now()
    await asyncio.sleep(FINISH_S)
    idle = dict.fromkeys(jobs, 0.0)
    longest = dict.fromkeys(jobs, 0.0)
    before = record.now()
    while record.now() < ended_at + 30:
        await asyncio.sleep(0.05)
        now = record.now()
        for job in jobs:
            done = sum(1 for task in world.done if task.startswith(job + "."))
            running = any(task.startswith(job + ".") for each in world.workers for task in each.runs)
            idle[job] = idle[job] + now - before if done < 8 and not running else 0.0
            longest[job] = max(longest[job], idle[job])
        before = now
    broken = []
    for job in jobs:
        done = sum(1 for task in world.done if task.startswith(job + "."))
        state = await world.state(job)
        if longest[job] > IDLE_S:
            broken.append(
                f"LOST: job {job}, accepted, is {state} with {done} of 8 tasks done and had nothing "
                f"running for {longest[job]:.1f} s from {FINISH_S} s after the end of the traffic on")
    return broken


play(scenario, FOLDER)
