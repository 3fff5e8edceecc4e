"""An entry that claims the lead ends by itself when a peer does not answer in time.

The store turns one entry away, which then calls it through its peers. The entry that
leads freezes, so that the others claim its place. No process may end by itself.
"""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from rig import Entry, Rig, need, route, run_case

FOLDER = Path(__file__).resolve().parent
ZONES = {
    "edge-hall-fjord-1": "hall-fjord",
    "edge-hall-dal-1": "hall-dal",
    "edge-hall-myr-1": "hall-myr",
    "edge-hall-nes-1": "hall-nes",
}
OFTEN_FIRST = ("edge-hall-fjord-1", "edge-hall-dal-1")
"""The entries that usually claim first; one of four is turned away at a time."""

BODY = {
    "spec": "quick",
    "steps": [{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 300}],
}

AWAY_SECONDS = 3.0
"""The store turns machines away for no longer than 9 s."""

FROZEN_SECONDS = 2.2
"""A machine is frozen for no longer than 3.5 s."""

CALM_SECONDS = 0.2
PLAY_SECONDS = 92.0


def ended(entries: list[Entry]) -> list[Entry]:
    """Return the entries whose process ended by itself."""
    return [entry for entry in entries if not entry.alive]


async def async_case(rig: Rig, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(4):
        await rig.async_add_minion(f"m-{number}", "batch", rack=f"r{number // 2}")
    rig.put_config(1, [route("quick", "/quick/", "batch")])
    entries = await rig.async_start_entries(ZONES)
    until = time.monotonic() + PLAY_SECONDS
    number = 0
    while time.monotonic() < until and not ended(entries):
        number += 1
        accepted = await rig.async_submit(f"/quick/{number:016x}", BODY)
        need(accepted, "no job was accepted")
        if trouble:
            await async_disturb(rig)
        else:
            await asyncio.sleep(AWAY_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
    for entry in entries:
        for line in entry.lines("shard_claimed", "node_exited"):
            rig.record.write("log", entry=entry.name, line=line)
    for entry in ended(entries):
        await entry.async_wait_exit(1.0)
    rig.record.write("result", rounds=number, ended=len(ended(entries)))
    return not ended(entries)


async def async_disturb(rig: Rig) -> None:
    """Turn one entry away from the store while the one that leads is frozen."""
    leader = rig.owner()
    away = [rig.entries[name] for name in OFTEN_FIRST if name != leader][:1]
    for entry in away:
        rig.gates[entry.name] = "refusing"
        rig.record.write("store-turns-away", entry=entry.name)
    await asyncio.sleep(0.5)
    rig.entries[leader].send(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_SECONDS)
    rig.entries[leader].send(signal.SIGCONT)
    await asyncio.sleep(AWAY_SECONDS - 0.5 - FROZEN_SECONDS)
    for entry in away:
        rig.gates[entry.name] = "serving"
        rig.record.write("store-serves", entry=entry.name)


if __name__ == "__main__":
    run_case(FOLDER, async_case)
