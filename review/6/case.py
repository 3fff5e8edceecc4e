"""A timed job, many of whose times have come, stops the jobs of all queues.

The job runs each minute, 20,160 times, one step of one small work unit. It is handed in
with its first time two weeks ago (``TROUBLE=0``: now). Its work is 1,008 core-seconds.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from rig import BOUNDS, Minion, Rig, Run, need, route, run_case

FOLDER = Path(__file__).resolve().parent
TIMES = 14 * 24 * 60
TIMED = "5c0e7a21d94b36f8"
SMALL_JOBS = 20
SMALL = {
    "spec": "small",
    "steps": [{"count": 2, "cpu": 500, "mem-mb": 64, "estimate-ms": 200}],
}


async def async_case(rig: Rig, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    begun: set[str] = set()

    def note(what: str, minion: Minion, run: Run) -> None:
        if what == "start":
            begun.add(run.task)

    rig.on_run = note
    for number in range(4):
        await rig.async_add_minion(f"m-{number}", "batch", cpu=64000)
    for number in range(2):
        await rig.async_add_minion(f"o-{number}", "other", rack="r2", cpu=64000)
    routes = [route("batch", "/batch/", "batch"), route("other", "/other/", "other")]
    rig.put_config(1, routes)
    await rig.async_start_entries({"entry-1": "z1", "entry-2": "z2", "entry-3": "z3"})
    age_seconds = TIMES * 60 if trouble else 0
    timed = {
        "spec": "each minute",
        "steps": [{"count": 1, "cpu": 500, "mem-mb": 8, "estimate-ms": 100}],
        "times": TIMES,
        "start-at-ms": int((time.time() - age_seconds) * 1000),
        "interval-ms": 60000,
    }
    need(await rig.async_submit(f"/batch/{TIMED}", timed), "the job was not accepted")
    accepted: list[str] = []

    async def async_submit(name: str) -> None:
        if await rig.async_submit(f"/other/{name}", SMALL, 15.0):
            accepted.append(name)

    tasks = []
    for number in range(SMALL_JOBS):
        tasks.append(asyncio.create_task(async_submit(f"{0xB00 + number:016x}")))
        await asyncio.sleep(1.0)
    await asyncio.gather(*tasks)
    await asyncio.sleep(BOUNDS["finish_s"] + 3.0)
    idle = [job for job in accepted if not any(task.startswith(job) for task in begun)]
    for entry in rig.entries.values():
        rig.record.write(
            "log",
            entry=entry.name,
            owner_started=entry.count("event=owner_started"),
            owner_paused=entry.count("event=owner_paused"),
            owner_deposed=entry.count("event=owner_deposed"),
        )
    timed_runs = sum(task.startswith(TIMED) for task in begun)
    rig.record.write(
        "result", accepted=len(accepted), never_begun=len(idle), timed_runs=timed_runs
    )
    need(bool(accepted), "no small job was accepted")
    return not idle


if __name__ == "__main__":
    run_case(FOLDER, async_case)
