"""Test requests on a simulated worker, with its refusals and faults."""

from __future__ import annotations

import anyio
import httpx
import pytest

from mustardward.helpers.timer import DrivenTimerService

from ..fakes.platform import WorkerBench, async_until, async_worker_bench

pytestmark = pytest.mark.anyio

HEADERS = {
    "mw-attempt-id": "attempt-1",
    "mw-request-id": "request-1",
    "mw-organisation": "dairy",
    "idempotency-key": "key-1",
    "mw-pool-generation": "5",
}


async def async_start_slow_requests(
    worker_bench: WorkerBench, tasks: anyio.abc.TaskGroup, count: int
) -> list[httpx.Response]:
    """Start requests that occupy a slot until the clock advances."""
    responses: list[httpx.Response] = []

    async def call() -> None:
        responses.append(await worker_bench.client.get("/serve/climate/now?sleep=10"))

    for _ in range(count):
        tasks.start_soon(call)
    await async_until(lambda: worker_bench.worker.busy_slots == count)
    return responses


async def test_a_response_names_its_attempt_and_is_recorded() -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        response = await worker_bench.client.post(
            "/serve/climate/now", content=b"wheel", headers=HEADERS
        )
        record = (await worker_bench.client.get("/admin/executions")).json()
    assert response.headers["mw-attempt-id"] == "attempt-1"
    assert response.json()["request"] == "request-1"
    [entry] = record["requests"]
    assert entry["organisation"] == "dairy"
    assert entry["idempotency_key"] == "key-1"
    assert (entry["status"], entry["cut"]) == (200, False)


async def test_a_ninth_request_is_refused_as_not_run() -> None:
    """Guard against a refused request that is reported as run.

    Entries that are unaware of each other fill the slots of a worker, which alone
    knows all its work and refuses the next request.
    """
    timers = DrivenTimerService()
    async with (
        async_worker_bench(timers) as worker_bench,
        anyio.create_task_group() as tasks,
    ):
        responses = await async_start_slow_requests(worker_bench, tasks, 8)
        refused = await worker_bench.client.get("/serve/climate/now")
        await timers.async_advance(10.0)
        await async_until(lambda: len(responses) == 8)
        ran = len(worker_bench.worker.executions.list_executions())
    assert refused.status_code == 503
    assert refused.headers["mw-ran"] == "no"
    assert refused.headers["mw-refusal"] == "busy"
    assert ran == 8


async def test_an_older_pool_generation_is_refused_as_not_run() -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        await worker_bench.client.get("/serve/climate/now", headers=HEADERS)
        older = {**HEADERS, "mw-pool-generation": "4"}
        refused = await worker_bench.client.get("/serve/climate/now", headers=older)
    assert refused.headers["mw-ran"] == "no"
    assert refused.headers["mw-refusal"] == "stale-generation"
    assert worker_bench.worker.executions.refusals == {"stale-generation": 1}


@pytest.mark.parametrize("query", ["size=200000", "size=200000&chunked=1"])
async def test_a_truncated_response_is_an_error_not_a_short_success(query: str) -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        whole = await worker_bench.client.get(
            f"/serve/art/print?{query}", headers=HEADERS
        )
        worker_bench.worker.faults.change(truncate=True)
        with pytest.raises(httpx.RemoteProtocolError):
            await worker_bench.client.get(f"/serve/art/print?{query}", headers=HEADERS)
    assert len(whole.content) == 200_000
    assert set(whole.text.splitlines()[:-1]) == {"request-1"}


async def test_a_connection_closed_after_the_run_is_in_the_record() -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        worker_bench.worker.faults.change(close_without_answer=True)
        with pytest.raises(httpx.TransportError):
            await worker_bench.client.post("/serve/orders/new", headers=HEADERS)
        assert [
            e.request_id for e in worker_bench.worker.executions.list_executions()
        ] == ["request-1"]


async def test_stray_bytes_follow_a_complete_response() -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        worker_bench.worker.faults.change(stray_bytes=True)
        host, port = worker_bench.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET /serve/x HTTP/1.1\r\nhost: x\r\n\r\n")
            received = b""
            while not received.endswith(b"stray"):
                received += await stream.receive()
    assert received.count(b"HTTP/1.1 200") == 2


async def test_faults_apply_to_every_second_request() -> None:
    async with async_worker_bench(DrivenTimerService()) as worker_bench:
        changed = await worker_bench.client.post(
            "/admin/faults", json={"fail_all": True, "every": 2}
        )
        unknown = await worker_bench.client.post(
            "/admin/faults", json={"explode": True}
        )
        statuses = [
            (await worker_bench.client.get("/serve/climate/now")).status_code
            for _ in range(4)
        ]
    assert changed.json()["fail_all"] is True
    assert unknown.status_code == 422
    assert statuses == [200, 500, 200, 500]


async def test_a_reboot_marks_interrupted_executions() -> None:
    timers = DrivenTimerService()
    async with (
        async_worker_bench(timers) as worker_bench,
        anyio.create_task_group() as tasks,
    ):

        async def call() -> None:
            with pytest.raises(httpx.TransportError):
                await worker_bench.client.get(
                    "/serve/climate/now?sleep=10", headers=HEADERS
                )

        tasks.start_soon(call)
        await async_until(lambda: worker_bench.worker.executions.running == 1)
        worker_bench.worker.change_power("reboot", 0)
        await timers.async_advance(10.0)
    [execution] = worker_bench.worker.executions.list_executions()
    assert execution.cut


async def test_usage_is_reported_with_a_delay() -> None:
    timers = DrivenTimerService()
    async with (
        async_worker_bench(timers) as worker_bench,
        anyio.create_task_group() as tasks,
    ):
        await timers.async_advance(5.0)
        responses = await async_start_slow_requests(worker_bench, tasks, 3)
        early = (await worker_bench.client.get("/usage")).json()
        await timers.async_advance(2.0)
        late = (await worker_bench.client.get("/usage")).json()
        await timers.async_advance(10.0)
        await async_until(lambda: len(responses) == 3)
    assert (early["slots_busy"], late["slots_busy"]) == (0, 3)
    assert late["age_seconds"] == 2.0
