"""The store falls silent while jobs are handed in; their callers cancel them.

Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from testbed import World, call, route  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.join(HERE, "..", "..")
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HOST, LASTING = "nony24.example", "/pule252/"
# At most 4.5 s, for_s of platform_down in the site file.
SILENCES_S = (3.6, 3.5, 3.4, 3.3, 3.55, 3.45)
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0  # cancel_ms, stop-timeout-ms, contact-ms
CALLER_S = 0.6  # callers leave before their deadline, and come again
JOBS = 48


class Case(World):
    def __init__(self, folder):
        super().__init__(folder, ROOT)
        self.is_silent = False
        self.cancelled = {}  # job -> (time, answers to the POST, to the DELETE)
        self.started = {}  # job -> times
        self.broken = set()
        self.back = 0.0

    def work_ms(self, task, attempt):
        return None

    def on_start(self, worker, run, order):
        self.started.setdefault(run.task.split(".")[0], []).append(time.monotonic())

    async def store_call(self, method, target, headers, body):
        # While the store is down, what arrives is neither done nor answered.
        if self.is_silent:
            return None
        return await self.answer_store(method, target, headers, body)

    async def caller(self, node, delay):
        """Hands a job in and, if that is not answered with 2xx, 429 or 503,
        gives it up: cancels it until that is answered."""
        await asyncio.sleep(delay)
        job = f"{random.getrandbits(64):016x}"
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        posted, _, _ = await call(node.frontend, "POST", LASTING + job, {
            "spec": "lasting", "steps": [{"count": 2, "cpu": 500, "mem-mb": 500,
                                          "estimated-ms": 420, "long-running": True}]},
            headers, 3.0)
        self.note("submitted", job=job, node=node.name, status=posted)
        if posted in (429, 503):
            return
        await asyncio.sleep(random.random() * 2)
        for _ in range(40):
            status, _, _ = await call(random.choice(self.nodes).frontend, "DELETE",
                                      LASTING + job, headers=headers, timeout=CALLER_S)
            if status == 410 or 200 <= status < 300:
                self.cancelled[job] = (time.monotonic(), posted, status)
                self.note("cancelled", job=job, submission=posted, status=status)
                return
            await asyncio.sleep(0.05)

    def check(self):
        """Tasks that run though their cancellation was answered long ago."""
        now = time.monotonic()
        if now - self.back < CONTACT_S + CANCEL_S + STOP_S:
            return
        for worker in self.workers:
            for run in worker.runs.values():
                job = run.task.split(".")[0]
                at = self.cancelled.get(job)
                if at and now - at[0] > CANCEL_S + STOP_S and job not in self.broken:
                    self.broken.add(job)
                    self.note("runs_after_cancellation", task=run.task, worker=worker.name,
                              submission=at[1], cancellation=at[2],
                              after_s=f"{now - at[0]:.2f}")

    async def play(self):
        self.answer_store = self.store.handle
        self.store.server.handle = self.store_call
        await self.start_store()
        self.configure(7, [route("r-9n73hh2", HOST, LASTING, 0, 3, 2.2, 2500)])
        await self.start_workers(24)
        await self.start_nodes(3)
        await self.await_ready()
        await asyncio.sleep(4)
        for number in range(len(SILENCES_S)):
            callers = [asyncio.create_task(self.caller(self.nodes[i % 3], random.random() * 0.04))
                       for i in range(JOBS)]
            await asyncio.sleep(0.03)
            self.is_silent = IS_TROUBLE
            self.note("store_silent" if IS_TROUBLE else "no_trouble", round=number)
            await asyncio.sleep(SILENCES_S[number])
            self.is_silent = False
            self.back = time.monotonic()
            self.note("store_back", round=number)
            await asyncio.gather(*callers)
            while time.monotonic() - max(self.back, *(c[0] for c in self.cancelled.values()),
                                         self.back) < 8:
                self.check()
                await asyncio.sleep(0.2)
            self.check()

    def judge(self):
        answers = {}
        for _, posted, status in self.cancelled.values():
            answers[(posted, status)] = answers.get((posted, status), 0) + 1
        self.note("judged", jobs_that_run_after_their_cancellation=len(self.broken),
                  submission_and_cancellation=str(answers).replace(" ", ""))
        return bool(self.broken)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: [t.cancel() for t in asyncio.all_tasks()])
        try:
            await case.play()
            code = 1 if case.judge() else 0
        except (Exception, asyncio.CancelledError) as failure:
            case.note("failed", reason=repr(failure))
            code = 2
        finally:
            await case.end()
            if os.environ.get("KEEP_LOGS"):
                os.system(f"cp {folder}/*.log {os.environ['KEEP_LOGS']}/")
        case.note("result", trouble=int(IS_TROUBLE), code=code)
        with open(os.path.join(HERE, "record.txt"), "w") as out:
            out.write("\n".join(case.record) + "\n")
        print("\n".join(case.record[-8:]))
        return code


if __name__ == "__main__":
    result = asyncio.run(main())
    sys.stdout.flush()
    os._exit(result)
