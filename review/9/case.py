"""Submit a valid job that wants more than any fleet has, beside ordinary ones."""

from __future__ import annotations

from pathlib import Path

from traffic import Case, World, run

COUNT = 100_000
CPU = 2**53
"""Largest amounts that an entry accepts."""


async def async_disrupt(world: World) -> None:
    """Submit the job."""
    step = {"count": COUNT, "cpu": CPU}
    await world.consumer.async_submit("/pool-a/", [step], "large")


if __name__ == "__main__":
    run(Case(async_disrupt), Path(__file__).parent)
