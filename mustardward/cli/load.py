"""Generate a bounded load on entries."""

from __future__ import annotations

from typing import Any

import anyio
import click

from ..load.models import LoadPlan, Target
from .output import output_option, print_data

MAX_SECONDS = 600.0
MAX_RATE = 5000.0


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="caller URL")
@click.option(
    "--target",
    "targets",
    multiple=True,
    required=True,
    help="organisation/service; give several for a mix",
)
@click.option(
    "--rate", default=50.0, show_default=True, type=click.FloatRange(0.1, MAX_RATE)
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.1, MAX_SECONDS),
)
@click.option(
    "--urgent-share", default=0.7, show_default=True, type=click.FloatRange(0, 1)
)
@click.option(
    "--long-share", default=0.1, show_default=True, type=click.FloatRange(0, 1)
)
@click.option("--long-seconds", default=0.5, show_default=True)
@click.option("--timeout-seconds", default=30.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@output_option
def command(
    entries: tuple[str, ...],
    targets: tuple[str, ...],
    rate: float,
    seconds: float,
    urgent_share: float,
    long_share: float,
    long_seconds: float,
    timeout_seconds: float,
    seed: int,
    output: str,
) -> None:
    """Send a bounded mix of work to entries and print HdrHistogram percentiles."""
    plan = LoadPlan(
        entries=tuple(entry.rstrip("/") for entry in entries),
        targets=tuple(parse_target(target) for target in targets),
        rate=rate,
        seconds=seconds,
        urgent_share=urgent_share,
        long_share=long_share,
        long_seconds=long_seconds,
        timeout_seconds=timeout_seconds,
        seed=seed,
    )
    summary = anyio.run(_async_run, plan, backend="asyncio")
    print_data(summary, output, rows=_rows(summary))


def parse_target(text: str) -> Target:
    """Parse ``organisation/service``.

    :raises click.BadParameter: if it is not of that form.
    """
    organisation, _, service = text.partition("/")
    if not organisation or not service or "/" in service:
        raise click.BadParameter(f"{text} is not organisation/service")
    return Target(organisation, service)


async def _async_run(plan: LoadPlan) -> dict[str, Any]:
    import httpx

    from ..helpers.timer import LoopTimerService
    from ..load.runner import LoadRunner

    limits = httpx.Limits(max_connections=plan.max_in_flight)
    async with (
        anyio.create_task_group() as tasks,
        httpx.AsyncClient(limits=limits, trust_env=False) as client,
    ):
        result = await LoadRunner(plan, LoopTimerService(tasks), client).async_run()
    return result.summary()


def _rows(summary: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"class": name, **item} for name, item in summary["classes"].items()]
