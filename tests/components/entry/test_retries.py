"""Test retries, hedged attempts and forwarding to other data centres."""

from __future__ import annotations

import anyio
import httpx
import pytest
from returns.result import Failure, Success

from mustardward.components.entry.models import AttemptOutcome, Ran, RequestRefusal
from mustardward.components.entry.protocols import FailedAttempt, WorkerResponse
from mustardward.components.entry.response import BufferedBody
from mustardward.components.routing.models import RemoteChoice
from tests.fakes.entry import (
    FakeIntents,
    FakePeers,
    ReceivedRequest,
    RunningEntry,
    SocketStream,
    build_response,
    respond_ok,
    running_entry,
)
from tests.fakes.policy import build_member

pytestmark = pytest.mark.anyio

OVERLOADED = RequestRefusal("overloaded", 503, Ran.NO, "full", 1.0)


async def call(
    entry: RunningEntry, method: str, headers: dict[str, str] | None = None
) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        url = f"{entry.url}/hvelv/turn/"
        return await client.request(method, url, headers=headers)


async def respond_server_error(stream: SocketStream, request: ReceivedRequest) -> bool:
    await stream.send(build_response(request, b"broken", 503))
    return True


async def hang(stream: SocketStream, request: ReceivedRequest) -> bool:
    await anyio.sleep_forever()
    return False


@pytest.mark.parametrize(("method", "status"), [("GET", 200), ("POST", 503)])
async def test_server_error_is_retried_if_idempotent(method: str, status: int) -> None:
    async with running_entry(respond_server_error, respond_ok) as (entry, (_, second)):
        response = await call(entry, method)
    assert response.status_code == status
    assert len(second.requests) == (method == "GET")
    assert len(entry.router.attempts) == entry.finished[0].attempts


async def test_slow_attempt_is_hedged_and_cancelled() -> None:
    """Guard against urgent reads that wait for their deadline on one hung worker.

    Without a hedged attempt, nothing else is tried while the first worker hangs.
    """
    async with running_entry(hang, respond_ok) as (entry, workers):
        entry.retries.hedge_seconds = 0.01
        response = await call(entry, "GET")
    assert response.content == b"done"
    assert [len(worker.requests) for worker in workers] == [1, 1]
    assert sorted(entry.router.outcomes) == ["answered:", "unknown:abandoned"]
    assert entry.service.unfinished == 0


async def test_fast_attempt_is_not_hedged() -> None:
    async with running_entry(respond_ok, respond_ok) as (entry, workers):
        entry.retries.hedge_seconds = 30.0
        response = await call(entry, "GET")
    assert response.content == b"done"
    assert (entry.retries.hedges, len(workers[1].requests)) == (0, 0)


async def forwarded(
    result: object, headers: dict[str, str] | None = None
) -> tuple[httpx.Response, FakePeers]:
    peers = FakePeers(result)  # type: ignore[arg-type]
    async with running_entry(respond_ok, peers=peers, intents=FakeIntents()) as (
        entry,
        _,
    ):
        entry.limiter.refusal = OVERLOADED
        entry.router.remote = RemoteChoice(build_member("entry-9", "dc-b"), "far-1")
        response = await call(entry, "POST", headers)
        assert entry.service.unfinished == 0
    return response, peers


async def test_overloaded_data_centre_forwards() -> None:
    headers = ((b"content-length", b"3"),)
    result = Success(WorkerResponse(200, headers, BufferedBody(b"far")))
    response, peers = await forwarded(result)
    assert (response.content, peers.forwarded) == (b"far", ["entry-9"])


@pytest.mark.parametrize(
    ("outcome", "ran"),
    [(AttemptOutcome.REFUSED, "no"), (AttemptOutcome.UNKNOWN, "unknown")],
)
async def test_forward_without_response_may_have_run(
    outcome: AttemptOutcome, ran: str
) -> None:
    """Guard against a repeat of a request that ran in another data centre.

    If the other entry accepted the request and its response was lost, the refusal must
    not report "not run" just because no local attempt ran.
    """
    response, _ = await forwarded(Failure(FailedAttempt(outcome, "lost")))
    assert (response.status_code, response.headers["mw-ran"]) == (503, ran)


async def test_keyed_request_is_not_forwarded() -> None:
    """Guard against a keyed request that runs in two data centres.

    Each data centre keeps intents in its own log, so an overloaded one must not forward
    a keyed request.
    """
    response, peers = await forwarded(None, {"idempotency-key": "order-1"})
    assert (response.headers["mw-ran"], peers.forwarded) == ("unknown", [])
