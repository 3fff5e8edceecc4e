"""Bring about what goes wrong between callers, entry and workers."""

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
    RunningEntry,
    SeenRequest,
    SocketStream,
    build_response,
    respond_ok,
    running_entry,
)

pytestmark = pytest.mark.anyio

KEY = {"idempotency-key": "turn-7"}


async def refuse(stream: SocketStream, seen: SeenRequest) -> bool:
    extra = "mw-ran: no\r\nmw-refusal: busy\r\n"
    await stream.send(build_response(seen, b"busy", 503, extra))
    return True


async def hang_up(stream: SocketStream, seen: SeenRequest) -> bool:
    return False


async def answer_half(stream: SocketStream, seen: SeenRequest) -> bool:
    await stream.send(build_response(seen, b"whole answer")[:-6])
    return False


async def answer_half_a_stream(stream: SocketStream, seen: SeenRequest) -> bool:
    head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {seen.attempt_id}\r\n"
    await stream.send(head.encode() + b"transfer-encoding: chunked\r\n\r\n5\r\nhalf,")
    return False


async def answer_unframed(stream: SocketStream, seen: SeenRequest) -> bool:
    head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {seen.attempt_id}\r\n\r\n"
    await stream.send(head.encode() + b"maybe whole")
    return False


async def never_answer(stream: SocketStream, seen: SeenRequest) -> bool:
    await anyio.sleep_forever()
    return False


async def call(
    entry: RunningEntry, method: str = "POST", path: str = "turn/", **more: object
) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        url = f"{entry.url}/hvelv/{path}"
        return await client.request(method, url, **more)  # type: ignore[arg-type]


def problem(answer: httpx.Response) -> tuple[int, str, str]:
    assert answer.headers["content-type"] == "application/problem+json"
    document = answer.json()
    assert document["ran"] == answer.headers["mw-ran"]
    code = document["type"].removeprefix("urn:mustardward:problem:")
    return answer.status_code, code, document["ran"]


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
            answer_half,
            (502, "answer-truncated", "unknown"),
            "unknown:answer-truncated",
        ),
        (
            answer_unframed,
            (502, "outcome-unknown", "unknown"),
            "unknown:answer-unframed",
        ),
    ],
)
async def test_a_lost_answer_is_told_apart_from_a_refusal(
    script: object, expected: tuple[int, str, str], outcome: str
) -> None:
    """Tell the caller what is known about its turning order, and no more.

    Symptom: a rack is turned twice, or an order is lost. Sequence: the worker refuses,
    hangs up, or breaks its answer off. Cause: one outcome is taken for another.
    """
    async with running_entry(script) as (entry, (worker,)):  # type: ignore[arg-type]
        entry.retries.maximum = 1
        answer = await call(entry)
    assert problem(answer) == expected
    assert entry.router.outcomes == [outcome]
    assert entry.limiter.released == [False]
    assert len(worker.seen) == 1
    assert entry.health.in_progress == 0


async def test_an_order_that_may_have_run_is_not_tried_again() -> None:
    """Run a non-idempotent request at most once.

    Symptom: brass is etched twice. Sequence: the first worker takes the order and
    dies. Cause: the entry tries another worker though the first may have run it.
    """
    async with running_entry(hang_up, respond_ok) as (entry, (_, second)):
        ordered = await call(entry, "POST")
        read = await call(entry, "GET")
    assert problem(ordered) == (502, "outcome-unknown", "unknown")
    assert read.content == b"done"
    assert [item.method for item in second.seen] == ["GET"]


async def test_what_surely_did_not_run_is_tried_on_another_worker() -> None:
    async with running_entry(refuse, respond_ok) as (entry, (_, second)):
        entry.router.addresses.insert(0, "127.0.0.1:1")
        answer = await call(entry, content=b"order")
    assert answer.content == b"done"
    assert second.seen[0].body == b"order"
    assert [item.split(":")[0] for item in entry.router.outcomes] == [
        "not-sent",
        "refused",
        "answered",
    ]


async def test_the_refusal_speaks_for_all_attempts() -> None:
    """Say ``unknown`` if any attempt may have run.

    Symptom: a caller repeats an order that ran. Sequence: one attempt is lost, the
    next is refused. Cause: the refusal spoke of the last attempt alone.
    """
    async with running_entry(hang_up, refuse) as (entry, _):
        entry.retries.maximum = 2
        answer = await call(entry, "PUT")
    assert problem(answer) == (503, "workers-busy", "unknown")


async def test_a_small_answer_that_broke_off_is_tried_past() -> None:
    async with running_entry(answer_half, respond_ok) as (entry, (_, second)):
        read = await call(entry, "GET")
        ordered = await call(entry, "POST")
    assert read.content == b"done"
    assert problem(ordered) == (502, "answer-truncated", "unknown")
    assert [item.method for item in second.seen] == ["GET"]


async def test_a_stray_answer_reaches_nobody() -> None:
    """Never give one caller the answer meant for another.

    Symptom: a tablet shows another dairy's batch. Sequence: a worker writes a second
    answer behind the first; the connection is used again. Cause: answers were matched
    to requests by their order alone.
    """

    async def answer_twice(stream: SocketStream, seen: SeenRequest) -> bool:
        await stream.send(build_response(seen) + build_response(seen, b"stray"))
        return True

    async with running_entry(answer_twice) as (entry, (worker,)):
        answers = [await call(entry) for _ in range(3)]
    assert b"stray" not in [answer.content for answer in answers]
    assert [answer.status_code for answer in answers] == [200, 502, 200]
    assert "unknown:stray-answer" in entry.router.outcomes
    assert worker.connections == 2


@pytest.mark.parametrize("http2", [False, True])
async def test_a_stream_cut_by_the_worker_is_no_short_success(http2: bool) -> None:
    """Break the caller's stream off as the worker's was.

    Symptom: a batch record with its end missing passes as whole. Sequence: a worker
    dies in the middle of a chunked answer. Cause: the entry ends the stream properly.
    """
    async with running_entry(answer_half_a_stream) as (entry, _):
        async with httpx.AsyncClient(http1=not http2, http2=http2) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(f"{entry.url}/hvelv/turn/", timeout=5.0)
    assert [item.code for item in entry.finished] == ["answer-truncated"]
    assert entry.limiter.released == [False]


async def test_an_answer_after_the_deadline_is_dropped() -> None:
    """Give a caller that was told "late" nothing afterwards.

    Symptom: a planner acts on a quote it was refused. Sequence: the worker answers
    once the deadline is past. Cause: the answer's arrival was not compared with it.
    """
    async with running_entry(respond_ok) as (entry, (worker,)):

        async def answer_late(stream: SocketStream, seen: SeenRequest) -> bool:
            await entry.timers.async_advance(31.0)
            return await respond_ok(stream, seen)

        worker.script = answer_late
        late = await call(entry)
        worker.script = respond_ok
        after = await call(entry)
    assert problem(late) == (504, "deadline-exceeded", "unknown")
    assert after.content == b"done"
    assert worker.connections == 2
    assert entry.router.outcomes[0] == "answered:answer-late"


async def test_a_worker_that_never_answers_ends_with_the_deadline() -> None:
    async with running_entry(never_answer) as (entry, _):
        answer = await call(entry, headers={"mw-deadline-seconds": "0.05"})
    assert problem(answer) == (504, "deadline-exceeded", "unknown")
    assert entry.limiter.released == [False]


async def test_a_streamed_body_that_was_begun_is_not_sent_again() -> None:
    """Send no second, shorter copy of a body.

    Symptom: a worker gets half a casting plan. Sequence: a large upload is refused by
    the first worker, and the next gets what is left of it. Cause: the body was
    streamed, and its beginning is gone.
    """
    async with running_entry(refuse, respond_ok) as (entry, (_, second)):
        answer = await call(entry, "PUT", content=b"x" * 200_000)
    assert problem(answer) == (503, "workers-busy", "no")
    assert second.seen == []


@pytest.mark.parametrize(
    ("size", "chunked", "expected"),
    [
        (2_000, False, (413, "body-too-large", "no")),
        (2_000, True, (413, "body-too-large", "no")),
        (300_000, True, (413, "body-too-large", "unknown")),
    ],
)
async def test_a_body_over_the_limit_is_refused(
    size: int, chunked: bool, expected: tuple[int, str, str]
) -> None:
    async def pieces() -> AsyncIterator[bytes]:
        for start in range(0, size, 1_000):
            yield b"x" * min(1_000, size - start)

    limit = 1_500 if size < 10_000 else 200_000
    limits = RequestLimits(body_bytes=limit)
    async with running_entry(respond_ok, limits=limits) as (entry, (worker,)):
        content = pieces() if chunked else b"x" * size
        answer = await call(entry, content=content)
        assert problem(answer) == expected
        assert worker.seen == []
        assert (await call(entry, content=b"small")).content == b"done"


async def test_a_refusal_does_not_wait_for_a_body_that_never_ends() -> None:
    """Answer, and free the connection, though nobody reads the body.

    Symptom: a stop hangs on refused uploads. Sequence: a request is refused while its
    body fills the server's queue. Cause: the end of the answer waits for that queue.
    """
    limits = RequestLimits(body_bytes=1_000)
    async with running_entry(respond_ok, limits=limits) as (entry, _):
        stream = await anyio.connect_tcp("127.0.0.1", entry.listener.port)
        async with stream:
            await stream.send(
                b"POST /hvelv/turn/ HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n"
                b"\r\n" + b"x" * 2_000_000
            )
            head = await stream.receive()
        assert b" 413 " in head.split(b"\r\n")[0]
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
async def test_bad_input_gets_a_typed_refusal(
    headers: dict[str, str], path: str, expected: tuple[int, str, str]
) -> None:
    limits = RequestLimits(header_bytes=1_024)
    async with running_entry(respond_ok, limits=limits) as (entry, (worker,)):
        answer = await call(entry, "GET", path, headers=headers)
    assert problem(answer) == expected
    assert worker.seen == []


async def test_a_header_that_decides_may_come_once() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        url = f"{entry.url}/hvelv/turn/"
        twice = [("idempotency-key", "a"), ("idempotency-key", "b")]
        async with httpx.AsyncClient() as client:
            answer = await client.post(url, headers=twice)
    assert problem(answer) == (400, "header-repeated", "unknown")
    assert worker.seen == []


async def test_a_stream_is_not_read_on_for_a_caller_that_left() -> None:
    """Stop reading a worker's stream once nobody takes it.

    Symptom: slots stay busy long after the tablets are off. Sequence: a caller leaves
    in the middle of a long answer. Cause: the server drops what is sent, silently.
    """
    stopped = anyio.Event()

    async def stream_on(stream: SocketStream, seen: SeenRequest) -> bool:
        head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {seen.attempt_id}\r\n"
        await stream.send(head.encode() + b"transfer-encoding: chunked\r\n\r\n")
        try:
            while True:
                await stream.send(b"4\r\nturn\r\n")
                await anyio.sleep(0.001)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            stopped.set()
        return False

    async with running_entry(stream_on) as (entry, _):
        async with httpx.AsyncClient() as client:
            async with client.stream("GET", f"{entry.url}/hvelv/turn/") as answer:
                await anext(answer.aiter_raw())
        with anyio.fail_after(10):
            await stopped.wait()
    assert [item.code for item in entry.finished] == ["caller-gone"]
    assert entry.service.unfinished == 0


async def test_hop_by_hop_and_own_headers_end_at_the_entry() -> None:
    """Let neither side steer a hop that is not its own.

    Symptom: a caller forges an attempt id, or a cookie reaches another caller.
    Sequence: headers are copied both ways. Cause: some belong to one hop only.
    """

    async def answer(stream: SocketStream, seen: SeenRequest) -> bool:
        extra = (
            "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nx-kept: 2\r\n"
            "set-cookie: dairy=north\r\n"
        )
        await stream.send(build_response(seen, extra=extra))
        return True

    sent = {
        "connection": "keep-alive, x-mine",
        "x-mine": "1",
        "te": "trailers",
        "mw-attempt-id": "forged",
        "x-through": "3",
    }
    async with running_entry(answer) as (entry, (worker,)):
        first = await call(entry, headers=sent)
        await call(entry)
    got = worker.seen[0].headers
    assert got["mw-attempt-id"] == "attempt-1"
    assert got["x-through"] == "3"
    assert not {"x-mine", "te", "connection"} & got.keys()
    assert first.headers["x-kept"] == "2"
    assert first.headers["set-cookie"] == "dairy=north"
    assert not {"x-hop", "keep-alive", "mw-attempt-id"} & first.headers.keys()
    assert "cookie" not in worker.seen[1].headers


async def test_a_key_is_opened_before_and_closed_after_the_attempt() -> None:
    intents = FakeIntents()
    async with running_entry(respond_ok, intents=intents) as (entry, (worker,)):
        await call(entry, headers=KEY)
        intents.stored = StoredResponse(201, "text/plain", b"as before")
        again = await call(entry, headers=KEY)
        other = await call(entry, headers=KEY, content=b"other")
    assert (again.status_code, again.content) == (201, b"as before")
    assert other.content == b"as before"
    assert len(worker.seen) == 1
    assert intents.closed == [("yes", StoredResponse(200, "", b"done"))]
    assert intents.opened[0] == intents.opened[1] != intents.opened[2]


@pytest.mark.parametrize(("script", "ran"), [(refuse, "no"), (hang_up, "unknown")])
async def test_a_key_is_closed_with_what_is_known(script: object, ran: str) -> None:
    intents = FakeIntents()
    async with running_entry(script, intents=intents) as (entry, _):  # type: ignore[arg-type]
        entry.retries.maximum = 1
        answer = await call(entry, headers=KEY)
    assert problem(answer)[2] == ran
    assert intents.closed == [(ran, None)]


async def test_not_run_is_not_said_of_a_key_served_without_its_intent() -> None:
    """Say ``unknown`` where a try may have been served while the log was out.

    Symptom: a refusal says "not run" of a request that an earlier try ran. Sequence:
    the log is out and an idempotent request is served without its key; the log comes
    back; the retry opens its intent, and every worker refuses it. Cause: only this
    try's attempts were looked at.
    """
    intents = FakeIntents(served_keyless=True)
    async with running_entry(refuse, intents=intents) as (entry, _):
        entry.retries.maximum = 1
        answer = await call(entry, headers=KEY)
    assert problem(answer)[2] == "unknown"
    assert intents.closed == [("no", None)]


async def test_not_run_is_not_said_of_a_key_that_was_not_looked_up() -> None:
    """Say ``unknown`` while an earlier try under the key may have run.

    Symptom: an order under a key is placed anew and runs twice. Sequence: a try is
    lost, the next is refused by a limit as "not run". Cause: the refusal spoke of this
    try alone.
    """
    async with running_entry(respond_ok, intents=FakeIntents()) as (entry, _):
        entry.limiter.refusal = RequestRefusal("quota", 429, Ran.NO, "full", 1.0)
        keyed = await call(entry, headers=KEY)
        plain = await call(entry)
    assert problem(keyed) == (429, "quota", "unknown")
    assert problem(plain) == (429, "quota", "no")
    assert 1 <= int(plain.headers["retry-after"]) <= 3


async def test_a_header_with_a_line_break_is_refused() -> None:
    """Let no caller write headers of its own into the next hop.

    Symptom: a worker sees a header, or a request, that no one sent. Sequence: HTTP/2
    carries a value with a line break, which is written as HTTP/1.1. Cause: the value
    was copied as it came.
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


async def test_leaving_tells_callers_to_close_and_still_serves_them() -> None:
    async with running_entry(respond_ok) as (entry, _):
        entry.health.leave()
        answer = await call(entry)
    assert (answer.content, answer.headers["connection"]) == (b"done", "close")


async def test_a_body_that_does_not_come_is_given_up() -> None:
    """Wait for a body no longer than the request may live.

    Symptom: connections pile up and a stop takes minutes. Sequence: a caller sends
    half of a body and falls silent. Cause: the body was read without an end in time.
    """
    async with running_entry(respond_ok) as (entry, (worker,)):
        stream = await anyio.connect_tcp("127.0.0.1", entry.listener.port)
        async with stream:
            await stream.send(
                b"POST /hvelv/turn/ HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"
                b"mw-deadline-seconds: 0.05\r\n\r\nhalf"
            )
            head = await stream.receive()
    assert b" 408 " in head.split(b"\r\n")[0]
    assert worker.seen == []
    assert entry.health.in_progress == 0


async def test_a_caller_that_takes_nothing_does_not_hold_up_the_stop() -> None:
    """End the connection of a caller that stopped reading.

    Symptom: an entry does not end for minutes after SIGTERM. Sequence: a caller asks
    for a large answer and reads none of it; its deadline passes. Cause: the server
    waits for what was written to be taken before it closes.
    """

    async def answer_largely(stream: SocketStream, seen: SeenRequest) -> bool:
        await stream.send(build_response(seen, b"x" * 50_000_000))
        return True

    with anyio.fail_after(20):
        async with running_entry(answer_largely) as (entry, _):
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


async def test_a_refused_upload_does_not_cut_other_streams_of_its_connection() -> None:
    """Take data of a refused HTTP/2 stream in silence.

    Symptom: requests are cut whenever another upload of the same client is refused.
    Sequence: an upload is refused and goes on. Cause: the server knows its stream no
    more, and ends the whole connection.
    """
    refused = anyio.Event()

    async def answer_after_refusal(stream: SocketStream, seen: SeenRequest) -> bool:
        await refused.wait()
        await anyio.wait_all_tasks_blocked()
        return await respond_ok(stream, seen)

    async def upload() -> AsyncIterator[bytes]:
        yield b"x" * 2_000
        await refused.wait()
        yield b"x" * 2_000

    limits = RequestLimits(body_bytes=1_000)
    async with running_entry(answer_after_refusal, limits=limits) as (entry, _):
        entry.core.events.listen(RequestFinished, lambda _: refused.set())
        answers: dict[str, httpx.Response] = {}
        async with httpx.AsyncClient(http1=False, http2=True) as client:

            async def send(method: str, content: object) -> None:
                answers[method] = await client.request(
                    method,
                    f"{entry.url}/hvelv/turn/",
                    content=content,  # type: ignore[arg-type]
                    timeout=10.0,
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, "GET", None)
                tasks.start_soon(send, "POST", upload())
    assert answers["GET"].content == b"done"
    assert problem(answers["POST"]) == (413, "body-too-large", "no")


async def test_a_defect_gets_an_answer_and_holds_no_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Answer, and give every place back, though one of our parts is broken.

    Symptom: a pool is full although nothing runs in it. Sequence: a part raises what
    nobody expects. Cause: the request's place was given back on known ends only.
    """
    async with running_entry(respond_ok) as (entry, _):
        monkeypatch.setattr(
            type(entry.router), "choose", lambda *_: {}["a part of ours"]
        )
        answer = await call(entry)
    assert problem(answer) == (500, "internal-error", "unknown")
    assert entry.limiter.released == [False]
    assert (entry.service.unfinished, entry.health.in_progress) == (0, 0)
