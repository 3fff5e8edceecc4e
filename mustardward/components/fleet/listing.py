"""Read the fleet's list page by page, within what the platform answers a second.

Load pattern: thousands of instances are listed in dozens of pages, and each page counts
against the readings that the platform answers a second. Read as often as a short list,
and from its begin after each refusal, the list of a large fleet is never complete: its
owner then never learns which workers there are, and starts nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.exceptions import CallRefusedError
from ...platform.fleet import FleetClient
from ...platform.models import Instance

_LOGGER = get_logger(__name__)

READINGS_SHARE: Final = 0.7
"""Share of the readings that an owner takes: one that was deposed a moment ago may
still read too."""

LONGEST_READING_SECONDS: Final = 3.0
"""Age of its first page at which a reading that was broken off begins anew: pages that
lie further apart would tell of instances as they no longer are."""


@dataclass(slots=True)
class Reading:
    """Hold what a reading of the list has found so far.

    :param begun_at: when its first page was asked for, in steady seconds.
    :param token: names the next page; nothing for the first.
    :param complete: see ``FleetPage``.
    """

    begun_at: float
    token: str = ""
    pages: int = 0
    complete: bool = True
    instances: list[Instance] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ListReader:
    """Read the whole list, and go on where a reading was broken off.

    :param readings_per_second: what the platform answers to all entries together.
    """

    client: FleetClient
    timers: TimerService
    readings_per_second: float
    _pages: int = 1
    _reading: Reading | None = None

    def interval(self, wanted: float) -> float:
        """Return the seconds between two readings where one wants ``wanted``."""
        allowed = max(1.0, self.readings_per_second * READINGS_SHARE)
        return max(wanted, self._pages / allowed)

    async def async_read(self) -> Reading | None:
        """Return a reading of the whole list, or None if it broke off."""
        now = self.timers.monotonic()
        reading = self._reading
        if reading is None or now - reading.begun_at > LONGEST_READING_SECONDS:
            reading = self._reading = Reading(now)
        try:
            while not await self._async_add_page(reading):
                pass
        except CallRefusedError as error:
            _LOGGER.warning(
                "list_unreadable", detail=error.detail, pages_read=reading.pages
            )
            return None
        self._reading = None
        self._pages = reading.pages
        return reading

    async def _async_add_page(self, reading: Reading) -> bool:
        """Read the next page; return whether it was the last."""
        page = await self.client.async_page(reading.token)
        reading.instances.extend(page.instances)
        reading.complete = reading.complete and page.complete
        reading.token = page.next_token
        reading.pages += 1
        return not page.next_token
