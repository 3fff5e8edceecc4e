"""Process one caller's request from its head to the end of its response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import anyio
from returns.result import Failure, Result, Success

from ...const import HEADER_IDEMPOTENCY_KEY
from ...core import EventBus
from ...exceptions import BodyTooLargeError, CallerGoneError, TruncatedAnswerError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...settings.models import RequestLimits
from ...state.models.templates import Urgency
from ..templates.protocols import Directory, ResolvedService
from .attribution import WORKER, BudgetAttributor
from .body import BodyReader, StreamedBody
from .const import MAX_KEYED_BODY_BYTES, MAX_RETRY_BUFFER_BYTES
from .digest import request_digest
from .headers import find_header, forwardable_request_headers
from .health import EntryHealth
from .models import Ran, RequestFacts, RequestFinished, RequestRefusal
from .parse import CallerRequest, build_facts, parse_request, read_request_id
from .problem import retryable_refusal
from .protocols import OutgoingRequest, WorkerResponse
from .response import RESPONSE_ERRORS, async_close_response
from .service import EntryService
from .writer import ResponseWriter

_LOGGER = get_logger(__name__)

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_MIN_SERVER_ERROR_STATUS: Final = 500
_CALLER_DISCONNECTED_STATUS: Final = 499
"""Status logged and counted for a request whose caller disconnected."""

_INTERNAL_ERROR: Final = RequestRefusal(
    "internal-error", 500, Ran.UNKNOWN, "see the entry's log"
)
_DEFAULT_URGENCY: Final = Urgency.NORMAL


@dataclass(frozen=True, slots=True)
class ApplicationDependencies:
    """The dependencies of the callers' application.

    ``directory`` resolves organisations; it is queried for each request.
    """

    service: EntryService
    directory: Directory
    health: EntryHealth
    limits: RequestLimits
    timers: TimerService
    events: EventBus
    attributor: BudgetAttributor


class Exchange:
    """One HTTP request and its response."""

    def __init__(
        self,
        dependencies: ApplicationDependencies,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        self._dependencies = dependencies
        self._scope = scope
        self._received_at = self._dependencies.timers.monotonic()
        self._request_id = read_request_id(scope["headers"])
        self._reader = BodyReader(receive, self._dependencies.limits.body_bytes)
        self._writer = ResponseWriter(
            scope, receive, send, self._request_id, self._dependencies.health
        )
        self._facts: RequestFacts | None = None
        self._organisation = ""
        self._service = ""
        self._attempts = 0
        self._resolved = False

    async def async_run(self) -> None:
        """Serve the request up to its final response."""
        try:
            await self._async_exchange()
        except Exception as error:
            # An internal error on the request path: the caller still gets a response,
            # which reports that it is unknown whether the request ran.
            _LOGGER.error(
                "request_failed",
                request_id=self._request_id,
                error=type(error).__name__,
                detail=str(error),
            )
            await self._async_terminate(_INTERNAL_ERROR)

    async def _async_exchange(self) -> None:
        prepared: Result[OutgoingRequest, RequestRefusal]
        try:
            prepared = await self._async_prepare()
        except TimeoutError:
            prepared = _refuse("body-too-slow", 408, "the body missed the deadline")
        except BodyTooLargeError as error:
            prepared = _refuse(error.code, 413, error.detail)
        except CallerGoneError:
            self._finish(_CALLER_DISCONNECTED_STATUS, Ran.NO, CallerGoneError.code)
            return
        if isinstance(prepared, Failure):
            await self._async_write_refusal(
                self._mark_unknown_if_keyed(prepared.failure())
            )
            return
        assert self._facts is not None
        await self._async_serve(self._facts, prepared.unwrap())

    async def _async_prepare(self) -> Result[OutgoingRequest, RequestRefusal]:
        """Parse the request, resolve its names and buffer its body if it is small."""
        if self._scope["http_version"] == "1.0":
            return _refuse("version-unsupported", 505, "HTTP/1.1 or HTTP/2")
        parsed = parse_request(self._scope, self._request_id, self._dependencies.limits)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        request = parsed.unwrap()
        self._organisation = request.organisation
        self._service = request.service
        resolved = self._dependencies.directory.resolve(
            request.organisation, request.service
        )
        if isinstance(resolved, Failure):
            return Failure(resolved.failure())
        self._resolved = True
        return await self._async_read(request, resolved.unwrap())

    async def _async_read(
        self, request: CallerRequest, resolved: ResolvedService
    ) -> Result[OutgoingRequest, RequestRefusal]:
        facts = build_facts(
            request, resolved, self._dependencies.limits, self._received_at
        )
        has_key = bool(request.idempotency_key)
        max_bytes = MAX_KEYED_BODY_BYTES if has_key else MAX_RETRY_BUFFER_BYTES
        buffered = await self._async_buffer_body(request, max_bytes, facts.deadline)
        complete = self._reader.ended
        if has_key and not complete:
            return _refuse("key-body-too-large", 413, f"limit={MAX_KEYED_BODY_BYTES}")
        if has_key:
            facts = replace(facts, request_digest=request_digest(request, buffered))
        self._facts = facts
        headers = forwardable_request_headers(self._scope["headers"])
        if complete:
            return Success(
                OutgoingRequest(request.method, request.target, headers, buffered)
            )
        if request.content_length is not None:
            headers += ((b"content-length", b"%d" % request.content_length),)
        body = StreamedBody(self._reader, buffered)
        return Success(OutgoingRequest(request.method, request.target, headers, body))

    async def _async_buffer_body(
        self, request: CallerRequest, max_bytes: int, deadline: float
    ) -> bytes:
        """Buffer the start of the body; all of it if it is small."""
        if _is_bodiless(self._scope):
            self._reader.mark_empty()
            return b""
        if request.content_length is not None and request.content_length > max_bytes:
            return b""
        with anyio.fail_after(deadline - self._dependencies.timers.monotonic()):
            return await self._reader.async_buffer(max_bytes)

    async def _async_serve(self, facts: RequestFacts, request: OutgoingRequest) -> None:
        handler = self._dependencies.service.start_request(facts, request)
        result = await handler.async_run()
        self._attempts = handler.attempts
        if isinstance(result, Failure):
            await self._async_write_refusal(result.failure())
            return
        await self._async_write_response(facts, result.unwrap())

    async def _async_write_response(
        self, facts: RequestFacts, response: WorkerResponse
    ) -> None:
        remaining = facts.deadline - self._dependencies.timers.monotonic()
        code = "deadline-exceeded"
        try:
            with anyio.move_on_after(remaining):
                await self._writer.async_write_response(response, self._reader.ended)
                code = ""
        except CallerGoneError as error:
            code = error.code
        except RESPONSE_ERRORS as error:
            code = TruncatedAnswerError.code
            _LOGGER.warning(
                "response_interrupted", request_id=self._request_id, error=error.code
            )
        finally:
            with anyio.CancelScope(shield=True):
                await async_close_response(response)
        if not code:
            cause = WORKER if response.status >= _MIN_SERVER_ERROR_STATUS else ""
            self._finish(response.status, Ran.YES, "", cause)
        elif code == CallerGoneError.code:
            self._finish(_CALLER_DISCONNECTED_STATUS, Ran.YES, code)
        else:
            await self._async_terminate(_build_lost_response(code))

    async def _async_terminate(self, refusal: RequestRefusal) -> None:
        """Refuse the request, or abort a response that was started."""
        if not self._writer.started:
            await self._async_write_refusal(refusal)
            return
        await self._writer.async_abort()
        self._finish(refusal.status, refusal.ran, refusal.code)

    async def _async_write_refusal(self, refusal: RequestRefusal) -> None:
        body_read = self._reader.ended or _is_bodiless(self._scope)
        await self._writer.async_write_refusal(refusal, body_read)
        self._finish(refusal.status, refusal.ran, refusal.code)

    def _mark_unknown_if_keyed(self, refusal: RequestRefusal) -> RequestRefusal:
        """Report ``unknown`` if an earlier request with the key may have run."""
        key = find_header(self._scope["headers"], HEADER_IDEMPOTENCY_KEY.encode())
        if key is None:
            return refusal
        return replace(refusal, ran=Ran.UNKNOWN)

    def _finish(self, status: int, ran: Ran, code: str, cause: str = "") -> None:
        latency = self._dependencies.timers.monotonic() - self._received_at
        facts = self._facts
        pool = "" if facts is None else facts.pool
        if code:
            cause = self._dependencies.attributor.attribute(code, pool, self._attempts)
        self._dependencies.events.publish(
            RequestFinished(
                request_id=self._request_id,
                # Unresolved names come from callers and must not create report entries.
                organisation=self._organisation if self._resolved else "",
                service=self._service if self._resolved else "",
                urgency=_DEFAULT_URGENCY if facts is None else facts.urgency,
                status=status,
                ran=ran,
                latency_seconds=latency,
                attempts=self._attempts,
                cause=cause,
                code=code,
            )
        )
        _LOGGER.info(
            "request_finished",
            request_id=self._request_id,
            organisation=self._organisation or None,
            service=self._service or None,
            method=self._scope["method"],
            status=status,
            ran=ran.value,
            attempts=self._attempts,
            seconds=latency,
            code=code or None,
            cause=cause or None,
        )


def _build_lost_response(code: str) -> RequestRefusal:
    status = 504 if code == "deadline-exceeded" else 502
    return retryable_refusal(code, status, Ran.UNKNOWN, "the worker's answer was lost")


def _is_bodiless(scope: Scope) -> bool:
    if scope["http_version"] == "2":
        return False
    headers = scope["headers"]
    return (
        find_header(headers, b"content-length") in (None, b"0")
        and find_header(headers, b"transfer-encoding") is None
    )


def _refuse(code: str, status: int, detail: str) -> Failure[RequestRefusal]:
    return Failure(RequestRefusal(code, status, Ran.NO, detail))
