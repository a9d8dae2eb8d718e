#!/usr/bin/env python3
"""Small inputs of which an owner may keep much.

Three scheduler processes and eight workers of the stand-ins of review/. CASE
chooses what comes:
  tasks       jobs of 4,000 tasks that no worker is large enough for
  ended       jobs of 4,000 tasks that are cancelled at once
  cancels     cancellations of jobs that nobody has submitted
  manifests   manifests that replace all of their 500 queues
  bodies      jobs whose payloads and steps fill the largest body
  images      jobs that name an image each
COUNT says how many; the owner is killed once afterwards. Exits with 1 if a process
goes over its memory limit, or an ordinary job is not completed afterwards.
KEEP_LOGS names a folder for the logs.
"""

import asyncio
import json
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins-2"))
from world2 import World, run_case  # noqa: E402

CASE = os.environ.get("CASE", "tasks")
COUNT = int(os.environ.get("COUNT", "100"))
AT_ONCE = 8
USUAL = "%016x" % 0xabc
STEP = {"count": 10, "cpu": 1000, "mem-mb": 1000, "est-ms": 800}
HUGE = {"count": 4000, "cpu": 900000, "mem-mb": 1000, "est-ms": 800}


def job(number):
    return "%016x" % (0xd0000 + number)


async def submit(world, number):
    steps = {"tasks": [HUGE], "ended": [HUGE],
             "bodies": [dict(STEP, count=1, cpu=900000)] * 900,
             "images": [dict(STEP, cpu=900000, image="image-%d" % number)],
             }[CASE]
    more = {"spec": "x" * 4000} if CASE == "bodies" else {}
    for i, step in enumerate(steps):
        world.steps[(job(number), i)] = (step, 0.8)
    body = {"spec": "order", "steps": steps, **more}
    status, _ = await world.call(world.next_frontend().frontend, "POST",
                                 "/batch/" + job(number), body)
    if CASE == "ended":
        await delete(world, number)
    return status


async def delete(world, number):
    status, _ = await world.call(world.next_frontend().frontend, "DELETE",
                                 "/batch/" + job(number))
    return status


async def change_manifest(world, number):
    config = json.loads(
        world.store.part("keyed.op", 0).newest[b"config"][1].decode())
    routes = [r for r in config["routes"] if not r["name"].startswith("x-")]
    routes += [dict(routes[0], name="x-%d-%d" % (number, i),
                    **{"path-prefix": "/x-%d-%d/" % (number, i)})
               for i in range(500)]
    world.store.put("keyed.op", "config",
                    dict(config, version=config["version"] + 1, routes=routes))
    await asyncio.sleep(0.2)
    return 200


def note_memory(world, when):
    world.note(when, "memory", [round(p.memory_mb()) for p in world.processes],
               "records", {"/".join(map(str, k)): len(p.newest)
                           for k, p in world.store.parts.items() if p.newest},
               "kB", sum(len(v[1]) for p in world.store.parts.values()
                         for v in p.newest.values()) // 1000)


async def play(world, trouble):
    act = {"cancels": delete, "manifests": change_manifest}.get(CASE, submit)
    note_memory(world, "before")
    answers = {}
    for first in range(0, COUNT if trouble else 0, AT_ONCE):
        for status in await asyncio.gather(
                *[act(world, n)
                  for n in range(first, min(COUNT, first + AT_ONCE))]):
            answers[status] = answers.get(status, 0) + 1
    note_memory(world, "sent %s" % answers)
    await asyncio.sleep(3)
    note_memory(world, "3 s later")
    name, _ = await world.owner() or (None, 0)
    for process in world.processes:
        if process.name == name:
            process.process.send_signal(signal.SIGKILL)
    await asyncio.sleep(8)
    note_memory(world, "with another owner")
    await world.submit("quote", USUAL, [STEP], [0.8])
    await asyncio.sleep(6)
    state = await world.state("quote", USUAL)
    if state != "completed":
        world.breaks_rule("LOST:", USUAL, "is", state)
    killed = sum(p.killed_for_memory for p in world.processes)
    if killed:
        world.breaks_rule("Fault: over the memory limit", killed, "times")


run_case(lambda record: World(record, 3, 8), play)
