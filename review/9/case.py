"""A minion goes down and up by turns while a sound job needs its kind."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world2 import World, run_case  # noqa: E402

JOB = "00000000000000f1"
STEP = {"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 3000,
        "required-label": "g"}
WORK_S = 3.0
FLAP_S = 6.5            # `for_s` of srv_flap
PERIOD_S = 1.4          # its `gap_s`
DOWN_S = 0.7


def make(record):
    world = World(record, processes=3, minions=10)
    world.minions[0].kind = "g"
    return world


async def flap(world, minion):
    end = world.now() + FLAP_S
    while world.now() < end:
        world.note("minion", minion.number, "goes down")
        await minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.boot()
        world.note("minion", minion.number, "is up again, same id")
        await asyncio.sleep(PERIOD_S - DOWN_S)


async def play(world, trouble):
    for i in range(6):
        await world.submit("batch", "%016x" % (0xa00 + i), [
            {"count": 6, "cpu": 4000, "mem-mb": 4000, "est-ms": 3000}], [3.0])
    if not await world.submit("batch", JOB, [STEP], [WORK_S]):
        raise asyncio.TimeoutError
    await asyncio.sleep(0.5)
    if trouble:
        await flap(world, world.minions[0])
    state = None
    for _ in range(20):
        await asyncio.sleep(1)
        state = await world.state("batch", JOB)
        if state in ("completed", "failed"):
            break
    hows = [e[4] for e in world.ends.get(JOB, [])]
    world.note("it is", state, "after the ends", hows)
    if state in ("failed", "cancelled"):
        world.breaks_rule("LOST:", JOB, "is shown as", state,
                          "after ends", hows, "of which 0 are failed")


run_case(make, play)
