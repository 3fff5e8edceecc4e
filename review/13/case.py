"""Submit twelve valid jobs with many steps each, beside ordinary consumers."""

from __future__ import annotations

import json
import secrets
from pathlib import Path

from traffic import Case, World, run

JOBS = 12
STEPS = 21_000
"""Steps of a job; its body stays below ``max-body-bytes``, 262,144."""


async def async_disrupt(world: World) -> None:
    """Submit the jobs, one after the other."""
    job = {"spec": "steps", "steps": [{"count": 1}] * STEPS}
    body = json.dumps(job, separators=(",", ":")).encode()
    for _ in range(JOBS):
        await world.consumer.async_request(
            "POST", "/pool-a/" + secrets.token_hex(8), body, attempts=2
        )


if __name__ == "__main__":
    run(Case(async_disrupt), Path(__file__).parent)
