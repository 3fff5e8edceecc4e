"""Tell when organisations allow maintenance."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ...state.models.templates import MaintenanceWindow, Parameters

_DAY_SECONDS: Final = 86_400
_EPOCH_WEEKDAY: Final = 3
"""Weekday of the first day of the epoch: a Thursday."""


def window_is_open(window: MaintenanceWindow, wall: float) -> bool:
    """Tell whether a window is open; one that began yesterday may run on."""
    day, second = divmod(int(wall), _DAY_SECONDS)
    for days_ago in range(window.length_seconds // _DAY_SECONDS + 2):
        weekday = (day - days_ago + _EPOCH_WEEKDAY) % 7
        passed = second + days_ago * _DAY_SECONDS - window.start_second
        if weekday in window.weekdays and 0 <= passed < window.length_seconds:
            return True
    return False


def windows_allow(users: Iterable[Parameters], wall: float) -> bool:
    """Tell whether every organisation allows maintenance now.

    An organisation without windows allows it at any time.
    """
    return all(
        not parameters.windows
        or any(window_is_open(window, wall) for window in parameters.windows)
        for parameters in users
    )
