"""Test that an owner issues no order that it announced before a suspension."""

from __future__ import annotations

import anyio
import pytest

from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.ledger.const import KEY_OWNER, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner import Owner
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.fleet import FleetPage
from mustardward.platform.store import KeyedRecord, Producer
from mustardward.standin.estate.store import MemoryStore

from .builders import build_dependencies

pytestmark = pytest.mark.anyio

EPOCH = 2
SUSPENDED_SECONDS = 5.0
STEP_SECONDS = 0.05


class HeldStore(MemoryStore):
    """Simulate a store whose responses to appends can be on their way."""

    def __init__(self) -> None:
        super().__init__()
        self.arrived = anyio.Event()
        self.arrived.set()

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        end = self.append(topic, list(records), producer)
        await self.arrived.wait()
        return end


class OrderRecorder:
    """Record the orders that reach the platform."""

    def __init__(self) -> None:
        self.orders: list[str] = []

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        return FleetPage([], True, "")

    async def async_move(self, machine: str, pool: str, token: int) -> None:
        self.orders.append(machine)

    async def async_maintain(self, machine: str, wave: int, token: int) -> None:
        self.orders.append(machine)


@pytest.mark.parametrize("order", [Move("m-00", "pool-b"), Maintain("m-00", 1)])
@pytest.mark.parametrize("suspended_seconds", [0.0, SUSPENDED_SECONDS])
async def test_order_announced_before_a_suspension_is_not_issued(
    order: Move | Maintain, suspended_seconds: float
) -> None:
    """Guard against an order of an owner that another one may have replaced meanwhile.

    The suspension is not counted by the clock of the announcement's timeout.
    """
    timers = DrivenTimerService()
    store = HeldStore()
    record = OwnerRecord(EPOCH, "c", "node-1", 0, timers.wall())
    store.append(TOPIC, [(KEY_OWNER, encode(record))])
    platform = OrderRecorder()
    dependencies = build_dependencies("node-1", store, timers, fleet=platform)
    dependencies.ledger.apply(KeyedRecord(0, KEY_OWNER, encode(record)))
    previous = OwnerRecord(EPOCH - 1, "", "", 0)
    authority = Authority(timers.boottime, timers.boottime())
    owner = Owner(dependencies, EPOCH, "c", previous, authority)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.async_run)
        for _ in range(4):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(STEP_SECONDS)
        assert owner._fleet is not None
        store.arrived = anyio.Event()
        tasks.start_soon(owner._fleet.executor.async_execute, order)
        await anyio.wait_all_tasks_blocked()
        timers.suspend(suspended_seconds)
        assert owner._authority.is_valid() == (not suspended_seconds)
        store.arrived.set()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert platform.orders == ([] if suspended_seconds else ["m-00"])
