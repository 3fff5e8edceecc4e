"""Test the outcomes of orders, and that an instance has one order at a time."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from mustardward.components.fleet.models import Maintain, Move
from mustardward.components.fleet.order_executor import OrderExecutor, OrderOutcome
from mustardward.platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
)

from .builders import POOL

pytestmark = pytest.mark.anyio

MAINTAIN = Maintain("m-00", 1)
MOVE = Move("m-00", POOL)


class OrderHarness:
    """Simulate the platform's responses to orders and record the calls."""

    def __init__(self, error: Exception | None = None, announced: bool = True) -> None:
        self.calls: list[str] = []
        self.fenced = 0
        self.authorised = True
        self.response_gate = anyio.Event()
        self.response_gate.set()
        self._error = error
        self._announced = announced
        client: Any = self
        self.executor = OrderExecutor(
            client,
            3,
            self.async_announce,
            self.record_fenced,
            lambda: self.authorised,
        )

    async def async_announce(self, machine: str) -> bool:
        """Record an announcement, and return whether it succeeds."""
        self.calls.append(f"announce {machine}")
        return self._announced

    async def async_move(self, machine: str, pool: str, token: int) -> None:
        """Respond to a move order."""
        await self._async_respond(f"move {machine} {pool} {token}")

    async def async_maintain(self, machine: str, wave: int, token: int) -> None:
        """Respond to a maintenance order."""
        await self._async_respond(f"maintain {machine} {wave} {token}")

    def record_fenced(self) -> None:
        """Count the rejections of the owner's fencing token."""
        self.fenced += 1

    async def _async_respond(self, call: str) -> None:
        self.calls.append(call)
        await self.response_gate.wait()
        if self._error is not None:
            raise self._error


async def test_an_order_is_announced_and_then_issued_under_the_token() -> None:
    harness = OrderHarness()
    assert await harness.executor.async_execute(MAINTAIN) is OrderOutcome.BEGUN
    assert harness.calls == ["announce m-00", "maintain m-00 1 3"]


async def test_an_order_without_an_announcement_is_refused() -> None:
    """Guard against orders of two owners for one instance within a lease."""
    harness = OrderHarness(announced=False)
    assert await harness.executor.async_execute(MOVE) is OrderOutcome.REFUSED
    assert harness.calls == ["announce m-00"]


async def test_an_order_without_authority_is_skipped_after_its_announcement() -> None:
    """Guard against dropping an earlier call of the order that may have taken effect.

    A refused order is dropped; a skipped one is repeated.
    """
    harness = OrderHarness()
    harness.authorised = False
    assert await harness.executor.async_execute(MOVE) is OrderOutcome.SKIPPED
    assert harness.calls == ["announce m-00"]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (CallRefusedError("busy"), OrderOutcome.REFUSED),
        (CallUnknownError("silent"), OrderOutcome.UNKNOWN),
    ],
)
async def test_a_lost_response_is_not_reported_as_a_refusal(
    error: Exception, outcome: OrderOutcome
) -> None:
    """Guard against dropping a move that may have taken effect."""
    assert await OrderHarness(error).executor.async_execute(MOVE) is outcome


async def test_a_rejected_fencing_token_is_reported() -> None:
    harness = OrderHarness(FencedError("move"))
    assert await harness.executor.async_execute(MOVE) is OrderOutcome.SKIPPED
    assert harness.fenced == 1


async def test_an_instance_has_one_order_at_a_time() -> None:
    harness = OrderHarness()
    harness.response_gate = anyio.Event()
    outcomes: list[OrderOutcome] = []

    async def async_execute() -> None:
        outcomes.append(await harness.executor.async_execute(MOVE))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_execute)
        await anyio.wait_all_tasks_blocked()
        assert await harness.executor.async_execute(MAINTAIN) is OrderOutcome.SKIPPED
        harness.response_gate.set()
    assert outcomes == [OrderOutcome.BEGUN]
    assert await harness.executor.async_execute(MAINTAIN) is OrderOutcome.BEGUN
