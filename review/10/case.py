"""Submit one valid job with a tiny estimate, beside ordinary consumers."""

from __future__ import annotations

from pathlib import Path

from traffic import Case, World, run

ESTIMATE_MS = 1e-322
"""Above zero, and a thousandth of it is zero."""


async def async_disrupt(world: World) -> None:
    """Submit the job."""
    step = {"count": 1, "cpu": 1000, "mem-mb": 10, "estimate-ms": ESTIMATE_MS}
    await world.consumer.async_submit("/pool-a/", [step], "tiny")


if __name__ == "__main__":
    run(Case(async_disrupt, warm_up_seconds=20.0), Path(__file__).parent)
