"""Workers crash and start again under their ids, as workers of another kind."""
import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))
import testbed  # noqa: E402

QUEUE = "/lohu930/"
WORKERS = 12
KIND_B = 6
CRASHES = 4
DOWN_S = 3.5
# The list tells of a worker this late, by `lag_ms` of the site; an entry may be
# as old as `heartbeat-ms`.
LIST_LAG_S = 0.8


async def submit_regularly(bed):
    """Jobs that must run on kind b, more than there is room for at a time."""
    number = 0
    while not bed.is_over:
        step = {"count": 12, "cpu": 4000, "mem-mb": 256, "estimated-ms": 1200,
                "constraints": "b"}
        await bed.submit(QUEUE, f"{0xb000 + number:016x}",
                         {"spec": "work=1200", "steps": [step]}, 2)
        number += 1
        await asyncio.sleep(0.35)


async def crash_some(bed):
    """One of twelve at a time: a share of 0.085."""
    for worker in [each for each in bed.workers if "b" in each.labels][:CRASHES]:
        worker.crash()
        bed.record.add(f"{worker.id} of kind b crashes")
        await asyncio.sleep(DOWN_S)
        worker.labels = ["a", worker.labels[1]]
        worker.first_report_s = LIST_LAG_S
        bed.lives[worker.id] = testbed.seconds()
        await worker.start()
        bed.record.add(f"{worker.id} starts again, of kind a, and writes its "
                       "entry")
        await asyncio.sleep(4)


async def scenario(bed):
    bed.is_over = False
    bed.lives = {}
    bed.is_detailed = False
    await bed.start()
    await bed.add_workers(WORKERS - KIND_B, "a")
    await bed.add_workers(KIND_B, "b", first=WORKERS - KIND_B)
    bed.put_config([bed.route("r-3hwrr6x", QUEUE)])
    for node in bed.nodes:
        await node.start()
    if not await bed.wait_ready():
        return False
    load = asyncio.create_task(submit_regularly(bed))
    await asyncio.sleep(5)
    if bed.trouble:
        await crash_some(bed)
    else:
        await asyncio.sleep((DOWN_S + 4) * CRASHES)
    bed.is_over = True
    await load
    await asyncio.sleep(3)
    bed.record.add(f"{len(bed.starts)} starts")
    wrong = [each for each in bed.start_labels if "b" not in each[4]]
    for at, worker, task, attempt, labels in wrong:
        bed.fail(f"ROUTE {task}: run {attempt} started at {at:.3f} on {worker}, "
                 f"which has the labels {labels}, {at - bed.lives[worker]:.3f} s "
                 "after this life began; the step has the constraint b")
    return True


testbed.run(CASE, scenario)
