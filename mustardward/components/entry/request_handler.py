"""Handle one request from its admission to its response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

import anyio
from returns.result import Failure, Result, Success

from ...exceptions import BodyTooLargeError, CallerGoneError, TruncatedAnswerError
from ...helpers.timer import TimerService
from ..routing.models import FORWARDABLE_REFUSAL_CODES
from .attempts import AttemptRunner, PendingResponse
from .const import MAX_STORED_RESPONSE_BYTES
from .dependencies import EntryDependencies
from .headers import find_header
from .hedge import HedgedAttempt
from .models import AttemptOutcome, Ran, RequestFacts, RequestRefusal
from .problem import retryable_refusal
from .protocols import (
    Choice,
    OutgoingRequest,
    Permit,
    RetryDecision,
    StoredResponse,
    WorkerResponse,
)
from .response import BufferedBody, TrackedBody

HandlerResult = Result[WorkerResponse, RequestRefusal]

_MIN_SERVER_ERROR_STATUS: Final = 500
_REFUSALS_BY_OUTCOME: Final = {
    AttemptOutcome.NOT_SENT: ("worker-unreachable", 503),
    AttemptOutcome.REFUSED: ("workers-busy", 503),
    AttemptOutcome.UNKNOWN: ("outcome-unknown", 502),
    AttemptOutcome.ANSWERED: ("deadline-exceeded", 504),
}
_REFUSALS_BY_CAUSE: Final = {
    BodyTooLargeError.code: ("body-too-large", 413),
    CallerGoneError.code: ("caller-gone", 400),
    TruncatedAnswerError.code: ("answer-truncated", 502),
}
_UNCONFIRMED: Final = retryable_refusal(
    "not-ready", 503, Ran.NO, "the state was not confirmed since a pause"
)


@dataclass(frozen=True, slots=True)
class HandlerContext:
    """The process-wide context of request handlers.

    ``run_in_background`` runs work that the caller does not wait for; ``on_end`` is
    called once when the request is no longer in progress.
    """

    dependencies: EntryDependencies
    timers: TimerService
    run_in_background: Callable[[Callable[[], Awaitable[None]]], None]
    on_end: Callable[[], None]


class RequestHandler:
    """Handle one request: admission, idempotency, attempts and retries."""

    def __init__(
        self, context: HandlerContext, facts: RequestFacts, request: OutgoingRequest
    ) -> None:
        self._context = context
        self._dependencies = context.dependencies
        self._timers = context.timers
        self._facts = facts
        self._attempts = AttemptRunner(
            context.dependencies, context.timers, facts, request
        )
        self._permit: Permit | None = None
        self._intent_open = False
        self._ended = False

    @property
    def attempts(self) -> int:
        """Return the number of attempts started."""
        return self._attempts.started_count

    @property
    def ran(self) -> Ran:
        """Return whether the request may have run.

        Until the intent is open, it is unknown whether an earlier request with the key
        ran.
        """
        if self._facts.idempotency_key and not self._intent_open:
            return Ran.UNKNOWN
        return self._attempts.ran

    async def async_run(self) -> HandlerResult:
        """Return a worker's response, or the refusal that ends the request."""
        remaining = self._facts.deadline - self._timers.monotonic()
        if remaining <= 0:
            return self._refuse_deadline_exceeded()
        try:
            with anyio.move_on_after(remaining):
                return await self._async_admit_and_run()
        except BaseException:
            self._abort()
            raise
        return self._refuse_deadline_exceeded()

    async def _async_admit_and_run(self) -> HandlerResult:
        admitted = await self._dependencies.limiter.async_admit(self._facts)
        if isinstance(admitted, Failure):
            return await self._async_forward_or_refuse(admitted.failure())
        self._permit = admitted.unwrap()
        if self._facts.idempotency_key:
            return await self._async_run_keyed()
        return await self._async_run_attempts()

    async def _async_run_keyed(self) -> HandlerResult:
        idempotency_guard = self._dependencies.intents
        if idempotency_guard is None:
            return self._refuse(
                retryable_refusal(
                    "key-unavailable", 503, Ran.UNKNOWN, "no log to keep intents in"
                )
            )
        opened = await idempotency_guard.async_open(self._facts)
        if isinstance(opened, Failure):
            self._abort()
            return Failure(opened.failure())
        stored = opened.unwrap()
        if stored is not None:
            self._release(True)
            self._record_end()
            return Success(_build_replayed_response(stored))
        self._intent_open = True
        return await self._async_run_attempts()

    async def _async_run_attempts(self) -> HandlerResult:
        retries = self._dependencies.retries
        retries.record_first(self._facts)
        exclude: frozenset[str] = frozenset()
        while True:
            if not await self._async_may_dispatch():
                return self._refuse(_UNCONFIRMED)
            chosen = self._choose(exclude)
            if isinstance(chosen, Failure):
                return await self._async_forward_or_refuse(chosen.failure())
            choice = chosen.unwrap()
            pending = await self._async_attempt(choice)
            if pending is not None and not await self._async_prepare_retry(pending):
                return self._accept(pending)
            if pending is None:
                if not self._attempts.can_resend_body:
                    return self._refuse(self._final_refusal())
                decision = retries.decide(
                    self._facts, self._attempts.unsuccessful, self._timers.monotonic()
                )
                if not decision.should_retry:
                    return self._refuse(self._final_refusal())
                await self._async_back_off(decision)
            exclude |= {choice.instance.instance_id}

    async def _async_may_dispatch(self) -> bool:
        guard = self._dependencies.guard
        return (
            guard is None
            or guard.dispatch_allowed
            or await guard.async_wait_until_allowed()
        )

    def _choose(self, exclude: frozenset[str]) -> Result[Choice, RequestRefusal]:
        """Choose a worker not tried yet, or any once all were tried."""
        chosen = self._dependencies.router.choose(self._facts, exclude)
        if isinstance(chosen, Failure) and exclude:
            return self._dependencies.router.choose(self._facts, frozenset())
        return chosen

    async def _async_attempt(self, choice: Choice) -> PendingResponse | None:
        delay = self._dependencies.retries.hedge_after(self._facts)
        if delay is None or not self._attempts.can_hedge:
            return await self._attempts.async_send_local(choice)
        race = HedgedAttempt(
            self._dependencies, self._timers, self._facts, self._attempts, delay
        )
        return await race.async_run(choice)

    async def _async_prepare_retry(self, pending: PendingResponse) -> bool:
        """Discard a server error and back off if a retry is allowed; return whether."""
        if (
            pending.response.status < _MIN_SERVER_ERROR_STATUS
            or not self._facts.idempotent
        ):
            return False
        if not self._attempts.can_resend_body:
            return False
        decision = self._dependencies.retries.decide(
            self._facts,
            (*self._attempts.unsuccessful, pending.attempt),
            self._timers.monotonic(),
        )
        if not decision.should_retry:
            return False
        await self._attempts.async_abandon(pending, "worker-failed")
        await self._async_back_off(decision)
        return True

    async def _async_back_off(self, decision: RetryDecision) -> None:
        if decision.delay_seconds > 0:
            await self._timers.async_sleep(decision.delay_seconds)

    async def _async_forward_or_refuse(self, refusal: RequestRefusal) -> HandlerResult:
        """Forward to another data centre if that can help; else refuse.

        A keyed request is not forwarded: its intent is in this data centre's log, and
        no other data centre may dispatch it.
        """
        can_forward = (
            refusal.code in FORWARDABLE_REFUSAL_CODES
            and not self._facts.idempotency_key
        )
        if (
            not can_forward
            or not self._attempts.can_resend_body
            or not self._is_safe_to_resend
        ):
            return self._refuse(refusal)
        choice = self._dependencies.router.choose_remote(self._facts)
        if choice is None or self._dependencies.peers is None:
            return self._refuse(refusal)
        pending = await self._attempts.async_send_remote(choice)
        if pending is not None:
            return self._accept(pending)
        return self._refuse(refusal)

    @property
    def _is_safe_to_resend(self) -> bool:
        return self._facts.idempotent or self._attempts.ran is Ran.NO

    def _accept(self, pending: PendingResponse) -> HandlerResult:
        response = pending.response
        max_copy_bytes = MAX_STORED_RESPONSE_BYTES if self._intent_open else -1
        body = TrackedBody(response.chunks, max_copy_bytes, partial(self._end, pending))
        return Success(WorkerResponse(response.status, response.headers, body))

    def _end(
        self, pending: PendingResponse, complete: bool, body_copy: bytes | None
    ) -> None:
        pending.end(complete)
        self._release(complete and pending.response.status < _MIN_SERVER_ERROR_STATUS)
        if self._intent_open:
            stored = (
                None
                if body_copy is None
                else _build_stored_response(pending.response, body_copy)
            )
            self._close_intent(Ran.YES, stored)
        self._record_end()

    def _final_refusal(self) -> RequestRefusal:
        unsuccessful = self._attempts.unsuccessful
        last = unsuccessful[-1]
        code, status = _REFUSALS_BY_CAUSE.get(
            last.cause, _REFUSALS_BY_OUTCOME[last.outcome]
        )
        detail = f"attempts={len(unsuccessful)} last={last.cause}"
        return retryable_refusal(code, status, self.ran, detail)

    def _refuse_deadline_exceeded(self) -> HandlerResult:
        detail = f"attempts={self._attempts.started_count}"
        return self._refuse(RequestRefusal("deadline-exceeded", 504, self.ran, detail))

    def _refuse(self, refusal: RequestRefusal) -> HandlerResult:
        """End with a refusal whose ``ran`` covers all attempts and the key."""
        ran = self._get_reportable_ran(
            self.ran if refusal.ran is Ran.NO else refusal.ran
        )
        self._abort()
        return Failure(replace(refusal, ran=ran))

    def _get_reportable_ran(self, ran: Ran) -> Ran:
        # An idempotent request may have been served without its key while the log was
        # unavailable. If its retry were reported as not run, the caller would send it
        # once more.
        idempotency_guard = self._dependencies.intents
        if idempotency_guard is None or not self._facts.idempotency_key:
            return ran
        return idempotency_guard.reportable_ran(self._facts, ran)

    def _abort(self) -> None:
        self._release(False)
        if self._intent_open:
            self._close_intent(self.ran, None)
        self._record_end()

    def _record_end(self) -> None:
        if not self._ended:
            self._ended = True
            self._context.on_end()

    def _release(self, succeeded: bool) -> None:
        if self._permit is None:
            return
        latency = self._timers.monotonic() - self._facts.arrived
        self._permit.release(latency, succeeded)
        self._permit = None

    def _close_intent(self, ran: Ran, response: StoredResponse | None) -> None:
        # The caller does not wait for this: if the record is lost, a later request with
        # the key finds an intent without an outcome and is refused as "unknown".
        self._intent_open = False
        idempotency_guard = self._dependencies.intents
        assert idempotency_guard is not None
        facts = self._facts
        self._context.run_in_background(
            lambda: idempotency_guard.async_close(facts, ran.value, response)
        )


def _build_stored_response(response: WorkerResponse, body: bytes) -> StoredResponse:
    content_type = find_header(response.headers, b"content-type") or b""
    return StoredResponse(response.status, content_type.decode("latin-1"), body)


def _build_replayed_response(stored: StoredResponse) -> WorkerResponse:
    headers = [(b"content-length", b"%d" % len(stored.body))]
    if stored.content_type:
        headers.append((b"content-type", stored.content_type.encode("latin-1")))
    return WorkerResponse(stored.status, tuple(headers), BufferedBody(stored.body))
