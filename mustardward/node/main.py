"""Run one entry node: command line, logging and signals."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from absl import flags
from absl import logging as absl_logging

from ..exceptions import MustardwardError, SettingsError
from ..helpers.bounded_output import BoundedOutput, open_output
from ..helpers.log_output import LibraryHandler, PairFormatter
from ..helpers.logging import get_logger
from ..helpers.policies import UnknownPolicyError, switch_off
from ..platform.boot import BootSettings, load_boot
from ..platform.exceptions import BootSettingsError
from .app import Node
from .settings import load_settings
from .signals import ProcessSignals

_LOGGER = get_logger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", "", "YAML file of the entry's own settings."
)

FLUSH_SECONDS = 0.1
"""Interval at which buffered log lines are written."""

MAX_WAKEUP_BYTES = 4096
"""Bytes read at once from the socket that signals write to."""


class UnexpectedExitError(MustardwardError):
    """Raised when an entry node ended without a stop signal."""

    code = "unasked-end"


async def async_main(
    boot: BootSettings, output: BoundedOutput, signals: ProcessSignals
) -> None:
    """Run one entry node until a stop is requested.

    :raises UnexpectedExitError: if a task was cancelled without a stop signal.
    """
    stop_requested = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_flush, output)
        node = Node(boot, tasks)
        with receive(signals, boot.node) as stop:
            await node.async_start()
            await stop.wait()
            stop_requested = True
            await node.async_shut_down()
            tasks.cancel_scope.cancel()
    if not stop_requested:
        # A task that is cancelled from elsewhere cancels the whole group. Without an
        # error, the exit would look like a planned one, with status 0.
        raise UnexpectedExitError("a task of the entry node was cancelled")


@contextmanager
def receive(signals: ProcessSignals, node: str) -> Iterator[anyio.Event]:
    """Act on signals in the event loop; return the event that a stop sets."""
    stop = anyio.Event()

    def act() -> None:
        if signals.take_reload():
            event = "reload_ignored" if stop.is_set() else "settings_reloaded"
            _LOGGER.info(event, node=node)
        if signals.take_stop():
            stop.set()

    def notify() -> None:
        loop.call_soon_threadsafe(act)

    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()
    with reader, writer:
        reader.setblocking(False)
        writer.setblocking(False)
        loop.add_reader(reader, reader.recv, MAX_WAKEUP_BYTES)
        try:
            with signals.notifying(notify, writer.fileno()):
                yield stop
        finally:
            loop.remove_reader(reader)


async def async_flush(output: BoundedOutput) -> None:
    """Write buffered log lines periodically, as far as the output accepts them."""
    while True:
        output.flush_some()
        await anyio.sleep(FLUSH_SECONDS)


def set_up_logging() -> BoundedOutput:
    """Log events to standard output as lines of key=value pairs; return the output."""
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    output = BoundedOutput(open_output(sys.stdout.fileno()), time.monotonic)
    output.setFormatter(PairFormatter())
    logging.getLogger("absl").handlers = [output]
    logging.getLogger("absl").propagate = False
    logging.getLogger().handlers = [LibraryHandler()]
    absl_logging.set_verbosity(absl_logging.INFO)
    return output


def parse_arguments(arguments: list[str]) -> None:
    """Parse the command line and apply the settings file of ``--settings``.

    :raises SettingsError: if a flag or the settings file is invalid.
    :raises UnknownPolicyError: if the settings name an unknown policy.
    """
    try:
        flags.FLAGS(arguments)
    except flags.Error as error:
        raise SettingsError(str(error)) from error
    switch_off(load_settings(_SETTINGS.value).policies_off)


def main(signals: ProcessSignals) -> None:
    """Run the entry node that the platform's settings file describes.

    :param signals: installed signal handlers.
    """
    output = set_up_logging()
    try:
        parse_arguments(sys.argv)
        boot = load_boot()
        anyio.run(async_main, boot, output, signals)
    except (BootSettingsError, SettingsError, UnknownPolicyError) as error:
        _LOGGER.error("settings_unusable", code=error.code, detail=error.detail)
        sys.exit(2)
    except UnexpectedExitError as error:
        _LOGGER.error("node_exited_unexpectedly", code=error.code, detail=error.detail)
        sys.exit(1)
    finally:
        output.flush_some()
