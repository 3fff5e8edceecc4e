"""Suspend dispatch after the process was paused."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from anyio.abc import TaskGroup

from ...helpers.logging import get_logger
from ...helpers.timer import PAUSE_THRESHOLD_SECONDS, TimerService
from ...state.protocols import FleetLog

_LOGGER = get_logger(__name__)

TICK_SECONDS: Final = 0.25
MAX_TICK_GAP_SECONDS: Final = TICK_SECONDS + PAUSE_THRESHOLD_SECONDS
CONFIRM_TIMEOUT_SECONDS: Final = 5.0
MAX_WAIT_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.05


class PauseGuard:
    """Suspend dispatch until the fleet state is confirmed after a pause.

    A process that was stopped resumes with stale state: its workers may belong to
    another pool by now and would be sent work of the old one. The task that detects
    pauses is one of many, and others may run before it; so each dispatch also checks
    the time since the last tick.

    :param log: the fleet's log, whose tail (or a peer that is ahead) confirms state.
    """

    def __init__(self, log: FleetLog, timers: TimerService, tasks: TaskGroup) -> None:
        self._log = log
        self._timers = timers
        self._tasks = tasks
        self._last_tick_at = timers.monotonic()
        self._paused_at: float | None = None

    def start(self) -> list[Callable[[], None]]:
        """Start the tick; return the functions that stop it."""
        return [
            self._timers.subscribe("entry.pause", TICK_SECONDS, self._async_tick),
            self._timers.subscribe_pause(self._record_pause),
        ]

    @property
    def dispatch_allowed(self) -> bool:
        """Return whether requests may be dispatched now."""
        now = self._timers.monotonic()
        if now - self._last_tick_at > MAX_TICK_GAP_SECONDS:
            self._record_pause(now - self._last_tick_at)
        if self._paused_at is None:
            return True
        if now - self._log.tail_age_seconds() <= self._paused_at:
            return False
        _LOGGER.info("dispatch_resumed", seconds=now - self._paused_at)
        self._paused_at = None
        return True

    async def async_wait_until_allowed(self) -> bool:
        """Wait briefly until requests may be dispatched; return whether they may."""
        deadline = self._timers.monotonic() + MAX_WAIT_SECONDS
        while not self.dispatch_allowed:
            if self._timers.monotonic() >= deadline:
                return False
            await self._timers.async_sleep(POLL_SECONDS)
        return True

    async def _async_tick(self) -> None:
        # Checked before the tick is recorded, which would conceal a pause.
        _ = self.dispatch_allowed
        self._last_tick_at = self._timers.monotonic()

    def _record_pause(self, pause_seconds: float) -> None:
        now = self._timers.monotonic()
        self._last_tick_at = now
        self._paused_at = now
        _LOGGER.warning("dispatch_suspended", pause_seconds=pause_seconds)
        self._tasks.start_soon(
            partial(self._log.async_confirm_tail, CONFIRM_TIMEOUT_SECONDS),
            name="entry.confirm-tail",
        )
