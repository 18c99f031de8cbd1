"""All open connections to the store go silent once, while new ones work; then the
operator adds a route. Without the trouble only the route is added."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import TROUBLE, call, need, play

FOLDER = os.path.dirname(os.path.realpath(__file__))
CONTACT_S = 3.0  # contact-ms
APPLY_S = 2.0  # config-apply-ms
JOBS = 24
CANCELLED = 9  # a share of 0.375


async def scenario(world):
    record = world.record
    for i in range(JOBS):
        job = f"{i:016x}"
        world.work[job] = (20000, 20000)
        status = await world.submit(
            job, [{"count": 2, "cpu": 500, "mem-mb": 100, "estimated-ms": 20000}], host=i % 3)
        need(status == 200, f"a job was answered with {status}")
    await asyncio.sleep(1)
    # Many jobs are cancelled, as their callers leave.
    cancels = [
        call(world.frontends[i % 3], "DELETE", f"/q/{i:016x}", host="jobs.example")
        for i in range(CANCELLED)
    ]
    answers = await asyncio.gather(*cancels)
    record(f"{CANCELLED} cancels, answered with {sorted(status for status, _ in answers)}")
    await asyncio.sleep(2)
    if TROUBLE:
        for i, (proxy, _) in enumerate(world.proxies):
            record(f"{proxy.silence()} connections of host {i} to the store go silent")
    silent_at = record.now()
    await asyncio.sleep(0.5)
    config = world.config(4)
    config["routes"].append(dict(config["routes"][0], **{"name": "new", "path-prefix": "/new/"}))
    await world.store.put("op", "config", config)
    acked_at = record.now()
    record("configuration 4 with the route /new/ is acknowledged")
    from_at = max(silent_at + CONTACT_S + 0.1, acked_at + APPLY_S + 0.1)
    broken = {}
    while record.now() < from_at + 8:
        sent_at = record.now()
        for host in range(3):
            status, _ = await call(world.frontends[host], "GET", "/new/", host="jobs.example", timeout=1.0)
            record(f"count of /new/ at host {host}: {status or 'no answer'}")
            if sent_at > from_at and status == 404:
                broken.setdefault(host, []).append(sent_at)
        await asyncio.sleep(0.1)
    return [
        f"CONFIG: host {host} answered {len(times)} requests with 404, though the route is there, up to "
        f"{times[-1] - acked_at:.1f} s after the acknowledgement and {times[-1] - silent_at:.1f} s after "
        "the connections went silent"
        for host, times in broken.items()
    ]


play(scenario, FOLDER)
