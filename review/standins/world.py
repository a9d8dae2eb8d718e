"""Stand-ins for the store, the minions, the operator and the requesters, and the
scheduler processes under test, for the scripts of this review.

Everything runs on loopback. The store and the minions follow PROTOCOL.md; a
minion reads from the text of a submission how long its tasks take and what they
need. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Figures of sites/kapuno-sched.toml.
PARTS = 12
APPEND_S = 0.002
RECORD_BYTES = 262144
CALL_BYTES = 2097152
HOLD_MAX_MS = 10000
GRACE_S = 6
HEARTBEAT_S = 1.5
CPU_SHARE = 0.1
RESPONSE_S = 0.001


class CannotRun(Exception):
    pass


# ---------------------------------------------------------------- HTTP

class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query,
                                                 keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def reply(status, body, content_type="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = (f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Server:
    """An HTTP server whose machine can lose power: then its open connections
    stay silent, and are reset when the machine is back."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.dark = False
        self.power_back = asyncio.Event()
        self.power_back.set()
        self.life = 0
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        life = self.life
        try:
            if self.dark:
                # The opening packet is lost, and nobody waits for the next one.
                await reader.read(-1)
                return
            while True:
                if self.dark:
                    await self.power_back.wait()
                    break
                request = await read_request(reader)
                if request is None:
                    break
                # What was sent to a machine without power is sent again by TCP,
                # and the next boot resets the connection.
                if self.dark or life != self.life:
                    await self.power_back.wait()
                    break
                response = await self.handler(request)
                # The request was received, so that nothing is sent again: the
                # caller hears nothing. So it is where an answer is lost.
                if response is None or self.dark or life != self.life:
                    await reader.read(1)
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self._reset(writer)

    @staticmethod
    def _reset(writer):
        try:
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            writer.transport.abort()
        except OSError:
            pass

    def power_off(self):
        self.dark = True
        self.power_back.clear()

    def power_on(self):
        """Connections of the life before are reset when they are used."""
        self.life += 1
        self.dark = False
        self.power_back.set()

    def cut(self):
        """The machine is cut off; what runs on it goes on."""
        self.dark = True
        self.power_back.clear()

    def heal(self):
        """Held up bytes are lost: the channels of the cut are reset."""
        self.dark = False
        self.power_back.set()

    def crash(self):
        """The process ends: the kernel resets its connections."""
        self.life += 1
        for writer in list(self.writers):
            self._reset(writer)


async def http_call(address, method, path, body=b"", headers=None, timeout=3.0):
    """Status and body; (0, b"") without a complete answer."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        for name, value in {"Host": address, "Content-Type": "application/json",
                            **(headers or {})}.items():
            lines.append(f"{name}: {value}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        status_line = await reader.readline()
        if not status_line:
            return 0, b""
        status = int(status_line.split()[1])
        length = 0
        while True:
            line = await reader.readline()
            if line in (b"\r\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return status, await reader.readexactly(length)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- store

class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def add(self, key, value):
        offset = len(self.records)
        self.records.append(bytes([len(key)]) + key + value)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The platform's metadata store."""

    def __init__(self, world):
        self.world = world
        self.parts = {}
        self.server = Server(self.handle)
        self.refused = {}

    def part(self, topic, number):
        return self.parts.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        text = b"" if value is None else (
            value if isinstance(value, bytes) else json.dumps(value).encode())
        self.part(topic, 0).add(key.encode(), text)

    async def handle(self, request):
        topic = request.query.get("topic", "")
        part = self.part(topic, int(request.query.get("part", "0")))
        if request.path == "/log-append":
            async with part.lock:
                await asyncio.sleep(APPEND_S)
                status, body = self.append(topic, part, request)
            if status not in (200, 412):
                self.refused[status] = self.refused.get(status, 0) + 1
                self.world.note("store", f"append to {topic} refused", status,
                                f"{len(request.body)} bytes")
            return reply(status, body)
        if request.path == "/log-read":
            return await self.read(part, request)
        if request.path == "/log-newest":
            return self.read_newest(part, request)
        return reply(404, {})

    def append(self, topic, part, request):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        body, records, at = request.body, [], 0
        if len(body) > CALL_BYTES:
            return 413, {"reason": "size"}
        while at + 4 <= len(body):
            length = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        if any(len(record) > RECORD_BYTES for record in records):
            return 413, {"reason": "size"}
        if "at" in request.query and \
                int(request.query["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        producer = request.query.get("producer")
        seq = None
        if producer is not None:
            epoch = int(request.query["epoch"])
            seq = int(request.query["seq"])
            state = part.producers.setdefault(
                producer, {"epoch": -1, "last": None, "answers": {}})
            if epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > state["epoch"]:
                state.update(epoch=epoch, last=None, answers={})
            if not records:
                return 200, {"offset": len(part.records),
                             "end": len(part.records)}
            if seq in state["answers"]:
                return 200, state["answers"][seq]
            if state["last"] is not None and seq != state["last"] + 1:
                return 409, {"reason": "seq", "seq": state["last"] + 1}
        offset = len(part.records)
        for record in records:
            length = record[0]
            part.add(record[1:1 + length], record[1 + length:])
        answer = {"offset": offset, "end": len(part.records)}
        if producer is not None and records:
            state["last"] = seq
            state["answers"][seq] = answer
            for old in sorted(state["answers"])[:-5]:
                del state["answers"][old]
        return 200, answer

    async def read(self, part, request):
        start = int(request.query.get("from", "0"))
        limit = time.monotonic() + int(request.query.get("wait-ms", "0")) / 1000
        while len(part.records) <= start and time.monotonic() < limit:
            try:
                await asyncio.wait_for(part.grown.wait(),
                                       limit - time.monotonic())
            except asyncio.TimeoutError:
                pass
        body = [struct.pack(">QQ", len(part.records), 0)]
        size, most = 0, int(request.query.get("max-kb", "1024")) * 1024
        for record in part.records[start:]:
            if size and size + len(record) > most:
                break
            size += len(record) + 4
            body.append(struct.pack(">I", len(record)) + record)
        return reply(200, b"".join(body), "application/octet-stream")

    def read_newest(self, part, request):
        after = request.query.get("depends-on")
        keys = sorted(part.newest)
        if after is not None:
            keys = [key for key in keys if key > after.encode()]
        items, size = [], 0
        for key in keys:
            offset, value = part.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1000000):
                break
            size += len(value)
            items.append({"key": key.decode("latin-1"),
                          "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return reply(200, {"items": items, "more": len(items) < len(keys),
                           "end": len(part.records)})


# ---------------------------------------------------------------- minions

class Run:
    def __init__(self, task, run, minion, cpu, mem, work_s, saves):
        self.task, self.run, self.minion = task, run, minion
        self.cpu, self.mem, self.work_s, self.saves = cpu, mem, work_s, saves
        self.boot = minion.born
        self.started = time.monotonic()
        self.ended = None
        self.how = None       # as the minion lists it; "crash" if it went down
        self.number = None
        self.noted = None     # when its end was taken note of
        self.lapsed = False   # the lease lapsed between its end and that
        self.stopping = False


class Minion:
    """One machine with its minion; `id` survives a restart where the scenario
    says so, the boot (`born`) never does."""

    def __init__(self, world, number, cpu=64000, mem_mb=256000, name=None):
        self.world = world
        self.number = number
        self.id = name or f"i-{number:08x}"
        self.cpu, self.mem_mb = cpu, mem_mb
        self.zone = ("bulacan", "cebu", "pampanga")[number % 3]
        self.rack = f"r{number % 3}-{number // 24}"
        self.kind = "a"
        self.server = Server(self.handle)
        self.stop_s = 0.2          # a stop takes at most stop-ms = 400
        self.refuse_starts = False  # an unhealthy minion answers 503
        self.up = False
        self.state = "ready"
        self.seq = 0

    def boot(self):
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.up = True
        self.world.note("minion", self.id, "boot", self.born)

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def publish(self):
        self.seq += 1
        self.world.store.put("keyed.servers", self.id, {
            "service": "desk", "address": self.server.address,
            "zone": self.zone, "version": "1", "slots": 8, "state": self.state,
            "warmup-left-ms": 0, "seq": self.seq,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack], "born": self.born})

    def go_down(self):
        """What runs here is gone."""
        self.up = False
        for run in list(self.running.values()):
            run.ended, run.how = time.monotonic(), "crash"
        self.running = {}
        self.world.note("minion", self.id, "down")

    def end(self, run, how):
        run.ended, run.how = time.monotonic(), how
        self.running.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.last_end += 1
        run.number = self.last_end
        self.ended.append(run)
        self.world.note("end", run.task, run.run, how, self.id)
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self):
        if not self.up:
            return
        if self.clock() >= self.until and self.until > 0:
            # An end whose lease lapses before it is taken note of does not count.
            for run in self.ended:
                run.lapsed = True
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.stopping:
                if now - run.stopping >= self.stop_s:
                    self.end(run, "stopped")
            elif run.work_s is not None and now - run.started >= run.work_s:
                self.end(run, "done")

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def free(self):
        used = list(self.running.values())
        return (self.cpu - sum(run.cpu for run in used),
                self.mem_mb - sum(run.mem for run in used))

    async def handle(self, request):
        life = self.born
        await asyncio.sleep(RESPONSE_S)
        if request.headers.get("x-expect-instance") not in (None, self.id):
            return reply(421, {})
        if not self.up or life != self.born:
            return None
        body = json.loads(request.body)
        if body.get("fence", 0) < self.fence:
            return reply(409, {"clock-ms": self.clock(), "reason": "fence"})
        self.fence = body.get("fence", 0)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/pace":
            return reply(200, {"clock-ms": self.clock()})
        if request.path == "/hold":
            return await self.hold(body)
        return reply(404, {})

    def refuse(self, task, run, reason):
        self.world.note("refused", task, run, reason, self.id)
        return reply(409, {"clock-ms": self.clock(), "reason": reason})

    def start(self, body):
        task, number = body["task"], body["run"]
        if self.refuse_starts:
            self.world.note("refused", task, number, "unhealthy", self.id)
            return reply(503, {})
        present = self.running.get(task)
        if present is not None and present.run == number:
            return reply(200, {"clock-ms": self.clock()})
        if number <= self.highest.get(task, 0) or present is not None:
            self.extend(body["until-ms"])
            return self.refuse(task, number, "old")
        if body["until-ms"] <= self.clock():
            return self.refuse(task, number, "late")
        spec = json.loads(body["spec"])
        need = spec["steps"][int(task.split(".")[2])]
        cpu, mem = self.free()
        if need["cpu"] > cpu or need["mem"] > mem:
            self.extend(body["until-ms"])
            return self.refuse(task, number, "room")
        self.extend(body["until-ms"])
        run = Run(task, number, self, need["cpu"], need["mem"],
                  need["s"], need.get("saves", False))
        self.running[task] = run
        self.world.on_start(run)
        return reply(200, {"clock-ms": self.clock()})

    def stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.run == number and not run.stopping:
            run.stopping = time.monotonic()
        elif run is None or run.run < number:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return reply(200, {"clock-ms": self.clock()})

    async def hold(self, body):
        life = self.born
        seen = body.get("seen-upto", 0)
        for run in list(self.ended):
            if run.number <= seen:
                self.ended.remove(run)
                if not run.lapsed:
                    run.noted = time.monotonic()
                self.world.note("noted", run.task, run.run, run.how, self.id)
        if "until-ms" in body:
            self.extend(body["until-ms"])
        limit = time.monotonic() + min(2000, body.get("wait-ms", 0)) / 1000
        while not self.ended and time.monotonic() < limit:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       limit - time.monotonic())
            except asyncio.TimeoutError:
                pass
            if life != self.born or not self.up:
                return None
        now = time.monotonic()
        running = []
        for run in self.running.values():
            share = 100 if run.work_s is None else min(
                99, int(100 * (now - run.started) / run.work_s))
            saved = ""
            if run.saves and now - run.started >= 1:
                saved = f"{int(now - run.started):08x}{run.boot & 0xffffffff:08x}"
            running.append([run.task, run.run, saved, share, run.cpu])
        ended = [[run.number, run.task, run.run, run.how, ""]
                 for run in self.ended[:500]]
        return reply(200, {"clock-ms": self.clock(), "born": self.born,
                           "running": running, "ended": ended})


# ---------------------------------------------------------------- schedulers

def free_port():
    """Below the ports that outgoing connections get, which could otherwise take
    one of these before its process listens."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Scheduler:
    """One scheduler process, started with the command of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-{number + 1}"
        self.callers = f"127.0.0.1:{free_port()}"
        self.readiness = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.process = None

    def start(self):
        world = self.world
        values = {
            "node": self.name, "listen.frontend": self.callers,
            "listen.readiness": self.readiness, "listen.control": self.control,
            "seeds": ",".join(s.control for s in world.schedulers[:3]),
            "platform.address": world.store.server.address,
            "platform.parts": PARTS, "bounds.hold-max-ms": HOLD_MAX_MS,
            "bounds.grace-s": GRACE_S, "limits.cpu-share": CPU_SHARE}
        command = world.command
        for name, value in values.items():
            command = command.replace("{{%s}}" % name, str(value))
        log = open(os.path.join(world.folder, self.name + ".log"), "ab")
        self.process = world.spawn(command.split(), log)
        log.close()
        world.note("scheduler", self.name, "start", self.process.pid)

    def signal(self, number):
        self.world.note("scheduler", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def log_lines(self, event):
        lines = []
        with open(os.path.join(self.world.folder, self.name + ".log"),
                  errors="replace") as log:
            for line in log:
                if f'"event":"{event}"' in line:
                    lines.append(line.strip())
        return lines


# ---------------------------------------------------------------- the world

class World:
    def __init__(self, folder_of_case, schedulers=7, minions=48, **minion_options):
        self.began = time.monotonic()
        self.record = open(os.path.join(folder_of_case, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(),
                                     re.MULTILINE).group(1)
        self.processes = []
        self.store = Store(self)
        self.schedulers = [Scheduler(self, i) for i in range(schedulers)]
        self.minions = [Minion(self, i, **minion_options)
                        for i in range(minions)]
        self.runs = {}        # by task
        self.acked = {}       # time of the acknowledgement, by submission
        self.cancelled = {}
        self.routes = [self.route("orders", "/orders/")]
        self.version = 0
        self.next_scheduler = 0
        self.broken = []
        self.tasks = []

    @staticmethod
    def route(name, prefix):
        return {"name": name, "hostname": "desk.example", "path-prefix": prefix,
                "service": "desk", "priority": 0, "attempts": 4,
                "stretch": 1.5, "target-latency-ms": 400}

    def before_start(self):
        """A case may change the minions here."""

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        self.record.write(f"{self.now():8.3f} " +
                          " ".join(str(word) for word in words) + "\n")

    def breaks(self, *words):
        text = " ".join(str(word) for word in words)
        self.broken.append(text)
        self.note("BROKEN", text)

    def spawn(self, command, log):
        import subprocess
        process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def publish_config(self):
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": "desk", "rejects-overload": True}],
            "limits": {}})
        self.note("operator", "config", self.version,
                  ",".join(route["name"] for route in self.routes))

    async def start(self):
        program = os.path.join(ROOT, self.command.split()[0])
        if not os.path.exists(program):
            raise CannotRun("the programs are not built")
        await self.store.server.start()
        self.before_start()
        for minion in self.minions:
            await minion.server.start()
            minion.boot()
            minion.publish()
        self.publish_config()
        for scheduler in self.schedulers:
            scheduler.start()
        self.tasks.append(asyncio.create_task(self._tick()))
        self.tasks.append(asyncio.create_task(self._heartbeats()))
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(6)
        for _ in range(100):
            if await self.ready(self.schedulers[0]) and \
                    await self.owner() is not None:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the system does not start")

    async def _tick(self):
        while True:
            for minion in self.minions:
                minion.tick()
            await asyncio.sleep(0.01)

    async def _heartbeats(self):
        while True:
            for minion in self.minions:
                if minion.up:
                    minion.publish()
                await asyncio.sleep(HEARTBEAT_S / len(self.minions))

    async def ready(self, scheduler):
        status, _ = await http_call(scheduler.readiness, "GET", "/ready",
                                    timeout=1)
        return status == 200

    async def owner(self):
        """The scheduler process that owns the work, as its peers see it."""
        for scheduler in self.schedulers:
            if scheduler.process.poll() is not None:
                continue
            _, body = await http_call(scheduler.control, "GET", "/dump",
                                      timeout=1)
            try:
                cells = json.loads(body).get("cells", {})
            except ValueError:
                continue
            for cell in cells.values():
                if cell.get("state") == "owning":
                    return scheduler
        return None

    # Requesters

    def pick(self):
        for _ in self.schedulers:
            self.next_scheduler += 1
            scheduler = self.schedulers[self.next_scheduler %
                                        len(self.schedulers)]
            if scheduler.process.poll() is None:
                return scheduler
        return self.schedulers[0]

    async def submit(self, job, steps, prefix="/orders/", tries=5):
        """Submits a job; True once it is accepted. `steps` are rows of count,
        cpu, mem, seconds (None: lasts) and further fields."""
        wire, spec = [], []
        for step in steps:
            extra = dict(step.get("extra", {}))
            saves = extra.get("checkpointing", False)
            row = {"count": step["count"], "cpu": step["cpu"],
                   "mem-mb": step["mem"],
                   "est-ms": int(1000 * (step["s"] or 60)), **extra}
            if step["s"] is None:
                row["long-running"] = True
            wire.append(row)
            spec.append({"cpu": step["cpu"], "mem": step["mem"],
                         "s": step["s"], "saves": saves})
        body = json.dumps({"spec": json.dumps({"steps": spec}),
                           "steps": wire}).encode()
        for _ in range(tries):
            scheduler = self.pick()
            status, _ = await http_call(
                scheduler.callers, "POST", prefix + job, body,
                {"Host": "desk.example", "X-Deadline-Ms": "3000"})
            self.note("submit", job, scheduler.name, status)
            if 200 <= status < 300:
                self.acked[job] = time.monotonic()
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, prefix="/orders/", scheduler=None):
        """Status and state as a requester reads them."""
        scheduler = scheduler or self.pick()
        status, body = await http_call(
            scheduler.callers, "GET", prefix + job, b"",
            {"Host": "desk.example", "X-Deadline-Ms": "3000"})
        text = ""
        if status == 200:
            text = json.loads(body).get("state", "")
        self.note("state", job, scheduler.name, status, text)
        return status, text

    async def cancel(self, job, prefix="/orders/"):
        scheduler = self.pick()
        status, _ = await http_call(
            scheduler.callers, "DELETE", prefix + job, b"",
            {"Host": "desk.example", "X-Deadline-Ms": "3000"})
        self.note("cancel", job, scheduler.name, status)
        if 200 <= status < 300:
            self.cancelled[job] = time.monotonic()
        return status

    async def waiting(self, scheduler, prefix="/orders/"):
        status, body = await http_call(
            scheduler.callers, "GET", prefix, b"",
            {"Host": "desk.example", "X-Deadline-Ms": "3000"})
        count = json.loads(body).get("waiting") if status == 200 else None
        self.note("waiting", scheduler.name, status, count)
        return count

    # Rules

    def on_start(self, run):
        self.note("start", run.task, run.run, run.minion.id)
        earlier = self.runs.setdefault(run.task, [])
        for other in earlier:
            if other.ended is None:
                self.breaks("TWICE:", run.task, "run", run.run, "starts on",
                            run.minion.id, "while run", other.run,
                            "is at work on", other.minion.id)
        earlier.append(run)

    def check_runs_after_done(self):
        """A start after an end `done` that was taken note of."""
        for task, runs in self.runs.items():
            for done in runs:
                if done.how != "done" or done.noted is None:
                    continue
                for later in runs:
                    if later.started > done.ended:
                        self.breaks(
                            "TWICE:", task, "run", later.run, "started",
                            f"{later.started - done.ended:.3f} s after run",
                            done.run, "had ended done on", done.minion.id,
                            "and that end was taken note of")

    def failed_ends(self, job):
        counts = {}
        for task, runs in self.runs.items():
            if task.split(".")[0] == job:
                counts[task] = sum(run.how == "failed" for run in runs)
        return max(counts.values(), default=0)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.note("all processes ended")
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, scenario, limit_s=115, prepare=None, **options):
    """Runs the scenario; ends with 1 if a rule was broken, 0 if it held, and 2
    if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder, **options)
        if prepare is not None:
            world.before_start = lambda: prepare(world)
        try:
            await world.start()
            await asyncio.wait_for(scenario(world, trouble), limit_s - 10)
        finally:
            await world.close()
        return world

    try:
        world = asyncio.run(main())
    except Exception as error:  # not a verdict on the system
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in world.broken[:20]:
        print("BROKEN", line)
    print(f"{len(world.broken)} breaks; trouble={int(trouble)}")
    sys.exit(1 if world.broken else 0)
