"""Test HTTP calls over persistent connections and the errors of failed calls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardward.embedded.thread_context import async_run_in_thread
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.http import HttpCaller, _Host

pytestmark = pytest.mark.anyio

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def build_response(
    body: bytes = b"ok", extra_headers: str = "", status: int = 200
) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n"
    return head.encode() + body


async def async_read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request and return its head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            head += await reader.readexactly(int(value))
    return head


class Server:
    """Server with a scripted connection handler that counts its connections."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.connections = 0
        self.requests: list[bytes] = []
        self.address = ""

    async def async_handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def run_server(serve: Serve) -> AsyncIterator[Server]:
    server = Server(serve)
    listening = await asyncio.start_server(server.async_handle, "127.0.0.1", 0)
    server.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    try:
        yield server
    finally:
        listening.close()


def respond_with(*responses: bytes) -> Serve:
    """Return a handler that sends these responses on each connection, then closes."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in responses:
            await async_read_request(reader)
            writer.write(response)
            await writer.drain()

    return async_serve


async def async_get(http: HttpCaller, server: Server, **options: float) -> bytes:
    url = f"http://{server.address}/a"
    response = await http.async_call("GET", url, timeout_seconds=1.0, **options)
    return response.body


async def async_post(http: HttpCaller, server: Server, timeout: float = 1.0) -> bytes:
    url = f"http://{server.address}/a"
    response = await http.async_call("POST", url, body=b"x", timeout_seconds=timeout)
    return response.body


async def test_sequential_calls_share_a_connection() -> None:
    async with run_server(
        respond_with(build_response(b"1"), build_response(b"2"))
    ) as server:
        http = HttpCaller()
        assert [await async_get(http, server) for _ in "ab"] == [b"1", b"2"]
        assert server.connections == 1


async def test_request_includes_query_headers_and_body() -> None:
    seen: list[bytes] = []

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await async_read_request(reader))
        writer.write(build_response(extra_headers="X-Id: 7\r\n", status=409))
        await writer.drain()

    async with run_server(async_serve) as server:
        response = await HttpCaller().async_call(
            "POST",
            f"http://{server.address}/log",
            timeout_seconds=1.0,
            body=b"abc",
            params={"name": "owner/shard 0"},
            headers={"X-Token": "3"},
        )
    lines = seen[0].split(b"\r\n")
    assert lines[0] == b"POST /log?name=owner/shard+0 HTTP/1.1"
    assert b"X-Token: 3" in lines and b"Content-Length: 3" in lines
    assert lines[-1] == b"abc"
    assert (response.status, response.header("x-id")) == (409, "7")


async def test_refused_connection_means_nothing_was_sent() -> None:
    async with run_server(respond_with()) as server:
        pass
    with pytest.raises(CallRefusedError):
        await async_post(HttpCaller(), server)


async def test_truncated_response_is_an_error() -> None:
    async with run_server(respond_with(build_response(b"whole")[:-2])) as server:
        with pytest.raises(CallUnknownError):
            await async_post(HttpCaller(), server)


def close_on_second_request(seen: list[bytes]) -> Serve:
    """Return a handler that closes each connection after its second request."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await async_read_request(reader))
        writer.write(build_response())
        await writer.drain()
        seen.append(await async_read_request(reader))

    return async_serve


async def test_post_on_a_closed_connection_is_not_repeated() -> None:
    """Guard against a start that is executed twice.

    A worker closes a persistent connection while the next command is sent on it. The
    command may have been read, so the client must not send it again by itself.
    """
    seen: list[bytes] = []
    async with run_server(close_on_second_request(seen)) as server:
        http = HttpCaller()
        await async_post(http, server)
        with pytest.raises(CallUnknownError):
            await async_post(http, server)
    assert (len(seen), server.connections) == (2, 1)


async def test_get_on_a_closed_connection_is_repeated() -> None:
    seen: list[bytes] = []
    async with run_server(close_on_second_request(seen)) as server:
        http = HttpCaller()
        assert [await async_get(http, server) for _ in "ab"] == [b"ok", b"ok"]
    assert (len(seen), server.connections) == (3, 2)


async def test_late_response_is_not_used_for_the_next_call() -> None:
    """Guard against a caller that receives the response to another caller's request.

    A call times out and its response arrives later on the same connection, where the
    next call waits, if a connection with an unfinished exchange is reused.
    """
    is_first = True

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal is_first
        late, is_first = is_first, False
        await async_read_request(reader)
        await asyncio.sleep(0.2 if late else 0.0)
        writer.write(build_response(b"late" if late else b"own"))
        await writer.drain()

    async with run_server(async_serve) as server:
        http = HttpCaller()
        with pytest.raises(CallUnknownError):
            await async_post(http, server, timeout=0.1)
        assert await async_post(http, server) == b"own"
        await anyio.sleep(0.2)
        assert await async_post(http, server) == b"own"


async def test_read_timeout_ends_a_stalled_response() -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        for part in (build_response(b"abc")[:-3], b"a", b"b"):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.06)
        await asyncio.sleep(5.0)

    async with run_server(async_serve) as server:
        started_at = time.monotonic()
        with pytest.raises(CallUnknownError):
            await async_get(HttpCaller(), server, read_timeout_seconds=0.15)
        assert 0.15 < time.monotonic() - started_at < 0.9


async def test_calls_beyond_the_connection_limit_wait() -> None:
    async with run_server(respond_with(*[build_response()] * 9)) as server:
        http = HttpCaller(max_connections_per_host=2)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(async_post, http, server)
        assert server.connections == 2


async def test_timeout_while_waiting_for_a_connection_means_nothing_was_sent() -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        await asyncio.sleep(0.3)
        writer.write(build_response())

    async with run_server(async_serve) as server:
        http = HttpCaller(max_connections_per_host=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_post, http, server)
            await anyio.sleep(0.02)
            with pytest.raises(CallRefusedError):
                await async_post(http, server, timeout=0.1)
        assert await async_post(http, server) == b"ok"


async def test_blocked_event_loop_does_not_time_out_calls() -> None:
    """Guard against an owner that stops and restarts tasks after its own delay.

    The event loop is blocked for longer than the timeout of the calls in flight while
    their responses arrive in the sockets, and then runs expired timers before it reads
    the responses.
    """
    async with async_run_in_thread(
        run_server(respond_with(*[build_response()] * 9))
    ) as server:
        http = HttpCaller()
        outcomes: list[bytes] = []

        async def async_one(timeout: float) -> None:
            outcomes.append(await async_post(http, server, timeout))

        for timeout in (1.0, 0.1):
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(async_one, timeout)
                await anyio.lowlevel.checkpoint()
                if timeout < 1.0:
                    time.sleep(0.3)  # noqa: ASYNC251 - it blocks the event loop
        assert outcomes == [b"ok"] * 16


async def test_unused_hosts_are_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against exhausted file descriptors after many instances have moved."""
    monkeypatch.setattr("mustardward.platform.http.KEEP_ALIVE_SECONDS", 0.0)
    monkeypatch.setattr("mustardward.platform.http.PRUNE_INTERVAL_SECONDS", 0.0)
    http = HttpCaller()
    for _ in range(5):
        async with run_server(respond_with(build_response())) as server:
            await async_post(http, server)
    assert len(http._hosts) == 1


async def test_new_hosts_do_not_each_scan_all_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an owner of 3,000 workers that starts nothing and renews late.

    It calls each worker for the first time. If each of these calls scans all hosts for
    unused ones, the work grows with the square of the fleet.
    """
    checks = 0
    close_idle = _Host.close_idle

    def count(host: _Host, now: float, idle_seconds: float) -> None:
        nonlocal checks
        checks += 1
        close_idle(host, now, idle_seconds)

    monkeypatch.setattr(_Host, "close_idle", count)
    # Simulates a connection to each host without opening that many.
    monkeypatch.setattr(_Host, "unused", False)
    http = HttpCaller()
    hosts = 300
    for number in range(hosts):
        with pytest.raises(CallRefusedError):
            await http.async_call(
                "GET",
                f"http://127.0.1.{number % 250 + 1}:{9 + number // 250}/",
                timeout_seconds=1.0,
            )
    assert checks <= 2 * hosts


@given(st.lists(st.integers(1, 30), max_size=12), st.booleans(), st.binary())
def test_response_is_complete_for_any_split_of_its_bytes(
    part_sizes: list[int], chunked: bool, body: bytes
) -> None:
    response = build_response(body)
    if chunked:
        parts = b"".join(
            b"%x\r\n%b\r\n" % (1, body[i : i + 1]) for i in range(len(body))
        )
        response = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + parts
        response += b"0\r\n\r\n"

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        rest = response
        for size in part_sizes:
            writer.write(rest[:size])
            rest = rest[size:]
            await asyncio.sleep(0)
        writer.write(rest)
        await writer.drain()

    async def async_run() -> bytes:
        async with run_server(async_serve) as server:
            return await async_get(HttpCaller(), server)

    assert asyncio.run(async_run()) == body
