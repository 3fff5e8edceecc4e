"""Test callers' requests through a listening entry to a worker."""

from __future__ import annotations

import anyio
import httpx
import pytest

from tests.fakes.entry import (
    ReceivedRequest,
    SocketStream,
    build_response,
    respond_ok,
    running_entry,
)

pytestmark = pytest.mark.anyio


async def test_request_and_response_are_forwarded() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient() as client:
            response = await client.post(
                f"{entry.url}/hvelv/turn/racks/4?side=b",
                content=b"flip",
                headers={"mw-request-id": "dawn-1", "x-shop": "north"},
            )
    assert (response.status_code, response.content) == (200, b"done")
    assert response.headers["mw-request-id"] == "dawn-1"
    (request,) = worker.requests
    assert (request.method, request.target, request.body) == (
        "POST",
        "/serve/turn/racks/4?side=b",
        b"flip",
    )
    assert request.headers["mw-request-id"] == "dawn-1"
    assert request.headers["mw-organisation"] == "hvelv"
    assert request.headers["mw-class"] == "normal"
    assert request.headers["mw-pool-generation"] == "7"
    assert request.headers["mw-deadline-seconds"] == "30.000"
    assert request.headers["x-shop"] == "north"
    assert entry.router.outcomes == ["answered:"]
    assert entry.limiter.released == [True]
    assert [(f.status, f.ran.value, f.cause) for f in entry.finished] == [
        (200, "yes", "")
    ]


async def test_large_bodies_are_streamed_both_ways() -> None:
    large = bytes(range(256)) * 4096

    async def echo(stream: SocketStream, request: ReceivedRequest) -> bool:
        await stream.send(build_response(request, request.body))
        return True

    async with running_entry(echo) as (entry, _):
        async with httpx.AsyncClient() as client:
            response = await client.put(f"{entry.url}/hvelv/turn/", content=large)
    assert response.content == large


async def test_connections_to_a_worker_are_reused() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient() as client:
            for _ in range(5):
                await client.get(f"{entry.url}/hvelv/turn/")
    assert (len(worker.requests), worker.connections) == (5, 1)


async def test_http2_callers_are_served() -> None:
    async with running_entry(respond_ok) as (entry, _):
        async with httpx.AsyncClient(http1=False, http2=True) as client:
            response = await client.get(f"{entry.url}/hvelv/turn/")
    assert (response.http_version, response.content) == ("HTTP/2", b"done")


async def test_readiness_probe_fails_while_draining() -> None:
    async with running_entry(respond_ok) as (entry, _):
        async with httpx.AsyncClient() as client:
            before = await client.get(f"{entry.url}/-/ready")
            entry.health.start_draining()
            after = await client.get(f"{entry.url}/-/ready")
            healthy = await client.get(f"{entry.url}/-/healthy")
    assert (before.status_code, after.status_code, healthy.status_code) == (
        200,
        503,
        200,
    )
    assert after.headers["connection"] == "close"


async def test_connection_closed_by_its_caller_is_closed() -> None:
    """Guard against running out of connections after a burst of short-lived ones.

    Callers open a connection for each request and close it; a server that keeps its
    side open until the idle timeout accumulates them.
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
