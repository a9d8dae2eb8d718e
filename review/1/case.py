"""Minions lose power for 0.6 s and start again under the id that they had,
while orders keep coming."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import run_case  # noqa: E402

MINIONS = 48
VICTIMS = 6        # 12.5%; the site's largest share is 14%
DARK_S = 0.6       # the site's longest is 4.5 s
PAUSE_S = 2.4
TRAFFIC_S = 50


async def lose_power(world, minion):
    minion.server.power_off()
    minion.go_down()
    await asyncio.sleep(DARK_S)
    minion.boot()
    minion.server.power_on()
    minion.publish()


async def scenario(world, trouble):
    rng = random.Random(int(os.environ.get("SEED", "1")))
    end = world.now() + TRAFFIC_S
    jobs = []

    async def traffic():
        while world.now() < end:
            job = f"{len(jobs) + 1:016x}"
            jobs.append(job)
            world.tasks.append(asyncio.create_task(world.submit(job, [
                {"count": 36, "cpu": 4000, "mem": 8000, "s": 0.4,
                 "extra": {"anti-affinity": 1}}])))
            await asyncio.sleep(0.25)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    while trouble and world.now() < end - 5:
        victims = rng.sample(world.minions, VICTIMS)
        await asyncio.gather(*[lose_power(world, m) for m in victims])
        await asyncio.sleep(PAUSE_S)
    await sender
    await asyncio.sleep(8)
    world.check_runs_after_done()
    completed = 0
    for job in jobs:
        _, text = await world.state(job)
        completed += text == "completed"
    print(f"{completed} of {len(jobs)} submissions completed")


run_case(HERE, scenario, schedulers=7, minions=MINIONS)
