"""The owner is killed while minions end more work units than one answer lists."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from standin.case import run_case
from standin.estate import CannotRunError, Consumer, Estate
from standin.minions import Minions, Work

UNITS = 5_000
CPU, MEM_MB = 100, 400
SECONDS = 5.0
KILL_BEFORE_END_SECONDS = 0.5
DOWN_SECONDS = 3.0
QUEUE = {
    "name": "queue-a",
    "path-prefix": "/queue-a/",
    "service": "pool-a",
    "timeout-ms": 3000,
    "target-duration-ms": 100,
    "priority": 0,
    "max-attempts": 3,
    "stretch": 1.6,
}


async def story(estate: Estate, consumer: Consumer, trouble: bool) -> bool:
    """Hand in one job of small work units, and kill the owner before they end."""
    await estate.open({"pool-a": 8}, 64_000, 262_144)
    estate.configure([QUEUE])
    await estate.start_entries(3)
    job = secrets.token_hex(8)
    path = f"/queue-a/{job}"
    estate.minions.works[f"{job}.0"] = Work(CPU, MEM_MB, SECONDS, count=UNITS)
    step = {"count": UNITS, "cpu": CPU, "mem-mb": MEM_MB, "estimate-ms": 5000}
    if not await consumer.submit(path, {"spec": "count", "steps": [step]}):
        raise CannotRunError("the job was not accepted")
    await _all_started(estate.minions)
    if trouble:
        first = estate.minions.starts[0].at
        until = first + SECONDS - KILL_BEFORE_END_SECONDS
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        owner = estate.owner()
        if owner is None or estate.minions.ends:
            raise CannotRunError("no owner, or the work units ended too early")
        estate.hold_down(owner)
        owner.send(signal.SIGKILL)
        estate.record.add("killed", entry=owner.name)
        await asyncio.sleep(DOWN_SECONDS)
        estate.release(owner)
    state = await consumer.wait(path, {"done", "failed"}, 60)
    estate.record.add("job", state=state)
    if state != "done":
        raise CannotRunError(f"the job is {state or 'not answered'}")
    await asyncio.sleep(3)
    return _report(estate)


async def _all_started(minions: Minions) -> None:
    until = time.monotonic() + SECONDS - KILL_BEFORE_END_SECONDS
    while len(minions.starts) < UNITS:
        if time.monotonic() > until:
            raise CannotRunError(f"only {len(minions.starts)} work units started")
        await asyncio.sleep(0.02)


def _report(estate: Estate) -> bool:
    """Count starts after an end ``done`` that was taken note of then or later."""
    minions = estate.minions
    done: dict[str, float] = {}
    for end in minions.ends:
        if end.how == "done" and end.noted_at is not None:
            done[end.task] = min(end.at, done.get(end.task, end.at))
    again = [s for s in minions.starts if s.task in done and s.at > done[s.task]]
    listed = Counter(end.minion for end in minions.ends if end.how == "done")
    estate.record.add(
        "result",
        starts=len(minions.starts),
        ends=dict(Counter(end.how for end in minions.ends)),
        noted=sum(end.noted_at is not None for end in minions.ends),
        done_by_minion=dict(listed),
        starts_after_noted_done=len(again),
    )
    return bool(again)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, story))
