"""Test load plans and the counting of responses."""

from __future__ import annotations

import anyio
import click
import httpx
import pytest

from mustardward.cli.load import parse_target
from mustardward.helpers.timer import DrivenTimerService
from mustardward.load.models import LoadPlan, LoadResult, Target, plan_requests
from mustardward.load.runner import LoadRunner
from mustardward.state.models.templates import Urgency

pytestmark = pytest.mark.anyio

PLAN = LoadPlan(
    entries=("http://entry-1", "http://entry-2"),
    targets=(Target("dairy", "climate"), Target("gauge", "quote")),
    rate=10.0,
    seconds=1.0,
)


async def async_run_load(plan: LoadPlan, handler: object) -> LoadResult:
    timers = DrivenTimerService()
    results: list[LoadResult] = []
    transport = httpx.MockTransport(handler)  # type: ignore[arg-type]
    async with (
        httpx.AsyncClient(transport=transport) as client,
        anyio.create_task_group() as tasks,
    ):

        async def run() -> None:
            results.append(await LoadRunner(plan, timers, client).async_run())

        tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        while not results:
            await timers.async_advance(0.05)
            await anyio.wait_all_tasks_blocked()
    return results[0]


def test_a_seed_fixes_the_whole_load() -> None:
    plan = LoadPlan(PLAN.entries, PLAN.targets, rate=1000.0, seconds=2.0, seed=7)
    requests = list(plan_requests(plan))
    assert requests == list(plan_requests(plan))
    assert len(requests) == 2000
    urgent = sum(request.urgency is Urgency.URGENT for request in requests)
    long = sum(request.urgency is Urgency.LONG for request in requests)
    assert 1300 < urgent < 1500
    assert 140 < long < 260
    assert {request.entry for request in requests} == set(plan.entries)
    assert {request.target for request in requests} == set(plan.targets)


async def test_responses_are_counted_by_outcome() -> None:
    responses = [
        httpx.Response(200, json={"request": "load-0"}),
        httpx.Response(200, json={"request": "load-77"}),
        httpx.Response(503, headers={"mw-ran": "no"}),
        httpx.Response(502, headers={"mw-ran": "unknown"}),
        httpx.Response(500),
    ]

    def handle(request: httpx.Request) -> httpx.Response:
        number = int(request.headers["mw-request-id"].removeprefix("load-"))
        if number >= len(responses):
            raise httpx.ConnectError("connection refused")
        return responses[number]

    plan = LoadPlan(PLAN.entries, PLAN.targets, 10.0, 0.6, urgent_share=1.0)
    counts = (await async_run_load(plan, handle)).classes["urgent"]
    assert (counts.answered, counts.mixed_up) == (2, 1)
    assert (counts.refused_not_run, counts.refused_unknown) == (1, 1)
    assert (counts.failed, counts.unreachable) == (1, 1)


async def test_latency_counts_from_when_a_request_was_due() -> None:
    """Guard against latency measured from the time of sending.

    The load generator is paused for a second, then sends all overdue requests.
    Measured from sending, percentiles would look good while callers wait.
    """
    timers = DrivenTimerService()
    plan = LoadPlan(PLAN.entries, PLAN.targets, 10.0, 1.0, urgent_share=1.0)
    transport = httpx.MockTransport(lambda request: httpx.Response(200))
    async with (
        httpx.AsyncClient(transport=transport) as client,
        anyio.create_task_group() as tasks,
    ):
        runner = LoadRunner(plan, timers, client)
        tasks.start_soon(runner.async_run)
        await anyio.wait_all_tasks_blocked()
        timers.pause(1.0)
        await timers.async_advance(0.0)
        await anyio.wait_all_tasks_blocked()
    summary = runner._result.classes["urgent"].summary()
    assert summary["answered"] == 10
    assert summary["max_ms"] == pytest.approx(900.0, rel=0.01)


async def test_a_load_limits_its_requests_in_flight() -> None:
    release = anyio.Event()
    plan = LoadPlan(PLAN.entries, PLAN.targets, 10.0, 1.0, max_in_flight=3)
    received: list[str] = []

    async def block_request(request: httpx.Request) -> httpx.Response:
        received.append(request.headers["mw-request-id"])
        await release.wait()
        return httpx.Response(200)

    timers = DrivenTimerService()
    async with (
        httpx.AsyncClient(transport=httpx.MockTransport(block_request)) as client,
        anyio.create_task_group() as tasks,
    ):
        runner = LoadRunner(plan, timers, client)
        tasks.start_soon(runner.async_run)
        for _ in range(12):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(0.1)
        sent = len(received)
        release.set()
    assert sent == 3
    assert runner._result.held_back == 7


@pytest.mark.parametrize("text", ["dairy", "/climate", "dairy/", "dairy/climate/now"])
def test_a_target_is_an_organisation_and_a_service(text: str) -> None:
    assert parse_target("dairy/climate") == Target("dairy", "climate")
    with pytest.raises(click.BadParameter):
        parse_target(text)
