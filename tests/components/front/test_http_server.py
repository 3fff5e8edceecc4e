"""Test that limits of heads are exact towards well-behaved callers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from aiohttp import web
from anyio.abc import SocketStream

from mustardward.components.front.body import (
    BodyTimeoutError,
    async_read_body,
    body_timeout_seconds,
)
from mustardward.components.front.connections import (
    ConnectionLimits,
    ConnectionTable,
    build_connections,
)
from mustardward.components.front.http_server import LimitedServer, site_of
from mustardward.platform.models import CallerLimits

pytestmark = pytest.mark.anyio

LIMITS = CallerLimits()
TIMEOUT_SECONDS = 20.0
HOST = b"Host: a\r\n"
START = b"GET / HTTP/1.1\r\n" + HOST


async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
    """Answer with the size of the body, unless it is to be refused."""
    if request.path == "/refused":
        return web.Response(status=413)
    timeout_seconds = 0.05 if request.path == "/impatient" else TIMEOUT_SECONDS
    try:
        body = await async_read_body(request, 10**6, timeout_seconds)
    except BodyTimeoutError:
        return web.Response(status=408)
    return web.Response(text=str(len(body)))


@asynccontextmanager
async def async_serve(table: ConnectionTable) -> AsyncIterator[tuple[str, int]]:
    """Yield the address of a server with the default limits of requests."""
    server = LimitedServer(async_handle, table, lambda: LIMITS)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await site_of(runner, "127.0.0.1", 0, table).start()
    try:
        with anyio.fail_after(TIMEOUT_SECONDS):
            yield runner.addresses[0]
    finally:
        await runner.cleanup()


@asynccontextmanager
async def async_connect() -> AsyncIterator[SocketStream]:
    """Yield a connection to a server with the default limits."""
    async with async_serve(build_connections()) as address:
        async with await anyio.connect_tcp(*address) as stream:
            yield stream


async def async_read(stream: SocketStream, until: bytes, count: int = 1) -> bytes:
    """Return what is received until a text was received so often."""
    received = b""
    while received.count(until) < count:
        received += await stream.receive()
    return received


async def async_read_all(stream: SocketStream) -> bytes:
    """Return what is received until the connection is closed."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def test_a_field_as_large_as_the_limit_of_the_head_is_accepted() -> None:
    """Guard against a limit of a line that is below the one of the whole head."""
    field = b"X: " + b"a" * (LIMITS.max_header_bytes - len(HOST) - 5) + b"\r\n"
    async with async_connect() as stream:
        await stream.send(START + field + b"\r\n")
        assert (await async_read(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 200")


async def test_a_head_that_arrives_in_pieces_is_accepted() -> None:
    """Guard against counting the heads of earlier requests of a connection."""
    field = b"X: " + b"a" * 6_000 + b"\r\n"
    async with async_connect() as stream:
        for _ in range(10):
            for piece in (b"\r\n", START, field, field, b"\r\n"):
                await stream.send(piece)
                await anyio.sleep(0.01)
            response = await async_read(stream, b"\r\n\r\n0")
            assert response.startswith(b"HTTP/1.1 200")


async def test_requests_in_a_row_are_answered() -> None:
    """Guard against counting requests that wait as an unfinished head."""
    field = b"X: " + b"a" * 4_000 + b"\r\n"
    body = b"Content-Length: 9000\r\n\r\n" + b"b" * 9_000
    async with async_connect() as stream:
        async with anyio.create_task_group() as tasks:
            request = b"POST / HTTP/1.1\r\n" + HOST + field + body
            tasks.start_soon(stream.send, request * 100)
            received = await async_read(stream, b"\r\n\r\n9000", 100)
    assert received.count(b"HTTP/1.1 200") == 100


async def test_bodies_that_arrive_in_pieces_are_accepted() -> None:
    """Guard against counting the last piece of a body as a part of the next head."""
    piece = b"b" * 50_000
    head = START.replace(b"GET", b"POST") + b"Content-Length: 200000\r\n\r\n"
    async with async_connect() as stream:
        for _ in range(3):
            await stream.send(head)
            for _ in range(4):
                await anyio.sleep(0.02)
                await stream.send(piece)
            received = await async_read(stream, b"\r\n\r\n200000")
            assert received.startswith(b"HTTP/1.1 200")


async def test_the_refusal_of_a_body_that_still_arrives_is_received() -> None:
    """Guard against a connection that is reset before its refusal was read."""
    head = b"POST /refused HTTP/1.1\r\n" + HOST + b"Content-Length: 9000000\r\n\r\n"
    async with async_connect() as stream:
        await stream.send(head)
        for _ in range(20):
            await anyio.sleep(0.005)
            await stream.send(b"b" * 10_000)
        assert (await async_read_all(stream)).startswith(b"HTTP/1.1 413")


async def test_a_whole_head_over_the_limit_is_refused() -> None:
    """Guard against a head of many fields, each of which is within the limit."""
    field = b"X: " + b"a" * 5_000 + b"\r\n"
    async with async_connect() as stream:
        await stream.send(START + field * 4 + b"\r\n")
        assert (await async_read_all(stream)).startswith(b"HTTP/1.1 431")


async def test_an_unfinished_head_over_the_limit_is_refused() -> None:
    """Guard against waiting for the end of a head that is too large already."""
    field = b"X: " + b"a" * 5_000 + b"\r\n"
    async with async_connect() as stream:
        await stream.send(START + field)
        for _ in range(6):
            await anyio.sleep(0.01)
            await stream.send(field)
        assert (await async_read_all(stream)).startswith(b"HTTP/1.1 431")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (START + b"secret\r\n\r\n", b"400"),
        (b"\x00secret\r\n\r\n", b"400"),
        (START + b"X: " + b"secret" * 4_000, b"431"),
        (START + b"Transfer-Encoding: chunked\r\n\r\nsecret\r\n", b"400"),
    ],
    ids=["field", "line", "size", "chunk"],
)
async def test_a_malformed_request_is_answered_without_its_content(
    sent: bytes, status: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against answers that repeat what was sent, and tracebacks in the log."""
    async with async_connect() as stream:
        await stream.send(sent)
        response = await async_read_all(stream)
    assert response.split()[1] == status
    assert b"application/json" in response
    assert b"secret" not in response
    assert caplog.records == []


async def test_a_body_whose_connection_is_closed_for_memory_leaves_no_traceback(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against library errors for each caller that is closed while it sends."""
    head = START.replace(b"GET", b"POST") + b"Content-Length: 5000\r\n\r\n"
    async with async_serve(ConnectionTable(ConnectionLimits(9, 9, 1_000))) as address:
        async with (
            await anyio.connect_tcp(*address) as oldest,
            await anyio.connect_tcp(*address) as other,
        ):
            for stream in (oldest, other):
                await stream.send(head + b"b" * 300)
                await anyio.sleep(0.05)
            await oldest.send(b"b" * 500)
            assert await async_read_all(oldest) == b""
            await other.send(b"b" * 4_700)
            assert (await async_read(other, b"5000")).startswith(b"HTTP/1.1 200")
    assert [record.name for record in caplog.records] == ["absl"]


async def test_a_body_that_never_ends_is_refused() -> None:
    """Guard against requests that stay in progress as long as the caller likes."""
    head = b"POST /impatient HTTP/1.1\r\n" + HOST + b"Content-Length: 5000\r\n\r\n"
    async with async_connect() as stream:
        await stream.send(head + b"b" * 300)
        assert (await async_read_all(stream)).startswith(b"HTTP/1.1 408")


def test_a_slow_link_has_time_for_the_largest_body() -> None:
    """Guard against a time limit that a link of 5 Mbit/s misses."""
    for max_bytes in (1, LIMITS.max_body_bytes, 100 * 2**20):
        assert body_timeout_seconds(max_bytes) > 10 * max_bytes * 8 / 5e6
