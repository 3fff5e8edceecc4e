"""Submit one valid job with many work units, beside ordinary consumers."""

from __future__ import annotations

from pathlib import Path

from traffic import Case, World, run

STEPS = 20
COUNT = 100_000
"""Work units of a step; an entry accepts as many."""


async def async_disrupt(world: World) -> None:
    """Submit the job."""
    step = {"count": COUNT, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}
    await world.consumer.async_submit("/pool-a/", [step] * STEPS, "large")


if __name__ == "__main__":
    run(Case(async_disrupt), Path(__file__).parent)
