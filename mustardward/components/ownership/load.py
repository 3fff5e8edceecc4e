"""Log how busy an owner is, to distinguish a slow owner from a full pool."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.instruments import CALLS_UNDER_WAY, LOOP_LAG_SECONDS
from ...helpers.logging import get_logger
from ..dispatch.call_queue import CallQueue
from ..dispatch.start_window import StartWindow
from ..scheduling.run_logger import RunLogger
from .const import SELF_CHECK_SECONDS

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class OwnerLoad:
    """Collect an owner's maximum load between two log lines.

    :param node: the entry's name.
    :param window: limits how many starts wait to be sent, and shrinks when they wait
        too long.
    """

    node: str
    calls: CallQueue
    window: StartWindow
    run_logger: RunLogger
    _sampled_at: float | None = None
    _logged_at: float | None = None
    _max_lag_seconds: float = 0.0
    _max_in_progress: int = 0
    _max_waiting: int = 0
    _started: int = 0
    _ended: int = 0

    def sample(self, now: float) -> None:
        """Sample the load, which is due every SELF_CHECK_SECONDS."""
        if self._sampled_at is not None:
            lag_seconds = max(0.0, now - self._sampled_at - SELF_CHECK_SECONDS)
            LOOP_LAG_SECONDS.observe(lag_seconds)
            self._max_lag_seconds = max(self._max_lag_seconds, lag_seconds)
        self._sampled_at = now
        CALLS_UNDER_WAY.set(self.calls.in_progress)
        self._max_in_progress = max(self._max_in_progress, self.calls.in_progress)
        self._max_waiting = max(self._max_waiting, self.calls.waiting)

    def log(self, now: float) -> None:
        """Log the load since the last line and reset the maxima."""
        if self._logged_at is not None:
            seconds = max(1e-3, now - self._logged_at)
            _LOGGER.info(
                "owner_load",
                node=self.node,
                lag_seconds=round(self._max_lag_seconds, 3),
                under_way=self._max_in_progress,
                waiting=self._max_waiting,
                start_window=self.window.size,
                starts_a_second=round(
                    (self.run_logger.started_count - self._started) / seconds
                ),
                ends_a_second=round(
                    (self.run_logger.ended_count - self._ended) / seconds
                ),
            )
        self._logged_at = now
        self._max_lag_seconds = 0.0
        self._max_in_progress = 0
        self._max_waiting = 0
        self._started = self.run_logger.started_count
        self._ended = self.run_logger.ended_count
