"""Test failures between callers, entry and workers."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from mustardward.components.entry.models import (
    Ran,
    RequestFinished,
    RequestRefusal,
)
from mustardward.components.entry.parse import parse_request
from mustardward.components.entry.protocols import StoredResponse
from mustardward.settings.models import RequestLimits
from tests.fakes.entry import (
    FakeIntents,
    ReceivedRequest,
    RunningEntry,
    SocketStream,
    build_response,
    respond_ok,
    running_entry,
)

pytestmark = pytest.mark.anyio

KEY = {"idempotency-key": "turn-7"}


async def refuse(stream: SocketStream, request: ReceivedRequest) -> bool:
    extra = "mw-ran: no\r\nmw-refusal: busy\r\n"
    await stream.send(build_response(request, b"busy", 503, extra))
    return True


async def hang_up(stream: SocketStream, request: ReceivedRequest) -> bool:
    return False


async def respond_truncated(stream: SocketStream, request: ReceivedRequest) -> bool:
    await stream.send(build_response(request, b"whole answer")[:-6])
    return False


async def respond_truncated_stream(
    stream: SocketStream, request: ReceivedRequest
) -> bool:
    response_head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {request.attempt_id}\r\n"
    await stream.send(
        response_head.encode() + b"transfer-encoding: chunked\r\n\r\n5\r\nhalf,"
    )
    return False


async def respond_unframed(stream: SocketStream, request: ReceivedRequest) -> bool:
    response_head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {request.attempt_id}\r\n\r\n"
    await stream.send(response_head.encode() + b"maybe whole")
    return False


async def hang(stream: SocketStream, request: ReceivedRequest) -> bool:
    await anyio.sleep_forever()
    return False


async def call(
    entry: RunningEntry, method: str = "POST", path: str = "turn/", **more: object
) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        url = f"{entry.url}/hvelv/{path}"
        return await client.request(method, url, **more)  # type: ignore[arg-type]


def parse_problem(response: httpx.Response) -> tuple[int, str, str]:
    assert response.headers["content-type"] == "application/problem+json"
    document = response.json()
    assert document["ran"] == response.headers["mw-ran"]
    code = document["type"].removeprefix("urn:mustardward:problem:")
    return response.status_code, code, document["ran"]


@pytest.mark.parametrize(
    ("script", "expected", "outcome"),
    [
        (refuse, (503, "workers-busy", "no"), "refused:busy"),
        (
            hang_up,
            (502, "outcome-unknown", "unknown"),
            "unknown:RemoteProtocolError",
        ),
        (
            respond_truncated,
            (502, "answer-truncated", "unknown"),
            "unknown:answer-truncated",
        ),
        (
            respond_unframed,
            (502, "outcome-unknown", "unknown"),
            "unknown:answer-unframed",
        ),
    ],
)
async def test_refusal_reports_whether_the_request_ran(
    script: object, expected: tuple[int, str, str], outcome: str
) -> None:
    """Guard against a repeated or lost order after a worker failure.

    A worker that refuses, hangs up or truncates its response leaves different
    knowledge of whether the request ran, and the refusal must report it.
    """
    async with running_entry(script) as (entry, (worker,)):  # type: ignore[arg-type]
        entry.retries.maximum = 1
        response = await call(entry)
    assert parse_problem(response) == expected
    assert entry.router.outcomes == [outcome]
    assert entry.limiter.released == [False]
    assert len(worker.requests) == 1
    assert entry.health.in_progress == 0


async def test_non_idempotent_request_that_may_have_run_is_not_retried() -> None:
    """Guard against running a non-idempotent request twice.

    If a worker receives the request and dies, it may have run and must not be retried
    on another worker.
    """
    async with running_entry(hang_up, respond_ok) as (entry, (_, second)):
        ordered = await call(entry, "POST")
        read = await call(entry, "GET")
    assert parse_problem(ordered) == (502, "outcome-unknown", "unknown")
    assert read.content == b"done"
    assert [item.method for item in second.requests] == ["GET"]


async def test_request_that_did_not_run_is_retried_on_another_worker() -> None:
    async with running_entry(refuse, respond_ok) as (entry, (_, second)):
        entry.router.addresses.insert(0, "127.0.0.1:1")
        response = await call(entry, content=b"order")
    assert response.content == b"done"
    assert second.requests[0].body == b"order"
    assert [item.split(":")[0] for item in entry.router.outcomes] == [
        "not-sent",
        "refused",
        "answered",
    ]


async def test_refusal_covers_all_attempts() -> None:
    """Guard against a repeat of a request that ran.

    If one attempt is lost and the next is refused, the refusal must report ``unknown``
    instead of the outcome of the last attempt alone.
    """
    async with running_entry(hang_up, refuse) as (entry, _):
        entry.retries.maximum = 2
        response = await call(entry, "PUT")
    assert parse_problem(response) == (503, "workers-busy", "unknown")


async def test_truncated_small_response_is_retried_if_idempotent() -> None:
    async with running_entry(respond_truncated, respond_ok) as (entry, (_, second)):
        read = await call(entry, "GET")
        ordered = await call(entry, "POST")
    assert read.content == b"done"
    assert parse_problem(ordered) == (502, "answer-truncated", "unknown")
    assert [item.method for item in second.requests] == ["GET"]


async def test_mismatched_response_is_dropped() -> None:
    """Guard against giving a caller the response meant for another.

    A worker writes a second response behind the first and the connection is reused.
    Matching by order alone would give that response to the next request.
    """

    async def respond_twice(stream: SocketStream, request: ReceivedRequest) -> bool:
        await stream.send(build_response(request) + build_response(request, b"stray"))
        return True

    async with running_entry(respond_twice) as (entry, (worker,)):
        responses = [await call(entry) for _ in range(3)]
    assert b"stray" not in [response.content for response in responses]
    assert [response.status_code for response in responses] == [200, 502, 200]
    assert "unknown:stray-answer" in entry.router.outcomes
    assert worker.connections == 2


@pytest.mark.parametrize("http2", [False, True])
async def test_truncated_stream_is_aborted_for_the_caller(http2: bool) -> None:
    """Guard against a truncated response that looks complete to the caller.

    When a worker dies in the middle of a chunked response, the entry must abort the
    caller's stream instead of ending it normally.
    """
    async with running_entry(respond_truncated_stream) as (entry, _):
        async with httpx.AsyncClient(http1=not http2, http2=http2) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(f"{entry.url}/hvelv/turn/", timeout=5.0)
    assert [item.code for item in entry.finished] == ["answer-truncated"]
    assert entry.limiter.released == [False]


async def test_response_after_the_deadline_is_dropped() -> None:
    """Guard against a caller that acts on a response to a request that was refused.

    The worker responds after the deadline has passed, when the caller has already got
    the refusal, so the response must not be forwarded.
    """
    async with running_entry(respond_ok) as (entry, (worker,)):

        async def respond_late(stream: SocketStream, request: ReceivedRequest) -> bool:
            await entry.timers.async_advance(31.0)
            return await respond_ok(stream, request)

        worker.script = respond_late
        late = await call(entry)
        worker.script = respond_ok
        after = await call(entry)
    assert parse_problem(late) == (504, "deadline-exceeded", "unknown")
    assert after.content == b"done"
    assert worker.connections == 2
    assert entry.router.outcomes[0] == "answered:answer-late"


async def test_request_to_a_hung_worker_ends_at_the_deadline() -> None:
    async with running_entry(hang) as (entry, _):
        response = await call(entry, headers={"mw-deadline-seconds": "0.05"})
    assert parse_problem(response) == (504, "deadline-exceeded", "unknown")
    assert entry.limiter.released == [False]


async def test_partly_streamed_body_is_not_resent() -> None:
    """Guard against sending a worker only the rest of a body.

    The first worker refuses a large streamed upload after its start was consumed, so
    the request can't be retried.
    """
    async with running_entry(refuse, respond_ok) as (entry, (_, second)):
        response = await call(entry, "PUT", content=b"x" * 200_000)
    assert parse_problem(response) == (503, "workers-busy", "no")
    assert second.requests == []


@pytest.mark.parametrize(
    ("size", "chunked", "expected"),
    [
        (2_000, False, (413, "body-too-large", "no")),
        (2_000, True, (413, "body-too-large", "no")),
        (300_000, True, (413, "body-too-large", "unknown")),
    ],
)
async def test_oversized_body_is_refused(
    size: int, chunked: bool, expected: tuple[int, str, str]
) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        for start in range(0, size, 1_000):
            yield b"x" * min(1_000, size - start)

    limit = 1_500 if size < 10_000 else 200_000
    limits = RequestLimits(body_bytes=limit)
    async with running_entry(respond_ok, limits=limits) as (entry, (worker,)):
        content = chunks() if chunked else b"x" * size
        response = await call(entry, content=content)
        assert parse_problem(response) == expected
        assert worker.requests == []
        assert (await call(entry, content=b"small")).content == b"done"


async def test_refusal_does_not_wait_for_an_endless_body() -> None:
    """Guard against a shutdown that hangs on refused uploads.

    The body of a refused request fills the server's queue, and the end of the response
    would wait for space in that queue.
    """
    limits = RequestLimits(body_bytes=1_000)
    async with running_entry(respond_ok, limits=limits) as (entry, _):
        stream = await anyio.connect_tcp("127.0.0.1", entry.listener.port)
        async with stream:
            await stream.send(
                b"POST /hvelv/turn/ HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n"
                b"\r\n" + b"x" * 2_000_000
            )
            response_head = await stream.receive()
        assert b" 413 " in response_head.split(b"\r\n")[0]
    assert entry.health.in_progress == 0


@pytest.mark.parametrize(
    ("headers", "path", "expected"),
    [
        ({"x-large": "y" * 2_000}, "turn/", (431, "headers-too-large", "no")),
        ({"mw-class": "now"}, "turn/", (400, "class-invalid", "no")),
        ({"mw-deadline-seconds": "soon"}, "turn/", (400, "deadline-invalid", "no")),
        ({"mw-deadline-seconds": "nan"}, "turn/", (400, "deadline-invalid", "no")),
        ({"mw-idempotent": "may be"}, "turn/", (400, "idempotent-invalid", "no")),
        ({"idempotency-key": "a b"}, "turn/", (400, "key-invalid", "unknown")),
        ({}, "turn/%2e%2e/admin", (400, "path-invalid", "no")),
        ({}, "unheard/", (404, "service-unknown", "no")),
    ],
)
async def test_invalid_input_gets_a_typed_refusal(
    headers: dict[str, str], path: str, expected: tuple[int, str, str]
) -> None:
    limits = RequestLimits(header_bytes=1_024)
    async with running_entry(respond_ok, limits=limits) as (entry, (worker,)):
        response = await call(entry, "GET", path, headers=headers)
    assert parse_problem(response) == expected
    assert worker.requests == []


async def test_repeated_control_header_is_refused() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        url = f"{entry.url}/hvelv/turn/"
        twice = [("idempotency-key", "a"), ("idempotency-key", "b")]
        async with httpx.AsyncClient() as client:
            response = await client.post(url, headers=twice)
    assert parse_problem(response) == (400, "header-repeated", "unknown")
    assert worker.requests == []


async def test_stream_is_closed_if_the_caller_disconnects() -> None:
    """Guard against worker slots that stay busy after the caller disconnected.

    The server silently drops what is sent to a disconnected caller, so the entry has to
    detect the disconnect and stop reading the worker's stream.
    """
    stream_closed = anyio.Event()

    async def stream_on(stream: SocketStream, request: ReceivedRequest) -> bool:
        response_head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {request.attempt_id}\r\n"
        await stream.send(
            response_head.encode() + b"transfer-encoding: chunked\r\n\r\n"
        )
        try:
            while True:
                await stream.send(b"4\r\nturn\r\n")
                await anyio.sleep(0.001)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            stream_closed.set()
        return False

    async with running_entry(stream_on) as (entry, _):
        async with httpx.AsyncClient() as client:
            async with client.stream("GET", f"{entry.url}/hvelv/turn/") as response:
                await anext(response.aiter_raw())
        with anyio.fail_after(10):
            await stream_closed.wait()
    assert [item.code for item in entry.finished] == ["caller-gone"]
    assert entry.service.unfinished == 0


async def test_hop_by_hop_and_reserved_headers_are_not_forwarded() -> None:
    """Guard against forged attempt ids, and cookies that reach another caller.

    Headers are forwarded both ways; hop-by-hop headers and those with mustardward's own
    prefix must not be, and a response's cookie must not be sent with later requests.
    """

    async def respond_with_headers(
        stream: SocketStream, request: ReceivedRequest
    ) -> bool:
        extra = (
            "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nx-kept: 2\r\n"
            "set-cookie: dairy=north\r\n"
        )
        await stream.send(build_response(request, extra=extra))
        return True

    sent = {
        "connection": "keep-alive, x-mine",
        "x-mine": "1",
        "te": "trailers",
        "mw-attempt-id": "forged",
        "x-through": "3",
    }
    async with running_entry(respond_with_headers) as (entry, (worker,)):
        first = await call(entry, headers=sent)
        await call(entry)
    received = worker.requests[0].headers
    assert received["mw-attempt-id"] == "attempt-1"
    assert received["x-through"] == "3"
    assert not {"x-mine", "te", "connection"} & received.keys()
    assert first.headers["x-kept"] == "2"
    assert first.headers["set-cookie"] == "dairy=north"
    assert not {"x-hop", "keep-alive", "mw-attempt-id"} & first.headers.keys()
    assert "cookie" not in worker.requests[1].headers


async def test_intent_is_opened_before_and_closed_after_the_attempt() -> None:
    intents = FakeIntents()
    async with running_entry(respond_ok, intents=intents) as (entry, (worker,)):
        await call(entry, headers=KEY)
        intents.stored = StoredResponse(201, "text/plain", b"as before")
        again = await call(entry, headers=KEY)
        other = await call(entry, headers=KEY, content=b"other")
    assert (again.status_code, again.content) == (201, b"as before")
    assert other.content == b"as before"
    assert len(worker.requests) == 1
    assert intents.closed == [("yes", StoredResponse(200, "", b"done"))]
    assert intents.opened[0] == intents.opened[1] != intents.opened[2]


@pytest.mark.parametrize(("script", "ran"), [(refuse, "no"), (hang_up, "unknown")])
async def test_intent_is_closed_with_the_known_outcome(
    script: object, ran: str
) -> None:
    intents = FakeIntents()
    async with running_entry(script, intents=intents) as (entry, _):  # type: ignore[arg-type]
        entry.retries.maximum = 1
        response = await call(entry, headers=KEY)
    assert parse_problem(response)[2] == ran
    assert intents.closed == [(ran, None)]


async def test_refusal_is_unknown_if_the_key_was_served_without_an_intent() -> None:
    """Guard against reporting "not run" for a request that an earlier try ran.

    While the log is unavailable, an idempotent request is served without its key. After
    the log recovers, the retry opens its intent and every worker refuses it; the
    refusal must also cover the earlier request.
    """
    intents = FakeIntents(served_without_key=True)
    async with running_entry(refuse, intents=intents) as (entry, _):
        entry.retries.maximum = 1
        response = await call(entry, headers=KEY)
    assert parse_problem(response)[2] == "unknown"
    assert intents.closed == [("no", None)]


async def test_refusal_is_unknown_if_the_key_was_not_looked_up() -> None:
    """Guard against a keyed request that is sent with a new key and runs twice.

    One request with the key is lost, and a limit refuses the next before its intent is
    looked up; that refusal must report ``unknown``.
    """
    async with running_entry(respond_ok, intents=FakeIntents()) as (entry, _):
        entry.limiter.refusal = RequestRefusal("quota", 429, Ran.NO, "full", 1.0)
        keyed = await call(entry, headers=KEY)
        plain = await call(entry)
    assert parse_problem(keyed) == (429, "quota", "unknown")
    assert parse_problem(plain) == (429, "quota", "no")
    assert 1 <= int(plain.headers["retry-after"]) <= 3


async def test_header_with_a_line_break_is_refused() -> None:
    """Guard against header and request injection into the next hop.

    HTTP/2 allows a header value with a line break, which becomes a separate header or
    request when it is written as HTTP/1.1.
    """
    scope = {
        "method": "GET",
        "raw_path": b"/hvelv/turn/",
        "query_string": b"",
        "headers": [(b"x-note", b"a\r\nmw-attempt-id: forged")],
    }
    refusal = parse_request(scope, "request-1", RequestLimits()).failure()
    assert (refusal.code, refusal.status, refusal.ran) == (
        "header-invalid",
        400,
        Ran.NO,
    )


async def test_draining_entry_serves_requests_and_closes_connections() -> None:
    async with running_entry(respond_ok) as (entry, _):
        entry.health.start_draining()
        response = await call(entry)
    assert (response.content, response.headers["connection"]) == (b"done", "close")


async def test_stalled_body_times_out_at_the_deadline() -> None:
    """Guard against connections that pile up and delay the shutdown.

    A caller sends half of a body and then nothing; reading it must end at the deadline.
    """
    async with running_entry(respond_ok) as (entry, (worker,)):
        stream = await anyio.connect_tcp("127.0.0.1", entry.listener.port)
        async with stream:
            await stream.send(
                b"POST /hvelv/turn/ HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"
                b"mw-deadline-seconds: 0.05\r\n\r\nhalf"
            )
            response_head = await stream.receive()
    assert b" 408 " in response_head.split(b"\r\n")[0]
    assert worker.requests == []
    assert entry.health.in_progress == 0


async def test_caller_that_reads_nothing_does_not_block_the_shutdown() -> None:
    """Guard against a shutdown that takes minutes after SIGTERM.

    A caller requests a large response, reads none of it, and its deadline passes. The
    server would wait for the written data to be read before it closes.
    """

    async def respond_large(stream: SocketStream, request: ReceivedRequest) -> bool:
        await stream.send(build_response(request, b"x" * 50_000_000))
        return True

    with anyio.fail_after(20):
        async with running_entry(respond_large) as (entry, _):
            ended = anyio.Event()
            entry.core.events.listen(RequestFinished, lambda _: ended.set())
            caller = await anyio.connect_tcp("127.0.0.1", entry.listener.port)
            async with caller:
                await caller.send(
                    b"GET /hvelv/turn/ HTTP/1.1\r\nhost: a\r\n"
                    b"mw-deadline-seconds: 0.3\r\n\r\n"
                )
                await ended.wait()
                await entry.listener.async_stop()
    assert [item.code for item in entry.finished] == ["deadline-exceeded"]
    assert entry.service.unfinished == 0


async def test_refused_upload_does_not_abort_other_streams() -> None:
    """Guard against aborted requests when an upload of the same client is refused.

    The client goes on sending a refused HTTP/2 upload; the server no longer knows the
    stream and would close the whole connection.
    """
    refused = anyio.Event()

    async def respond_after_refusal(
        stream: SocketStream, request: ReceivedRequest
    ) -> bool:
        await refused.wait()
        await anyio.wait_all_tasks_blocked()
        return await respond_ok(stream, request)

    async def upload() -> AsyncIterator[bytes]:
        yield b"x" * 2_000
        await refused.wait()
        yield b"x" * 2_000

    limits = RequestLimits(body_bytes=1_000)
    async with running_entry(respond_after_refusal, limits=limits) as (entry, _):
        entry.core.events.listen(RequestFinished, lambda _: refused.set())
        responses: dict[str, httpx.Response] = {}
        async with httpx.AsyncClient(http1=False, http2=True) as client:

            async def send(method: str, content: object) -> None:
                responses[method] = await client.request(
                    method,
                    f"{entry.url}/hvelv/turn/",
                    content=content,  # type: ignore[arg-type]
                    timeout=10.0,
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, "GET", None)
                tasks.start_soon(send, "POST", upload())
    assert responses["GET"].content == b"done"
    assert parse_problem(responses["POST"]) == (413, "body-too-large", "no")


async def test_internal_error_gets_a_response_and_releases_the_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a pool that stays full although nothing runs in it.

    If a component raises an unexpected exception, the permit must still be released and
    the caller must get a response.
    """
    async with running_entry(respond_ok) as (entry, _):
        monkeypatch.setattr(
            type(entry.router), "choose", lambda *_: {}["a part of ours"]
        )
        response = await call(entry)
    assert parse_problem(response) == (500, "internal-error", "unknown")
    assert entry.limiter.released == [False]
    assert (entry.service.unfinished, entry.health.in_progress) == (0, 0)
