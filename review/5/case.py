"""Minions of one kind refuse all starts for 6.5 s while submissions wait for
them; all machines are asked how many submissions wait."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import run_case  # noqa: E402

MINIONS = 48
GREY = 4           # 8.3%; the site's largest share is 10%
GREY_S = 6.5       # as in the site file
JOBS = 12
ROUNDS = 4
VISIBLE_S = 3.0    # visible_ms
SLACK_S = 2.0      # "over visible_ms + 2 s"


def prepare(world):
    for minion in world.minions[:GREY]:
        minion.kind = "b"


def has_begun(world, job):
    return any(task.startswith(job + ".") for task in world.runs)


async def scenario(world, trouble):
    number = 0
    for _ in range(ROUNDS):
        if trouble:
            for minion in world.minions[:GREY]:
                minion.refuse_starts = True
            world.note("minions of kind b refuse starts")
        grey_until = world.now() + GREY_S
        jobs = []
        for _ in range(JOBS):
            number += 1
            job = f"{number:016x}"
            if await world.submit(job, [
                    {"count": 2, "cpu": 4000, "mem": 8000, "s": 0.8,
                     "extra": {"required-label": "b"}}]):
                jobs.append(job)
        while world.now() < grey_until:
            for scheduler in world.schedulers:
                asked = time.monotonic()
                owed = [job for job in jobs if not has_begun(world, job) and
                        asked - world.acked[job] > VISIBLE_S + SLACK_S]
                count = await world.waiting(scheduler)
                if count is not None and 2 * count < len(owed) and \
                        not any(has_begun(world, job) for job in owed):
                    world.breaks("MIXED:", scheduler.name, "gives", count,
                                 "as waiting;", len(owed), "submissions were",
                                 "accepted over 5 s before and have not begun")
            await asyncio.sleep(0.25)
        for minion in world.minions[:GREY]:
            minion.refuse_starts = False
        world.note("minions of kind b take starts")
        await asyncio.sleep(4)
        for job in jobs:
            _, text = await world.state(job)
            if text != "completed":
                print("not completed:", job, text)


run_case(HERE, scenario, prepare=prepare, schedulers=7, minions=MINIONS)
