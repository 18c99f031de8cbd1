"""A worker has more ends to list than one answer holds when a new leader asks
it first."""
import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))
import testbed  # noqa: E402

QUEUE = "/lohu930/"
JOB = "5c0e7a21d94b36f8"
TASKS = 1200
WORK_MS = 3000
DOWN_S = 3.5


async def scenario(bed):
    await bed.start()
    await bed.add_workers(6, "a")
    await bed.add_workers(2, "b", first=6)
    bed.put_config([bed.route("r-3hwrr6x", QUEUE)])
    for node in bed.nodes:
        await node.start()
    if not await bed.wait_ready():
        return False
    await asyncio.sleep(2)
    # The service's two workers of kind b take the whole step.
    step = {"count": TASKS, "cpu": 25, "mem-mb": 64, "estimated-ms": WORK_MS,
            "constraints": "b"}
    status = await bed.submit(
        QUEUE, JOB, {"spec": f"together={WORK_MS}", "steps": [step]})
    if status != 200:
        return False
    until = testbed.seconds() + 20
    while len(bed.starts) < TASKS and testbed.seconds() < until:
        await asyncio.sleep(0.01)
    first = bed.starts[0][0]
    bed.record.add(f"{len(bed.starts)} of {TASKS} tasks have started, the first "
                   f"at {first:.3f}, the last at {bed.starts[-1][0]:.3f}")
    if len(bed.starts) < TASKS:
        return False
    if bed.trouble:
        await asyncio.sleep(
            max(0, first + WORK_MS / 1000 - 0.1 - testbed.seconds()))
        leader = bed.leader()
        if leader is None:
            return False
        leader.kill()
        bed.record.add(f"SIGKILL to {leader.name}, which wrote last under a "
                       f"condition; it starts again after {DOWN_S} s")

        async def start_again():
            await leader.process.wait()
            await asyncio.sleep(DOWN_S)
            await leader.start()

        bed.background.append(asyncio.create_task(start_again()))
    listed = 0
    until = testbed.seconds() + 30
    while testbed.seconds() < until:
        listed = max([listed] + [len(each.ends) for each in bed.workers])
        await asyncio.sleep(0.02)
        if all(not each.runs and not each.ends for each in bed.workers) and \
                len(bed.done) >= TASKS:
            break
    await asyncio.sleep(3)
    await bed.ask(QUEUE, JOB)
    for worker in bed.workers:
        done = sum(1 for each in bed.done if each[1] == worker.id)
        bed.record.add(f"{worker.id}: {done} runs have ended done")
    bed.record.add(f"most ends that a worker had to list at a time: {listed}")
    bed.record.add(f"starts: {len(bed.starts)} for {TASKS} tasks")
    found = bed.find_twice()
    for line in found[:40]:
        bed.fail("TWICE " + line)
    if len(found) > 40:
        bed.record.add(f"BROKEN and {len(found) - 40} more")
    return True


testbed.run(CASE, scenario)
