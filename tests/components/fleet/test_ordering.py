"""Test that what is told of an order is true, and each instance has one at a time."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.fleet.ordering import Ordering, OrderOutcome
from mustardward.platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
)

from .builders import POOL

pytestmark = pytest.mark.anyio

MAINTAIN = Maintain("m-00", 1)
MOVE = Move("m-00", POOL)


class OrderBench:
    """Play the platform's answers to orders, and note what was done."""

    def __init__(self, error: Exception | None = None, announced: bool = True) -> None:
        self.calls: list[str] = []
        self.fenced = 0
        self.gate = anyio.Event()
        self.gate.set()
        self._error = error
        self._announced = announced
        client: Any = self
        self.ordering = Ordering(client, 3, self.async_announce, self.note_fenced)

    async def async_announce(self, machine: str) -> bool:
        """Store an announcement, or not."""
        self.calls.append(f"announce {machine}")
        return self._announced

    async def async_move(self, machine: str, pool: str, token: int) -> None:
        """Answer a move."""
        await self._async_answer(f"move {machine} {pool} {token}")

    async def async_maintain(self, machine: str, wave: int, token: int) -> None:
        """Answer a maintenance."""
        await self._async_answer(f"maintain {machine} {wave} {token}")

    def note_fenced(self) -> None:
        """Count that the owner learned of a newer one."""
        self.fenced += 1

    async def _async_answer(self, call: str) -> None:
        self.calls.append(call)
        await self.gate.wait()
        if self._error is not None:
            raise self._error


async def test_an_order_is_announced_and_then_given_under_the_token() -> None:
    bench = OrderBench()
    assert await bench.ordering.async_give(MAINTAIN) is OrderOutcome.BEGUN
    assert bench.calls == ["announce m-00", "maintain m-00 1 3"]


async def test_what_is_not_announced_is_not_ordered() -> None:
    """Else the next owner may order it within a lease of this one's holder."""
    bench = OrderBench(announced=False)
    assert await bench.ordering.async_give(MOVE) is OrderOutcome.REFUSED
    assert bench.calls == ["announce m-00"]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (CallRefusedError("busy"), OrderOutcome.REFUSED),
        (CallUnknownError("silent"), OrderOutcome.UNKNOWN),
    ],
)
async def test_a_lost_answer_is_not_told_as_a_refusal(
    error: Exception, outcome: OrderOutcome
) -> None:
    """A move that may have been carried out must not be forgotten."""
    assert await OrderBench(error).ordering.async_give(MOVE) is outcome


async def test_an_owner_that_is_fenced_is_told() -> None:
    bench = OrderBench(FencedError("move"))
    assert await bench.ordering.async_give(MOVE) is OrderOutcome.SKIPPED
    assert bench.fenced == 1


async def test_an_instance_has_one_order_at_a_time() -> None:
    bench = OrderBench()
    bench.gate = anyio.Event()
    outcomes: list[OrderOutcome] = []

    async def async_give() -> None:
        outcomes.append(await bench.ordering.async_give(MOVE))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_give)
        await anyio.wait_all_tasks_blocked()
        assert await bench.ordering.async_give(MAINTAIN) is OrderOutcome.SKIPPED
        bench.gate.set()
    assert outcomes == [OrderOutcome.BEGUN]
    assert await bench.ordering.async_give(MAINTAIN) is OrderOutcome.BEGUN
