"""Run a long-running command until a signal stops it."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import anyio
import click
from anyio.abc import TaskGroup

from ..helpers.timer import LoopTimerService


def run_until_signal(
    main: Callable[[LoopTimerService, TaskGroup, anyio.Event], Awaitable[None]],
) -> None:
    """Run ``main`` in an event loop; SIGTERM or SIGINT sets its event."""

    async def async_run() -> None:
        stop_requested = anyio.Event()
        async with anyio.create_task_group() as tasks:
            timers = LoopTimerService(tasks)
            timers.start()
            tasks.start_soon(_async_wait_for_signal, stop_requested)
            await main(timers, tasks, stop_requested)
            tasks.cancel_scope.cancel()

    anyio.run(async_run, backend="asyncio")


async def _async_wait_for_signal(stop_requested: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop_requested.set()


def parse_listen(text: str) -> tuple[str, int]:
    """Parse ``host:port``.

    :raises click.BadParameter: if it is not of that form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"{text} is not host:port")
    return host, int(port)
