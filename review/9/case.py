"""A job has started on the only fitting minion of its cell, which is lost."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world2 import World, run_case  # noqa: E402

MINIONS = 208           # 26 racks of 8, so two cells
SPECIAL = (0, 8)        # the two minions of another kind, in different racks
JOBS = ["%016x" % (0xd0 + i) for i in range(4)]
STEPS = [{"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 4000,
          "required-label": "g"},
         {"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 1000,
          "required-label": "g", "depends-on": [0]}]
WORK_S = [4.0, 1.0]
PING_S = 1.5            # an entry is removed after three of them
FINISH_S = 14.0         # `finish_s`
NOTHING_S = 3.0         # "for 3 s, a submission has nothing running"
HALF = 0.5


def make(record):
    world = World(record, processes=3, minions=MINIONS)
    for number in SPECIAL:
        world.minions[number].kind = "g"
    return world


async def play(world, trouble):
    for job in JOBS:
        if not await world.submit("batch", job, STEPS, WORK_S):
            raise asyncio.TimeoutError
    world.note("the traffic ends")
    traffic_end = world.now()
    while len(world.starts) < len(JOBS) and world.now() < traffic_end + 10:
        await asyncio.sleep(0.05)
    users = [runs[0][1] for runs in world.starts.values()]
    lost = world.minions[max(set(users), key=users.count)]
    await asyncio.sleep(1)
    if trouble:
        world.note("minion", lost.number, "is lost for good")
        await lost.crash()
        await asyncio.sleep(3 * PING_S)
        world.store.put("keyed.servers", lost.id, None)
    await asyncio.sleep(max(0, traffic_end + FINISH_S - world.now()) + 6)
    waiting = set(JOBS)
    end = world.now() + NOTHING_S
    while world.now() < end:
        await asyncio.sleep(0.05)
        for job in list(waiting):
            done = sum(e[4] == "done" for e in world.ends.get(job, []))
            if done == len(STEPS) or any(
                    runs for task, runs in world.running.items()
                    if task.startswith(job)) or world.use() >= HALF:
                waiting.discard(job)
    for job in JOBS:
        state = await world.state("batch", job)
        if job in waiting and state != "completed":
            other = [world.minions[n] for n in SPECIAL if n != lost.number][0]
            world.breaks_rule(
                "LOST:", job, "is", state, "and has nothing running; minion",
                other.number, "has its label and %d of 64 cores free" % (
                    64 - other.used("cpu") // 1000))


run_case(make, play)
