"""Handle an entry's signals from the first line of the program to its last.

A signal without a handler ends the process. This module is imported before the others,
which take much longer than it does, and therefore not even imports ``typing``.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP

STOPPED_EXIT_CODE = 0
_STANDARD_OUTPUT = 1


class ProcessSignals:
    """Keep the signals of the process until there is something to act on them.

    Until then, a stop ends the process at once, since it has not begun to serve.
    """

    def __init__(self) -> None:
        self._is_starting = True
        self._stop_requested = False
        self._reload_requested = False
        self._notify: Callable[[], None] | None = None

    def install(self) -> None:
        """Set the handlers, which stay until ``ignore``."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._handle)

    def ignore(self) -> None:
        """Ignore signals while the interpreter exits.

        It replaces handlers that are written in Python by the default action, which
        ends the process, but not this.
        """
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    def take_stop(self) -> bool:
        """Return whether a stop was requested since the last call."""
        requested, self._stop_requested = self._stop_requested, False
        return requested

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested, self._reload_requested = self._reload_requested, False
        return requested

    @contextmanager
    def notifying(self, notify: Callable[[], None], wakeup_fd: int) -> Iterator[None]:
        """Tell of each signal, and from now on keep stops as well.

        :param notify: called in the handler, and once for the signals kept so far.
        :param wakeup_fd: is written to at each signal, without blocking. Otherwise one
            that comes just before a wait would be handled only after it.
        """
        previous = signal.set_wakeup_fd(wakeup_fd, warn_on_full_buffer=False)
        self._notify = notify
        self._is_starting = False
        notify()
        try:
            yield
        finally:
            self._notify = None
            signal.set_wakeup_fd(previous)

    def _handle(self, number: int, _frame: FrameType | None) -> None:
        if number == RELOAD_SIGNAL:
            self._reload_requested = True
        elif self._is_starting:
            _end_at_once(number)
        else:
            self._stop_requested = True
        if self._notify is not None:
            self._notify()


def _end_at_once(number: int) -> None:
    # An exception would be lost in a callback of the import system.
    name = signal.Signals(number).name
    line = (
        f"time={time.time():.3f} level=info event=stopped_while_starting"
        f" part=node.signals signal={name}\n"
    )
    try:
        os.set_blocking(_STANDARD_OUTPUT, False)
        os.write(_STANDARD_OUTPUT, line.encode())
    except OSError:
        pass
    os._exit(STOPPED_EXIT_CODE)
