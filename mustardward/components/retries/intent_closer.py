"""Record the outcomes of intents in the log, with unlimited retries."""

from __future__ import annotations

from typing import Final

from returns.result import Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...state.fold import RecordRefusedError
from ...state.models.jobs import CloseIntent
from ...state.protocols import WorkLog

_LOGGER = get_logger(__name__)

RETRY_INITIAL_SECONDS: Final = 1.0
RETRY_MAX_SECONDS: Final = 30.0
MAX_PENDING: Final = 10_000
CLOSE_PRIORITY: Final = 1


class IntentCloser:
    """Propose closing records until the log has accepted or refused them.

    Without a closing record the outcome of the key stays `unknown`, which is safe but
    useless to the caller. A record is therefore dropped only when too many are pending.
    """

    def __init__(self, log: WorkLog, timers: TimerService) -> None:
        self._log = log
        self._timers = timers
        self._pending = 0

    @property
    def pending(self) -> int:
        """Return the number of pending closing records."""
        return self._pending

    async def async_close(self, body: CloseIntent) -> None:
        """Propose a closing record until it is accepted or refused."""
        if self._pending >= MAX_PENDING:
            _LOGGER.error("intent_close_dropped", pending=self._pending)
            return
        self._pending += 1
        try:
            await self._async_propose_until_settled(body)
        finally:
            self._pending -= 1

    async def async_propose_once(self, body: CloseIntent) -> bool:
        """Propose a closing record once; return whether it was accepted or refused."""
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

    async def _async_propose_until_settled(self, body: CloseIntent) -> None:
        delay = RETRY_INITIAL_SECONDS
        while not await self.async_propose_once(body):
            await self._timers.async_sleep(delay)
            delay = min(2 * delay, RETRY_MAX_SECONDS)
