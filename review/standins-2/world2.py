"""Stand-ins of the platform's store, minions and requesters, and a launcher of
the project's own processes, for the scripts of review/6 to review/10.

Everything listens on loopback addresses with free ports. The store and the
minions follow the platform's pages; what a case makes them do differently is
in the case's own script.
"""

import asyncio
import base64
import bisect
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import unquote

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

SERVICE = "refill-desk"
HOST = "desk.example"
RECORD_BYTES = 262144
CALL_BYTES = 2097152
HOLD_MAX_MS = 10000
STOP_MS = 400
MEMORY_MB = 260
CANNOT_LISTEN = 69      # exit status of a process


def report_error_of_script(*error):
    """An error of the script must not look like a broken rule."""
    traceback.print_exception(*error)
    os._exit(2)


sys.excepthook = report_error_of_script


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Server:
    """HTTP/1.1 with keep-alive. `handler(method, path, query, headers, body)`
    returns (status, object or bytes), or None for no answer at all."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """As at the end of a process: no listener, open channels are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
                answer = await self.handler(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content))
                    + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.keys = []
        self.producers = {}
        self.added = asyncio.Event()

    def add(self, key, value):
        self.records.append((key, value))
        if value:
            if key not in self.newest:
                bisect.insort(self.keys, key)
            self.newest[key] = (len(self.records) - 1, value)
        elif key in self.newest:
            del self.newest[key]
            self.keys.remove(key)
        self.added.set()
        self.added = asyncio.Event()


class Store:
    """The platform's log, of which only what the scheduler uses is built."""

    def __init__(self, world):
        self.world = world
        self.parts = {}
        self.server = Server(self.handle)
        self.refused_records = 0

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value):
        self.part(topic, 0).add(
            key.encode(), b"" if value is None else json.dumps(value).encode())

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        part = self.part(query.get("topic", ""), query.get("part", "0"))
        if path == "/log-append":
            return self.append(part, query, body)
        if path == "/log-newest":
            return self.list_newest(part, query)
        if path == "/log-read":
            return await self.read(part, query)
        return 404, {}

    def append(self, part, query, body):
        records = []
        at = 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            content = body[at + 4:at + 4 + size]
            key_size = content[0]
            records.append((content[1:1 + key_size], content[1 + key_size:]))
            if size > RECORD_BYTES:
                self.refused_records += 1
                if self.refused_records <= 20:
                    self.world.note("store refuses a record of", size, "bytes, key",
                                    records[-1][0].decode("latin-1"))
                return 400, {"reason": "record-bytes"}
            at += 4 + size
        if len(body) > CALL_BYTES:
            return 400, {"reason": "call-bytes"}
        end = len(part.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query.get("seq", "0"))
            known = part.producers.setdefault(
                query["producer"], {"epoch": 0, "seq": None, "answers": {}})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > known["epoch"]:
                known.update(epoch=epoch, seq=None, answers={})
            if not records:
                return 200, {"offset": end, "end": end}
            if seq in known["answers"]:
                return known["answers"][seq]
            if known["seq"] is not None and seq != known["seq"] + 1:
                return 409, {"reason": "seq", "seq": known["seq"] + 1}
        for key, value in records:
            part.add(key, value)
        answer = 200, {"offset": end, "end": len(part.records)}
        if "producer" in query:
            known["seq"] = seq
            known["answers"][seq] = answer
            while len(known["answers"]) > 5:
                known["answers"].pop(min(known["answers"]))
        return answer

    def list_newest(self, part, query):
        after = unquote(query["depends-on"]).encode() if "depends-on" in query \
            else None
        start = bisect.bisect_right(part.keys, after) if after is not None else 0
        items, size, i = [], 0, start
        while i < len(part.keys) and len(items) < 500 and size < 1 << 20:
            offset, value = part.newest[part.keys[i]]
            items.append({"key": part.keys[i].decode("latin-1"),
                          "value": base64.b64encode(value).decode(),
                          "offset": offset})
            size += len(value)
            i += 1
        return 200, {"items": items, "more": i < len(part.keys),
                     "end": len(part.records)}

    async def read(self, part, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    part.added.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        parts, size = [], 0
        for key, value in part.records[start:]:
            if size > 1 << 20:
                break
            content = bytes([len(key)]) + key + value
            parts.append(struct.pack(">I", len(content)) + content)
            size += len(content)
        return 200, struct.pack(">QQ", len(part.records), 0) + b"".join(parts)


class Run:
    def __init__(self, task, number, start, work_s, spec):
        self.task = task
        self.number = number
        self.start = start
        self.work_s = work_s        # None: it lasts
        self.spec = spec
        self.stop_at = None
        self.pace = 100
        self.done_s = 0.0           # work done until `paced_at`
        self.paced_at = start

    def work_done(self, now):
        return self.done_s + (now - self.paced_at) * self.pace / 100

    def set_pace(self, percent, now):
        self.done_s = self.work_done(now)
        self.paced_at = now
        self.pace = percent

    def percent(self, now):
        """Lasting tasks are at work, with 100, after a short startup."""
        total = 0.3 if self.work_s is None else self.work_s
        return min(100, int(100 * self.work_done(now) / max(total, 0.001)))


class Minion:
    """One machine. Each start of it, `boot`, is another life of the id."""

    def __init__(self, world, number, cpu=64000, mem=256000, rack=None):
        self.world = world
        self.number = number
        self.id = "i-%010x" % (0x5a00000000 + number * 7919)
        self.rack = rack or "r1-%d" % (number // 8 + 1)
        self.kind = "a"
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.zone = ["bulacan", "pampanga", "cebu"][number % 3]
        self.server = Server(self.handle)
        self.fails_all = False      # every run ends `failed` after 0.2 s
        self.up = False
        self.seq = 0

    async def boot(self):
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic() - 1
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.changed = asyncio.Event()
        self.up = True
        await self.server.start(self.server.port or 0)
        self.publish()

    async def crash(self):
        """The process ends: what it ran is gone, its channels are reset."""
        self.up = False
        now = time.monotonic()
        for run in self.runs.values():
            self.world.on_end(self, run, "crash", now)
        self.runs = {}
        await self.server.stop()

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def publish(self):
        self.seq += 1
        self.world.store.put("keyed.servers", self.id, {
            "service": SERVICE, "address": "127.0.0.1:%d" % self.server.port,
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "warmup-left-ms": 0, "capacity": self.capacity,
            "labels": [self.kind, self.rack], "clock-ms": self.clock(),
            "born": self.born, "seq": self.seq})

    def used(self, name):
        return sum(r.spec.get(name, 0) for r in self.runs.values()
                   if not (name == "cpu" and r.spec.get("fills")))

    def end(self, run, how):
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.world.on_end(self, run, how, time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        """Ends what is over at this time."""
        if not self.up:
            return
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock() >= self.until:
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif self.fails_all and now - run.start >= 0.2:
                self.end(run, "failed")
            elif run.work_s is not None and run.work_done(now) >= run.work_s:
                self.end(run, "done")

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        try:
            order = json.loads(body)
        except ValueError:
            return 400, {}
        self.advance()
        if order.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "born": self.born,
                         "reason": "fence"}
        self.fence = order.get("fence", 0)
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            return self.run_stop(order)
        if path == "/pace":
            run = self.runs.get(order["task"])
            if run and run.number == order["run"]:
                run.set_pace(order["percent"], time.monotonic())
            return self.answer(200)
        if path == "/hold":
            return await self.hold(order)
        return 404, {}

    def answer(self, status, **fields):
        return status, {"clock-ms": self.clock(), "born": self.born, **fields}

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if order["until-ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(order["until-ms"])
        run = self.runs.get(task)
        if run and run.number == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0) or run:
            return self.answer(409, reason="old")
        spec, work_s = self.world.step_of(task)
        for name in ("cpu", "mem-mb"):
            if name == "cpu" and spec.get("fills"):
                continue
            if self.used(name) + spec.get(name, 0) > self.capacity[name]:
                return self.answer(409, reason="room")
        run = Run(task, number, time.monotonic(), work_s, spec)
        self.runs[task] = run
        self.world.on_start(self, run)
        return self.answer(200)

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        if run and run.number <= number:
            if run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_MS / 2000
        self.highest[task] = max(self.highest.get(task, 0), number)
        return self.answer(200)

    async def hold(self, order):
        seen = order.get("seen-upto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if "until-ms" in order:
            self.extend(order["until-ms"])
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.changed.wait(),
                    max(0.001, min(0.05, until - time.monotonic())))
            except asyncio.TimeoutError:
                self.advance()
        self.advance()
        now = time.monotonic()
        rows = []
        for run in self.runs.values():
            load = self.world.load_of(self, run)
            rows.append([run.task, run.number, "", run.percent(now), load])
        return self.answer(200, running=rows, ended=self.ended[:500])


class Process:
    """One process of the role in the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = "edge-%s-%d" % (["bulacan", "pampanga", "cebu"][number % 3],
                                    number // 3 + 1)
        self.draw_ports()
        self.process = None
        self.ended_by_itself = 0
        self.killed_for_memory = 0
        self.peak_mb = 0

    def draw_ports(self):
        self.frontend, self.readiness, self.control = free_ports(3)

    def command(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        values = {
            "node": self.name,
            "listen.frontend": "127.0.0.1:%d" % self.frontend,
            "listen.readiness": "127.0.0.1:%d" % self.readiness,
            "listen.control": "127.0.0.1:%d" % self.control,
            "seeds": ",".join("127.0.0.1:%d" % p.control
                              for p in self.world.processes[:3]),
            "platform.address": "127.0.0.1:%d" % self.world.store.server.port,
            "platform.parts": "12",
            "bounds.hold-max-ms": str(HOLD_MAX_MS),
            "bounds.grace-s": "6",
            "limits.cpu-share": "0.1",
        }
        for name, value in values.items():
            run = run.replace("{{%s}}" % name, value)
        return run.split(" ")

    def start(self):
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command(), cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LANG": "C.UTF-8"})
        log.close()

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class World:
    def __init__(self, record, processes=3, minions=8, **minion_options):
        self.begin = time.monotonic()
        self.record = open(record, "a")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("KEEP_LOGS") or self.temporary.name
        os.makedirs(self.folder, exist_ok=True)
        self.store = Store(self)
        self.minions = [Minion(self, i, **minion_options)
                        for i in range(minions)]
        self.processes = []
        for i in range(processes):
            self.processes.append(Process(self, i))
        self.steps = {}       # (job, step): (fields, work in s or None)
        self.starts = {}      # job: [(time, minion, task, run)]
        self.ends = {}        # job: [(time, minion, task, run, how)]
        self.running = {}     # task: set of (minion number, run)
        self.loads = None     # overrides the fifth entry of `running`
        self.start_hook = None
        self.breaks = []
        self.background = []
        self.started = False
        self.next_process = 0

    def now(self):
        return time.monotonic() - self.begin

    def note(self, *words):
        self.record.write("%8.3f %s\n" % (self.now(), " ".join(map(str, words))))
        self.record.flush()

    def breaks_rule(self, *words):
        self.breaks.append(" ".join(map(str, words)))
        self.note("RULE BROKEN:", *words)

    def load_of(self, minion, run):
        if self.loads is not None:
            return self.loads(minion, run)
        if run.spec.get("target-ms"):
            return max(1, run.spec["target-ms"] // 4)
        return run.spec.get("cpu", 0) * run.pace // 100

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.steps[(job, int(step))]

    def on_start(self, minion, run):
        job = run.task.split(".")[0]
        self.starts.setdefault(job, []).append(
            (self.now(), minion.number, run.task, run.number))
        others = self.running.setdefault(run.task, set())
        if others:
            self.breaks_rule("TWICE: ", run.task, "runs on", others,
                             "and on", minion.number)
        others.add((minion.number, run.number))
        self.note("start", run.task, "run", run.number, "on minion",
                  minion.number)
        if self.start_hook:
            self.start_hook(minion, run)

    def on_end(self, minion, run, how, now):
        job = run.task.split(".")[0]
        self.ends.setdefault(job, []).append(
            (self.now(), minion.number, run.task, run.number, how))
        self.running.get(run.task, set()).discard((minion.number, run.number))
        self.note("end", how, run.task, "run", run.number, "on minion",
                  minion.number, "after %.2f s" % (now - run.start))

    async def start(self, attempts=4):
        await self.store.server.start()
        self.store.put("keyed.op", "config", {
            "version": 7,
            "routes": [{"name": "r-" + name, "hostname": HOST,
                        "path-prefix": "/%s/" % name, "type": "unsafe",
                        "timeout-ms": 3000, "target-latency-ms": 1000,
                        "priority": priority, "service": SERVICE,
                        "attempts": attempts, "stretch": 2.0,
                        "allowed-regions": []}
                       for name, priority in
                       (("quote", 0), ("batch", 2), ("route", 0))],
            "services": [{"name": SERVICE, "health-path": "/healthz",
                          "max-connections": 64, "protocol": "h1", "tls": False,
                          "warmup-s": 0.0, "warmup-per-s": 0.0,
                          "rejects-overload": True, "spare": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
        for minion in self.minions:
            await minion.boot()
        for process in self.processes:
            process.start()
        self.background = [asyncio.create_task(self.tick()),
                           asyncio.create_task(self.heartbeats()),
                           asyncio.create_task(self.watch_processes())]
        for _ in range(200):
            await asyncio.sleep(0.1)
            if await self.ready_count() == len(self.processes) and \
                    await self.owner():
                break
        else:
            return False
        self.started = True
        self.note("all processes are ready")
        return True

    async def tick(self):
        while True:
            for minion in self.minions:
                minion.advance()
            await asyncio.sleep(0.02)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.5)
            for minion in self.minions:
                if minion.up:
                    minion.publish()

    async def watch_processes(self):
        """The platform: kills a process over its memory limit, and starts a
        process again that has ended."""
        while True:
            for process in self.processes:
                if process.process is None:
                    continue
                code = process.process.poll()
                if code is not None:
                    self.note(process.name, "has ended with", code)
                    if code == CANNOT_LISTEN and not self.started:
                        # Another program has taken one of the ports.
                        process.draw_ports()
                        process.start()
                        continue
                    process.ended_by_itself += 1
                    await asyncio.sleep(0.5)
                    process.start()
                    continue
                memory = process.memory_mb()
                process.peak_mb = max(process.peak_mb, memory)
                if memory > MEMORY_MB:
                    self.note(process.name, "uses %.0f MB of %d: killed" %
                              (memory, MEMORY_MB))
                    process.process.send_signal(signal.SIGKILL)
                    process.process.wait()
                    process.killed_for_memory += 1
                    await asyncio.sleep(0.5)
                    process.start()
            await asyncio.sleep(0.02)

    async def call(self, port, method, path, body=None, timeout=3.0):
        """Returns (status, object), or (None, why) without an answer."""
        try:
            return await asyncio.wait_for(
                self._call(port, method, path, body, timeout), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError) as error:
            return None, type(error).__name__

    async def _call(self, port, method, path, body, timeout):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            writer.write((
                "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n"
                "Connection: close\r\n\r\n" %
                (method, path, HOST, int(timeout * 1000), len(content))
                ).encode() + content)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length)
            try:
                return status, json.loads(data)
            except ValueError:
                return status, {}
        finally:
            writer.close()

    async def ready_count(self):
        answers = await asyncio.gather(*[
            self.call(p.readiness, "GET", "/ready", timeout=1.0)
            for p in self.processes])
        return sum(status == 200 for status, _ in answers)

    async def owner(self):
        """Owner and epoch of the first cell once all cells have an owner."""
        for process in self.processes:
            status, table = await self.call(process.control, "GET",
                                            "/v1/claims", timeout=1.0)
            if status != 200:
                continue
            claims = table.get("claims", {})
            cells = table.get("layout", {}).get("cells", 0)
            if cells and len(claims) == cells and \
                    not any(claim["released"] for claim in claims.values()):
                return claims["0"]["process"], claims["0"]["epoch"]
        return None

    def next_frontend(self):
        self.next_process += 1
        return self.processes[self.next_process % len(self.processes)]

    async def submit(self, queue, job, steps, work_s, tries=5, **more):
        """As a requester: retries after no answer or a refusal. `work_s` has
        the work of a task of each step, None for one that lasts."""
        for i, step in enumerate(steps):
            self.steps[(job, i)] = (step, work_s[i])
        body = {"spec": "order " + job, "steps": steps, **more}
        for _ in range(tries):
            process = self.next_frontend()
            status, answer = await self.call(
                process.frontend, "POST", "/%s/%s" % (queue, job), body)
            self.note("POST", queue, job, "->", status)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, queue, job, tries=4):
        """State as a requester is told it; None without any answer."""
        for _ in range(tries):
            process = self.next_frontend()
            status, answer = await self.call(
                process.frontend, "GET", "/%s/%s" % (queue, job))
            self.note("GET", queue, job, "->", status, answer.get("state")
                      if isinstance(answer, dict) else answer)
            if status == 200:
                return answer.get("state")
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return None

    def use(self):
        """Share of the service's processors and memory that runs use."""
        capacity = sum(m.capacity["cpu"] for m in self.minions if m.up)
        memory = sum(m.capacity["mem-mb"] for m in self.minions if m.up)
        cpu = sum(m.used("cpu") for m in self.minions if m.up)
        used = sum(m.used("mem-mb") for m in self.minions if m.up)
        return max(cpu / max(1, capacity), used / max(1, memory))

    async def stop(self):
        for task in self.background:
            task.cancel()
        for process in self.processes:
            if process.process and process.process.poll() is None:
                process.process.send_signal(signal.SIGKILL)
                process.process.wait()
        for process in self.processes:
            self.note(process.name, "peak memory %.0f MB, ended by itself %d"
                      " times, killed for memory %d times" % (
                          process.peak_mb, process.ended_by_itself,
                          process.killed_for_memory))
        for minion in self.minions:
            if minion.up:
                await minion.server.stop()
        await self.store.server.stop()


def run_case(make, play):
    """Runs `play(world, trouble)`, with the exit status that a case has."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if len(sys.argv) != 2:
        print("usage: case.py RECORD, the file to write the record to")
        sys.exit(2)
    record = sys.argv[1]
    program = os.path.join(ROOT, "target", "platform", "cowslipmast-scheduler")
    if not os.path.exists(program):
        print("not built:", program)
        with open(record, "a") as file:
            file.write("not built: the program of the deploy file\n")
        sys.exit(2)

    async def main():
        world = make(record)

        def end_at_once(*_):
            for process in world.processes:
                if process.process and process.process.poll() is None:
                    process.process.kill()
            os._exit(2)
        signal.signal(signal.SIGTERM, end_at_once)
        world.note("trouble" if trouble else "no trouble")
        code = 2
        try:
            if await asyncio.wait_for(world.start(), 25):
                await asyncio.wait_for(play(world, trouble), 88)
                code = 1 if world.breaks else 0
            else:
                world.note("the system did not start")
        except asyncio.TimeoutError:
            world.note("the case could not run to its end")
        except Exception as error:  # of the script, not of what it tests
            world.note("the script failed:", repr(error))
        finally:
            await world.stop()
        world.note({0: "held", 1: "broken", 2: "not run"}[code],
                   *world.breaks[:3])
        for line in world.breaks[:5]:
            print(line)
        print("exit", code)
        sys.stdout.flush()
        world.temporary.cleanup()
        # Handlers of requests that never get an answer are still waiting.
        os._exit(code)

    asyncio.run(main())
