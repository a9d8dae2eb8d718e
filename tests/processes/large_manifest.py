#!/usr/bin/env python3
"""A large manifest read over one slow link by the processes of a region.

Guards against owners that are replaced although only the link to them is full,
and against reads that are given up in mid-transfer and repeated whole. Three
scheduler processes are near the store and the workers; eight others reach store,
owner and workers only over a link of one rate and one queue for all of them. Then
a manifest with 1,400 routes more is written. Every process has to read it once
and serve its routes, and the owner has to stay.

SEED varies the moment of the change.

usage: large_manifest.py PROGRAM
"""

import asyncio
import base64
import json
import os
import random
import re
import socket
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins-2"))
import world2  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
NEAR = 3
FAR = 8
WORKERS = 8
ROUTES = 1400
LARGE_BYTES = 200000        # of a response that has the large manifest
BYTES_PER_S = 1650000       # of each direction of the link
LATENCY_S = 0.012           # one way
CHUNK = 16384
WINDOW = 131072             # bytes of one connection in the queue at a time
CALM_S = 3.0
WATCH_S = 8.0
PORT = re.compile(rb'(127\.0\.0\.1:|"port":)(\d{5})(?!\d)')


class Link:
    """Both directions of a link: first in, first out, whoever sends."""

    def __init__(self):
        self.free_at = {"there": 0.0, "back": 0.0}
        self.servers = []
        self.port_of = {}

    async def open_to(self, port):
        """Returns the port under which `port` is reached over the link."""
        if port not in self.port_of:
            server = await asyncio.start_server(
                lambda r, w: self.serve(port, r, w), "127.0.0.1", 0,
                limit=CHUNK, backlog=512)
            self.servers.append(server)
            self.port_of[port] = server.sockets[0].getsockname()[1]
        return self.port_of[port]

    async def serve(self, port, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=CHUNK)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.carry("there", reader, far_writer),
                             self.carry("back", far_reader, writer))

    async def carry(self, direction, reader, writer):
        loop = asyncio.get_running_loop()
        queue = asyncio.Queue()
        room = asyncio.Semaphore(WINDOW // CHUNK)

        async def deliver():
            while True:
                at, chunk = await queue.get()
                await asyncio.sleep(max(0, at - loop.time()))
                room.release()
                if not chunk:
                    break
                writer.write(chunk)
            writer.close()
        delivery = asyncio.create_task(deliver())
        while True:
            await room.acquire()
            try:
                chunk = await reader.read(CHUNK)
            except OSError:
                chunk = b""
            now = loop.time()
            sent = max(now, self.free_at[direction]) + len(chunk) / BYTES_PER_S
            self.free_at[direction] = sent
            queue.put_nowait((sent + LATENCY_S, chunk))
            if not chunk:
                break
            await asyncio.sleep(0)  # other connections come in between
        await delivery


class StoreView:
    """The store as one process sees it: ports of the other region are those of
    the link."""

    def __init__(self, world, ports):
        self.world = world
        self.ports = ports
        self.large_reads = 0
        self.server = world2.Server(self.handle)

    def translate(self, content):
        return PORT.sub(
            lambda m: m.group(1) + self.ports.get(m.group(2), m.group(2)),
            content)

    async def handle(self, method, path, query, headers, body):
        status, content = await self.world.store.handle(method, path, query,
                                                        headers, body)
        size = 0
        if isinstance(content, bytes):
            content = self.translate(content)
            size = len(content)
        elif "items" in content:
            items = [dict(item, value=base64.b64encode(self.translate(
                base64.b64decode(item["value"]))).decode())
                for item in content["items"]]
            content = dict(content, items=items)
            size = sum(len(item["value"]) for item in items)
        if query.get("topic") == "keyed.op" and size > LARGE_BYTES:
            self.large_reads += 1
        return status, content


drawn_ports = set()


def draw_port():
    """A free port that no connection of the link can take before its process
    listens: below those that the system gives out.
    Not from the seed: tests of several trees may run at the same time."""
    while True:
        port = random.randrange(20000, 32000)
        if port in drawn_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                drawn_ports.add(port)
                return port
            except OSError:
                pass


class Process(world2.Process):
    program = None

    def draw_ports(self):
        self.frontend, self.readiness, self.control = [draw_port()
                                                       for _ in range(3)]

    def command(self):
        seeds = ",".join("127.0.0.1:%d" % p.control
                         for p in self.world.processes
                         if p.is_far == self.is_far)
        values = {"--store=": "127.0.0.1:%d" % self.store_port,
                  "--seeds=": seeds}
        command = [self.program]
        for argument in super().command()[1:]:
            for name, value in values.items():
                if argument.startswith(name):
                    argument = name + value
            command.append(argument)
        return command


class World(world2.World):
    def __init__(self, record):
        super().__init__(record, 0, WORKERS)
        self.link = Link()
        self.near_ports = {}    # of far processes
        self.far_ports = {}     # of near processes and workers

    async def add_process(self, is_far):
        process = Process(self, len(self.processes))
        process.is_far = is_far
        ports = self.far_ports if is_far else self.near_ports
        process.view = StoreView(self, ports)
        await process.view.server.start()
        process.store_port = process.view.server.port
        if is_far:
            process.store_port = await self.link.open_to(process.store_port)
        others = self.near_ports if is_far else self.far_ports
        await self.reach_over_link(others, process.control)
        self.processes.append(process)
        return process

    async def reach_over_link(self, ports, port):
        ports[b"%d" % port] = b"%d" % await self.link.open_to(port)

    async def start_near(self):
        for minion in self.minions:
            minion.server.port = draw_port()
            await self.reach_over_link(self.far_ports, minion.server.port)
        for _ in range(NEAR):
            await self.add_process(is_far=False)
        return await self.start()

    async def start_far(self):
        for process in [await self.add_process(is_far=True)
                        for _ in range(FAR)]:
            process.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if await self.ready_count() == len(self.processes):
                return True
        return False


async def change_manifest(world):
    part = world.store.part("keyed.op", 0)
    config = json.loads(part.newest[b"config"][1].decode())
    routes = [dict(config["routes"][0], name="x-%d" % i,
                   **{"path-prefix": "/x-%d/" % i}) for i in range(ROUTES)]
    config.update(version=config["version"] + 1,
                  routes=config["routes"] + routes)
    world.store.put("keyed.op", "config", config)
    world.note("manifest of", len(part.newest[b"config"][1]), "bytes")


async def watch_owner(world, before):
    end = world.now() + WATCH_S
    while world.now() < end:
        await asyncio.sleep(0.1)
        owner = await world.owner()
        if owner and owner != before:
            world.breaks_rule("Fault: the owner was", before, "and is now",
                              owner)
            return


async def play(world):
    if not await world.start_far():
        return False
    before = await world.owner()
    # At any moment between two reads of the manifest.
    await asyncio.sleep(CALM_S + random.Random(SEED).random())
    if not before or await world.owner() != before or \
            before[0] not in [p.name for p in world.processes[:NEAR]]:
        world.note("the owner is not near the store or not settled", before)
        return False
    await change_manifest(world)
    await watch_owner(world, before)
    for process in world.processes:
        status, _ = await world.call(process.frontend, "GET",
                                     "/x-%d/" % (ROUTES - 1))
        world.note(process.name, "has read the manifest",
                   process.view.large_reads, "times; last route:", status)
        if process.view.large_reads != 1:
            world.breaks_rule("Fault:", process.name, "has read the manifest",
                              process.view.large_reads, "times")
        if status != 200:
            world.breaks_rule("CONFIG:", process.name, "answers", status,
                              "on the last route")
    return True


async def run_play(folder):
    record = os.path.join(folder.name, "record")
    world = World(record)
    code = 2
    try:
        if await asyncio.wait_for(world.start_near(), 25) and \
                await asyncio.wait_for(play(world), 60):
            code = 1 if world.breaks else 0
        else:
            world.note("the system did not start")
    finally:
        await world.stop()
        world.temporary.cleanup()
    for line in world.breaks:
        print(line)
    with open(record) as file:
        print("".join(line for line in file
                      if "manifest" in line or code == 2))
    folder.cleanup()
    print("exit", code)
    sys.stdout.flush()
    # Handlers of requests that never get an answer are still waiting.
    os._exit(code)


def main():
    if len(sys.argv) != 2:
        print(__doc__)
        sys.exit(2)
    Process.program = os.path.abspath(sys.argv[1])
    asyncio.run(run_play(tempfile.TemporaryDirectory()))


main()
