"""After large jobs in an outage of the store, no entry stores anything any more.

The jobs' bodies are within ``max-body-bytes``, their records are not within
``record-bytes``. They come in the moment in which the store falls silent.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig import BOUNDS, Entry, Rig, need, route, run_case

FOLDER = Path(__file__).resolve().parent
STEPS = 9300
LARGE = {"spec": "large", "steps": [{"count": 1, "estimate-ms": 5}] * STEPS}
LASTING = {
    "spec": "lasting",
    "steps": [
        {
            "count": 1,
            "cpu": 500,
            "mem-mb": 64,
            "estimate-ms": 300,
            "long-running": True,
            "may-miss": 1,
        }
    ],
}
SMALL = {
    "spec": "small",
    "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}],
}
DOWN_SECONDS = 4.0
"""The store is down for no longer than 4.5 s."""


async def async_case(rig: Rig, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(4):
        await rig.async_add_minion(f"m-{number}", "batch", rack=f"r{number // 2}")
    rig.put_config(1, [route("batch", "/batch/", "batch")])
    entries = await rig.async_start_entries(
        {"entry-1": "z1", "entry-2": "z2", "entry-3": "z3"}
    )
    lasting = [f"/batch/{number:016x}" for number in range(1, 7)]
    for path in lasting:
        need(await rig.async_submit(path, LASTING), "a job was not accepted")
    await asyncio.sleep(2.0)
    if trouble:
        rig.set_gates("silent")
    large = [
        asyncio.create_task(async_submit_large(rig, entry, number))
        for number, entry in enumerate(entries, start=1)
    ]
    await asyncio.sleep(DOWN_SECONDS)
    rig.set_gates("serving")
    await asyncio.gather(*large)
    await asyncio.sleep(BOUNDS["recovery-s"])
    cancels = [
        asyncio.create_task(async_cancel(rig, entries, number, path))
        for number, path in enumerate(lasting)
    ]
    answered = sum(await asyncio.gather(*cancels))
    small = 0
    for number, entry in enumerate(entries):
        status, _ = await rig.async_call(
            "POST", entry, f"/batch/{0xFF00 + number:016x}", SMALL
        )
        small += status == 200
    rig.record.write("result", cancels=len(lasting), answered=answered, small=small)
    return answered >= 0.9 * len(lasting)


async def async_submit_large(rig: Rig, entry: Entry, number: int) -> None:
    """Submit one large job, again after no answer or 504, at most five times."""
    path = f"/batch/{0xAA00 + number:016x}"
    for _ in range(5):
        status, _ = await rig.async_call("POST", entry, path, LARGE)
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(0.5)


async def async_cancel(rig: Rig, entries: list[Entry], number: int, path: str) -> bool:
    """Cancel a job at one entry after the other; return whether that is confirmed."""
    until = asyncio.get_running_loop().time() + 2 * BOUNDS["ack-ms"] / 1000
    while asyncio.get_running_loop().time() < until:
        entry = entries[number % len(entries)]
        number += 1
        status, _ = await rig.async_call("DELETE", entry, path)
        if status in (200, 410):
            return True
        await asyncio.sleep(0.5)
    return False


if __name__ == "__main__":
    run_case(FOLDER, async_case)
