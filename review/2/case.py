"""Two minions crash, one after the other, each while it runs the same sound
task."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import run_case  # noqa: E402

MINIONS = 48
ROUNDS = 4
CRASHES = 2        # of 48 minions; one at a time (2%)
DOWN_S = 3.0       # the site's longest is 4.5 s
RUN_BEFORE_CRASH_S = 0.7


async def crash(world, minion):
    """The process dies; the machine starts another one with another id."""
    minion.go_down()
    minion.server.crash()
    world.store.put("keyed.servers", minion.id, None)
    await asyncio.sleep(DOWN_S)
    minion.id = f"{minion.id}-{int(time.monotonic() * 1000) % 10000}"
    minion.boot()
    minion.publish()


async def run_of(world, task, number):
    """The run of the task with this number, once it has started."""
    while True:
        for run in world.runs.get(task, []):
            if run.run == number:
                return run
        await asyncio.sleep(0.02)


async def scenario(world, trouble):
    for number in range(1, ROUNDS + 1):
        job = f"{number:016x}"
        await world.submit(job, [
            {"count": 2, "cpu": 12000, "mem": 20000, "s": 1.6,
             "extra": {"anti-affinity": 1}}])
        for attempt in range(1, CRASHES + 1):
            run = await run_of(world, f"{job}.0.0.0", attempt)
            await asyncio.sleep(RUN_BEFORE_CRASH_S)
            if not trouble:
                break
            if run.ended is None:
                world.tasks.append(
                    asyncio.create_task(crash(world, run.minion)))
        # Beyond the period in which earlier crashes count.
        await asyncio.sleep(9)
        _, text = await world.state(job)
        ends = [f"{run.task}#{run.run}:{run.how}"
                for task, runs in world.runs.items()
                if task.startswith(job) for run in runs]
        print(job, text, " ".join(ends))
        if text == "failed" and world.failed_ends(job) == 0:
            world.breaks("LOST:", job, "is shown as failed;",
                         "no run of it has ended failed:", " ".join(ends))


run_case(HERE, scenario, schedulers=7, minions=MINIONS)
