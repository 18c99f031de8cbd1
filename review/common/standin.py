"""Stand-ins for the scripts of this review: the platform's store, workers and
callers, in one process on loopback, and the entry hosts as processes of
foxtail-node. They do what the users' pages (PROTOCOL.md, DEPLOY.md) say."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "foxtail-node")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_LEASE_MS = 6000
STOP_MS = 100
CHECKPOINT_MS = 500
HEARTBEAT_S = 1.5
ROW_BYTES = 65536


HELD = set()  # tasks that nothing else refers to


def hold(task):
    HELD.add(task)
    task.add_done_callback(HELD.discard)


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def need(condition, text):
    if not condition:
        raise CannotRun(text)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# HTTP/1.1


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(host, port, handler, open_ones=None):
    """handler(method, path, query, headers, body) -> (status, object), or None
    for no answer. `open_ones` gets the connections that are open."""

    async def on_connection(reader, writer):
        hold(asyncio.current_task())
        if open_ones is not None:
            open_ones.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, True))
                answer = await handler(method, parts.path, query, headers, body)
                if answer is None:
                    continue
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            if open_ones is not None:
                open_ones.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


async def call(address, method, target, value=None, host="", timeout=3.0):
    """One request on a connection of its own: (status, object), or (0, None)."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            body = b"" if value is None else json.dumps(value).encode()
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                f"Deadline-Ms: {int(timeout * 1000)}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            first, _, text = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(text) if text else None
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.changes = []  # (version, table, part, key, value or None)
        self.version = 0
        self.began = time.monotonic()
        self.changed = asyncio.Condition()
        self.refused_rows = 0
        self.transactions = 0

    def now_ms(self):
        return 1 + int((time.monotonic() - self.began) * 1000)

    def write(self, table, part, key, value):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.changes.append((self.version, table, part, key, value))

    async def put(self, table, key, value):
        """A row of the operator or of a worker; None removes it."""
        self.version += 1
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self.write(table, "", key, text)
        async with self.changed:
            self.changed.notify_all()

    def answer(self, rows, **more):
        return {"rows": rows, "ver": self.version, "now-ms": self.now_ms(), **more}

    def row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def handle(self, method, path, query, headers, body):
        if path == "/foxtaillift/rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(0.002)
        if path == "/foxtaillift/rows-get":
            return self.get(query)
        if path == "/foxtaillift/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, change):
        await asyncio.sleep(0.003)
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        entries = change.get("expected", []) + change.get("puts", []) + change.get("remove", [])
        if len(entries) > 100:
            return 400, {}
        for row in change.get("puts", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            if len(base64.b64decode(row["value"])) > ROW_BYTES:
                self.refused_rows += 1
                return 400, {}
        for row in change.get("expected", []):
            if self.rows.get(name(row), ("", 0))[1] != row["ver"]:
                known = [self.row(name(each)) for each in change["expected"] if name(each) in self.rows]
                return 412, self.answer(known)
        self.version += 1
        self.transactions += 1
        for row in change.get("puts", []):
            self.write(*name(row), row["value"])
        for row in change.get("remove", []):
            self.write(*name(row), None)
        async with self.changed:
            self.changed.notify_all()
        return 200, self.answer([])

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        names = sorted(
            name
            for name in self.rows
            if name[0] == table and name[1] == part and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = [self.row(name) for name in names[:limit]]
        return 200, self.answer(rows, **{"has-more": len(names) > limit})

    async def feed(self, query):
        since = int(query["depends-on"])
        until = time.monotonic() + min(30000, int(query.get("wait-ms", "0"))) / 1000
        while True:
            latest = {}
            for version, table, part, key, value in reversed(self.changes):
                if version <= since:
                    break
                if table == query["table"]:
                    latest.setdefault((table, part, key), (version, value))
            left = until - time.monotonic()
            if latest or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        rows = []
        for (table, part, key), (version, value) in sorted(latest.items(), key=lambda each: each[1][0]):
            row = {"table": table, "part": part, "key": key, "ver": version}
            row.update({"deleted": True} if value is None else {"value": value})
            rows.append(row)
        return 200, self.answer(rows)


class Proxy:
    """Between one host and the store. Connections that are open may go silent
    for good, without a reset, while new ones work."""

    def __init__(self, target):
        self.target = target
        self.open = []

    async def begin(self, ip):
        server = await asyncio.start_server(self.on_connection, ip, 0, backlog=512)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def silence(self):
        silenced = [each for each in self.open if not each["is_silent"]]
        for each in silenced:
            each["is_silent"] = True
        return len(silenced)

    async def on_connection(self, reader, writer):
        hold(asyncio.current_task())
        ip, port = self.target.rsplit(":", 1)
        other_reader, other_writer = await asyncio.open_connection(ip, int(port))
        state = {"is_silent": False}
        self.open.append(state)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if state["is_silent"]:
                        continue  # lost
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not state["is_silent"]:
                sink.close()

        await asyncio.gather(pump(reader, other_writer), pump(other_reader, writer))
        self.open.remove(state)
        writer.close()
        other_writer.close()


# Workers


class Run:
    def __init__(self, attempt, work_ms, saved, now_ms):
        self.attempt = attempt
        self.work_ms = work_ms
        self.began_ms = now_ms
        self.saved = saved
        self.stop_at = None

    def percent(self, now_ms):
        return min(99, int(100 * (now_ms - self.began_ms) / self.work_ms))


class Worker:
    """One worker. `world` hears of starts and ends and tells the work."""

    def __init__(self, world, name, cpu, rack, kind="a"):
        self.world = world
        self.name = name
        self.cpu = cpu
        self.labels = [kind, rack]
        self.address = ""
        self.state = "ready"
        self.leaves_at = None
        self.is_cut = False  # neither hears nor is heard, and runs on
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.acked = 0
        self.news = asyncio.Event()
        self.written_at = 0.0
        self.server = None
        self.open_ones = set()

    async def listen(self, ip, port=0):
        self.server = await serve(ip, port, self.handle, self.open_ones)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def cut_with_resets(self):
        """What comes is reset, on connections that are open and on new ones."""
        self.is_cut = True
        self.server.close()
        for writer in list(self.open_ones):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def heal(self):
        ip, port = self.address.rsplit(":", 1)
        await self.listen(ip, int(port))
        self.is_cut = False

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    def entry(self):
        value = {
            "service": "rezac", "address": self.address, "zone": "z", "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "sequence": self.clock_ms(), "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": 128000}, "labels": self.labels,
        }
        if self.state == "draining":
            value["remaining-ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        return value

    async def handle(self, method, path, query, headers, body):
        if self.is_cut:
            await asyncio.sleep(3600)
        answer = await self.act(path, headers, json.loads(body))
        if self.is_cut:
            await asyncio.sleep(3600)
        return answer

    async def act(self, path, headers, wanted):
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        if wanted.get("fencing-token", 0) < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = wanted.get("fencing-token", 0)
        if path.endswith("/run-start"):
            return self.start(wanted)
        if path.endswith("/run-stop"):
            self.stop(wanted)
        elif path.endswith("/hold"):
            return await self.hold(wanted)
        return 200, {"clock-ms": self.clock_ms()}

    def grant(self, wanted):
        until = min(wanted.get("deadline-ms", 0), self.clock_ms() + LONGEST_LEASE_MS)
        self.lease_until = max(self.lease_until, until)

    def start(self, wanted):
        task, attempt = wanted["task"], wanted["attempt"]
        now = self.clock_ms()
        if task in self.runs and self.runs[task].attempt == attempt:
            return 200, {"clock-ms": now}
        self.grant(wanted)
        if task in self.runs or attempt <= self.highest.get(task, 0):
            return 409, {"clock-ms": now, "reason": "old"}
        if wanted.get("deadline-ms", 0) <= now:
            return 409, {"clock-ms": now, "reason": "late"}
        self.runs[task] = Run(attempt, self.world.work_ms(task), wanted.get("checkpoint", ""), now)
        self.world.on_start(self, task, attempt)
        return 200, {"clock-ms": now}

    def stop(self, wanted):
        task, attempt = wanted["task"], wanted["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = self.clock_ms() + STOP_MS

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.end_count += 1
        self.ends.append([self.end_count, task, run.attempt, how, run.saved])
        self.world.on_end(self, task, run.attempt, how)
        self.news.set()

    async def hold(self, wanted):
        self.grant(wanted)
        self.acked = max(self.acked, wanted.get("acked", 0))
        self.ends = [each for each in self.ends if each[0] > self.acked]
        until = time.monotonic() + min(2000, wanted.get("wait-ms", 0)) / 1000
        while not self.ends and until > time.monotonic():
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except TimeoutError:
                pass
        now = self.clock_ms()
        running = [
            [task, run.attempt, run.saved, run.percent(now), self.world.cpu_of(task)]
            for task, run in self.runs.items()
        ]
        return 200, {
            "clock-ms": now, "born": self.born_ms, "running": running,
            "finished": self.ends[:500],
        }

    def advance(self):
        now = self.clock_ms()
        for task, run in list(self.runs.items()):
            worked = now - run.began_ms
            if worked >= CHECKPOINT_MS:
                run.saved = f"{run.attempt:04x}{worked // CHECKPOINT_MS:04x}{hash(task) & 0xffffffff:08x}"
            if worked >= run.work_ms:
                self.end(task, "failed" if task.split(".")[0] in self.world.hopeless else "done")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(task, "stopped")
            elif now >= self.lease_until:
                self.end(task, "lapsed")


class World:
    """The platform with its store and workers, the hosts and the callers."""

    def __init__(self, folder, hosts=3, workers=48, cpu=32000):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="foxtail-review-")
        self.network = f"127.{random.randint(40, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.host_count = hosts
        self.hosts = {}
        self.frontends = []
        self.workers = [Worker(self, f"i-{i:04d}", cpu, f"r-{i // 8}") for i in range(workers)]
        self.left = set()
        self.is_over = False
        self.twice = []
        self.done = {}  # task -> done ends: (worker, number)
        self.work = {}  # job -> ms
        self.cpu = {}  # job -> thousandths
        self.hopeless = set()  # jobs that can never be done
        self.runs_seen = 0
        self.background = []
        self.proxies = []

    # What workers ask

    def work_ms(self, task):
        """Of a job with a pair of figures: from the first, for the last task, to
        the second, for the first one."""
        job, _, _, index = task.split(".")
        least, most = self.work.get(job, (500, 500))
        return most - (most - least) * min(int(index), 2000) // 2000

    def cpu_of(self, task):
        return self.cpu.get(task.split(".")[0], 100)

    def on_start(self, worker, task, attempt):
        self.runs_seen += 1
        self.record(f"run {task} attempt {attempt} starts on {worker.name}")
        for other in self.workers:
            if other is not worker and task in other.runs and other.name not in self.left:
                text = (
                    f"{task}: attempt {attempt} starts on {worker.name} while attempt "
                    f"{other.runs[task].attempt} runs on {other.name}"
                )
                self.twice.append(text)
                self.record("TWICE " + text)

    def on_end(self, worker, task, attempt, how):
        self.record(f"run {task} attempt {attempt} ends {how} on {worker.name}")
        if how == "done":
            self.done.setdefault(task, []).append((worker, worker.end_count))

    # The platform

    async def begin(self):
        need(os.access(PROGRAM, os.X_OK), f"{PROGRAM} is missing: run the build of the deploy file")
        server = await serve(f"{self.network}.200", 0, self.store.handle)
        self.store_address = "%s:%d" % server.sockets[0].getsockname()[:2]
        for i in range(self.host_count):
            proxy = Proxy(self.store_address)
            self.proxies.append((proxy, await proxy.begin(f"{self.network}.200")))
        for worker in self.workers:
            await self.add(worker)
        await self.store.put("op", "config", self.config(3))
        self.background.append(asyncio.create_task(self.tick()))
        self.background.append(asyncio.create_task(self.heartbeats()))
        for i in range(self.host_count):
            self.frontends.append(f"{self.network}.{i + 1}:8161")
            self.start_host(i)
        for i in range(self.host_count):
            await self.until_ready(i)

    def config(self, version):
        return {
            "version": version, "limits": {"max-body-bytes": 262144},
            "services": [{"name": "rezac", "admission-control": False}],
            "routes": [{
                "name": "gnijezdo", "host": "jobs.example", "path-prefix": "/q/",
                "service": "rezac", "priority": 2, "max-attempts": 4,
                "target-factor": 2.0, "target-latency-ms": 1000,
            }],
        }

    async def add(self, worker):
        await worker.listen(f"{self.network}.{100 + len(self.workers) % 90}")
        worker.written_at = time.monotonic()
        await self.store.put("servers", worker.name, worker.entry())
        if worker not in self.workers:
            self.workers.append(worker)

    async def tick(self):
        while not self.is_over:
            for worker in self.workers:
                if worker.runs and worker.name not in self.left:
                    worker.advance()
            await asyncio.sleep(0.01)

    async def heartbeats(self):
        """Workers write about every 1.5 s; a silent one is removed after three
        intervals."""
        while not self.is_over:
            now = time.monotonic()
            for worker in self.workers:
                is_listed = ("servers", "", worker.name) in self.store.rows
                if worker.name in self.left:
                    continue
                if worker.leaves_at is not None and now >= worker.leaves_at:
                    for task in list(worker.runs):
                        worker.runs.pop(task)
                        self.record(f"run {task} ends with its worker {worker.name}")
                    self.left.add(worker.name)
                    self.record(f"worker {worker.name} has left")
                    if not worker.is_cut and is_listed:
                        await self.store.put("servers", worker.name, None)
                elif worker.is_cut:
                    if is_listed and now - worker.written_at >= 3 * HEARTBEAT_S:
                        await self.store.put("servers", worker.name, None)
                        self.record(f"the platform removes the entry of {worker.name}")
                elif now - worker.written_at >= HEARTBEAT_S:
                    worker.written_at = now
                    await self.store.put("servers", worker.name, worker.entry())
            await asyncio.sleep(0.02)

    async def drain(self, worker, leaves_in_s):
        worker.state = "draining"
        worker.leaves_at = time.monotonic() + leaves_in_s
        worker.written_at = time.monotonic()
        await self.store.put("servers", worker.name, worker.entry())
        self.record(f"worker {worker.name} reports draining")

    # Hosts

    def start_host(self, i):
        ip = f"{self.network}.{i + 1}"
        path = os.path.join(self.temporary, f"node-{i}.toml")
        with open(path, "w") as file:
            file.write(f"""node-name = "edge-z-{i}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z"
region = "hr-kontinent"
internal-ports = [7720,7735]
seeds = []
bootstrap = true
heartbeat-ms = 1500
commands = "invocation"
[listen-addrs]
frontend = "{ip}:8161"
ready = "{ip}:8167"
[limits]
cpu-share = 0.1
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
max-hold-ms = 6000
stop-timeout-ms = 200
gang-timeout-ms = 3000
[platform]
address = "{self.proxies[i][1]}"
form = "table"
writes-per-s = 600
reads-per-s = 2000
txn-ms = 3.0
partition-writes-s = 300
row-bytes = {ROW_BYTES}
cross-shard = true
history-s = 20
""")
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
            "LANG": "C", "FOXTAILLIFT_CONFIG": path,
        }
        log = open(os.path.join(self.temporary, f"node-{i}.log"), "a")
        self.hosts[i] = subprocess.Popen(
            [PROGRAM], cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.record(f"host {i} starts")

    async def until_ready(self, i):
        for _ in range(200):
            need(self.hosts[i].poll() is None, f"host {i} ended: " + self.log(i)[-400:])
            status, _ = await call(f"{self.network}.{i + 1}:8167", "GET", "/foxtaillift/readyz", timeout=0.5)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"host {i} did not become ready")

    def log(self, i):
        with open(os.path.join(self.temporary, f"node-{i}.log")) as file:
            return file.read()

    def leader(self):
        """The host that was the last to lead, by its log."""
        best = None
        for i in self.hosts:
            for line in self.log(i).splitlines():
                if "event=leading " in line:
                    token = int(line.split(" token=")[1].split()[0])
                    best = max(best or (0, 0), (token, i))
        return None if best is None else best[1]

    # Callers

    async def submit(self, job, steps, host=0, **more):
        status, _ = await call(
            self.frontends[host], "POST", f"/q/{job}",
            {"spec": "t", "steps": steps, **more}, host="jobs.example")
        self.record(f"submission of {job} at host {host}: {status or 'no answer'}")
        return status

    async def state(self, job, host=0):
        status, value = await call(self.frontends[host], "GET", f"/q/{job}", host="jobs.example")
        state = value["state"] if status == 200 else str(status or "no answer")
        self.record(f"state of {job} at host {host}: {state}")
        return state

    # The end

    def finish(self):
        self.is_over = True
        for process in self.hosts.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(scenario, folder, **options):
    """Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
    not run. `scenario` returns the breaches."""

    async def run():
        world = World(folder, **options)
        try:
            async with asyncio.timeout(110):
                await world.begin()
                broken = await scenario(world)
            for text in broken:
                world.record.say("broken: " + text)
            world.record.say("the rule was broken" if broken else "the rule held")
            status = 1 if broken else 0
        except (CannotRun, TimeoutError) as failure:
            world.record.say(f"the case could not run: {failure or 'out of time'}")
            status = 2
        except Exception:
            world.record.say("the case could not run: " + traceback.format_exc())
            status = 2
        finally:
            world.finish()
        os._exit(status)  # the stand-ins' open connections need no farewell

    asyncio.run(run())
