"""Run callers' requests on a simulated worker.

This is plain ASGI because it is on the hot path of benchmarks and load: a router
would cost more than the simulated work.
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
from .common import ConnectionReset
from .executions import Execution
from .serving import get_connection
from .worker import Refusal, StandInWorker

HEADER_INSTANCE_ID: Final = "mw-instance-id"
HEADER_REFUSAL: Final = "mw-refusal"
CHUNK_BYTES: Final = 65_536
MAXIMUM_SLEEP_SECONDS: Final = 600.0
MAXIMUM_SIZE_BYTES: Final = 1 << 30
STRAY_RESPONSE: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"


@dataclass(frozen=True, slots=True)
class RequestedBehaviour:
    """Behaviour that the query string requests from the worker.

    ``stream_seconds`` spreads the response over time; ``chunked`` omits its length.
    """

    sleep_seconds: float = 0.0
    size: int = 0
    status: int = 200
    stream_seconds: float = 0.0
    chunked: bool = False


def parse_behaviour(query: bytes) -> RequestedBehaviour:
    """Parse the behaviour from a query string; invalid values are ignored."""
    if not query:
        return RequestedBehaviour()
    values = {key: items[-1] for key, items in parse_qs(query.decode("latin1")).items()}
    return RequestedBehaviour(
        sleep_seconds=_parse_number(values.get("sleep"), 0.0, MAXIMUM_SLEEP_SECONDS),
        size=int(_parse_number(values.get("size"), 0.0, MAXIMUM_SIZE_BYTES)),
        status=int(_parse_number(values.get("status"), 200.0, 599.0)),
        stream_seconds=_parse_number(values.get("stream"), 0.0, MAXIMUM_SLEEP_SECONDS),
        chunked=values.get("chunked") == "1",
    )


def _parse_number(text: str | None, default: float, maximum: float) -> float:
    try:
        return min(maximum, max(0.0, float(text))) if text is not None else default
    except ValueError:
        return default


def generate_body(request_id: str, size: int) -> Iterator[bytes]:
    """Yield the chunks of a large response, whose lines repeat the request id.

    A caller that receives any other line received part of another response.
    """
    line = f"{request_id}\n".encode()
    block = line * max(1, CHUNK_BYTES // len(line))
    remaining = size
    while remaining > 0:
        part = block[: min(remaining, len(block))]
        remaining -= len(part)
        yield part


class ServeApp:
    """Handle ``/serve/…`` on one worker."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run or refuse one request."""
        worker = self._worker
        await worker.async_wait_unfrozen()
        if not worker.reachable:
            await ConnectionReset()(scope, receive, send)
            return
        headers = {name: value.decode("latin1") for name, value in scope["headers"]}
        refusal = worker.admit(_pool_generation(headers))
        if refusal is not None:
            await _async_read_body(receive)
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
        inject_faults = worker.is_fault_due()
        body = await _async_read_body(receive)
        if body is None or not worker.reachable:
            await ConnectionReset()(scope, receive, send)
            return
        execution = self._execution(scope, headers)
        worker.record_start(execution)
        status = 0
        try:
            status = await self._async_respond(
                scope, headers, body, execution, send, inject_faults
            )
        finally:
            worker.executions.record_end(execution, worker.timers.monotonic(), status)

    def _execution(self, scope: Any, headers: dict[bytes, str]) -> Execution:
        worker = self._worker
        return Execution(
            request_id=headers.get(HEADER_REQUEST_ID.encode(), ""),
            attempt_id=headers.get(HEADER_ATTEMPT_ID.encode(), ""),
            organisation=headers.get(HEADER_ORGANISATION.encode(), ""),
            idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY.encode(), ""),
            method=scope["method"],
            path=scope["path"],
            pool_generation=_pool_generation(headers) or 0,
            boot=worker.boot,
            leaving=worker.power != "serving",
            start=worker.timers.monotonic(),
        )

    async def _async_respond(
        self,
        scope: Any,
        headers: dict[bytes, str],
        body: bytes,
        execution: Execution,
        send: Any,
        inject_faults: bool,
    ) -> int:
        timers = self._worker.timers
        faults = self._worker.faults.active
        behaviour = parse_behaviour(scope["query_string"])
        if inject_faults and faults.fail_all:
            behaviour = RequestedBehaviour(status=500)
        elif behaviour.sleep_seconds or faults.slow_seconds:
            slow = faults.slow_seconds if inject_faults else 0.0
            await timers.async_sleep(behaviour.sleep_seconds + slow)
        if execution.cut or (inject_faults and faults.close_without_answer):
            await ConnectionReset()(scope, None, send)
            return 0
        chunks = self._chunks(behaviour, execution, body)
        truncate = inject_faults and faults.truncate
        await self._async_send(behaviour, headers, chunks, execution, send, truncate)
        connection = get_connection(scope)
        if inject_faults and faults.stray_bytes and connection is not None:
            connection.write(STRAY_RESPONSE)
        return behaviour.status

    def _chunks(
        self, behaviour: RequestedBehaviour, execution: Execution, body: bytes
    ) -> list[bytes]:
        if behaviour.status in (204, 304):
            return []
        if behaviour.size:
            return list(generate_body(execution.request_id, behaviour.size))
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
        behaviour: RequestedBehaviour,
        headers: dict[bytes, str],
        chunks: list[bytes],
        execution: Execution,
        send: Any,
        truncate: bool,
    ) -> None:
        extra_headers = [
            (HEADER_INSTANCE_ID.encode(), self._worker.options.instance_id.encode())
        ]
        if not behaviour.chunked and behaviour.status not in (204, 304):
            length = sum(len(chunk) for chunk in chunks)
            extra_headers.append((b"content-length", str(length).encode()))
        content_type = b"text/plain" if behaviour.size else b"application/json"
        extra_headers.append((b"content-type", content_type))
        await send(_response_start(behaviour.status, headers, extra_headers))
        pause = behaviour.stream_seconds / len(chunks) if chunks else 0.0
        for index, chunk in enumerate(chunks):
            if pause:
                await self._worker.timers.async_sleep(pause)
            if execution.cut:
                return
            last = index == len(chunks) - 1
            if truncate and last:
                await send(_response_body(chunk[: len(chunk) // 2], more=True))
                return
            await send(_response_body(chunk, more=True))
        await send(_response_body(b"", more=False))


def _pool_generation(headers: dict[bytes, str]) -> int | None:
    text = headers.get(HEADER_GENERATION.encode())
    if text is None or not text.isdecimal():
        return None
    return int(text)


def _response_start(
    status: int, headers: dict[bytes, str], extra_headers: list[tuple[bytes, bytes]]
) -> dict[str, Any]:
    attempt_id = headers.get(HEADER_ATTEMPT_ID.encode(), "").encode("latin1")
    return {
        "type": "http.response.start",
        "status": status,
        "headers": [(HEADER_ATTEMPT_ID.encode(), attempt_id), *extra_headers],
    }


def _response_body(data: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


async def _async_refuse(send: Any, headers: dict[bytes, str], refusal: Refusal) -> None:
    extra_headers = [
        (HEADER_RAN.encode(), b"no"),
        (HEADER_REFUSAL.encode(), refusal.encode()),
        (b"content-length", b"0"),
    ]
    await send(_response_start(503, headers, extra_headers))
    await send(_response_body(b"", more=False))


async def _async_read_body(receive: Any) -> bytes | None:
    """Return the request body, or None if the caller disconnected before its end."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        if message.get("body"):
            parts.append(message["body"])
        if not message.get("more_body", False):
            return b"".join(parts)
