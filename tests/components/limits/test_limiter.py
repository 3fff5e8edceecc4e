"""Test the waiting around the gates, and the spread of callers that come back."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import anyio
import pytest
from returns.result import Failure, Success

from mustardward.components.limits.adaptive import AdaptiveLimit
from mustardward.components.limits.capacity import CapacityView
from mustardward.components.limits.models import SlotReclaimRequested
from mustardward.components.limits.services import LimiterService
from mustardward.components.limits.spread import RetryAfterPacer
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    ServiceBinding,
    Urgency,
)
from tests.fakes.policy import FakeFleetLog, FakeMembership, build_facts

pytestmark = pytest.mark.anyio


class Bench:
    """Hold a limiter with its fakes."""

    def __init__(self, slots: int = 2) -> None:
        self.slots = slots
        self.log = FakeFleetLog()
        self.timers = DrivenTimerService()
        self.events: list[Any] = []
        view = CapacityView(
            log=self.log,
            membership=FakeMembership(),
            slots=lambda pool: self.slots,
            job_slots=lambda pool: 0,
            data_centre="dc-1",
        )
        self.limiter = LimiterService(
            capacity=view,
            timers=self.timers,
            publish=self.events.append,
            queue_length=100,
            random=Random(1),
        )
        self.timers.subscribe("sweep", 0.05, self.limiter.async_sweep)


async def test_waits_for_a_place_and_is_woken() -> None:
    bench = Bench(slots=1)
    first = (await bench.limiter.async_admit(build_facts())).unwrap()
    results: list[Any] = []

    async def async_wait() -> None:
        results.append(await bench.limiter.async_admit(build_facts()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_wait)
        await anyio.wait_all_tasks_blocked()
        assert not results
        first.release(0.1, True)
        first.release(0.1, True)
    assert isinstance(results[0], Success)
    assert bench.limiter.figures()["pool-1"].in_flight == 1


async def test_caller_that_gave_up_holds_no_place() -> None:
    """Symptom: a limit shrinks by one now and then until nothing is admitted.

    Sequence: a caller gives up while it waits; its place is given to it later.
    Cause: a waiting request that outlives its caller.
    """
    bench = Bench(slots=1)
    first = (await bench.limiter.async_admit(build_facts())).unwrap()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.limiter.async_admit, build_facts())
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    first.release(0.1, True)
    assert bench.limiter.figures()["pool-1"].in_flight == 0
    assert isinstance(await bench.limiter.async_admit(build_facts()), Success)


async def test_refusal_is_true_early_and_says_when_to_come_back() -> None:
    bench = Bench(slots=0)
    refused = await bench.limiter.async_admit(build_facts())
    assert isinstance(refused, Failure)
    refusal = refused.failure()
    assert (refusal.code, refusal.status, refusal.ran) == ("no-worker", 503, "no")
    assert refusal.retry_after_seconds is not None
    late = build_facts(deadline=bench.timers.monotonic())
    past = (await bench.limiter.async_admit(late)).failure()
    assert (past.status, past.retry_after_seconds) == (504, None)


async def test_workers_that_come_back_admit_who_waits() -> None:
    bench = Bench(slots=1)
    await bench.limiter.async_admit(build_facts())
    urgent = build_facts(urgency=Urgency.URGENT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.limiter.async_admit, urgent)
        await anyio.wait_all_tasks_blocked()
        await bench.timers.async_advance(0.1)
        assert SlotReclaimRequested("pool-1", 1) in bench.events
        bench.slots = 2
        await bench.timers.async_advance(0.2)
    assert bench.limiter.figures()["pool-1"].in_flight == 2


async def test_reserve_follows_the_template_in_force() -> None:
    bench = Bench(slots=10)
    parameters = Parameters(
        services=(ServiceBinding("quotes", "pool-1"),), urgent_reserve=0.5
    )
    bench.log.state.organisations["small"] = Organisation(
        "small", "template", 1, 1, Overrides(), parameters
    )
    bench.log.sequence += 1
    for _ in range(5):
        await bench.limiter.async_admit(build_facts())
    admitted: list[Any] = []

    async def async_wait() -> None:
        admitted.append(await bench.limiter.async_admit(build_facts()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_wait)
        await anyio.wait_all_tasks_blocked()
        assert not admitted
        organisation = bench.log.state.organisations["small"]
        bench.log.state.organisations["small"] = Organisation(
            organisation.name, "template", 1, 2, Overrides(), Parameters()
        )
        bench.log.sequence += 1
        await bench.timers.async_advance(0.2)
    assert isinstance(admitted[0], Success)


def test_refused_callers_come_back_spread() -> None:
    """Symptom: load swings between nothing and far too much, in step.

    Sequence: a thousand callers are refused in one moment and told the same time.
    Cause: a constant ``Retry-After``.
    """
    spread = RetryAfterPacer(Random(1))
    waits = [spread.next_delay_seconds(rate=100.0, now=50.0) for _ in range(1000)]
    by_second = Counter(int(wait) for wait in waits)
    assert min(waits) >= 1.0
    assert max(waits) <= 30.0
    assert max(by_second.values()) <= 60
    many = [spread.next_delay_seconds(rate=1.0, now=100.0) for _ in range(3000)]
    assert max(Counter(int(wait) for wait in many).values()) <= 200


def test_limit_shrinks_on_latency_and_grows_back() -> None:
    limit = AdaptiveLimit()
    limit.resize(10.0, 40)
    now = 0.0
    for _ in range(200):
        now += 0.02
        limit.add(4.0, True, now)
    assert limit.limit == 5.0
    for _ in range(400):
        now += 0.02
        limit.add(1.0, True, now)
    assert limit.limit > 10.0


def test_limit_borrows_until_a_worker_says_busy() -> None:
    limit = AdaptiveLimit()
    limit.resize(10.0, 40)
    now = 0.0
    for _ in range(400):
        now += 0.02
        limit.add(1.0, True, now)
    borrowed = limit.limit
    assert borrowed > 20.0
    for step in range(1000):
        now += 0.02
        limit.add(1.0, True, now)
        if step % 20 == 0:
            limit.record_busy(now)
    assert limit.limit == 10.0
    for _ in range(400):
        now += 0.02
        limit.record_busy(now)
        limit.add(1.0, True, now)
    assert limit.limit == 5.0
