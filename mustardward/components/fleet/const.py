"""Hold the figures of fleet work."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 0.1
LIST_SECONDS: Final = 2.0
"""Interval of reading the list while nothing is under way."""

BUSY_LIST_SECONDS: Final = 0.4
"""Interval of reading the list while instances are down or to be taken."""

CYCLE_SECONDS: Final = 4.5
"""Typical time from choosing an instance until it is up again: emptying, maintenance,
and seeing it."""

POOL_SHARE: Final = 0.25
"""Most of a pool that is emptied or down for maintenance at once."""

HURRY_FACTOR: Final = 1.5
"""A wave takes so many times as many instances at once as its time asks for, so that
it has slack for what it finds."""

RETRY_SECONDS: Final = 0.3
"""Pause before an order of unknown outcome is repeated; it is idempotent."""
