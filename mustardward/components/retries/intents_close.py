"""Carry the outcomes of intents into the log, however long that takes."""

from __future__ import annotations

from typing import Final

from returns.result import Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...state.fold import RecordRefusedError
from ...state.models.jobs import CloseIntent
from ...state.protocols import WorkLog

_LOGGER = get_logger(__name__)

RETRY_SECONDS: Final = 1.0
RETRY_SECONDS_MAXIMUM: Final = 30.0
MAXIMUM_PENDING: Final = 10_000
CLOSE_PRIORITY: Final = 1


class IntentCloser:
    """Propose closes again until the log took them.

    A close that never arrives leaves the key at `unknown`, which is safe but of no use
    to its caller; so giving one up is the last resort, when too many wait.
    """

    def __init__(self, log: WorkLog, timers: TimerService) -> None:
        self._log = log
        self._timers = timers
        self._pending = 0

    @property
    def pending(self) -> int:
        """Return the number of closes that wait for the log."""
        return self._pending

    async def async_close(self, body: CloseIntent) -> None:
        """Propose a close until the fold answered it."""
        if self._pending >= MAXIMUM_PENDING:
            _LOGGER.error("intent_close_dropped", pending=self._pending)
            return
        self._pending += 1
        try:
            await self._async_repeat(body)
        finally:
            self._pending -= 1

    async def async_try(self, body: CloseIntent) -> bool:
        """Propose a close once; tell whether the fold answered it."""
        result = await self._log.async_propose(
            body,
            actor=body.home,
            record_id=f"close/{body.home}/{body.opened}",
            priority=CLOSE_PRIORITY,
        )
        if isinstance(result, Success):
            return True
        error = result.failure()
        if not isinstance(error, RecordRefusedError):
            return False
        _LOGGER.info("intent_close_refused", code=error.code)
        return True

    async def _async_repeat(self, body: CloseIntent) -> None:
        delay = RETRY_SECONDS
        while not await self.async_try(body):
            await self._timers.async_sleep(delay)
            delay = min(2 * delay, RETRY_SECONDS_MAXIMUM)
