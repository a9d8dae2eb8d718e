"""One submission among 21 has occurrences that are all due at once."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world2 import World, run_case  # noqa: E402

LARGE = "00000000000000b1"
USUAL = ["%016x" % (0xc00 + i) for i in range(20)]
STEP = {"count": 10, "cpu": 1000, "mem-mb": 1000, "est-ms": 800}
# Every minute; the first time is given in seconds in place of milliseconds,
# so that each occurrence was due in 1970.
EVERY_MINUTE = {"iterations": 100000, "interval-ms": 60000,
                "first-ms": 1796500000}
TRAFFIC_S = 3.0         # `for_s` of poison
FINISH_S = 14.0         # `finish_s`


async def ask(world, job):
    """Three tries of 3 s, the time budget, at one process after the other."""
    state = await world.state("quote", job, tries=3)
    if state is None:
        world.breaks_rule("LOST:", job, "was accepted and gets no answer")
    elif state == "410":
        world.breaks_rule("LOST:", job, "was accepted and isn't known")
    elif state != "completed":
        world.note(job, "is", state)


async def play(world, trouble):
    accepted = []
    for i, job in enumerate(USUAL):
        if trouble and i == 10:
            await world.submit("batch", LARGE, [STEP], [0.8], tries=1,
                               **EVERY_MINUTE)
        if await world.submit("quote", job, [STEP], [0.8], tries=2):
            accepted.append(job)
        await asyncio.sleep(TRAFFIC_S / len(USUAL))
    world.note("the traffic ends;", len(accepted), "usual submissions accepted")
    await asyncio.sleep(FINISH_S)
    await asyncio.gather(*[ask(world, job) for job in accepted])
    await asyncio.sleep(5)
    killed = sum(p.killed_for_memory for p in world.processes)
    ended = sum(p.ended_by_itself for p in world.processes)
    world.note("processes killed at the memory limit", killed,
               "times, ended by themselves", ended, "times")
    if killed >= 3:
        world.breaks_rule("Fault: processes went over the memory limit", killed,
                          "times")


run_case(lambda record: World(record, processes=3, minions=8), play)
