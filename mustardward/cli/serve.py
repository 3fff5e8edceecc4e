"""Run one entry process."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Final

import anyio
import click

from ..app import async_setup_entry
from ..components.keys import DRAIN, METRICS
from ..core import Core, Unload
from ..exceptions import MustardwardError, SettingsError
from ..helpers.log_output import set_up_logging
from ..helpers.logging import get_logger
from ..helpers.metrics import FLUSH_SECONDS, open_metrics
from ..helpers.timer import LoopTimerService
from ..settings.loader import load_settings
from ..settings.models import Settings

_LOGGER = get_logger(__name__)

EXIT_FAILED: Final = 1

GARBAGE_THRESHOLDS: Final = (10_000, 20, 100)
"""Allocations, young rounds and middle rounds before the next round of each age."""

Setup = Callable[[Core], Awaitable[list[Unload]]]


@click.command("serve")
@click.argument("settings_file", type=click.Path(path_type=Path))
@click.option("--verbose", is_flag=True, help="Log detail for fault finding, too.")
def command(settings_file: Path, verbose: bool) -> None:
    """Run an entry with the settings in SETTINGS_FILE until SIGTERM or SIGINT.

    Exit codes: 0 after a graceful stop, 1 if the settings have faults or the entry
    could not start (an address in use, a token file that can't be read).
    """
    set_up_logging(verbose)
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        click.echo(error.detail, err=True)
        sys.exit(EXIT_FAILED)
    try:
        anyio.run(partial(async_serve, settings), backend="asyncio")
    except* (MustardwardError, OSError) as failed:
        for failure in leaves(failed):
            _LOGGER.error(
                "entry_failed", error=error_code(failure), detail=str(failure)
            )
        sys.exit(EXIT_FAILED)


def leaves(group: BaseExceptionGroup[Exception]) -> Iterator[Exception]:
    """Yield the failures within a group and the groups in it."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from leaves(error)
        else:
            yield error


def error_code(error: Exception) -> str:
    """Return the stable code of a failure, or the name of its type."""
    if isinstance(error, MustardwardError):
        return error.code
    return type(error).__name__


async def async_serve(
    settings: Settings, async_setup: Setup = async_setup_entry
) -> None:
    """Run an entry until a signal asks it to leave.

    :param async_setup: sets the components up and returns their unloads in order.
    """
    async with anyio.create_task_group() as tasks:
        timers = LoopTimerService(tasks)
        timers.start()
        core = Core(settings, timers, tasks)
        metrics = open_metrics(settings.metrics, settings.entry.name)
        core.put(METRICS, metrics)
        timers.subscribe("metrics", FLUSH_SECONDS, metrics.async_flush)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            unloads = await async_setup(core)
            settle_garbage()
            _LOGGER.info(
                "entry_started",
                entry=settings.entry.name,
                data_centre=settings.entry.data_centre,
            )
            received = await anext(aiter(signals))
            _LOGGER.info("entry_leaving", signal=received.name)
            await async_leave(core)
            for unload in unloads:
                await unload()
        tasks.cancel_scope.cancel()
    _LOGGER.info("entry_stopped", entry=settings.entry.name)


def settle_garbage() -> None:
    """Take what was set up out of the collector's rounds.

    A full round walks every object that the process holds, most of them modules that
    stay for ever. It stops the loop for tens of milliseconds, which shows as a p99
    far above the median at an even load.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


async def async_leave(core: Core) -> None:
    """Drain the entry while operators can still watch it."""
    drain = core.find(DRAIN)
    if drain is not None:
        await drain.async_run()
