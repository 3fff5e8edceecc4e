"""Evaluate the maintenance windows of organisations."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ...state.models.templates import MaintenanceWindow, Parameters

_DAY_SECONDS: Final = 86_400
_EPOCH_WEEKDAY: Final = 3
"""Weekday of the first day of the Unix epoch, a Thursday (Monday is 0)."""


def is_window_open(window: MaintenanceWindow, now: float) -> bool:
    """Return whether a window is open, including one that opened on an earlier day."""
    day, second_of_day = divmod(int(now), _DAY_SECONDS)
    for days_ago in range(window.length_seconds // _DAY_SECONDS + 2):
        weekday = (day - days_ago + _EPOCH_WEEKDAY) % 7
        elapsed = second_of_day + days_ago * _DAY_SECONDS - window.start_second
        if weekday in window.weekdays and 0 <= elapsed < window.length_seconds:
            return True
    return False


def is_maintenance_allowed(users: Iterable[Parameters], now: float) -> bool:
    """Return whether all organisations allow maintenance at a time.

    An organisation without windows allows it at any time.
    """
    return all(
        not parameters.windows
        or any(is_window_open(window, now) for window in parameters.windows)
        for parameters in users
    )
