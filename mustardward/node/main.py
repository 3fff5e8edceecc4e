"""Run one entry: its arguments, its log, its signals."""

from __future__ import annotations

import logging
import signal
import sys
import time

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

_LOGGER = get_logger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", "", "YAML file of the entry's own settings."
)

FLUSH_SECONDS = 0.1
"""Interval of writing log lines."""


class UnexpectedExitError(MustardwardError):
    """Report that an entry ended though nobody asked for it."""

    code = "unasked-end"


async def async_main(boot: BootSettings, output: BoundedOutput) -> None:
    """Run one entry until it is told to stop.

    :raises UnaskedEndError: if it ended though nobody asked for it.
    """
    asked = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_flush, output)
        node = Node(boot, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            await node.async_start()
            async for number in signals:
                if number == signal.SIGTERM:
                    asked = True
                    break
                _LOGGER.info("settings_reloaded", node=boot.node)
        await node.async_shut_down()
        tasks.cancel_scope.cancel()
    if not asked:
        # A part that is cancelled by anything but this entry takes all others along.
        # Without a word, and with code 0, its end could be told from no planned one.
        raise UnexpectedExitError("a part of the entry was cancelled")


async def async_flush(output: BoundedOutput) -> None:
    """Write log lines as the reader takes them."""
    while True:
        output.flush_some()
        await anyio.sleep(FLUSH_SECONDS)


def set_up_logging() -> BoundedOutput:
    """Collect events for standard output, a line of pairs for each."""
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    output = BoundedOutput(open_output(sys.stdout.fileno()), time.monotonic)
    output.setFormatter(PairFormatter())
    logging.getLogger("absl").handlers = [output]
    logging.getLogger("absl").propagate = False
    logging.getLogger().handlers = [LibraryHandler()]
    absl_logging.set_verbosity(absl_logging.INFO)
    return output


def read_arguments(arguments: list[str]) -> None:
    """Take in the command line: ``--settings FILE``, the entry's own settings.

    :raises SettingsError: if it names what there is not.
    """
    try:
        flags.FLAGS(arguments)
    except flags.Error as error:
        raise SettingsError(str(error)) from error
    switch_off(load_settings(_SETTINGS.value).policies_off)


def main() -> None:
    """Run the entry that the settings file describes."""
    output = set_up_logging()
    try:
        read_arguments(sys.argv)
        boot = load_boot()
        anyio.run(async_main, boot, output)
    except (BootSettingsError, SettingsError, UnknownPolicyError) as error:
        _LOGGER.error("settings_unusable", code=error.code, detail=error.detail)
        sys.exit(2)
    except UnexpectedExitError as error:
        _LOGGER.error("node_ended_unasked", code=error.code, detail=error.detail)
        sys.exit(1)
    finally:
        output.flush_some()
