"""Run a case: its story on a small deployment, with or without the disruption."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .estate import CannotRunError, Consumer, Estate
from .minions import Minions
from .record import Record

LIMIT_SECONDS = 115.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

Story = Callable[[Estate, Consumer, bool], Awaitable[bool]]
"""Plays a case and returns whether the rule was broken."""


def run_case(folder: Path, story: Story) -> int:
    """Play a case; return the exit code of its script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_run(folder, story, trouble))


async def _run(folder: Path, story: Story, trouble: bool) -> int:
    record = Record(folder / "record.txt")
    record.add("case", folder=folder.name, trouble=trouble)
    estate = Estate(record, Minions(record))
    consumer = Consumer(estate)
    try:
        broken = await asyncio.wait_for(story(estate, consumer, trouble), LIMIT_SECONDS)
        code = BROKEN if broken else HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("could_not_run", detail=repr(error))
        code = COULD_NOT_RUN
    finally:
        await consumer.close()
        await estate.close()
    record.add("verdict", code=code)
    record.close()
    verdict = {BROKEN: "rule broken", HELD: "rule held"}.get(code, "could not run")
    sys.stdout.write(f"case {folder.name}: {verdict}, exit code {code}\n")
    return code
