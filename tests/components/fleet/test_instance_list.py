"""Test that a list of any length is read within the platform's read limit."""

from __future__ import annotations

from typing import Any

import pytest

from mustardward.components.fleet.const import (
    ACTIVE_LIST_INTERVAL_SECONDS,
    TICK_SECONDS,
)
from mustardward.components.fleet.instance_list import (
    MAX_LISTING_SECONDS,
    InstanceListReader,
)
from mustardward.helpers.timer import DrivenTimerService
from mustardward.helpers.token_bucket import TokenBucket
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.fleet import FleetPage

from .builders import an_instance

pytestmark = pytest.mark.anyio

PAGES = 75
READS_PER_SECOND = 30.0
PAGE_SECONDS = 0.005


class MultiPageList:
    """Simulate a list of many pages on a platform that limits the rate of reads."""

    def __init__(self, timers: DrivenTimerService) -> None:
        self.timers = timers
        self.refused_reads = 0
        self.served_reads = 0
        self.unreadable_page = -1
        self._bucket = TokenBucket(READS_PER_SECOND, timers.monotonic())

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        """Return a page, or refuse the read if it exceeds the rate."""
        await self.timers.async_advance(PAGE_SECONDS)
        now = self.timers.monotonic()
        self._bucket.refill(now, READS_PER_SECOND, READS_PER_SECOND)
        if not self._bucket.try_take():
            self.refused_reads += 1
            raise CallRefusedError("status=429")
        self.served_reads += 1
        number = int(token or 0)
        next_token = str(number + 1) if number + 1 < PAGES else ""
        complete = number != self.unreadable_page
        return FleetPage([an_instance(number)], complete, next_token)


def a_reader(timers: DrivenTimerService) -> tuple[MultiPageList, InstanceListReader]:
    """Return a list of many pages and its reader."""
    pages = MultiPageList(timers)
    client: Any = pages
    return pages, InstanceListReader(client, timers, READS_PER_SECOND)


async def test_a_long_list_is_completed_despite_refused_reads() -> None:
    """Guard against discarding the pages that were read before a refusal.

    The list has more pages than the platform serves in a second. A listing that started
    over after each refusal would use up the next second's reads and never complete, so
    that the owner of thousands of idle workers would start nothing.
    """
    timers = DrivenTimerService()
    pages, reader = a_reader(timers)
    started_at = timers.monotonic()
    for _ in range(100):
        listing = await reader.async_read()
        if listing is not None:
            break
        await timers.async_advance(TICK_SECONDS)
    assert listing is not None
    assert listing.started_at == started_at
    assert len(listing.instances) == PAGES
    assert listing.complete
    assert pages.served_reads == PAGES
    assert timers.monotonic() - started_at < PAGES / READS_PER_SECOND


async def test_the_poll_interval_of_a_long_list_respects_the_read_limit() -> None:
    timers = DrivenTimerService()
    _, reader = a_reader(timers)
    assert reader.interval(ACTIVE_LIST_INTERVAL_SECONDS) == ACTIVE_LIST_INTERVAL_SECONDS
    while await reader.async_read() is None:
        await timers.async_advance(TICK_SECONDS)
    assert reader.interval(ACTIVE_LIST_INTERVAL_SECONDS) >= PAGES / READS_PER_SECOND


async def test_an_unreadable_row_makes_the_list_incomplete() -> None:
    timers = DrivenTimerService()
    pages, reader = a_reader(timers)
    pages.unreadable_page = 3
    while (listing := await reader.async_read()) is None:
        await timers.async_advance(TICK_SECONDS)
    assert not listing.complete


async def test_an_interrupted_listing_starts_over_once_its_pages_are_old() -> None:
    timers = DrivenTimerService()
    _, reader = a_reader(timers)
    assert await reader.async_read() is None
    await timers.async_advance(MAX_LISTING_SECONDS + 0.1)
    started_at = timers.monotonic()
    while (listing := await reader.async_read()) is None:
        await timers.async_advance(TICK_SECONDS)
    assert listing.started_at >= started_at
    assert len(listing.instances) == PAGES
