#!/usr/bin/env python3
"""Peers that send without end, or more than they may, to a scheduler process.

Guards against a process that runs out of memory or descriptors. CASE is one of
  trailers    trailer fields without end after a chunked body
  extensions  a chunk extension without end
  fields      many tiny header fields before a body that never comes
  bodies      bodies that stop just before their end
  idle        connections over which nothing is sent
  answers     workers whose response has trailer fields without end
  answer_fields
              workers whose response has many tiny header fields and never ends
  methods     requests that each have another long method
  short_trailers
              many tiny trailer fields that do end, while the store stalls
  submissions large jobs whose callers leave at once, while the store stalls
  jobs        accepted jobs of many tasks that no worker can run
  questions   questions that only a process that has stopped can answer
A crowd does this to one process, which runs under lowered limits. It has to go
on, stay under the bounds below, and accept an ordinary job afterwards.

usage: hostile_clients.py CASE PROGRAM
"""

import asyncio
import json
import os
import resource
import signal
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins-2"))
import world2  # noqa: E402

MEMORY_BOUND_MB = 64    # peak; half of it is free in calm
DESCRIPTORS = 256       # limit under which the process runs
DESCRIPTOR_BOUND = 200
# Enough for the whole crowd at once.
DESCRIPTORS_OF_CASE = {"short_trailers": 1024, "answer_fields": 1024}
DESCRIPTOR_BOUNDS_OF_CASE = {"short_trailers": 800, "answer_fields": 800}
SENDERS = 16
ENDLESS_BYTES = 16 << 20    # that each sender sends at most
CROWD = 320             # connections that hold what they have sent
IDLE_CROWD = 400
MAX_BODY = 262144
HOSTILE_WORKERS = 250
METHOD_BYTES = 12000
METHODS_OF_SENDER = 500
SHORT_TRAILERS = 4900
SUBMISSIONS_OF_SENDER = 60
JOBS_OF_SENDER = 100
TASKS_OF_JOB = 4000     # as many as a job may have
LABEL_BYTES = 200000
QUESTION_DEADLINE_MS = 4000
ORDINARY_TRIES = 40
JOB = "00000000000000aa"
STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "est-ms": 100}
STEP_WITHOUT_WORKER = {"count": 1, "cpu": 1000, "mem-mb": 1000,
                       "required-label": "none"}
HEAD = ("POST /quote/%016x HTTP/1.1\r\nHost: " + world2.HOST +
        "\r\nContent-Type: application/json\r\n")

program = None
case_name = None


class LimitedProcess(world2.Process):
    def command(self):
        return [program] + super().command()[1:]

    def start(self):
        own = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (
            DESCRIPTORS_OF_CASE.get(case_name, DESCRIPTORS), own[1]))
        try:
            super().start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, own)

    def peak_memory_mb(self):
        """0 if the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def descriptors(self):
        """0 if the process has ended."""
        try:
            return len(os.listdir("/proc/%d/fd" % self.process.pid))
        except OSError:
            return 0


async def send_and_hold(port, parts):
    """Sends the parts until the other end closes; keeps the connection."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 5)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        for part in parts:
            writer.write(part)
            # An end that neither reads nor closes must not stop the test.
            await asyncio.wait_for(writer.drain(), 5)
    except (OSError, asyncio.TimeoutError):
        pass
    return reader, writer


def endless(first, piece):
    yield first
    for _ in range(ENDLESS_BYTES // len(piece)):
        yield piece


def crowd_of(case):
    """What each connection sends, one after the other."""
    chunked = "Transfer-Encoding: chunked\r\n\r\n"
    piece = b"x-field: " + b"v" * 1000 + b"\r\n"
    for i in range({"idle": IDLE_CROWD, "fields": CROWD, "bodies": CROWD}.get(
            case, SENDERS)):
        head = HEAD % i
        if case == "trailers":
            yield endless((head + chunked + "2\r\n{}\r\n0\r\n").encode(),
                          piece * 16)
        elif case == "extensions":
            yield endless((head + chunked + "2;x=").encode(), b"v" * 16384)
        elif case == "fields":
            yield [(head + "a:\r\n" * 3900 + "Content-Length: 9\r\n\r\n")
                   .encode()]
        elif case == "bodies":
            yield [(head + "Content-Length: %d\r\n\r\n" % MAX_BODY).encode() +
                   b" " * (MAX_BODY - 1)]
        else:
            yield []


async def respond_without_end(reader, writer):
    try:
        await reader.readuntil(b"\r\n\r\n")
        for part in endless(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\n{}\r\n0\r\n", b"x-field: " + b"v" * 16000 + b"\r\n"):
            writer.write(part)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def respond_with_fields(reader, writer):
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 3900 +
                     b"Content-Length: 9\r\n\r\n")
        await reader.read()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def announce_hostile_workers(world, count, respond):
    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for i in range(count):
        world.store.put("keyed.servers", "i-hostile%d" % i, {
            "service": world2.SERVICE, "address": "127.0.0.1:%d" % port,
            "zone": "cebu", "version": "v1", "slots": 8, "state": "ready",
            "warmup-left-ms": 0,
            "capacity": {"cpu": 64000, "mem-mb": 256000, "gpu": 0},
            "labels": ["b", "r1-9"], "clock-ms": 1, "born": 1, "seq": 1})
    await asyncio.sleep(5)
    return server


async def exchange(reader, writer, request):
    """Sends a request and reads its answer to the end; false if it fails."""
    writer.write(request)
    await asyncio.wait_for(writer.drain(), 10)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    for line in head.decode("latin-1").lower().split("\r\n"):
        if line.startswith("content-length:"):
            await asyncio.wait_for(reader.readexactly(int(line[15:])), 10)
    return b"connection: close" not in head.lower()


async def send_in_turn(port, requests):
    """Sends one request after the other, and opens a new connection whenever
    the other end has closed the last one."""
    writer = None
    for request in requests:
        try:
            if writer is None:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", port), 5)
            if await exchange(reader, writer, request):
                continue
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        if writer is not None:
            writer.close()
        writer = None
    return writer


def requests_with_methods(sender):
    for i in range(METHODS_OF_SENDER):
        method = "M%dX%d" % (sender, i)
        yield (method + "Y" * (METHOD_BYTES - len(method)) +
               " /quote/ HTTP/1.1\r\nHost: " + world2.HOST +
               "\r\n\r\n").encode()


def submissions(sender):
    body = json.dumps({"steps": [dict(
        STEP_WITHOUT_WORKER, **{"required-label": "n" * LABEL_BYTES})]})
    for i in range(SUBMISSIONS_OF_SENDER):
        yield (HEAD % (0x100000 + sender * 1000 + i) +
               "X-Deadline-Ms: 200\r\nContent-Length: %d\r\n\r\n%s" %
               (len(body), body)).encode()


def jobs_of_many_tasks(sender):
    body = json.dumps({"steps": [dict(
        STEP_WITHOUT_WORKER, count=TASKS_OF_JOB)]})
    for i in range(JOBS_OF_SENDER):
        yield (HEAD % (0x300000 + sender * 1000 + i) +
               "Content-Length: %d\r\n\r\n%s" % (len(body), body)).encode()


def submission_with_trailers(number):
    body = json.dumps({"steps": [STEP_WITHOUT_WORKER]})
    return (HEAD % (0x200000 + number) + "X-Deadline-Ms: 8000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n" %
            (len(body), body, "a:\r\n" * SHORT_TRAILERS)).encode()


class StalledStore:
    """While it lasts, the store leaves new jobs unanswered."""

    def __init__(self, world):
        self.server = world.store.server
        self.handler = self.server.handler
        self.over = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if path == "/log-append" and query["topic"].startswith("keyed.jobs"):
            await self.over.wait()
            return 503, {}
        return await self.handler(method, path, query, headers, body)

    async def __aenter__(self):
        self.server.handler = self.handle

    async def __aexit__(self, *_):
        self.server.handler = self.handler
        self.over.set()


async def ask_for_jobs_of_stopped_owner(world, process):
    """The crowd asks one process for jobs that another one owns."""
    owner, _ = await world.owner()
    asked = process
    if owner == process.name:
        asked = next(p for p in world.processes if p is not process)
    else:
        process = next(p for p in world.processes if p.name == owner)
    process.process.send_signal(signal.SIGSTOP)
    try:
        held = await asyncio.gather(*[
            send_and_hold(asked.frontend, [(
                "GET /quote/%016x HTTP/1.1\r\nHost: %s\r\n"
                "X-Deadline-Ms: %d\r\n\r\n" %
                (i, world2.HOST, QUESTION_DEADLINE_MS)).encode()])
            for i in range(CROWD)])
        most = 0
        for _ in range(20):
            most = max(most, asked.descriptors())
            await asyncio.sleep(0.02)
    finally:
        process.process.send_signal(signal.SIGCONT)
    return asked, held, most


async def ordinary_request(world):
    return await world.submit("quote", JOB, [STEP], [0.1], tries=ORDINARY_TRIES)


async def play(world, case):
    process = world.processes[0]
    most_descriptors = 0
    if case == "answers":
        held = [await announce_hostile_workers(
            world, SENDERS, respond_without_end)]
    elif case == "answer_fields":
        held = [await announce_hostile_workers(
            world, HOSTILE_WORKERS, respond_with_fields)]
    elif case == "methods":
        held = await asyncio.gather(*[
            send_in_turn(process.frontend, requests_with_methods(i))
            for i in range(SENDERS)])
    elif case == "jobs":
        held = await asyncio.gather(*[
            send_in_turn(process.frontend, jobs_of_many_tasks(i))
            for i in range(SENDERS)])
        await asyncio.sleep(3)
    elif case == "submissions":
        async with StalledStore(world):
            held = await asyncio.gather(*[
                send_in_turn(process.frontend, submissions(i))
                for i in range(SENDERS)])
    elif case == "short_trailers":
        async with StalledStore(world):
            held = await asyncio.gather(*[
                send_and_hold(process.frontend, [submission_with_trailers(i)])
                for i in range(CROWD)])
            await asyncio.sleep(2)
    elif case == "questions":
        process, held, most_descriptors = await ask_for_jobs_of_stopped_owner(
            world, process)
    else:
        held = await asyncio.gather(*[
            send_and_hold(process.frontend, parts) for parts in crowd_of(case)])
    descriptors = max(most_descriptors, process.descriptors())
    answered = await ordinary_request(world)
    peak = process.peak_memory_mb()
    print("%s: %d connections, peak memory %.0f MB, %d descriptors, "
          "ordinary request %s" % (case, len(held), peak, descriptors,
                                   "answered" if answered else "unanswered"))
    if process.killed_for_memory:
        world.breaks_rule("the process went over the memory of its VM")
    if process.ended_by_itself or process.process.poll() is not None:
        world.breaks_rule("the process has ended")
    if peak > MEMORY_BOUND_MB:
        world.breaks_rule("peak memory of %.0f MB, bound %d" %
                          (peak, MEMORY_BOUND_MB))
    descriptor_bound = DESCRIPTOR_BOUNDS_OF_CASE.get(case, DESCRIPTOR_BOUND)
    if descriptors > descriptor_bound:
        world.breaks_rule("%d descriptors, bound %d" %
                          (descriptors, descriptor_bound))
    if not answered:
        world.breaks_rule("an ordinary request was not answered")


async def main(case):
    with tempfile.TemporaryDirectory() as folder:
        world = world2.World(os.path.join(folder, "record"), processes=0,
                             minions=3)
        for i in range(2 if case == "questions" else 1):
            world.processes.append(LimitedProcess(world, i))
        try:
            if not await world.start():
                world.breaks_rule("the system did not start")
            else:
                await play(world, case)
        finally:
            await world.stop()
        for line in world.breaks:
            print("broken:", line)
        sys.stdout.flush()
        # Handlers of requests that get no answer are still waiting.
        os._exit(1 if world.breaks else 0)


if __name__ == "__main__":
    case_name = sys.argv[1]
    program = os.path.abspath(sys.argv[2])
    asyncio.run(main(case_name))
