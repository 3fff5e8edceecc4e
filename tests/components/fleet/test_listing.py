"""Test that a list of any length is read within what the platform answers."""

from __future__ import annotations

from typing import Any

import pytest

from mustardward.components.fleet.const import BUSY_LIST_SECONDS, TICK_SECONDS
from mustardward.components.fleet.listing import LONGEST_READING_SECONDS, ListReader
from mustardward.helpers.timer import DrivenTimerService
from mustardward.helpers.token_bucket import TokenBucket
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.fleet import FleetPage

from .builders import an_instance

pytestmark = pytest.mark.anyio

PAGES = 75
READINGS_PER_SECOND = 30.0
PAGE_SECONDS = 0.005


class LongList:
    """Play a fleet of many pages, whose platform answers some readings a second."""

    def __init__(self, timers: DrivenTimerService) -> None:
        self.timers = timers
        self.refused = 0
        self.answered = 0
        self.unreadable_page = -1
        self._bucket = TokenBucket(READINGS_PER_SECOND, timers.monotonic())

    async def async_page(self, token: str = "") -> FleetPage:
        """Answer, or refuse what goes beyond the readings of a second."""
        await self.timers.async_advance(PAGE_SECONDS)
        now = self.timers.monotonic()
        self._bucket.fill(now, READINGS_PER_SECOND, READINGS_PER_SECOND)
        if not self._bucket.take():
            self.refused += 1
            raise CallRefusedError("status=429")
        self.answered += 1
        number = int(token or 0)
        following = str(number + 1) if number + 1 < PAGES else ""
        complete = number != self.unreadable_page
        return FleetPage([an_instance(number)], complete, following)


def a_reader(timers: DrivenTimerService) -> tuple[LongList, ListReader]:
    """Return a long list and its reader."""
    pages = LongList(timers)
    client: Any = pages
    return pages, ListReader(client, timers, READINGS_PER_SECOND)


async def test_a_long_list_is_complete_though_readings_are_refused() -> None:
    """Symptom: an owner of thousands of workers starts nothing, with all room free.

    Sequence: a list has more pages than the platform answers in a second; the reading
    is refused midway, and begun anew, which uses up the next second's readings. Cause:
    what was read before a refusal was thrown away.
    """
    timers = DrivenTimerService()
    pages, reader = a_reader(timers)
    began = timers.monotonic()
    for _ in range(100):
        read = await reader.async_read()
        if read is not None:
            break
        await timers.async_advance(TICK_SECONDS)
    assert read is not None
    assert read.begun_at == began
    assert len(read.instances) == PAGES
    assert read.complete
    assert pages.answered == PAGES
    assert timers.monotonic() - began < PAGES / READINGS_PER_SECOND


async def test_a_long_list_is_read_as_often_as_the_platform_answers() -> None:
    timers = DrivenTimerService()
    _, reader = a_reader(timers)
    assert reader.interval(BUSY_LIST_SECONDS) == BUSY_LIST_SECONDS
    while await reader.async_read() is None:
        await timers.async_advance(TICK_SECONDS)
    assert reader.interval(BUSY_LIST_SECONDS) >= PAGES / READINGS_PER_SECOND


async def test_a_row_that_can_not_be_read_leaves_the_list_incomplete() -> None:
    timers = DrivenTimerService()
    pages, reader = a_reader(timers)
    pages.unreadable_page = 3
    while (read := await reader.async_read()) is None:
        await timers.async_advance(TICK_SECONDS)
    assert not read.complete


async def test_pages_that_lie_far_apart_are_no_list() -> None:
    timers = DrivenTimerService()
    _, reader = a_reader(timers)
    assert await reader.async_read() is None
    await timers.async_advance(LONGEST_READING_SECONDS + 0.1)
    began = timers.monotonic()
    while (read := await reader.async_read()) is None:
        await timers.async_advance(TICK_SECONDS)
    assert read.begun_at >= began
    assert len(read.instances) == PAGES
