"""Measure how soon a new owner starts work, by the number of workers that it meets.

``python -m bench.first_tasks [WORKERS ...]`` prints a line for each size: when the
entry was ready, when a job was taken in, and when its 50 short tasks were told as done.
The entry and its platform share this process, so that large sizes are slower here than
on machines of their own: compare versions with each other. It ends with 1 if a job is
not done within a minute.
"""

from __future__ import annotations

import sys
import time
from typing import Final

import anyio

from mustardward.embedded.estate import HOST, async_run_entries
from mustardward.embedded.thread_context import async_run_in_thread
from mustardward.platform.models import SubmittedStep
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import EstatePlan

WORKERS: Final = (300, 900, 3000)
POOLS: Final = ("pool-a", "pool-b", "pool-c")
STANDBY: Final = 4
TASKS: Final = 50
LONGEST_SECONDS: Final = 60.0


async def async_measure(workers: int) -> bool:
    """Print the times for one size; return whether the job was done in time."""
    plan = EstatePlan(pools=POOLS, instances=workers // len(POOLS), standby=STANDBY)
    times: list[tuple[str, float]] = []
    done = False
    async with async_run_in_thread(async_run_estate(plan, HOST)) as estate:
        began = time.monotonic()

        def note(name: str) -> None:
            times.append((name, time.monotonic() - began))

        async with async_run_entries(estate, plan, 1) as fleet:
            note("ready")
            step = SubmittedStep(count=TASKS, cpu=1000, mem_mb=10, estimate_ms=150)
            path = await fleet.async_submit(f"/{POOLS[0]}/", [step])
            note("accepted")
            with anyio.move_on_after(LONGEST_SECONDS):
                await fleet.async_wait_state(path, "done")
                note("done")
                done = True
    told = " ".join(f"{name}={seconds:.2f}" for name, seconds in times)
    sys.stdout.write(f"workers={workers} {told}\n")
    return done


def main() -> None:
    """Measure the sizes that the command line names, or the usual ones."""
    sizes = [int(text) for text in sys.argv[1:]] or list(WORKERS)
    results = [anyio.run(async_measure, size) for size in sizes]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
