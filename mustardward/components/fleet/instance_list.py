"""Read the instance list page by page, within the platform's limit of reads per second.

Load pattern: a list of thousands of instances has dozens of pages, and each page counts
as one read. If it were polled as often as a short list, and read from the first page
again after each refusal, the list of a large fleet would never be complete, so that its
owner would know no workers and start nothing.
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

READ_RATE_SHARE: Final = 0.7
"""Share of the read rate that an owner uses: an owner that was deposed a moment ago may
still read too."""

MAX_LISTING_SECONDS: Final = 3.0
"""Age of the first page after which an interrupted listing starts over: pages that are
further apart would show outdated instances."""


@dataclass(slots=True)
class InstanceListing:
    """Accumulate the pages of the instance list.

    :param started_at: when the first page was requested, in monotonic seconds.
    :param next_token: identifies the next page; empty for the first.
    :param complete: whether all rows were readable; see ``FleetPage``.
    """

    started_at: float
    next_token: str = ""
    page_count: int = 0
    complete: bool = True
    instances: list[Instance] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class InstanceListReader:
    """Read the whole instance list, and resume an interrupted listing.

    :param reads_per_second: the platform's limit for all entry nodes together.
    """

    client: FleetClient
    timers: TimerService
    reads_per_second: float
    _page_count: int = 1
    _listing: InstanceListing | None = None

    def interval(self, wanted: float) -> float:
        """Return the poll interval in seconds, at least ``wanted``."""
        pages_per_second = max(1.0, self.reads_per_second * READ_RATE_SHARE)
        return max(wanted, self._page_count / pages_per_second)

    async def async_read(self) -> InstanceListing | None:
        """Return the whole list, or None if the platform refused a page."""
        now = self.timers.monotonic()
        listing = self._listing
        if listing is None or now - listing.started_at > MAX_LISTING_SECONDS:
            listing = self._listing = InstanceListing(now)
        try:
            while not await self._async_add_page(listing):
                pass
        except CallRefusedError as error:
            _LOGGER.warning(
                "instance_list_refused",
                detail=error.detail,
                pages_read=listing.page_count,
            )
            return None
        self._listing = None
        self._page_count = listing.page_count
        return listing

    async def _async_add_page(self, listing: InstanceListing) -> bool:
        """Read the next page; return whether it was the last."""
        page = await self.client.async_fetch_page(listing.next_token)
        listing.instances.extend(page.instances)
        listing.complete = listing.complete and page.complete
        listing.next_token = page.next_token
        listing.page_count += 1
        return not page.next_token
