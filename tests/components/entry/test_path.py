"""Send callers' requests through a listening entry to a worker."""

from __future__ import annotations

import anyio
import httpx
import pytest

from tests.fakes.entry import (
    SeenRequest,
    SocketStream,
    build_response,
    respond_ok,
    running_entry,
)

pytestmark = pytest.mark.anyio


async def test_a_request_reaches_the_worker_and_its_answer_the_caller() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient() as client:
            answer = await client.post(
                f"{entry.url}/hvelv/turn/racks/4?side=b",
                content=b"flip",
                headers={"mw-request-id": "dawn-1", "x-shop": "north"},
            )
    assert (answer.status_code, answer.content) == (200, b"done")
    assert answer.headers["mw-request-id"] == "dawn-1"
    (seen,) = worker.seen
    assert (seen.method, seen.target, seen.body) == (
        "POST",
        "/serve/turn/racks/4?side=b",
        b"flip",
    )
    assert seen.headers["mw-request-id"] == "dawn-1"
    assert seen.headers["mw-organisation"] == "hvelv"
    assert seen.headers["mw-class"] == "normal"
    assert seen.headers["mw-pool-generation"] == "7"
    assert seen.headers["mw-deadline-seconds"] == "30.000"
    assert seen.headers["x-shop"] == "north"
    assert entry.router.outcomes == ["answered:"]
    assert entry.limiter.released == [True]
    assert [(f.status, f.ran.value, f.cause) for f in entry.finished] == [
        (200, "yes", "")
    ]


async def test_large_bodies_stream_both_ways() -> None:
    large = bytes(range(256)) * 4096

    async def echo(stream: SocketStream, seen: SeenRequest) -> bool:
        await stream.send(build_response(seen, seen.body))
        return True

    async with running_entry(echo) as (entry, _):
        async with httpx.AsyncClient() as client:
            answer = await client.put(f"{entry.url}/hvelv/turn/", content=large)
    assert answer.content == large


async def test_connections_to_a_worker_are_used_again() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient() as client:
            for _ in range(5):
                await client.get(f"{entry.url}/hvelv/turn/")
    assert (len(worker.seen), worker.connections) == (5, 1)


async def test_http2_callers_are_served() -> None:
    async with running_entry(respond_ok) as (entry, _):
        async with httpx.AsyncClient(http1=False, http2=True) as client:
            answer = await client.get(f"{entry.url}/hvelv/turn/")
    assert (answer.http_version, answer.content) == ("HTTP/2", b"done")


async def test_probes_tell_ready_from_leaving() -> None:
    async with running_entry(respond_ok) as (entry, _):
        async with httpx.AsyncClient() as client:
            before = await client.get(f"{entry.url}/-/ready")
            entry.health.leave()
            after = await client.get(f"{entry.url}/-/ready")
            healthy = await client.get(f"{entry.url}/-/healthy")
    assert (before.status_code, after.status_code, healthy.status_code) == (
        200,
        503,
        200,
    )
    assert after.headers["connection"] == "close"


async def test_a_connection_that_its_caller_closed_is_closed_here() -> None:
    """Let go of connections as soon as their callers have.

    Symptom: an entry takes no more connections after a busy minute. Sequence: callers
    open a connection for each request and close it. Cause: the server keeps its side
    until the idle timer runs out.
    """
    async with running_entry(respond_ok) as (entry, _):
        for _ in range(10):
            async with httpx.AsyncClient() as client:
                await client.get(f"{entry.url}/hvelv/turn/")
        with anyio.fail_after(10):
            while True:
                if not entry.listener.connections:
                    break
                await anyio.sleep(0.01)
    assert len(entry.finished) == 10
