"""Open connections to the store go silent, then the configuration changes.

Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from testbed import Node, Proxy, World, call, route  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.join(HERE, "..", "..")
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HOST, LASTING, NEW = "nony24.example", "/pule252/", "/rovo417/"
CONTACT_S, APPLY_S = 3.0, 2.0  # contact-ms and config-apply-ms of the site
ROUNDS = 3


class Case(World):
    def __init__(self, folder):
        super().__init__(folder, ROOT)
        self.proxies = []
        self.broken = []

    def work_ms(self, task, attempt):
        return None

    async def submit(self, node):
        job = f"{random.getrandbits(64):016x}"
        status, _, _ = await call(node.frontend, "POST", LASTING + job, {
            "spec": "lasting", "steps": [{"count": 2, "cpu": 500, "mem-mb": 500,
                                          "estimated-ms": 420, "long-running": True}]},
            {"Host": HOST, "Deadline-Ms": "3000"}, 3.0)
        self.note("submitted", job=job, node=node.name, status=status)
        return job if status == 200 else None

    async def cancel(self, node, job):
        status, _, _ = await call(node.frontend, "DELETE", LASTING + job,
                                  headers={"Host": HOST, "Deadline-Ms": "3000"}, timeout=3.0)
        self.note("cancelled", job=job, node=node.name, status=status)

    async def ask(self, node, prefix, number, silent_at, acknowledged_at):
        sent = time.monotonic()
        status, _, body = await call(node.frontend, "GET", prefix, headers={"Host": HOST},
                                     timeout=1.0)
        # In touch again `contact-ms` after the connections were lost.
        is_owed = sent - silent_at > CONTACT_S and sent - acknowledged_at > APPLY_S
        self.note("asked", round=number, node=node.name, prefix=prefix, status=status,
                  since_acknowledged=f"{sent - acknowledged_at:.3f}", owed=is_owed)
        if is_owed and status == 404:
            self.broken.append((number, node.name, sent - acknowledged_at))

    async def play(self):
        await self.start_store()
        routes = [route("r-9n73hh2", HOST, LASTING, 0, 3, 2.2, 2500)]
        self.configure(7, routes)
        await self.start_workers(12)
        for i in range(3):
            proxy = Proxy(self.store_address)
            node = Node(self, i, ("ankara-atolye", "konya-atolye", "kayseri-atolye")[i])
            node.store_address = await proxy.start()
            self.proxies.append(proxy)
            self.nodes.append(node)
            await node.start()
        await self.await_ready()
        await asyncio.sleep(4)
        for number in range(ROUNDS):
            jobs = [await self.submit(node) for node in self.nodes]
            if None in jobs:
                raise RuntimeError("a submission was not accepted")
            await asyncio.sleep(4 + random.random())
            # Callers cancel a job at each host.
            await asyncio.gather(*(self.cancel(*each) for each in zip(self.nodes, jobs)))
            silent_at = time.monotonic()
            if IS_TROUBLE:
                count = sum(proxy.silence() for proxy in self.proxies)
                self.note("connections_silent", round=number, count=count)
            prefix = f"{NEW[:-1]}{number}/"
            routes.append(route(f"r-new{number}", HOST, prefix))
            self.configure(20 + 10 * number, routes)
            acknowledged_at = time.monotonic()
            self.note("configuration", round=number, version=20 + 10 * number, added=prefix)
            await asyncio.sleep(CONTACT_S + 0.1)
            for _ in range(20):
                for node in self.nodes:
                    await self.ask(node, prefix, number, silent_at, acknowledged_at)
                await asyncio.sleep(0.1)
            await asyncio.sleep(4)

    def judge(self):
        nodes = {(number, name) for number, name, _ in self.broken}
        self.note("judged", refused_with_404=len(self.broken), hosts_and_rounds=len(nodes),
                  latest_s=f"{max((b[2] for b in self.broken), default=0):.2f}")
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
