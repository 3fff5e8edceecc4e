"""Test takeovers from owners whose workers ended more runs than one answer lists."""

from __future__ import annotations

import pytest

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.scheduling.const import MAX_LEASE_SECONDS

from .listing_workers import a_takeover_of_listings

pytestmark = pytest.mark.anyio

HOLD_SECONDS = AUTHORITY_SECONDS + MAX_LEASE_SECONDS + 1.0


@pytest.mark.parametrize("ends", [499, 500, 501, 640, 1700])
async def test_no_task_starts_again_whose_end_is_beyond_the_first_list(
    ends: int,
) -> None:
    """Guard against a second run of tasks that the first 500 ends do not name."""
    async with a_takeover_of_listings({"w1": ends, "w2": 3}) as takeover:
        await takeover.async_advance(2.0)
        assert takeover.starts == []
        assert takeover.done == takeover.count


async def test_no_task_starts_again_while_a_slow_store_delays_the_other_lists() -> None:
    """Guard against a hold that ends before the store has taken all lists of ends."""
    async with a_takeover_of_listings({"w1": 1700}, append_seconds=6.0) as takeover:
        await takeover.async_advance(HOLD_SECONDS + 2.0)
        assert takeover.starts == []
        assert takeover.done < takeover.count
        await takeover.async_advance(24.0)
        assert takeover.starts == []
        assert takeover.done == takeover.count


async def test_hold_ends_when_a_worker_stops_answering_between_two_lists() -> None:
    """Guard against jobs that wait forever for the lists of a lost worker."""
    async with a_takeover_of_listings({"w1": 640, "w2": 3}, 2.0) as takeover:
        await takeover.async_advance(0.5)
        takeover.clients["w1"].silent = True
        await takeover.async_advance(HOLD_SECONDS)
        assert len(takeover.starts) == 140
