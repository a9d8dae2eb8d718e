"""A task that crashes each minion that starts it; each comes back under another
id and address."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world2 import Minion, World, run_case  # noqa: E402

DEADLY = "%016x" % 0xdead
MOST_STARTS = 5         # three crashes, and less than three starts more
WATCH_S = 70
DOWN_S = 3.0            # "the minion is back after some seconds"
PING_S = 1.5            # an entry is removed after three of them


async def crash(world, minion):
    await asyncio.sleep(0.05)
    if not minion.up:
        return
    await minion.crash()
    await asyncio.sleep(DOWN_S)
    next_life = Minion(world, len(world.minions) + 100)
    next_life.rack = minion.rack
    world.minions.append(next_life)
    await next_life.boot()
    await asyncio.sleep(3 * PING_S - DOWN_S)
    world.store.put("keyed.servers", minion.id, None)


async def play(world, trouble):
    def react(minion, run):
        if trouble and run.task.startswith(DEADLY):
            world.background.append(asyncio.create_task(crash(world, minion)))
    world.start_hook = react
    await world.submit("batch", DEADLY, [
        {"count": 1, "cpu": 2000, "mem-mb": 2000, "est-ms": 1000}], [1.0])
    end = world.now() + WATCH_S
    state = None
    while world.now() < end and state not in ("completed", "failed"):
        await asyncio.sleep(2)
        state = await world.state("batch", DEADLY)
    starts = len(world.starts.get(DEADLY, []))
    world.note(starts, "starts; the submission is", state)
    if starts > MOST_STARTS:
        world.breaks_rule("BUDGET:", starts, "starts of a task under which each",
                          "minion crashed; it is", state)


run_case(lambda record: World(record, processes=3, minions=10), play)
