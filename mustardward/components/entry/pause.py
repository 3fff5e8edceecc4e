"""Hold dispatch back after the process was paused."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from anyio.abc import TaskGroup

from ...helpers.logging import get_logger
from ...helpers.timer import PAUSE_THRESHOLD_SECONDS, TimerService
from ...state.protocols import FleetLog

_LOGGER = get_logger(__name__)

BEAT_SECONDS: Final = 0.25
LONGEST_BEAT_SECONDS: Final = BEAT_SECONDS + PAUSE_THRESHOLD_SECONDS
CONFIRM_SECONDS: Final = 5.0
WAIT_SECONDS: Final = 2.0
STEP_SECONDS: Final = 0.05


class PauseGuard:
    """Know whether the picture of the fleet was confirmed since the last pause.

    A process that was stopped goes on with requests as if nothing had happened, while
    its workers may belong to another pool by now. It shows as work in a pool that has
    not owned the worker for a while. The service that watches for pauses runs as one
    task among many, and others may run before it; so each dispatch looks at the beat
    itself.

    :param log: the fleet's log, whose tail (or a peer that is ahead) confirms.
    """

    def __init__(self, log: FleetLog, timers: TimerService, tasks: TaskGroup) -> None:
        self._log = log
        self._timers = timers
        self._tasks = tasks
        self._last_beat = timers.monotonic()
        self._paused_at: float | None = None

    def start(self) -> list[Callable[[], None]]:
        """Begin to beat; return what ends it."""
        return [
            self._timers.subscribe("entry.pause", BEAT_SECONDS, self._async_beat),
            self._timers.subscribe_pause(self._note_pause),
        ]

    @property
    def open(self) -> bool:
        """Tell whether requests may be dispatched now."""
        now = self._timers.monotonic()
        if now - self._last_beat > LONGEST_BEAT_SECONDS:
            self._note_pause(now - self._last_beat)
        if self._paused_at is None:
            return True
        if now - self._log.tail_age_seconds() <= self._paused_at:
            return False
        _LOGGER.info("dispatch_resumed", seconds=now - self._paused_at)
        self._paused_at = None
        return True

    async def async_pass(self) -> bool:
        """Wait a little until requests may be dispatched; tell whether they may."""
        until = self._timers.monotonic() + WAIT_SECONDS
        while not self.open:
            if self._timers.monotonic() >= until:
                return False
            await self._timers.async_sleep(STEP_SECONDS)
        return True

    async def _async_beat(self) -> None:
        # The look at the beat comes first: a beat after a pause would hide the pause.
        _ = self.open
        self._last_beat = self._timers.monotonic()

    def _note_pause(self, lost_seconds: float) -> None:
        now = self._timers.monotonic()
        self._last_beat = now
        self._paused_at = now
        _LOGGER.warning("dispatch_held", lost_seconds=lost_seconds)
        self._tasks.start_soon(
            partial(self._log.async_confirm_tail, CONFIRM_SECONDS),
            name="entry.confirm-tail",
        )
