"""Test the limiter service, the adaptive limit and the pacing of retries."""

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
from mustardward.components.limits.retry_pacing import RetryAfterPacer
from mustardward.components.limits.services import LimiterService
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


class LimiterHarness:
    """Provide a limiter with its fakes."""

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


async def test_waiting_request_gets_a_released_permit() -> None:
    harness = LimiterHarness(slots=1)
    first = (await harness.limiter.async_admit(build_facts())).unwrap()
    results: list[Any] = []

    async def async_wait() -> None:
        results.append(await harness.limiter.async_admit(build_facts()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_wait)
        await anyio.wait_all_tasks_blocked()
        assert not results
        first.release(0.1, True)
        first.release(0.1, True)
    assert isinstance(results[0], Success)
    assert harness.limiter.stats()["pool-1"].in_flight == 1


async def test_cancelled_caller_holds_no_permit() -> None:
    """Guard against a limit that shrinks by one at times until nothing is admitted.

    A caller gives up while it waits. If its ticket stayed in the queue, a permit would
    be granted to it later and never released.
    """
    harness = LimiterHarness(slots=1)
    first = (await harness.limiter.async_admit(build_facts())).unwrap()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.limiter.async_admit, build_facts())
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    first.release(0.1, True)
    assert harness.limiter.stats()["pool-1"].in_flight == 0
    assert isinstance(await harness.limiter.async_admit(build_facts()), Success)


async def test_refusal_states_cause_and_retry_after() -> None:
    harness = LimiterHarness(slots=0)
    refused = await harness.limiter.async_admit(build_facts())
    assert isinstance(refused, Failure)
    refusal = refused.failure()
    assert (refusal.code, refusal.status, refusal.ran) == ("no-worker", 503, "no")
    assert refusal.retry_after_seconds is not None
    expired = build_facts(deadline=harness.timers.monotonic())
    expired_refusal = (await harness.limiter.async_admit(expired)).failure()
    assert (expired_refusal.status, expired_refusal.retry_after_seconds) == (504, None)


async def test_recovered_workers_admit_waiting_requests() -> None:
    harness = LimiterHarness(slots=1)
    await harness.limiter.async_admit(build_facts())
    urgent = build_facts(urgency=Urgency.URGENT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.limiter.async_admit, urgent)
        await anyio.wait_all_tasks_blocked()
        await harness.timers.async_advance(0.1)
        assert SlotReclaimRequested("pool-1", 1) in harness.events
        harness.slots = 2
        await harness.timers.async_advance(0.2)
    assert harness.limiter.stats()["pool-1"].in_flight == 2


async def test_reserve_follows_template_changes() -> None:
    harness = LimiterHarness(slots=10)
    parameters = Parameters(
        services=(ServiceBinding("quotes", "pool-1"),), urgent_reserve=0.5
    )
    harness.log.state.organisations["small"] = Organisation(
        "small", "template", 1, 1, Overrides(), parameters
    )
    harness.log.sequence += 1
    for _ in range(5):
        await harness.limiter.async_admit(build_facts())
    admitted: list[Any] = []

    async def async_wait() -> None:
        admitted.append(await harness.limiter.async_admit(build_facts()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(async_wait)
        await anyio.wait_all_tasks_blocked()
        assert not admitted
        organisation = harness.log.state.organisations["small"]
        harness.log.state.organisations["small"] = Organisation(
            organisation.name, "template", 1, 2, Overrides(), Parameters()
        )
        harness.log.sequence += 1
        await harness.timers.async_advance(0.2)
    assert isinstance(admitted[0], Success)


def test_retry_delays_are_spread() -> None:
    """Guard against load that oscillates between idle and overload.

    If a thousand callers that are refused at once got the same ``Retry-After``, they
    would return together.
    """
    pacer = RetryAfterPacer(Random(1))
    delays = [pacer.next_delay_seconds(rate=100.0, now=50.0) for _ in range(1000)]
    by_second = Counter(int(delay) for delay in delays)
    assert min(delays) >= 1.0
    assert max(delays) <= 30.0
    assert max(by_second.values()) <= 60
    many = [pacer.next_delay_seconds(rate=1.0, now=100.0) for _ in range(3000)]
    assert max(Counter(int(delay) for delay in many).values()) <= 200


def test_limit_shrinks_on_latency_and_recovers() -> None:
    limit = AdaptiveLimit()
    limit.resize(10.0, 40)
    now = 0.0
    for _ in range(200):
        now += 0.02
        limit.record(4.0, True, now)
    assert limit.limit == 5.0
    for _ in range(400):
        now += 0.02
        limit.record(1.0, True, now)
    assert limit.limit > 10.0


def test_limit_borrows_until_workers_refuse_as_busy() -> None:
    limit = AdaptiveLimit()
    limit.resize(10.0, 40)
    now = 0.0
    for _ in range(400):
        now += 0.02
        limit.record(1.0, True, now)
    borrowed = limit.limit
    assert borrowed > 20.0
    for step in range(1000):
        now += 0.02
        limit.record(1.0, True, now)
        if step % 20 == 0:
            limit.record_busy(now)
    assert limit.limit == 10.0
    for _ in range(400):
        now += 0.02
        limit.record_busy(now)
        limit.record(1.0, True, now)
    assert limit.limit == 5.0
