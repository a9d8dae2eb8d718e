"""Minions lose power for 0.6 s and start again under the id that they had. Four
seconds later they are cut off for 5.5 s and run on."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import run_case  # noqa: E402

MINIONS = 48
VICTIMS = 6        # 12.5%; the site's largest share is 14% for crashes
DARK_S = 0.6       # the site's longest is 4.5 s
CUT_AFTER_S = 4.0
CUT_S = 5.5        # as in the site file
ROUNDS = 4
ROUND_S = 19


async def lose_power(world, minion):
    minion.server.power_off()
    minion.go_down()
    await asyncio.sleep(DARK_S)
    minion.boot()
    minion.server.power_on()
    minion.publish()


async def cut_off(world, minion):
    world.note("minion", minion.id, "cut off")
    minion.server.cut()
    await asyncio.sleep(CUT_S)
    minion.server.heal()
    world.note("minion", minion.id, "reachable")


async def scenario(world, trouble):
    rng = random.Random(int(os.environ.get("SEED", "1")))
    number = 0
    long_jobs = set()

    def submit(step):
        nonlocal number
        number += 1
        if step["s"] > 1:
            long_jobs.add(f"{number:016x}")
        world.tasks.append(asyncio.create_task(
            world.submit(f"{number:016x}", [step])))

    async def short_work(seconds):
        until = world.now() + seconds
        while world.now() < until:
            submit({"count": 36, "cpu": 4000, "mem": 8000, "s": 0.4,
                    "extra": {"anti-affinity": 1}})
            await asyncio.sleep(0.25)

    for _ in range(ROUNDS):
        began = world.now()
        victims = rng.sample(world.minions, VICTIMS)
        traffic = asyncio.create_task(short_work(2.7))
        await asyncio.sleep(1)
        if trouble:
            world.tasks += [asyncio.create_task(lose_power(world, minion))
                            for minion in victims]
        await traffic
        await asyncio.sleep(0.4)
        for _ in range(6):
            submit({"count": 32, "cpu": 14000, "mem": 26000, "s": 7.9})
        await asyncio.sleep(began + 1 + CUT_AFTER_S - world.now())
        if trouble:
            world.tasks += [asyncio.create_task(cut_off(world, minion))
                            for minion in victims]
        await asyncio.sleep(began + ROUND_S - world.now())
    # What the restart alone does to the short tasks is case 1.
    world.broken = [text for text in world.broken
                    if text.split()[1].split(".")[0] in long_jobs]


run_case(HERE, scenario, schedulers=7, minions=MINIONS)
