"""Run a long-lived command until it is told to end."""

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
    """Run ``main`` on one loop; its event is set by SIGTERM or SIGINT."""

    async def async_run() -> None:
        ended = anyio.Event()
        async with anyio.create_task_group() as tasks:
            timers = LoopTimerService(tasks)
            timers.start()
            tasks.start_soon(_async_watch, ended)
            await main(timers, tasks, ended)
            tasks.cancel_scope.cancel()

    anyio.run(async_run, backend="asyncio")


async def _async_watch(ended: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            ended.set()


def parse_listen(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    :raises click.BadParameter: if it is not of that form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"{text} is not host:port")
    return host, int(port)
