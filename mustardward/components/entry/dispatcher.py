"""Send attempts to workers over HTTP."""

from __future__ import annotations

from typing import Final

import anyio
import httpx
from returns.result import Failure, Result, Success

from ...const import (
    HEADER_ATTEMPT_ID,
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_GENERATION,
    HEADER_ORGANISATION,
    HEADER_RAN,
    HEADER_REQUEST_ID,
)
from ...exceptions import MustardwardError, TruncatedAnswerError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from .connections import WorkerConnectionPool
from .const import (
    BODILESS_STATUSES,
    CONNECT_TIMEOUT_SECONDS,
    MAX_REFUSAL_BODY_BYTES,
    TIMEOUT_GRACE_SECONDS,
)
from .headers import Headers, find_header, forwardable_response_headers, has_injection
from .models import AttemptOutcome, RequestFacts
from .protocols import Choice, FailedAttempt, OutgoingRequest, WorkerResponse
from .response import WorkerBody

_LOGGER = get_logger(__name__)

_ATTEMPT_ID: Final = HEADER_ATTEMPT_ID.encode()
_RAN: Final = HEADER_RAN.encode()
_BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})
_RESPONSE_FAILURES: Final = (httpx.TransportError, MustardwardError)
"""Failures of the connection, or of the request body being sent."""

_CONNECT_FAILURES: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpDispatcher:
    """Send attempts to workers, accepting only the response to each attempt."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._pools: dict[str, WorkerConnectionPool] = {}

    async def async_send(
        self, choice: Choice, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Send the attempt and return once the response head is received."""
        remaining = facts.deadline - self._timers.monotonic()
        if remaining <= 0:
            return _build_failure(AttemptOutcome.NOT_SENT, "deadline-exceeded")
        pool = self._get_pool(choice)
        connection = pool.acquire()
        if connection is None:
            return _build_failure(AttemptOutcome.NOT_SENT, "connections-used-up")
        outgoing = _build_request(pool.url, choice, facts, request, remaining)
        try:
            response = await connection.transport.handle_async_request(outgoing)
        except _CONNECT_FAILURES as error:
            await pool.async_discard(connection)
            return _build_failure(AttemptOutcome.NOT_SENT, type(error).__name__)
        except _RESPONSE_FAILURES as error:
            await pool.async_discard(connection)
            return _build_failure(AttemptOutcome.UNKNOWN, _error_code(error))
        except BaseException:
            with anyio.CancelScope(shield=True):
                await pool.async_discard(connection)
            raise
        body = WorkerBody(response, pool, connection)
        return await _async_accept(response, body, choice, request.method)

    async def async_prune(self) -> None:
        """Close connections that exceeded the idle timeout."""
        for address, pool in list(self._pools.items()):
            await pool.async_prune()
            if pool.is_unused:
                self._pools.pop(address, None)

    async def async_close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.async_close()
        self._pools.clear()

    def _get_pool(self, choice: Choice) -> WorkerConnectionPool:
        address = choice.instance.address
        pool = self._pools.get(address)
        if pool is None:
            pool = WorkerConnectionPool(
                address, choice.instance.connections, self._timers
            )
            self._pools[address] = pool
        return pool


def _build_request(
    url: httpx.URL,
    choice: Choice,
    facts: RequestFacts,
    request: OutgoingRequest,
    remaining: float,
) -> httpx.Request:
    headers = [
        (b"host", choice.instance.address.encode()),
        (_ATTEMPT_ID, choice.attempt_id.encode()),
        (HEADER_REQUEST_ID.encode(), facts.request_id.encode()),
        (HEADER_ORGANISATION.encode(), facts.organisation.encode()),
        (HEADER_CLASS.encode(), facts.urgency.value.encode()),
        (HEADER_GENERATION.encode(), b"%d" % choice.instance.generation),
        (HEADER_DEADLINE.encode(), b"%.3f" % remaining),
        *request.headers,
        *_framing_headers(request),
    ]
    # The request is cancelled at its deadline by the caller of this module; the read
    # timeout only guarantees an end should that cancellation be missing.
    timeout_seconds = remaining + TIMEOUT_GRACE_SECONDS
    timeout = {
        "connect": min(CONNECT_TIMEOUT_SECONDS, timeout_seconds),
        "read": timeout_seconds,
    }
    return httpx.Request(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions={"target": request.target.encode("latin-1"), "timeout": timeout},
    )


def _framing_headers(request: OutgoingRequest) -> Headers:
    if isinstance(request.body, bytes):
        if request.body or request.method in _BODY_METHODS:
            return ((b"content-length", b"%d" % len(request.body)),)
        return ()
    if find_header(request.headers, b"content-length") is not None:
        return ()
    return ((b"transfer-encoding", b"chunked"),)


async def _async_accept(
    response: httpx.Response, body: WorkerBody, choice: Choice, method: str
) -> Result[WorkerResponse, FailedAttempt]:
    """Accept a response only if it is well formed and belongs to this attempt."""
    headers = [(name.lower(), value) for name, value in response.headers.raw]
    response_attempt_id = find_header(headers, _ATTEMPT_ID)
    if response_attempt_id != choice.attempt_id.encode():
        # After an unexpected extra response, a connection would give each caller the
        # response to the previous request. Such a response has another attempt's id,
        # or none.
        await body.aclose()
        _LOGGER.warning(
            "mismatched_response_dropped",
            instance=choice.instance.instance_id,
            attempt_id=choice.attempt_id,
            answered=(
                None
                if response_attempt_id is None
                else response_attempt_id.decode("latin-1")
            ),
        )
        return _build_failure(AttemptOutcome.UNKNOWN, "stray-answer")
    if response.status_code == 503 and find_header(headers, _RAN) == b"no":
        cause = find_header(headers, b"mw-refusal") or b"busy"
        await _async_read_refusal(body)
        return _build_failure(AttemptOutcome.REFUSED, cause.decode("latin-1"))
    framing_error = _find_framing_error(response.status_code, headers, method)
    if framing_error:
        await body.aclose()
        return _build_failure(AttemptOutcome.UNKNOWN, framing_error)
    return Success(
        WorkerResponse(
            response.status_code, forwardable_response_headers(headers), body
        )
    )


def _find_framing_error(
    status: int, headers: list[tuple[bytes, bytes]], method: str
) -> str | None:
    if status < 200:
        return "protocol-switched"
    if has_injection(headers):
        return "answer-header-invalid"
    if method == "HEAD" or status in BODILESS_STATUSES:
        return None
    for name, _ in headers:
        if name in (b"content-length", b"transfer-encoding"):
            return None
    # The end of the connection would delimit the body, so a truncated response could
    # not be told from a shorter complete one.
    return "answer-unframed"


async def _async_read_refusal(body: WorkerBody) -> None:
    """Read a small refusal to its end so that its connection can be reused."""
    remaining_bytes = MAX_REFUSAL_BODY_BYTES
    try:
        async for chunk in body:
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                break
    except TruncatedAnswerError:
        return
    finally:
        await body.aclose()


def _error_code(error: Exception) -> str:
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else type(error).__name__


def _build_failure(outcome: AttemptOutcome, cause: str) -> Failure[FailedAttempt]:
    return Failure(FailedAttempt(outcome, cause))
