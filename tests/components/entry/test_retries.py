"""Try again on other workers, beside a slow one, and in other data centres."""

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
    RunningEntry,
    SeenRequest,
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


async def fail(stream: SocketStream, seen: SeenRequest) -> bool:
    await stream.send(build_response(seen, b"broken", 503))
    return True


async def never_answer(stream: SocketStream, seen: SeenRequest) -> bool:
    await anyio.sleep_forever()
    return False


@pytest.mark.parametrize(("method", "status"), [("GET", 200), ("POST", 503)])
async def test_a_worker_failure_is_tried_past_if_that_is_safe(
    method: str, status: int
) -> None:
    async with running_entry(fail, respond_ok) as (entry, (_, second)):
        answer = await call(entry, method)
    assert answer.status_code == status
    assert len(second.seen) == (method == "GET")
    assert len(entry.router.attempts) == entry.finished[0].attempts


async def test_a_slow_attempt_is_overtaken_and_cancelled() -> None:
    """Answer urgent reads although one worker hangs.

    Symptom: the tablets wait at dawn. Sequence: the first worker chosen hangs. Cause:
    nothing else is tried before the deadline.
    """
    async with running_entry(never_answer, respond_ok) as (entry, workers):
        entry.retries.hedge_seconds = 0.01
        answer = await call(entry, "GET")
    assert answer.content == b"done"
    assert [len(worker.seen) for worker in workers] == [1, 1]
    assert sorted(entry.router.outcomes) == ["answered:", "unknown:abandoned"]
    assert entry.service.unfinished == 0


async def test_a_fast_attempt_needs_no_second() -> None:
    async with running_entry(respond_ok, respond_ok) as (entry, workers):
        entry.retries.hedge_seconds = 30.0
        answer = await call(entry, "GET")
    assert answer.content == b"done"
    assert (entry.retries.hedges, len(workers[1].seen)) == (0, 0)


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
        answer = await call(entry, "POST", headers)
        assert entry.service.unfinished == 0
    return answer, peers


async def test_an_overloaded_data_centre_lets_another_serve() -> None:
    headers = ((b"content-length", b"3"),)
    result = Success(WorkerResponse(200, headers, BufferedBody(b"far")))
    answer, peers = await forwarded(result)
    assert (answer.content, peers.forwarded) == (b"far", ["entry-9"])


@pytest.mark.parametrize(
    ("outcome", "ran"),
    [(AttemptOutcome.REFUSED, "no"), (AttemptOutcome.UNKNOWN, "unknown")],
)
async def test_a_lost_forward_is_not_called_not_run(
    outcome: AttemptOutcome, ran: str
) -> None:
    """Count what another entry may have run.

    Symptom: an order is repeated that ran elsewhere. Sequence: the other entry took it,
    its answer was lost, and the refusal here says "not run". Cause: only the attempts
    on own workers were counted.
    """
    answer, _ = await forwarded(Failure(FailedAttempt(outcome, "lost")))
    assert (answer.status_code, answer.headers["mw-ran"]) == (503, ran)


async def test_a_keyed_request_stays_in_its_data_centre() -> None:
    """Let only the data centre that holds the intent dispatch.

    Symptom: an order under a key runs in two data centres. Sequence: one is overloaded
    and forwards. Cause: the intents of each stand in its own log.
    """
    answer, peers = await forwarded(None, {"idempotency-key": "order-1"})
    assert (answer.headers["mw-ran"], peers.forwarded) == ("unknown", [])
