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
    CONNECT_SECONDS,
    REFUSED_BODY_BYTES,
    TIMEOUT_GRACE_SECONDS,
)
from .headers import Headers, answer_headers, find_header, has_injection
from .models import AttemptOutcome, RequestFacts
from .protocols import Choice, FailedAttempt, OutgoingRequest, WorkerResponse
from .response import WorkerBody

_LOGGER = get_logger(__name__)

_ATTEMPT_ID: Final = HEADER_ATTEMPT_ID.encode()
_RAN: Final = HEADER_RAN.encode()
_BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})
_UNANSWERED: Final = (httpx.TransportError, MustardwardError)
"""Failures of the connection, or of the body that was being sent."""

_NOT_CONNECTED: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpDispatcher:
    """Send one attempt to one worker, and accept only that attempt's own answer."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._lanes: dict[str, WorkerConnectionPool] = {}

    async def async_send(
        self, choice: Choice, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Send and return when the answer's head is there."""
        remaining = facts.deadline - self._timers.monotonic()
        if remaining <= 0:
            return _failed(AttemptOutcome.NOT_SENT, "deadline-exceeded")
        lanes = self._lanes_to(choice)
        lane = lanes.take()
        if lane is None:
            return _failed(AttemptOutcome.NOT_SENT, "connections-used-up")
        outgoing = _build_request(lanes.url, choice, facts, request, remaining)
        try:
            response = await lane.transport.handle_async_request(outgoing)
        except _NOT_CONNECTED as error:
            await lanes.async_discard(lane)
            return _failed(AttemptOutcome.NOT_SENT, type(error).__name__)
        except _UNANSWERED as error:
            await lanes.async_discard(lane)
            return _failed(AttemptOutcome.UNKNOWN, _cause(error))
        except BaseException:
            with anyio.CancelScope(shield=True):
                await lanes.async_discard(lane)
            raise
        body = WorkerBody(response, lanes, lane)
        return await _async_accept(response, body, choice, request.method)

    async def async_prune(self) -> None:
        """Close connections that nothing used for a while."""
        for address, lanes in list(self._lanes.items()):
            await lanes.async_prune()
            if lanes.unused:
                self._lanes.pop(address, None)

    async def async_close(self) -> None:
        """Close all connections."""
        for lanes in self._lanes.values():
            await lanes.async_close()
        self._lanes.clear()

    def _lanes_to(self, choice: Choice) -> WorkerConnectionPool:
        address = choice.instance.address
        lanes = self._lanes.get(address)
        if lanes is None:
            lanes = WorkerConnectionPool(
                address, choice.instance.connections, self._timers
            )
            self._lanes[address] = lanes
        return lanes


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
        *_framing(request),
    ]
    # The deadline itself ends the request from outside; the one for reading only
    # makes sure that nothing waits for ever should that be missing.
    late = remaining + TIMEOUT_GRACE_SECONDS
    timeout = {"connect": min(CONNECT_SECONDS, late), "read": late}
    return httpx.Request(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions={"target": request.target.encode("latin-1"), "timeout": timeout},
    )


def _framing(request: OutgoingRequest) -> Headers:
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
    """Take an answer only if it is whole in form and belongs to this attempt."""
    headers = [(name.lower(), value) for name, value in response.headers.raw]
    answered = find_header(headers, _ATTEMPT_ID)
    if answered != choice.attempt_id.encode():
        # A connection that carried a stray answer gives every later caller the
        # answer before. It shows as an answer with another attempt's id, or none.
        await body.aclose()
        _LOGGER.warning(
            "stray_answer_dropped",
            instance=choice.instance.instance_id,
            attempt_id=choice.attempt_id,
            answered=None if answered is None else answered.decode("latin-1"),
        )
        return _failed(AttemptOutcome.UNKNOWN, "stray-answer")
    if response.status_code == 503 and find_header(headers, _RAN) == b"no":
        cause = find_header(headers, b"mw-refusal") or b"busy"
        await _async_drain(body)
        return _failed(AttemptOutcome.REFUSED, cause.decode("latin-1"))
    fault = _fault_in_form(response.status_code, headers, method)
    if fault:
        await body.aclose()
        return _failed(AttemptOutcome.UNKNOWN, fault)
    return Success(WorkerResponse(response.status_code, answer_headers(headers), body))


def _fault_in_form(
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
    # The end of the connection would be the end of the body, so an answer that was
    # cut off would look like a whole, shorter one.
    return "answer-unframed"


async def _async_drain(body: WorkerBody) -> None:
    """Read a small refusal to its end, so that its connection can be used again."""
    left = REFUSED_BODY_BYTES
    try:
        async for chunk in body:
            left -= len(chunk)
            if left < 0:
                break
    except TruncatedAnswerError:
        return
    finally:
        await body.aclose()


def _cause(error: Exception) -> str:
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else type(error).__name__


def _failed(outcome: AttemptOutcome, cause: str) -> Failure[FailedAttempt]:
    return Failure(FailedAttempt(outcome, cause))
