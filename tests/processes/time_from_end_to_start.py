#!/usr/bin/env python3
"""Measures how long a place on a worker stays open while tasks wait for it.

Long-running tasks fill the workers of the stand-ins of review/, and more wait
than have room; about 25 of them end a second, done, failed, or stopped after
their job is cancelled. Both times are taken on the worker: the end of a run
there, and the arrival of the next start of a long-running task there. Prints,
by kind of end, 50, 90 and 99% in ms of the parts
  listed   from the end until a listing's answer leaves the worker with it
  owner    from there until the next start arrives
  open     both
and how many ends found a listing waiting on their worker. Figures only: the
exit status is 1 if a rule of the platform is broken, such as a task that runs
twice. WORKERS is their number, FAR_MS the time one way of each call to one,
BUSY how many short tasks a second are submitted besides, SEED varies the times,
KEEP_LOGS names a folder for the logs.
"""

import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins-2"))
from world2 import Minion, World, run_case  # noqa: E402

WORKERS = int(os.environ.get("WORKERS", "150"))
FAR_S = float(os.environ.get("FAR_MS", "0")) / 1000
BUSY = int(os.environ.get("BUSY", "0"))
RNG = random.Random(int(os.environ.get("SEED", "1")))
FILL_S = 8.0
MEASURE_S = 35.0
PLACES = 4              # of 64 cores; a fifth task does not fit
TASKS = 8               # of a job
LASTING = {"count": TASKS, "cpu": 14500, "mem-mb": 4000, "long-running": True}
SHORT = {"count": 10, "cpu": 500, "mem-mb": 100, "est-ms": 300}
KINDS = ("done", "failed", "stopped")


class MeasuredMinion(Minion):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.places = []    # of ended runs: [end, kind, listing waited, listed]
        self.unlisted = {}  # number of the end: its place
        self.holds = 0

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(FAR_S)
        answer = await super().handle(method, path, query, headers, body)
        await asyncio.sleep(FAR_S)
        return answer

    def advance(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.world.kinds.get(run.task.split(".")[0]) == "failed" and \
                    run.work_done(now) >= run.work_s:
                self.end(run, "failed")
        super().advance()

    def end(self, run, how):
        super().end(run, how)
        if run.spec.get("long-running"):
            place = [time.monotonic(), how, self.holds > 0, None]
            self.places.append(place)
            self.unlisted[self.ends] = place

    async def hold(self, order):
        self.holds += 1
        try:
            answer = await super().hold(order)
        finally:
            self.holds -= 1
        for row in self.ended:
            place = self.unlisted.pop(row[0], None)
            if place:
                place[3] = time.monotonic()
        return answer


def make(record):
    world = World(record, 3, 0)
    world.minions = [MeasuredMinion(world, i) for i in range(WORKERS)]
    world.kinds = {}        # of long-running jobs
    world.refilled = []     # (kind, listing waited, listed, start), after the end
    world.lags = []
    world.measuring = False
    step_of = world.step_of

    def varied_step_of(task):
        spec, work_s = step_of(task)
        return spec, work_s and RNG.uniform(0.25, 1.75) * work_s

    def note_start(minion, run):
        if not run.spec.get("long-running") or not minion.places:
            return
        end, kind, waited, listed = minion.places.pop(0)
        # A start that was sent before the end was listed has another place.
        if listed is not None and world.measuring:
            world.refilled.append((kind, waited, listed - end,
                                   time.monotonic() - end))

    world.step_of = varied_step_of
    world.start_hook = note_start
    return world


async def submit_services(world):
    """Three times as many tasks as there are places."""
    jobs = []
    for number in range(3 * PLACES * WORKERS // TASKS):
        job = "%016x" % (0xa000 + number)
        world.kinds[job] = KINDS[number % 3]
        jobs.append(job)
    for i in range(0, len(jobs), 6):
        await asyncio.gather(*[
            world.submit("quote", job, [LASTING],
                         [None if world.kinds[job] == "stopped" else 20.0])
            for job in jobs[i:i + 6]])


async def cancel_services(world):
    while True:
        await asyncio.sleep(1.0)
        running = [job for job, kind in world.kinds.items()
                   if kind == "stopped" and len(world.starts.get(job, [])) == TASKS
                   and job not in world.ends]
        if running:
            await world.call(world.next_frontend().frontend, "DELETE",
                             "/quote/" + RNG.choice(running))


async def submit_short_work(world):
    number = 0
    while BUSY:
        number += 1
        job = "%016x" % (0xb00000 + number)
        asyncio.ensure_future(world.submit("quote", job, [SHORT], [0.3], tries=1))
        await asyncio.sleep(SHORT["count"] / BUSY)


async def watch_own_lag(world):
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.01)
        if world.measuring:
            world.lags.append(time.monotonic() - before - 0.01)


def shares(values):
    values = sorted(values)
    if not values:
        return "-"
    return "/".join("%.0f" % (1000 * values[min(len(values) - 1,
                                                int(len(values) * share))])
                    for share in (0.5, 0.9, 0.99))


def report(world):
    starts = sum(len(runs) for runs in world.starts.values())
    print("%d workers, %g ms away, %d short tasks a second, %d starts in all; "
          "lag of the stand-ins %s ms" % (WORKERS, 1000 * FAR_S, BUSY, starts,
                                          shares(world.lags)))
    for kind in KINDS + (None,):
        rows = [row for row in world.refilled if kind in (None, row[0])]
        waited = [row for row in rows if row[1]]
        print("%-8s %4d ends, %4d with a listing waiting; listed %s, owner %s, "
              "open %s" % (kind or "all", len(rows), len(waited),
                           shares([row[2] for row in rows]),
                           shares([row[3] - row[2] for row in rows]),
                           shares([row[3] for row in rows])))
    waiting = [row for row in world.refilled if row[1]]
    others = [row for row in world.refilled if not row[1]]
    print("open: with a listing waiting %s, without %s" % (
        shares([row[3] for row in waiting]), shares([row[3] for row in others])))


async def play(world, trouble):
    await submit_services(world)
    await asyncio.sleep(FILL_S)
    for work in (cancel_services, submit_short_work, watch_own_lag):
        world.background.append(asyncio.create_task(work(world)))
    await asyncio.sleep(3)
    world.measuring = True
    await asyncio.sleep(MEASURE_S)
    world.measuring = False
    report(world)


run_case(make, play)
