"""Run the stand-in platform as a separate process."""

from __future__ import annotations

import anyio
import click
from anyio.abc import TaskGroup

from ..helpers.timer import LoopTimerService
from .running import parse_listen, run_until_signal


@click.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port")
@click.option("--appends-per-second", default=400.0, show_default=True)
@click.option("--burst", default=100.0, show_default=True, help="appends at once")
@click.option("--retention-entries", default=100_000, show_default=True)
@click.option("--retention-seconds", default=86_400.0, show_default=True)
@click.option("--listing-lag-seconds", default=2.0, show_default=True)
@click.option("--reboot-seconds", default=5.0, show_default=True)
def command(
    listen: str,
    appends_per_second: float,
    burst: float,
    retention_entries: int,
    retention_seconds: float,
    listing_lag_seconds: float,
    reboot_seconds: float,
) -> None:
    """Run the stand-in log, list and pool service until SIGTERM."""
    from ..standin.log import LogOptions
    from ..standin.platform import PlatformOptions, async_run_platform
    from ..standin.store import Retention

    host, port = parse_listen(listen)
    retention = Retention(retention_entries, retention_seconds)
    options = PlatformOptions(
        log=LogOptions(appends_per_second, burst, retention),
        listing_lag_seconds=listing_lag_seconds,
        reboot_seconds=reboot_seconds,
    )

    async def async_main(
        timers: LoopTimerService, tasks: TaskGroup, stop_requested: anyio.Event
    ) -> None:
        async with async_run_platform(timers, options, host, port) as running:
            click.echo(f"platform url={running.url}")
            await stop_requested.wait()

    run_until_signal(async_main)
