"""Tell how busy an owner is, so that a late owner can be told from a full pool."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.instruments import CALLS_UNDER_WAY, LOOP_LAG_SECONDS
from ...helpers.logging import get_logger
from ..dispatch.lanes import Lanes
from ..dispatch.window import StartWindow
from ..scheduling.run_logger import RunLogger
from .const import WATCH_OWN_SECONDS

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class OwnerLoad:
    """Gather an owner's load between two lines.

    :param node: names the entry.
    :param window: bounds how many starts wait to leave; it shrinks where they do for
        too long.
    """

    node: str
    lanes: Lanes
    window: StartWindow
    lines: RunLogger
    _looked_at: float | None = None
    _told_at: float | None = None
    _most_lag: float = 0.0
    _most_under_way: int = 0
    _most_waiting: int = 0
    _started: int = 0
    _ended: int = 0

    def look(self, now: float) -> None:
        """Take in that a look that is due each WATCH_OWN_SECONDS has come."""
        if self._looked_at is not None:
            lag = max(0.0, now - self._looked_at - WATCH_OWN_SECONDS)
            LOOP_LAG_SECONDS.observe(lag)
            self._most_lag = max(self._most_lag, lag)
        self._looked_at = now
        CALLS_UNDER_WAY.set(self.lanes.under_way)
        self._most_under_way = max(self._most_under_way, self.lanes.under_way)
        self._most_waiting = max(self._most_waiting, self.lanes.waiting)

    def tell(self, now: float) -> None:
        """Write a line, and begin anew."""
        if self._told_at is not None:
            seconds = max(1e-3, now - self._told_at)
            _LOGGER.info(
                "owner_load",
                node=self.node,
                lag_seconds=round(self._most_lag, 3),
                under_way=self._most_under_way,
                waiting=self._most_waiting,
                start_window=self.window.most,
                starts_a_second=round(
                    (self.lines.started_count - self._started) / seconds
                ),
                ends_a_second=round((self.lines.ended_count - self._ended) / seconds),
            )
        self._told_at = now
        self._most_lag = 0.0
        self._most_under_way = 0
        self._most_waiting = 0
        self._started = self.lines.started_count
        self._ended = self.lines.ended_count
