"""Run a stand-in worker."""

from __future__ import annotations

import anyio
import click
from anyio.abc import TaskGroup

from ..helpers.timer import LoopTimerService
from .running import parse_listen, run_until_signal


@click.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port")
@click.option("--instance-id", required=True)
@click.option("--data-centre", required=True)
@click.option("--rack", default="rack-1", show_default=True)
@click.option("--platform-url", default="", help="puts the worker on that list")
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=64, show_default=True)
def command(
    listen: str,
    instance_id: str,
    data_centre: str,
    rack: str,
    platform_url: str,
    slots: int,
    connections: int,
) -> None:
    """Run a stand-in worker until SIGTERM."""
    from ..standin.worker import WorkerOptions
    from ..standin.worker_app import async_run_worker

    host, port = parse_listen(listen)
    options = WorkerOptions(instance_id, data_centre, rack, slots, connections)

    async def async_main(
        timers: LoopTimerService, tasks: TaskGroup, stop_requested: anyio.Event
    ) -> None:
        async with async_run_worker(
            timers, options, platform_url, host, port
        ) as running:
            click.echo(f"worker instance={instance_id} address={running.address}")
            await stop_requested.wait()

    run_until_signal(async_main)
