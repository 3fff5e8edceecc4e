"""Hold one caller's request from its head to the end of its answer."""

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
from .const import KEYED_BODY_BYTES, RETRY_BUFFER_BYTES
from .digest import request_digest
from .headers import find_header, request_headers
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

_SERVER_ERROR: Final = 500
_CALLER_GONE: Final = 499
"""Status in the log and the metrics of a request whose caller went away."""

_DEFECT: Final = RequestRefusal(
    "internal-error", 500, Ran.UNKNOWN, "see the entry's log"
)
_NO_URGENCY: Final = Urgency.NORMAL


@dataclass(frozen=True, slots=True)
class ApplicationDependencies:
    """Hold what answering callers takes.

    ``directory`` finds organisations, and is asked anew for each request.
    """

    service: EntryService
    directory: Directory
    health: EntryHealth
    limits: RequestLimits
    timers: TimerService
    events: EventBus
    causes: BudgetAttributor


class Exchange:
    """Hold one request and its answer."""

    def __init__(
        self, parts: ApplicationDependencies, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self._parts = parts
        self._scope = scope
        self._arrived = self._parts.timers.monotonic()
        self._request_id = read_request_id(scope["headers"])
        self._reader = BodyReader(receive, self._parts.limits.body_bytes)
        self._writer = ResponseWriter(
            scope, receive, send, self._request_id, self._parts.health
        )
        self._facts: RequestFacts | None = None
        self._organisation = ""
        self._service = ""
        self._attempts = 0
        self._resolved = False

    async def async_run(self) -> None:
        """Serve the request up to its final answer."""
        try:
            await self._async_exchange()
        except Exception as error:
            # A defect of ours, somewhere on the path: the caller still gets an answer
            # that says what is known, which is nothing.
            _LOGGER.error(
                "request_failed",
                request_id=self._request_id,
                error=type(error).__name__,
                detail=str(error),
            )
            await self._async_break(_DEFECT)

    async def _async_exchange(self) -> None:
        prepared: Result[OutgoingRequest, RequestRefusal]
        try:
            prepared = await self._async_prepare()
        except TimeoutError:
            prepared = _refuse("body-too-slow", 408, "the body missed the deadline")
        except BodyTooLargeError as error:
            prepared = _refuse(error.code, 413, error.detail)
        except CallerGoneError:
            self._finish(_CALLER_GONE, Ran.NO, CallerGoneError.code)
            return
        if isinstance(prepared, Failure):
            await self._async_refuse(self._cautious(prepared.failure()))
            return
        assert self._facts is not None
        await self._async_serve(self._facts, prepared.unwrap())

    async def _async_prepare(self) -> Result[OutgoingRequest, RequestRefusal]:
        """Read what decisions need: names, headers, and the body if it is small."""
        if self._scope["http_version"] == "1.0":
            return _refuse("version-unsupported", 505, "HTTP/1.1 or HTTP/2")
        parsed = parse_request(self._scope, self._request_id, self._parts.limits)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        request = parsed.unwrap()
        self._organisation = request.organisation
        self._service = request.service
        resolved = self._parts.directory.resolve(request.organisation, request.service)
        if isinstance(resolved, Failure):
            return Failure(resolved.failure())
        self._resolved = True
        return await self._async_read(request, resolved.unwrap())

    async def _async_read(
        self, request: CallerRequest, resolved: ResolvedService
    ) -> Result[OutgoingRequest, RequestRefusal]:
        facts = build_facts(request, resolved, self._parts.limits, self._arrived)
        keyed = bool(request.idempotency_key)
        bound = KEYED_BODY_BYTES if keyed else RETRY_BUFFER_BYTES
        held = await self._async_hold(request, bound, facts.deadline)
        whole = self._reader.ended
        if keyed and not whole:
            return _refuse("key-body-too-large", 413, f"limit={KEYED_BODY_BYTES}")
        if keyed:
            facts = replace(facts, request_digest=request_digest(request, held))
        self._facts = facts
        headers = request_headers(self._scope["headers"])
        if whole:
            return Success(
                OutgoingRequest(request.method, request.target, headers, held)
            )
        if request.content_length is not None:
            headers += ((b"content-length", b"%d" % request.content_length),)
        body = StreamedBody(self._reader, held)
        return Success(OutgoingRequest(request.method, request.target, headers, body))

    async def _async_hold(
        self, request: CallerRequest, bound: int, deadline: float
    ) -> bytes:
        """Read the body as far as it is held; all of it if it is small."""
        if _is_bodiless(self._scope):
            self._reader.end()
            return b""
        if request.content_length is not None and request.content_length > bound:
            return b""
        with anyio.fail_after(deadline - self._parts.timers.monotonic()):
            return await self._reader.async_hold(bound)

    async def _async_serve(self, facts: RequestFacts, request: OutgoingRequest) -> None:
        serving = self._parts.service.start(facts, request)
        result = await serving.async_run()
        self._attempts = serving.attempts
        if isinstance(result, Failure):
            await self._async_refuse(result.failure())
            return
        await self._async_answer(facts, result.unwrap())

    async def _async_answer(self, facts: RequestFacts, answer: WorkerResponse) -> None:
        remaining = facts.deadline - self._parts.timers.monotonic()
        code = "deadline-exceeded"
        try:
            with anyio.move_on_after(remaining):
                await self._writer.async_answer(answer, self._reader.ended)
                code = ""
        except CallerGoneError as error:
            code = error.code
        except RESPONSE_ERRORS as error:
            code = TruncatedAnswerError.code
            _LOGGER.warning(
                "answer_broken_off", request_id=self._request_id, error=error.code
            )
        finally:
            with anyio.CancelScope(shield=True):
                await async_close_response(answer)
        if not code:
            cause = WORKER if answer.status >= _SERVER_ERROR else ""
            self._finish(answer.status, Ran.YES, "", cause)
        elif code == CallerGoneError.code:
            self._finish(_CALLER_GONE, Ran.YES, code)
        else:
            await self._async_break(_lost_answer(code))

    async def _async_break(self, refusal: RequestRefusal) -> None:
        """Refuse, or break off what has begun."""
        if not self._writer.started:
            await self._async_refuse(refusal)
            return
        await self._writer.async_abort()
        self._finish(refusal.status, refusal.ran, refusal.code)

    async def _async_refuse(self, refusal: RequestRefusal) -> None:
        body_read = self._reader.ended or _is_bodiless(self._scope)
        await self._writer.async_refuse(refusal, body_read)
        self._finish(refusal.status, refusal.ran, refusal.code)

    def _cautious(self, refusal: RequestRefusal) -> RequestRefusal:
        """Say ``unknown`` where an earlier try under the key may have run."""
        key = find_header(self._scope["headers"], HEADER_IDEMPOTENCY_KEY.encode())
        if key is None:
            return refusal
        return replace(refusal, ran=Ran.UNKNOWN)

    def _finish(self, status: int, ran: Ran, code: str, cause: str = "") -> None:
        latency = self._parts.timers.monotonic() - self._arrived
        facts = self._facts
        pool = "" if facts is None else facts.pool
        if code:
            cause = self._parts.causes.find(code, pool, self._attempts)
        self._parts.events.publish(
            RequestFinished(
                request_id=self._request_id,
                # A name that callers make up must not become a name in reports.
                organisation=self._organisation if self._resolved else "",
                service=self._service if self._resolved else "",
                urgency=_NO_URGENCY if facts is None else facts.urgency,
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


def _lost_answer(code: str) -> RequestRefusal:
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
