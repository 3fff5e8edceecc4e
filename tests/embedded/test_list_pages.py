"""Test reading of an instance list of several pages over real connections."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.fleet.instance_list import InstanceListReader
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.fleet import FleetClient
from mustardward.platform.http import HttpCaller
from mustardward.standin.estate.app import LIST_PAGE_ROWS, async_run_estate
from mustardward.standin.estate.estate import EstatePlan

pytestmark = pytest.mark.anyio

PLAN = EstatePlan(pools=("pool-a",), instances=2 * LIST_PAGE_ROWS, standby=3)


async def test_a_list_of_several_pages_names_each_instance_once() -> None:
    async with async_run_estate(PLAN, "127.0.0.1") as estate:
        http = HttpCaller()
        client = FleetClient(http, estate.address, "entry-1")
        reader = InstanceListReader(client, DrivenTimerService(), reads_per_second=10.0)
        with anyio.fail_after(10.0):
            listing = await reader.async_read()
        assert listing is not None
        names = [instance.machine for instance in listing.instances]
        assert len(set(names)) == len(names) == PLAN.machines
        # Three pages at a rate of seven pages per second.
        assert reader.interval(0.1) == pytest.approx(3 / 7)
        await http.async_close()
