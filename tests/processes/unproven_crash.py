#!/usr/bin/env python3
"""Jobs that are shown as failed although none of their tasks has failed.

Scheduler processes against the stand-ins of review/. CASE chooses what happens
to the workers that run the watched jobs:
  cuts          cut off, taken off the list, back with the same instance
  short         the same, each time just after a short task has started
  lost          cut off for good
  restarts      without power for 0.6 to 3 s, then another instance of the id
  leaves        draining, gone after 2.5 s, then another instance of the id
  owner         cuts while the owner is killed
  slow-store    cuts while the store refuses appends
  deadly        ended by the task that has just started there, back after 3 s
  deadly-owner  the same while the owner is killed
SEED varies the times, TROUBLE=0 leaves the disruption out, and KEEP_LOGS names
a folder for the logs and the record.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins"))
from world import run_case  # noqa: E402

CASE = os.environ.get("CASE", "cuts")
RNG = random.Random(int(os.environ.get("SEED", "1")))
END_S = 62          # of the disruptions
SETTLE_S = 8        # with the last cut, longer than the longest lease
OFF_LIST_S = 4.5    # three heartbeats of silence
CUT_S = 8.0
DRAIN_S = 2.5
ATTEMPTS = 4        # of a task, as the route has it
MAX_STARTS = 5      # of a task that crashes its workers
LONG = {"count": 1, "cpu": 4000, "mem": 8000, "s": None}
SHORT = {"count": 1, "cpu": 4000, "mem": 8000, "s": 0.8}


def prepare(world):
    for worker in world.minions:
        publish = worker.publish

        def publish_if_reachable(worker=worker, publish=publish):
            if not worker.server.dark:
                publish()
        worker.publish = publish_if_reachable

    append = world.store.append
    world.store.refusing = False
    world.store.append = lambda *call: (
        (503, {}) if world.store.refusing else append(*call))


async def cut(world, worker):
    """What runs on the machine goes on until its lease lapses."""
    world.note("cut", worker.id)
    worker.server.cut()
    await asyncio.sleep(OFF_LIST_S)
    world.store.put("keyed.servers", worker.id, None)
    if CASE == "lost":
        return
    await asyncio.sleep(CUT_S - OFF_LIST_S)
    worker.server.heal()
    worker.publish()
    world.note("healed", worker.id)


async def lose_power(worker, down_s):
    """Open connections stay silent until the power is back."""
    worker.server.power_off()
    worker.go_down()
    await asyncio.sleep(down_s)
    worker.server.power_on()
    worker.boot()
    worker.publish()


async def end_process(worker, down_s):
    """The kernel resets the open connections and refuses others."""
    worker.go_down()
    worker.server.server.close()
    worker.server.crash()
    await asyncio.sleep(down_s)
    worker.boot()
    worker.server.server = await asyncio.start_server(
        worker.server._serve, "127.0.0.1", worker.server.port)
    worker.state = "ready"
    worker.publish()


async def restart(world, worker):
    await lose_power(worker, RNG.uniform(0.6, 3.0))


async def leave(world, worker):
    worker.state = "draining"
    worker.publish()
    world.note("draining", worker.id)
    await asyncio.sleep(DRAIN_S)
    if RNG.random() < 0.5:
        world.store.put("keyed.servers", worker.id, None)
    await end_process(worker, RNG.uniform(0.1, 1.0))


async def kill_owner(world):
    await asyncio.sleep(RNG.uniform(0.1, 7.0))
    owner = await world.owner()
    if owner is None:
        return
    owner.signal(signal.SIGKILL)
    owner.process.wait()
    await asyncio.sleep(RNG.uniform(0.3, 2.0))
    owner.start()


async def refuse_appends(world):
    await asyncio.sleep(RNG.uniform(0.1, 3.0))
    world.note("store refuses")
    world.store.refusing = True
    await asyncio.sleep(RNG.uniform(1.0, 4.0))
    world.store.refusing = False
    world.note("store accepts")


def job_of(run):
    return run.task.split(".")[0]


def runs_of(world, job):
    return [run for runs in world.runs.values() for run in runs
            if job_of(run) == job]


def react_to_starts(world, jobs, react):
    """Calls `react` with each run of the jobs that starts."""
    on_start = world.on_start

    def start_and_react(run):
        on_start(run)
        if job_of(run) in jobs:
            world.tasks.append(asyncio.create_task(react(run)))
    world.on_start = start_and_react


def workers_of(world, jobs):
    """Reachable workers that run a task of the jobs."""
    found = {run.minion for job in jobs for run in runs_of(world, job)
             if run.ended is None and not run.minion.server.dark}
    return sorted(found, key=lambda worker: worker.number)


async def state_of(world, job):
    for _ in range(10):
        status, text = await world.state(job)
        if status == 200:
            return text
        await asyncio.sleep(0.5)
    return "unknown"


async def all_ended(world, jobs):
    return all([await state_of(world, job) in ("completed", "failed")
                for job in jobs])


async def wait_for_ends(world, jobs):
    while world.now() < END_S and not await all_ended(world, jobs):
        await asyncio.sleep(2)
    await asyncio.sleep(3)


async def disrupt(world, jobs):
    trouble = {"restarts": restart, "leaves": leave}.get(CASE, cut)
    beside = {"owner": kill_owner, "slow-store": refuse_appends}.get(CASE)
    while world.now() < END_S and not await all_ended(world, jobs):
        victims = workers_of(world, jobs)
        calls = [trouble(world, worker) for worker in victims]
        if beside is not None:
            calls.append(beside(world))
        await asyncio.gather(*calls)
        await asyncio.sleep(RNG.uniform(1.0, 2.5))


async def check(world, job, step):
    text = await state_of(world, job)
    hows = [run.how for run in runs_of(world, job)]
    # Two crashes under a task may be taken for its fault.
    may_fail = CASE == "restarts" and hows.count("crash") >= 2
    if text == "failed" and not may_fail:
        world.breaks("LOST:", job, "is shown as failed; ends:", hows)
    if text == "failed":
        print(job, "is shown as failed; ends:", hows)
    elif step["s"] is None and None not in hows:
        world.breaks("LOST:", job, text, "has no run; ends:", hows)
    elif step["s"] is not None and text != "completed":
        world.breaks("LOST:", job, text, "is not completed; ends:", hows)


async def watch_victims(world, trouble):
    jobs = {f"{0xa0 + i:016x}": LONG for i in range(2)}
    for job, step in jobs.items():
        await world.submit(job, [step])
    await asyncio.sleep(3)
    if trouble:
        await disrupt(world, jobs)
    await asyncio.sleep(SETTLE_S)
    for job, step in jobs.items():
        await check(world, job, step)


async def watch_short(world, trouble):
    jobs = {f"{0xb0 + i:016x}": SHORT for i in range(4)}

    async def cut_early(run):
        await asyncio.sleep(RNG.uniform(0.02, 0.15))
        if run.run <= ATTEMPTS and not run.minion.server.dark:
            await cut(world, run.minion)

    if trouble:
        react_to_starts(world, jobs, cut_early)
    for job, step in jobs.items():
        await world.submit(job, [step])
        await asyncio.sleep(2)
    await wait_for_ends(world, jobs)
    for job, step in jobs.items():
        await check(world, job, step)


async def watch_deadly(world, trouble):
    jobs = {f"{0xc0 + i:016x}": SHORT for i in range(3)}
    jobs[f"{0xd0:016x}"] = LONG

    async def crash(run):
        await asyncio.sleep(0.05)
        if run.ended is None:
            await RNG.choice((end_process, lose_power))(run.minion, 3.0)

    if trouble:
        react_to_starts(world, jobs, crash)
    for job, step in jobs.items():
        await world.submit(job, [step])
        await asyncio.sleep(RNG.uniform(0.2, 2.0))
    while trouble and CASE == "deadly-owner" and \
            not await all_ended(world, jobs) and world.now() < END_S:
        await kill_owner(world)
    await wait_for_ends(world, jobs)
    for job, step in jobs.items():
        if not trouble:
            await check(world, job, step)
            continue
        starts = len(runs_of(world, job))
        text = await state_of(world, job)
        print(job, text, "starts:", starts)
        if starts > MAX_STARTS:
            world.breaks("BUDGET:", job, "has started", starts, "times")
        if text != "failed":
            world.breaks("BUDGET:", job, text, "is not given up")


SCENARIOS = {"short": watch_short, "deadly": watch_deadly,
             "deadly-owner": watch_deadly}
folder = os.environ.get("KEEP_LOGS") or tempfile.mkdtemp(prefix="record-")
os.makedirs(folder, exist_ok=True)
run_case(folder, SCENARIOS.get(CASE, watch_victims), schedulers=7, minions=24,
         prepare=prepare)
