"""A minion fails all that it runs: a gang is given up after its first run."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from collections import defaultdict
from pathlib import Path

from standin.case import run_case
from standin.estate import CannotRunError, Consumer, Estate
from standin.minions import Work

JOBS = 5
MEMBERS = 3
SECONDS = 0.6
MAX_ATTEMPTS = 3
FAILING_SECONDS = 6.0
FAILING = "i-pool-a-0"
QUEUE = {
    "name": "queue-a",
    "path-prefix": "/queue-a/",
    "service": "pool-a",
    "timeout-ms": 3000,
    "target-duration-ms": 100,
    "priority": 0,
    "max-attempts": MAX_ATTEMPTS,
    "stretch": 1.6,
}


async def story(estate: Estate, consumer: Consumer, trouble: bool) -> bool:
    """Hand in gangs while one of eight minions fails all that it runs."""
    await estate.open({"pool-a": 8}, 64_000, 262_144)
    estate.configure([QUEUE])
    await estate.start_entries(3)
    fails_until = time.monotonic() + FAILING_SECONDS if trouble else 0.0

    def fails(task: str, run: int, minion: str) -> bool:
        return minion == FAILING and time.monotonic() < fails_until

    paths: dict[str, str] = {}
    step = {
        "count": MEMBERS,
        "cpu": 3500,
        "mem-mb": 13000,
        "estimate-ms": 600,
        "gang": True,
    }
    for _ in range(JOBS):
        job = secrets.token_hex(8)
        paths[job] = f"/queue-a/{job}"
        estate.minions.works[f"{job}.0"] = Work(
            3500, 13000, SECONDS, count=MEMBERS, gang=True, fails=fails
        )
        if not await consumer.submit(paths[job], {"spec": "gang", "steps": [step]}):
            raise CannotRunError("a job was not accepted")
        await asyncio.sleep(0.5)
    broken = False
    for job, path in paths.items():
        state = await consumer.wait(path, {"done", "failed"}, 20)
        broken = _report(estate, job, state) or broken
    return broken


def _report(estate: Estate, job: str, state: str) -> bool:
    """Return whether a job is shown as failed after too few failed runs."""
    ends = [end for end in estate.minions.ends if end.task.startswith(job)]
    failed_runs = {end.run for end in ends if end.how == "failed"}
    by_unit: defaultdict[str, int] = defaultdict(int)
    for end in ends:
        by_unit[end.task] += end.how == "failed"
    most = max(by_unit.values(), default=0)
    estate.record.add(
        "result",
        job=job,
        state=state,
        failed_runs_of_the_gang=len(failed_runs),
        most_failed_runs_of_a_unit=most,
        max_attempts=MAX_ATTEMPTS,
    )
    return state == "failed" and max(len(failed_runs), most) < MAX_ATTEMPTS


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, story))
