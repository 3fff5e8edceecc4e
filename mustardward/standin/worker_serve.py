"""Run callers' requests on a stand-in worker.

The path is plain ASGI, since benches and load go through it: a router would cost more
than the work it stands in for.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import parse_qs

import xxhash

from ..const import (
    HEADER_ATTEMPT_ID,
    HEADER_GENERATION,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_ORGANISATION,
    HEADER_RAN,
    HEADER_REQUEST_ID,
)
from .common import NoAnswer
from .executions import Execution
from .serving import connection_of
from .worker import Refusal, StandInWorker

HEADER_INSTANCE_ID: Final = "mw-instance-id"
HEADER_REFUSAL: Final = "mw-refusal"
CHUNK_BYTES: Final = 65_536
MAXIMUM_SLEEP_SECONDS: Final = 600.0
MAXIMUM_SIZE_BYTES: Final = 1 << 30
STRAY_ANSWER: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"


@dataclass(frozen=True, slots=True)
class Wish:
    """Hold what the query asks of the worker.

    ``stream_seconds`` spreads the answer over time; ``chunked`` leaves its length out.
    """

    sleep_seconds: float = 0.0
    size: int = 0
    status: int = 200
    stream_seconds: float = 0.0
    chunked: bool = False


def parse_wish(query: bytes) -> Wish:
    """Return what a query asks for; what cannot be read is left out."""
    if not query:
        return Wish()
    values = {key: items[-1] for key, items in parse_qs(query.decode("latin1")).items()}
    return Wish(
        sleep_seconds=_number(values.get("sleep"), 0.0, MAXIMUM_SLEEP_SECONDS),
        size=int(_number(values.get("size"), 0.0, MAXIMUM_SIZE_BYTES)),
        status=int(_number(values.get("status"), 200.0, 599.0)),
        stream_seconds=_number(values.get("stream"), 0.0, MAXIMUM_SLEEP_SECONDS),
        chunked=values.get("chunked") == "1",
    )


def _number(text: str | None, default: float, most: float) -> float:
    try:
        return min(most, max(0.0, float(text))) if text is not None else default
    except ValueError:
        return default


def sized_body(request_id: str, size: int) -> Iterator[bytes]:
    """Return the chunks of a large answer: lines that repeat the request's id.

    A caller that gets any other line got a piece of someone else's answer.
    """
    line = f"{request_id}\n".encode()
    block = line * max(1, CHUNK_BYTES // len(line))
    left = size
    while left > 0:
        part = block[: min(left, len(block))]
        left -= len(part)
        yield part


class ServeApp:
    """Answer ``/serve/…`` on one worker."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run one request, or refuse it."""
        worker = self._worker
        await worker.async_thaw()
        if not worker.reachable:
            await NoAnswer()(scope, receive, send)
            return
        headers = {name: value.decode("latin1") for name, value in scope["headers"]}
        refusal = worker.admit(_generation(headers))
        if refusal is not None:
            await _async_read(receive)
            await _async_refuse(send, headers, refusal)
            return
        try:
            await self._async_run(scope, headers, receive, send)
        finally:
            worker.release()

    async def _async_run(
        self, scope: Any, headers: dict[bytes, str], receive: Any, send: Any
    ) -> None:
        worker = self._worker
        struck = worker.struck()
        body = await _async_read(receive)
        if body is None or not worker.reachable:
            await NoAnswer()(scope, receive, send)
            return
        execution = self._execution(scope, headers)
        worker.begin(execution)
        status = 0
        try:
            status = await self._async_answer(
                scope, headers, body, execution, send, struck
            )
        finally:
            worker.executions.end(execution, worker.timers.monotonic(), status)

    def _execution(self, scope: Any, headers: dict[bytes, str]) -> Execution:
        worker = self._worker
        return Execution(
            request_id=headers.get(HEADER_REQUEST_ID.encode(), ""),
            attempt_id=headers.get(HEADER_ATTEMPT_ID.encode(), ""),
            organisation=headers.get(HEADER_ORGANISATION.encode(), ""),
            idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY.encode(), ""),
            method=scope["method"],
            path=scope["path"],
            pool_generation=_generation(headers) or 0,
            boot=worker.boot,
            leaving=worker.power != "serving",
            start=worker.timers.monotonic(),
        )

    async def _async_answer(
        self,
        scope: Any,
        headers: dict[bytes, str],
        body: bytes,
        execution: Execution,
        send: Any,
        struck: bool,
    ) -> int:
        timers = self._worker.timers
        faults = self._worker.faults.now
        wish = parse_wish(scope["query_string"])
        if struck and faults.fail_all:
            wish = Wish(status=500)
        elif wish.sleep_seconds or faults.slow_seconds:
            slow = faults.slow_seconds if struck else 0.0
            await timers.async_sleep(wish.sleep_seconds + slow)
        if execution.cut or (struck and faults.close_without_answer):
            await NoAnswer()(scope, None, send)
            return 0
        chunks = self._chunks(wish, execution, body)
        truncate = struck and faults.truncate
        await self._async_send(wish, headers, chunks, execution, send, truncate)
        connection = connection_of(scope)
        if struck and faults.stray_bytes and connection is not None:
            connection.write(STRAY_ANSWER)
        return wish.status

    def _chunks(self, wish: Wish, execution: Execution, body: bytes) -> list[bytes]:
        if wish.status in (204, 304):
            return []
        if wish.size:
            return list(sized_body(execution.request_id, wish.size))
        answer = {
            "instance": self._worker.options.instance_id,
            "request": execution.request_id,
            "attempt": execution.attempt_id,
            "bytes": len(body),
            "digest": xxhash.xxh3_128_hexdigest(body),
        }
        return [json.dumps(answer).encode()]

    async def _async_send(
        self,
        wish: Wish,
        headers: dict[bytes, str],
        chunks: list[bytes],
        execution: Execution,
        send: Any,
        truncate: bool,
    ) -> None:
        own = [(HEADER_INSTANCE_ID.encode(), self._worker.options.instance_id.encode())]
        if not wish.chunked and wish.status not in (204, 304):
            length = sum(len(chunk) for chunk in chunks)
            own.append((b"content-length", str(length).encode()))
        plain = b"text/plain" if wish.size else b"application/json"
        own.append((b"content-type", plain))
        await send(_head(wish.status, headers, own))
        pause = wish.stream_seconds / len(chunks) if chunks else 0.0
        for index, chunk in enumerate(chunks):
            if pause:
                await self._worker.timers.async_sleep(pause)
            if execution.cut:
                return
            last = index == len(chunks) - 1
            if truncate and last:
                await send(_body(chunk[: len(chunk) // 2], more=True))
                return
            await send(_body(chunk, more=True))
        await send(_body(b"", more=False))


def _generation(headers: dict[bytes, str]) -> int | None:
    text = headers.get(HEADER_GENERATION.encode())
    if text is None or not text.isdecimal():
        return None
    return int(text)


def _head(
    status: int, headers: dict[bytes, str], own: list[tuple[bytes, bytes]]
) -> dict[str, Any]:
    attempt_id = headers.get(HEADER_ATTEMPT_ID.encode(), "").encode("latin1")
    return {
        "type": "http.response.start",
        "status": status,
        "headers": [(HEADER_ATTEMPT_ID.encode(), attempt_id), *own],
    }


def _body(data: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


async def _async_refuse(send: Any, headers: dict[bytes, str], refusal: Refusal) -> None:
    own = [
        (HEADER_RAN.encode(), b"no"),
        (HEADER_REFUSAL.encode(), refusal.encode()),
        (b"content-length", b"0"),
    ]
    await send(_head(503, headers, own))
    await send(_body(b"", more=False))


async def _async_read(receive: Any) -> bytes | None:
    """Return the whole body, or nothing if the caller went away before its end."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        if message.get("body"):
            parts.append(message["body"])
        if not message.get("more_body", False):
            return b"".join(parts)
