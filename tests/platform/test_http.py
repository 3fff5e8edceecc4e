"""Test calls over kept connections, and what is said of those that fail."""

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

from mustardward.embedded.elsewhere import async_elsewhere
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.http import HttpCaller, _Host

pytestmark = pytest.mark.anyio

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def an_answer(body: bytes = b"ok", more: str = "", status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return head.encode() + body


async def async_read_request(reader: asyncio.StreamReader) -> bytes:
    """Return a request's head, its body read too."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            head += await reader.readexactly(int(value))
    return head


class Server:
    """Play a server that a function scripts, and count its connections."""

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
async def a_server(serve: Serve) -> AsyncIterator[Server]:
    server = Server(serve)
    listening = await asyncio.start_server(server.async_handle, "127.0.0.1", 0)
    server.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    try:
        yield server
    finally:
        listening.close()


def answering(*answers: bytes) -> Serve:
    """Return a server that gives these answers on each connection, then closes."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in answers:
            await async_read_request(reader)
            writer.write(answer)
            await writer.drain()

    return async_serve


async def async_get(http: HttpCaller, server: Server, **more: float) -> bytes:
    url = f"http://{server.address}/a"
    answer = await http.async_call("GET", url, timeout_seconds=1.0, **more)
    return answer.body


async def async_post(http: HttpCaller, server: Server, timeout: float = 1.0) -> bytes:
    url = f"http://{server.address}/a"
    answer = await http.async_call("POST", url, body=b"x", timeout_seconds=timeout)
    return answer.body


async def test_calls_one_after_the_other_share_a_connection() -> None:
    async with a_server(answering(an_answer(b"1"), an_answer(b"2"))) as server:
        http = HttpCaller()
        assert [await async_get(http, server) for _ in "ab"] == [b"1", b"2"]
        assert server.connections == 1


async def test_a_request_has_its_query_headers_and_body() -> None:
    seen: list[bytes] = []

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await async_read_request(reader))
        writer.write(an_answer(more="X-Id: 7\r\n", status=409))
        await writer.drain()

    async with a_server(async_serve) as server:
        answer = await HttpCaller().async_call(
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
    assert (answer.status, answer.header("x-id")) == (409, "7")


async def test_a_server_that_does_not_listen_was_sent_nothing() -> None:
    async with a_server(answering()) as server:
        pass
    with pytest.raises(CallRefusedError):
        await async_post(HttpCaller(), server)


async def test_an_answer_that_is_cut_off_is_no_short_answer() -> None:
    async with a_server(answering(an_answer(b"whole")[:-2])) as server:
        with pytest.raises(CallUnknownError):
            await async_post(HttpCaller(), server)


def closing_on_the_second(seen: list[bytes]) -> Serve:
    """Return a server that closes each connection as its second request comes."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await async_read_request(reader))
        writer.write(an_answer())
        await writer.drain()
        seen.append(await async_read_request(reader))

    return async_serve


async def test_a_post_whose_kept_connection_closes_is_not_sent_twice() -> None:
    """Symptom: a start was carried out twice.

    Sequence: a worker closed a kept connection as the next order was sent on it, and
    the client sent the order again by itself. Cause: it may have been read before.
    """
    seen: list[bytes] = []
    async with a_server(closing_on_the_second(seen)) as server:
        http = HttpCaller()
        await async_post(http, server)
        with pytest.raises(CallUnknownError):
            await async_post(http, server)
    assert (len(seen), server.connections) == (2, 1)


async def test_a_read_whose_kept_connection_closes_is_made_on_another() -> None:
    seen: list[bytes] = []
    async with a_server(closing_on_the_second(seen)) as server:
        http = HttpCaller()
        assert [await async_get(http, server) for _ in "ab"] == [b"ok", b"ok"]
    assert (len(seen), server.connections) == (3, 2)


async def test_a_late_answer_is_never_taken_for_that_of_the_next_call() -> None:
    """Symptom: a caller receives another caller's answer.

    Sequence: a call was given up, its answer came later on the kept connection, where
    the next call waited. Cause: a connection with an open exchange was used again.
    """
    first = True

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal first
        late, first = first, False
        await async_read_request(reader)
        await asyncio.sleep(0.2 if late else 0.0)
        writer.write(an_answer(b"late" if late else b"own"))
        await writer.drain()

    async with a_server(async_serve) as server:
        http = HttpCaller()
        with pytest.raises(CallUnknownError):
            await async_post(http, server, timeout=0.1)
        assert await async_post(http, server) == b"own"
        await anyio.sleep(0.2)
        assert await async_post(http, server) == b"own"


async def test_silence_within_an_answer_ends_the_call_before_its_time() -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        for part in (an_answer(b"abc")[:-3], b"a", b"b"):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.06)
        await asyncio.sleep(5.0)

    async with a_server(async_serve) as server:
        began = time.monotonic()
        with pytest.raises(CallUnknownError):
            await async_get(HttpCaller(), server, read_timeout_seconds=0.15)
        assert 0.15 < time.monotonic() - began < 0.9


async def test_calls_beyond_the_most_connections_wait_for_one() -> None:
    async with a_server(answering(*[an_answer()] * 9)) as server:
        http = HttpCaller(max_connections_per_host=2)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(async_post, http, server)
        assert server.connections == 2


async def test_a_call_that_waits_for_a_connection_too_long_was_not_sent() -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        await asyncio.sleep(0.3)
        writer.write(an_answer())

    async with a_server(async_serve) as server:
        http = HttpCaller(max_connections_per_host=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_post, http, server)
            await anyio.sleep(0.02)
            with pytest.raises(CallRefusedError):
                await async_post(http, server, timeout=0.1)
        assert await async_post(http, server) == b"ok"


async def test_a_caller_that_was_held_up_itself_does_not_blame_the_other_side() -> None:
    """Symptom: an owner that was late stopped and repeated what had begun.

    Sequence: calls were under way, the loop was held up for longer than their time, and
    all answers lay in the sockets meanwhile. Cause: the timers that fell due in between
    were looked at before the answers.
    """
    async with async_elsewhere(a_server(answering(*[an_answer()] * 9))) as server:
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
                    time.sleep(0.3)  # noqa: ASYNC251 - it holds the loop up
        assert outcomes == [b"ok"] * 16


async def test_hosts_that_went_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Symptom: descriptors run out on a day with many moved instances."""
    monkeypatch.setattr("mustardward.platform.http.KEEP_ALIVE_SECONDS", 0.0)
    monkeypatch.setattr("mustardward.platform.http.PRUNE_INTERVAL_SECONDS", 0.0)
    http = HttpCaller()
    for _ in range(5):
        async with a_server(answering(an_answer())) as server:
            await async_post(http, server)
    assert len(http._hosts) == 1


async def test_thousands_of_new_hosts_are_not_each_weighed_against_all_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: an owner of 3,000 workers starts nothing, and its renewals are late.

    Sequence: it calls each worker for the first time, and each of these calls looks
    through all hosts for those that went. Cause: work that grows with the square of
    the fleet.
    """
    looks = 0
    close_idle = _Host.close_idle

    def count(host: _Host, now: float, idle_seconds: float) -> None:
        nonlocal looks
        looks += 1
        close_idle(host, now, idle_seconds)

    monkeypatch.setattr(_Host, "close_idle", count)
    # As if each of them had a connection, of which this machine has not so many.
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
    assert looks <= 2 * hosts


@given(st.lists(st.integers(1, 30), max_size=12), st.booleans(), st.binary())
def test_an_answer_is_read_whole_however_its_bytes_come(
    cuts: list[int], chunked: bool, body: bytes
) -> None:
    whole = an_answer(body)
    if chunked:
        parts = b"".join(
            b"%x\r\n%b\r\n" % (1, body[i : i + 1]) for i in range(len(body))
        )
        whole = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + parts
        whole += b"0\r\n\r\n"

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await async_read_request(reader)
        rest = whole
        for cut in cuts:
            writer.write(rest[:cut])
            rest = rest[cut:]
            await asyncio.sleep(0)
        writer.write(rest)
        await writer.drain()

    async def async_run() -> bytes:
        async with a_server(async_serve) as server:
            return await async_get(HttpCaller(), server)

    assert asyncio.run(async_run()) == body
