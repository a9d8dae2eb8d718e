#!/usr/bin/env python3
"""Ready work that its cell cannot start while another cell can.

Three scheduler processes and 208 workers of the stand-ins of review/, so two
cells; one worker of another kind in each, which all watched steps need. CASE
chooses why the first of them cannot run the work:
  lost          it is lost for good after the first step has started
  recurring     the same; the jobs are recurring, of one and three iterations
  room          it stays, and a long task takes the room for the next step
  beside        it is lost; each job has a long-running step, too
  owners        as recurring, while the owner of each cell is killed in turn
  cancelled     as beside; then all jobs are cancelled
Exits with 1 if work waits for 3 s at the end, a task runs twice or a cancelled
one runs on. SEED varies the times, KEEP_LOGS names a folder for the logs.
"""

import asyncio
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins-2"))
from world2 import World, run_case  # noqa: E402

CASE = os.environ.get("CASE", "recurring")
RNG = random.Random(int(os.environ.get("SEED", "1")))
WORKERS = 208           # 26 racks of 8
SPECIAL = (0, 8)        # in two racks, and so in two cells
JOBS = ["%016x" % (0xd0 + i) for i in range(4)]
HEARTBEAT_S = 1.5       # an entry is removed after three of them
FINISH_S = 14.0
NOTHING_S = 3.0
STOPPED_S = 3.4         # after a cancellation is acknowledged
FIRST = {"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 4000,
         "required-label": "g"}
SECOND = {"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 1000,
          "required-label": "g", "depends-on": [0]}
LASTING = {"count": 1, "cpu": 1000, "mem-mb": 1000, "long-running": True}


def make(record):
    world = World(record, 3, WORKERS)
    for number in SPECIAL:
        world.minions[number].kind = "g"
    return world


def recurrence(number):
    if CASE not in ("recurring", "owners"):
        return {}
    import time
    return {"iterations": 1 if number % 2 == 0 else 3, "interval-ms": 1000,
            "first-ms": int(time.time() * 1000)}


def tasks_of(job, number):
    steps = 2
    return {"%s.%d.%d.0" % (job, k, step)
            for k in range(recurrence(number).get("iterations", 1))
            for step in range(steps)}


async def submit_jobs(world):
    steps, work_s = [FIRST, SECOND], [4.0, 1.0]
    if CASE in ("beside", "cancelled"):
        steps, work_s = steps + [LASTING], work_s + [None]
    for number, job in enumerate(JOBS):
        if not await world.submit("batch", job, steps, work_s,
                                  **recurrence(number)):
            raise asyncio.TimeoutError
    while len(world.starts) < len(JOBS):
        await asyncio.sleep(0.05)
    users = [runs[0][1] for runs in world.starts.values()]
    return world.minions[max(set(users), key=users.count)]


async def lose(world, worker):
    world.note("worker", worker.number, "is lost for good")
    await worker.crash()
    await asyncio.sleep(3 * HEARTBEAT_S)
    world.store.put("keyed.servers", worker.id, None)


async def fill(world, worker):
    """Long tasks take all room there, also what the first steps leave."""
    step = {"count": worker.capacity["cpu"] // 1000, "cpu": 1000, "mem-mb": 1000,
            "est-ms": 600000, "required-label": "g"}
    # Only a job of the worker's own cell is sure to go there.
    for number in range(8):
        job = "%016x" % (0xf00 + number)
        await world.submit("quote", job, [step], [600.0])
        await asyncio.sleep(0.5)
        if any(task.startswith(job) for task in worker.runs):
            return
        await world.call(world.next_frontend().frontend, "DELETE",
                         "/quote/" + job)
    raise asyncio.TimeoutError


async def kill_owners(world):
    for _ in range(4):
        await asyncio.sleep(RNG.uniform(2.0, 4.5))
        name, _ = await world.owner() or (None, 0)
        for process in world.processes:
            if process.name == name:
                world.note("kill", name)
                process.process.send_signal(signal.SIGKILL)


def done_tasks(world, job):
    return {end[2] for end in world.ends.get(job, []) if end[4] == "done"}


async def watch(world):
    waiting = set(JOBS)
    end = world.now() + NOTHING_S
    while world.now() < end:
        await asyncio.sleep(0.05)
        for number, job in enumerate(JOBS):
            left = tasks_of(job, number) - done_tasks(world, job)
            if not left or any(runs and task in left
                               for task, runs in world.running.items()):
                waiting.discard(job)
    for number, job in enumerate(JOBS):
        state = await world.state("batch", job)
        left = tasks_of(job, number) - done_tasks(world, job)
        if job in waiting:
            world.breaks_rule("LOST:", job, "is", state, "and waits with",
                              sorted(left))
        elif not left and CASE not in ("beside", "cancelled") and \
                state != "completed":
            world.breaks_rule("LOST:", job, "is", state, "with all tasks done")
        for task in done_tasks(world, job):
            runs = [e for e in world.ends[job]
                    if e[2] == task and e[4] == "done"]
            if len(runs) > 1:
                world.breaks_rule("TWICE:", task, "was done", len(runs),
                                  "times")


async def cancel(world):
    for job in JOBS:
        status, _ = await world.call(world.next_frontend().frontend, "DELETE",
                                     "/batch/" + job)
        world.note("DELETE", job, "->", status)
    await asyncio.sleep(STOPPED_S)
    for task, runs in world.running.items():
        if runs and task.split(".")[0] in JOBS:
            world.breaks_rule("UNASKED:", task, "runs on", runs)


async def play(world, trouble):
    worker = await submit_jobs(world)
    traffic_end = world.now()
    await asyncio.sleep(1)
    killing = None
    if trouble and CASE == "room":
        await fill(world, worker)
    elif trouble:
        if CASE == "owners":
            killing = asyncio.create_task(kill_owners(world))
        await lose(world, worker)
    wait_s = FINISH_S + 6 + (12 if CASE == "owners" else 0)
    await asyncio.sleep(max(0, traffic_end + wait_s - world.now()))
    if killing:
        await killing
        await asyncio.sleep(8)
    await watch(world)
    if CASE == "cancelled":
        await cancel(world)


run_case(make, play)
