"""Scheduled jobs of many occurrences come at once."""
import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))
import testbed  # noqa: E402

QUEUE = "/lohu930/"
SCHEDULED = "/pufi791/"
# The site's burst: 2.6 times the 3.75 jobs a second of `gnijezdo` for 4 s.
LARGE_JOBS = 39
BURST_S = 4
OCCURRENCES = 20_000
INTERVAL_S = 60  # every minute for two weeks
SMALL_TASKS = 4
TRAFFIC_S = 50
FINISH_S = 14  # `finish_s`


async def submit_large(bed):
    """The first times are due long after the end of the script."""
    accepted = 0
    for number in range(LARGE_JOBS):
        step = {"count": 1, "cpu": 500, "mem-mb": 64, "estimated-ms": 500}
        status = await bed.submit(
            SCHEDULED, f"{0xc000 + number:016x}",
            {"spec": "work=500", "steps": [step], "repeats": OCCURRENCES,
             "start-at-ms": int(time.time() * 1000) + 600_000,
             "interval-ms": INTERVAL_S * 1000}, 1)
        accepted += status == 200
        await asyncio.sleep(BURST_S / LARGE_JOBS)
    bed.record.add(f"{accepted} of {LARGE_JOBS} scheduled jobs of {OCCURRENCES} "
                   "occurrences are accepted")


async def submit_small(bed, number):
    step = {"count": SMALL_TASKS, "cpu": 500, "mem-mb": 64, "estimated-ms": 500}
    job = f"{0xa000 + number:016x}"
    status = await bed.submit(
        QUEUE, job, {"spec": "work=500", "steps": [step]}, 1)
    return job if status == 200 else None


async def scenario(bed):
    await bed.start()
    await bed.add_workers(12)
    bed.put_config([bed.route("r-3hwrr6x", QUEUE),
                    bed.route("r-73d3zji", SCHEDULED, priority=2)])
    for node in bed.nodes:
        await node.start()
    if not await bed.wait_ready():
        return False
    bed.background.append(asyncio.create_task(bed.watch_memory()))
    burst = None
    accepted = []
    refused = 0
    began = testbed.seconds()
    number = 0
    while testbed.seconds() - began < TRAFFIC_S:
        if bed.trouble and burst is None and testbed.seconds() - began > 5:
            burst = asyncio.create_task(submit_large(bed))
        job = await submit_small(bed, number)
        if job:
            accepted.append(job)
        refused += job is None
        number += 1
        await asyncio.sleep(0.5)
    bed.record.add(f"small jobs: {len(accepted)} accepted, {refused} not")
    await asyncio.sleep(FINISH_S - 3)
    idle = set(accepted)
    until = testbed.seconds() + 3
    while testbed.seconds() < until:
        idle -= {task.split(".")[0] for worker in bed.workers
                 for task in worker.runs}
        await asyncio.sleep(0.01)
    done_tasks = {each[4] for each in bed.done}
    waiting = [job for job in accepted if job in idle and any(
        f"{job}.0.0.{index}" not in done_tasks for index in range(SMALL_TASKS))]
    for job in waiting[:10]:
        _, content = await bed.ask(QUEUE, job)
        bed.fail(f"LOST {FINISH_S} s after the end of the traffic nothing of "
                 f"{job} has run for 3 s, and tasks of it have never ended; its "
                 f"state is {content}")
    if len(waiting) > 10:
        bed.record.add(f"BROKEN and {len(waiting) - 10} more")
    kills = {node.name: len(node.memory_kills) for node in bed.nodes}
    bed.record.add(f"killed for memory: {kills}")
    often = [name for name, count in kills.items() if count >= 3]
    if len(often) >= 2:
        bed.fail(f"Fault: processes of {often} ended by themselves three times "
                 "or more")
    return True


testbed.run(CASE, scenario)
