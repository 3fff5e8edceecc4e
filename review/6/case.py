"""Sound minions get no work any more after entries of another writer were read.

Another writer puts one entry under the id of each minion. They lack the fields
``version``, ``slots``, ``seq``, ``cold-left-ms`` and ``born``, so that they name no
minion to use. Each minion writes its own entry again with its next status report.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from rig import BOUNDS, Minion, Rig, Run, need, route, run_case

FOLDER = Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
BODY = {
    "spec": "work",
    "steps": [{"count": 4, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}],
}


def write_foreign_entry(rig: Rig, minion: Minion) -> None:
    """Write an entry of another writer under a minion's id."""
    entry = {
        "service": minion.pool,
        "address": minion.address,
        "zone": minion.zone,
        "state": "draining",
        "capacity": {"cpu": minion.cpu, "mem-mb": minion.mem_mb, "gpu": 0},
        "labels": ["a", minion.rack],
    }
    value = json.dumps(entry).encode()
    rig.store.put("keyed.servers", minion.id, value)
    rig.record.write("foreign-entry", key=minion.id, value=value.decode())


async def async_case(rig: Rig, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    ran: set[str] = set()

    def note(what: str, minion: Minion, run: Run) -> None:
        if what == "done":
            ran.add(run.task)

    rig.on_run = note
    for number in range(4):
        await rig.async_add_minion(f"m-{number}", "batch", rack=f"r{number // 2}")
    rig.put_config(1, [route("batch", "/batch/", "batch")])
    await rig.async_start_entries({"entry-1": "z1", "entry-2": "z1", "entry-3": "z1"})
    need(await rig.async_submit("/batch/00000000000000aa", BODY), "not accepted")
    await asyncio.sleep(3.0)
    need(len(ran) == 4, "the first job did not run")
    if trouble:
        for minion in rig.minions.values():
            write_foreign_entry(rig, minion)
    # Two status reports (1.5 s each) and a stability window later.
    await asyncio.sleep(2 * 1.5 + BOUNDS["stability-window-ms"] / 1000)
    need(await rig.async_submit(f"/batch/{JOB}", BODY), "the job was not accepted")
    await asyncio.sleep(BOUNDS["finish_s"] + 3.0)
    status, answer = await rig.async_call(
        "GET", rig.entries["entry-1"], f"/batch/{JOB}"
    )
    own = [task for task in ran if task.startswith(JOB)]
    rig.record.write("result", status=status, answer=answer, own=len(own), owed=4)
    return len(own) == 4


if __name__ == "__main__":
    run_case(FOLDER, async_case)
