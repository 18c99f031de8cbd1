"""Stand-ins of the platform for the cases of the second review: the store of
rows, workers and clients, on loopback addresses, in one process.

They follow PROTOCOL.md. Where it is silent they behave like a sound platform.
"""
import asyncio
import base64
import json
import os
import random
import signal
import time
import urllib.parse


def now_ms():
    return int(time.monotonic() * 1000)


# HTTP/1.1


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def encode_answer(status, body):
    data = b"" if body is None else json.dumps(body).encode()
    return (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


class Server:
    """Calls `handle(method, target, headers, body)` for each request, which
    returns (status, body); None gives no answer and keeps the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20,
                                                 backlog=512)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    continue
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.drop_connections()


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, headers, body);
    status 0: no answer."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1",
                 f"Host: {(headers or {}).get('Host', address)}",
                 f"Content-Length: {len(data)}"]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines += [f"{k}: {v}" for k, v in (headers or {}).items() if k != "Host"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, {}, None
    try:
        content = json.loads(message[2]) if message[2] else None
    except ValueError:
        content = None
    return int(message[0].split(" ")[1]), message[1], content


# The store


class Store:
    """Rows with versions, transactions and a feed. One transaction after the
    other, `txn_ms` each; other calls take `call_ms`."""

    def __init__(self, row_bytes=65536, txn_ms=3.0, call_ms=1.0):
        self.row_bytes = row_bytes
        self.txn_ms = txn_ms
        self.call_ms = call_ms
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 0
        self.history = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.began = time.monotonic()
        self.refused = []  # (time, reason) of calls that break a limit
        self.writes = 0
        self.server = Server(self.handle)

    def now(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def put(self, table, key, value, part=""):
        """A write of the operator or of a worker."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.version += 1
        self._set((table, part, key), base64.b64encode(text.encode()).decode())
        self._notify()
        return self.version

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.version += 1
            self._set((table, part, key), None)
            self._notify()

    def _set(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, *name, value))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _entry(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value,
                "ver": version}

    def _answer(self, rows=None, **more):
        answer = {"ver": self.version, "now-ms": self.now(), **more}
        if rows is not None:
            answer["rows"] = rows
        return answer

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/foxtaillift/rows-tx":
            return await self.transact(body)
        await asyncio.sleep(self.call_ms / 1000)
        if path == "/foxtaillift/rows-get":
            return self.get(arguments)
        if path == "/foxtaillift/rows-feed":
            return await self.feed(arguments)
        return 404, None

    def get(self, arguments):
        table, part = arguments.get("table", ""), arguments.get("part", "")
        first, last = arguments.get("from", ""), arguments.get("target", "")
        limit = min(int(arguments.get("limit", "500")), 500)
        names = sorted((n for n in self.rows
                        if n[0] == table and n[1] == part and n[2] >= first
                        and (not last or n[2] < last)), key=lambda n: n[2].encode())
        rows, size = [], 0
        for name in names:
            entry = self._entry(name)
            size += len(entry["value"])
            if len(rows) == limit or size > 1_000_000:
                return 200, self._answer(rows, **{"has-more": True})
            rows.append(entry)
        return 200, self._answer(rows, **{"has-more": False})

    async def feed(self, arguments):
        table, since = arguments.get("table", ""), int(arguments.get("depends-on", "0"))
        until = time.monotonic() + min(int(arguments.get("wait-ms", "0")), 30000) / 1000
        while True:
            rows = []
            for version, its_table, part, key, value in reversed(self.history):
                if version <= since:
                    break
                if its_table == table:
                    row = {"table": its_table, "part": part, "key": key, "ver": version}
                    row.update({"deleted": True} if value is None else {"value": value})
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.reverse()
                return 200, self._answer(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _refuse(self, reason):
        self.refused.append((time.monotonic(), reason))
        return 400, {"reason": reason}

    async def transact(self, body):
        self.writes += 1
        async with self.lock:
            await asyncio.sleep(self.txn_ms / 1000)
            if len(body) > 1_000_000:
                return self._refuse(f"a call of {len(body)} bytes")
            change = json.loads(body)
            entries = (len(change.get("expected", [])) + len(change.get("puts", [])) +
                       len(change.get("remove", [])))
            if entries > 100:
                return self._refuse(f"a call of {entries} entries")
            for row in change.get("puts", []):
                if row["table"] in ("op", "servers"):
                    return 403, None
                size = len(base64.b64decode(row["value"]))
                if size > self.row_bytes:
                    return self._refuse(
                        f"row {row['table']}/{row['key']} of {size} bytes; at most "
                        f"{self.row_bytes}")
            current, holds = [], True
            for row in change.get("expected", []):
                name = (row["table"], row.get("part", ""), row["key"])
                version = self.rows[name][1] if name in self.rows else 0
                holds &= version == row["ver"]
                if name in self.rows:
                    current.append(self._entry(name))
            if not holds:
                return 412, self._answer(current)
            self.version += 1
            for row in change.get("puts", []):
                self._set((row["table"], row.get("part", ""), row["key"]), row["value"])
            for row in change.get("remove", []):
                name = (row["table"], row.get("part", ""), row["key"])
                if name in self.rows:
                    self._set(name, None)
            self._notify()
            return 200, self._answer()


# Workers


class Run:
    def __init__(self, task, attempt, spec, checkpoint, began, work_ms):
        self.task, self.attempt, self.spec = task, attempt, spec
        self.saved, self.began = checkpoint, began
        self.work_ms = work_ms
        self.done_before = 0


class Worker:
    """A worker that does not guard its capacity. `plan(task, attempt)` tells
    the work of a run in ms and how it ends; `work_ms` None: it lasts."""

    def __init__(self, world, name, cpu=16000, mem=64000, labels=("a", "r1-1"),
                 service="onarim-masa", zone="ankara-atolye"):
        self.world, self.name = world, name
        self.cpu, self.mem, self.labels = cpu, mem, list(labels)
        self.service, self.zone = service, zone
        self.server = Server(self.handle)
        self.state = "ready"
        self.life = 0
        self.is_up = False

    async def start(self, host="127.0.0.1", port=0):
        self.begin_life()
        await self.server.start(host, port)
        self.is_up = True
        self.register()
        self.world.spawn(self.tick())
        self.world.spawn(self.beat())

    def begin_life(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.runs = {}  # task -> Run
        self.highest = {}  # task -> attempt that was stopped or has ended
        self.ends = []  # [N, task, attempt, how, saved], time
        self.end_count = 0
        self.sequence = 0
        self.news = asyncio.Event()

    async def restart(self, down_s):
        """A crash: nothing is said, and a new life follows under the same id."""
        address = self.server.address
        self.is_up = False
        await self.server.stop()
        self.world.note("worker_crashed", worker=self.name, runs=len(self.runs))
        for run in self.runs.values():
            self.world.on_end(self, run, "crashed", 0)
        self.runs = {}
        await asyncio.sleep(down_s)
        self.begin_life()
        host, port = address.rsplit(":", 1)
        await self.server.start(host, int(port))
        self.is_up = True
        self.world.note("worker_restarted", worker=self.name, born=self.born)
        self.register()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000) + 1

    def register(self):
        self.sequence += 1
        self.world.store.put("servers", self.name, {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0},
            "labels": self.labels, "clock-ms": self.clock(), "born": self.born,
            "sequence": self.sequence})

    async def beat(self):
        while True:
            await asyncio.sleep(self.world.heartbeat_ms / 1000 * random.uniform(0.9, 1.1))
            if self.is_up:
                self.register()

    def used_cpu(self):
        return sum(self.world.cpu_of(run.task) for run in self.runs.values())

    def percent(self, run):
        if run.work_ms is None:
            return 100
        return min(99, int(100 * (self.clock() - run.began) / max(1, run.work_ms)))

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.is_up:
                continue
            clock = self.clock()
            for run in list(self.runs.values()):
                if self.world.saves(run.task):
                    count = (clock - run.began) // self.world.checkpoint_ms
                    if count > run.done_before:
                        run.done_before = count
                        run.saved = self.world.new_checkpoint(run.task)
                if run.work_ms is not None and clock - run.began >= run.work_ms:
                    self.end(run, self.world.how(run))
                elif clock >= self.lease_until:
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.end_count += 1
        self.ends.append(([self.end_count, run.task, run.attempt, how, run.saved],
                          time.monotonic()))
        self.world.on_end(self, run, how, self.end_count)
        self.news.set()
        self.news = asyncio.Event()

    def answer(self, status, **more):
        return status, {"clock-ms": self.clock(), "born": self.born, **more}

    def grant(self, body):
        if "deadline-ms" in body:
            limit = self.clock() + self.world.max_hold_ms
            self.lease_until = max(self.lease_until, min(body["deadline-ms"], limit))

    async def handle(self, method, target, headers, body):
        if target == "/healthz":
            return 200, None
        if headers.get("expected-instance", self.name) != self.name:
            return self.answer(421)
        try:
            order = json.loads(body)
        except ValueError:
            return self.answer(400)
        held = await self.world.before_order(self, target, order)
        if held is None:
            return None
        return await self.carry_out(target, order)

    async def carry_out(self, target, order):
        token = order.get("fencing-token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if target == "/foxtaillift/run-start":
            return self.run_start(order)
        if target == "/foxtaillift/run-stop":
            return self.run_stop(order)
        if target == "/foxtaillift/hold":
            return await self.hold(order)
        if target == "/foxtaillift/pace":
            return self.answer(200)
        return self.answer(404)

    def run_start(self, order):
        task, attempt = order["task"], order["attempt"]
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            self.grant(order)
            return self.answer(200)
        if attempt <= self.highest.get(task, 0) or present is not None:
            self.grant(order)
            return self.answer(409, reason="old")
        if order["deadline-ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.grant(order)
        run = Run(task, attempt, order["spec"], order.get("checkpoint", ""), self.clock(),
                  self.world.work_ms(task, attempt))
        self.runs[task] = run
        self.world.on_start(self, run, order)
        return self.answer(200)

    def run_stop(self, order):
        task, attempt = order["task"], order["attempt"]
        present = self.runs.get(task)
        if present is not None and present.attempt <= attempt:
            self.end(present, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        return self.answer(200)

    async def hold(self, order):
        self.grant(order)
        acked = order.get("acked", 0)
        for end, at in self.ends:
            if end[0] <= acked:
                self.world.on_acked(self, end)
        self.ends = [e for e in self.ends if e[0][0] > acked]
        until = time.monotonic() + min(order.get("wait-ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return self.answer(
            200,
            running=[[r.task, r.attempt, r.saved, self.percent(r), self.world.cpu_of(r.task)]
                     for r in self.runs.values()],
            finished=[end for end, _ in self.ends[:500]])


# Entry hosts


SETTINGS = """node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "ic-anadolu"
internal-ports = [7720,7735]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = {heartbeat_ms}
commands = "invocation"
[listen-addrs]
frontend = "{ip}:8161"
ready = "{ip}:8167"
control-plane = "{ip}:8166"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
max-hold-ms = {max_hold_ms}
stop-timeout-ms = 900
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
[platform]
address = "{store}"
form = "table"
"""


class Node:
    """A process of foxtail-node with settings of its own."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.name = f"edge-{index}"
        self.ip = world.ip(index)
        self.frontend = f"{self.ip}:8161"
        self.ready = f"{self.ip}:8167"
        self.process = None
        self.store_address = world.store_address

    async def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(path, "w") as out:
            out.write(SETTINGS.format(name=self.name, ip=self.ip, zone=self.zone,
                                      heartbeat_ms=self.world.heartbeat_ms,
                                      max_hold_ms=self.world.max_hold_ms,
                                      store=self.store_address))
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        # As in deploy/system.toml: no arguments, in the repository's root.
        self.process = await asyncio.create_subprocess_exec(
            self.world.program, cwd=self.world.root, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "FOXTAILLIFT_CONFIG": path})
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class World:
    """What a scenario shares. Scenarios derive from it."""

    heartbeat_ms = 1100
    max_hold_ms = 6000
    checkpoint_ms = 2000

    def __init__(self, folder, root):
        self.folder, self.root = folder, os.path.abspath(root)
        self.program = os.path.join(self.root, "target", "bin", "foxtail-node")
        self.began = time.monotonic()
        self.record = []
        self.tasks = set()
        self.store = Store()
        self.store_address = ""
        self.workers = []
        self.nodes = []
        # A network of this run's own: the program's metrics port is fixed.
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    def ip(self, index):
        return f"{self.net}.{index + 1}"

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    def time(self):
        return time.monotonic() - self.began

    def note(self, event, **values):
        self.record.append(f"{self.time():8.3f} {event} " +
                           " ".join(f"{k}={v}" for k, v in values.items()))

    # What scenarios change

    def work_ms(self, task, attempt):
        return 500

    def how(self, run):
        return "done"

    def cpu_of(self, task):
        return 100

    def saves(self, task):
        return False

    async def before_order(self, worker, target, order):
        return True

    def on_start(self, worker, run, order):
        pass

    def on_end(self, worker, run, how, number):
        pass

    def on_acked(self, worker, end):
        pass

    def new_checkpoint(self, task):
        return f"{random.getrandbits(64):016x}"

    async def start_store(self):
        self.store_address = await self.store.server.start()

    async def start_workers(self, count, zones=("ankara-atolye", "konya-atolye",
                                                 "kayseri-atolye"), **options):
        for i in range(count):
            worker = Worker(self, f"i-{random.getrandbits(32):08x}",
                            labels=("a", f"r{i % 3 + 1}-{i // 24 + 1}"),
                            zone=zones[i % len(zones)], **options)
            self.workers.append(worker)
            await worker.start()

    async def start_nodes(self, count, zones=("ankara-atolye", "konya-atolye",
                                               "kayseri-atolye")):
        for i in range(count):
            node = Node(self, i, zones[i % len(zones)])
            self.nodes.append(node)
            await node.start()

    async def await_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        for node in self.nodes:
            while True:
                status, _, _ = await call(node.ready, "GET", "/foxtaillift/readyz", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    def configure(self, version, routes):
        self.store.put("op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": "onarim-masa", "health-path": "/healthz", "max-conns": 64,
                          "protocol": "h1", "tls": False, "admission-control": False,
                          "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    async def end(self):
        for node in self.nodes:
            await node.stop()
        for task in self.tasks:
            task.cancel()


def route(name, host, prefix, priority=2, max_attempts=3, factor=2.0, latency=1000):
    return {"name": name, "host": host, "path-prefix": prefix, "kind": "non_idempotent",
            "timeout-ms": 3000, "target-latency-ms": latency, "priority": priority,
            "service": "onarim-masa", "max-attempts": max_attempts,
            "target-factor": factor}


class Proxy:
    """Stands between a host and the store. `silence()` drops all that passes on
    the open connections from then on, without closing them; new ones work."""

    def __init__(self, target):
        self.target = target
        self.open = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        name = self.server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    def silence(self):
        count = 0
        for connection in self.open:
            count += not connection["is_silent"]
            connection["is_silent"] = True
        return count

    async def _serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        connection = {"is_silent": False}
        self.open.append(connection)

        async def pass_on(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    if not connection["is_silent"]:
                        sink.write(data)
                        await sink.drain()
            except (ConnectionError, OSError, asyncio.CancelledError):
                pass

        ways = [asyncio.ensure_future(pass_on(reader, far_writer)),
                asyncio.ensure_future(pass_on(far_reader, writer))]
        try:
            # The host's own end closes the connection; the store's end does so
            # only while it can be heard.
            done, _ = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            if connection["is_silent"] and ways[0] not in done:
                await ways[0]
        except asyncio.CancelledError:
            pass
        finally:
            for way in ways:
                way.cancel()
            self.open.remove(connection)
            for each in (writer, far_writer):
                each.transport.abort()
