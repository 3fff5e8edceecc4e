"""Run a demonstration on an embedded fleet."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import anyio
import click

from .output import output_option, print_data

if TYPE_CHECKING:
    from ..embedded.demo import DemoLine

MAX_SECONDS: Final = 55.0


@click.command()
@click.option("--verbose", is_flag=True, help="Print the events of all parts.")
@output_option
def command(verbose: bool, output: str) -> None:
    """Run the product on an embedded stand-in platform and tell what happened.

    Exit codes: 0 if every step went as it has to, 1 if not.
    """
    from absl import logging as absl_logging

    level = absl_logging.INFO if verbose else absl_logging.FATAL
    absl_logging.set_verbosity(level)
    lines = anyio.run(_async_run, backend="asyncio")
    rows = [
        {
            "step": line.step,
            "ok": line.succeeded,
            "seconds": f"{line.seconds:.2f}",
            "what happened": line.outcome,
        }
        for line in lines
    ]
    print_data(rows, output)
    if not lines or not all(line.succeeded for line in lines):
        sys.exit(1)


async def _async_run() -> list[DemoLine]:
    from ..embedded.demo import DemoLine, async_run_demo
    from ..embedded.estate_demo import async_run_estate_demo
    from ..helpers.timer import LoopTimerService

    lines: list[DemoLine] = []
    with anyio.move_on_after(MAX_SECONDS) as scope:
        async with anyio.create_task_group() as tasks:
            lines = await async_run_demo(LoopTimerService(tasks))
            if all(line.succeeded for line in lines):
                lines.extend(await async_run_estate_demo())
            tasks.cancel_scope.cancel()
    if scope.cancelled_caught:
        lines.append(DemoLine("end", "took too long", MAX_SECONDS, False))
    return lines
