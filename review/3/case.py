"""A burst of jobs on a queue with advice: most of them are never started."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

from standin.advice import Advice
from standin.case import run_case
from standin.estate import CannotRunError, Consumer, Estate
from standin.minions import Work

JOBS = 15
UNITS = 6
CPU, MEM_MB = 3_500, 13_000
SECONDS = 0.64
BURST_PER_SECOND = 15.0
CALM_PER_SECOND = 1.0
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
LATER_SECONDS = 20.0


async def story(estate: Estate, consumer: Consumer, trouble: bool) -> bool:
    """Hand in jobs at the rate of a burst, and ask for them 14 s later."""
    advice = Advice(estate.record, decide_ms=200, period_ms=20, valid_ms=3000)
    estate.minions.advice = advice
    await estate.open({"pool-a": 8}, 64_000, 262_144)
    estate.configure(
        [
            {
                "name": "queue-a",
                "path-prefix": "/queue-a/",
                "service": "pool-a",
                "timeout-ms": 3000,
                "target-duration-ms": 100,
                "priority": 0,
                "max-attempts": 3,
                "stretch": 1.6,
                "advice": advice.settings(),
            }
        ]
    )
    await estate.start_entries(3)
    per_second = BURST_PER_SECOND if trouble else CALM_PER_SECOND
    step = {"count": UNITS, "cpu": CPU, "mem-mb": MEM_MB, "estimate-ms": 640}
    jobs: list[str] = []
    began = time.monotonic()
    for number in range(JOBS):
        await asyncio.sleep(max(0.0, began + number / per_second - time.monotonic()))
        job = secrets.token_hex(8)
        jobs.append(job)
        estate.minions.works[f"{job}.0"] = Work(CPU, MEM_MB, SECONDS, count=UNITS)
        body = {"spec": "advised", "steps": [step]}
        if not await consumer.submit(f"/queue-a/{job}", body):
            raise CannotRunError("a job was not accepted")
    estate.record.add("handed_in", jobs=len(jobs))
    await asyncio.sleep(FINISH_SECONDS)
    idle = await _idle_jobs(estate, consumer, jobs, "finish")
    if idle:
        await asyncio.sleep(LATER_SECONDS)
        await _idle_jobs(estate, consumer, jobs, "later")
    return bool(idle)


async def _idle_jobs(
    estate: Estate, consumer: Consumer, jobs: list[str], when: str
) -> list[str]:
    """Return the jobs that aren't done, and of which nothing runs for 3 s.

    The pool is nearly idle meanwhile: each job has room many times over.
    """
    minions = estate.minions
    before = {end.task for end in minions.ends if end.how == "done"}
    open_jobs = {job for job in jobs if not _is_done(job, before)}
    most_cpu = 0
    until = time.monotonic() + IDLE_SECONDS
    while time.monotonic() < until:
        open_jobs -= set(minions.running())
        used = sum(minion.used_cpu for minion in minions.minions.values())
        most_cpu = max(most_cpu, used)
        await asyncio.sleep(0.01)
    states = {job: await consumer.state(f"/queue-a/{job}") for job in jobs}
    idle = [job for job in jobs if job in open_jobs and states[job] != "done"]
    total = sum(minion.cpu for minion in minions.minions.values())
    advice = minions.advice
    estate.record.add(
        "result",
        when=when,
        accepted=len(jobs),
        done=sum(state == "done" for state in states.values()),
        nothing_running_for_3_s=len(idle),
        most_cpu_in_use=most_cpu,
        cpu=total,
        advice_answered=advice.answered if advice else 0,
        advice_answered_to_nobody=advice.answered_to_nobody if advice else 0,
        advice_refused=advice.refused if advice else 0,
    )
    return idle if most_cpu < total / 2 else []


def _is_done(job: str, done: set[str]) -> bool:
    return all(f"{job}.0.0.{index}" in done for index in range(UNITS))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, story))
