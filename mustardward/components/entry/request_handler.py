"""Take one request from its admission to its answer."""

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
from .const import STORED_ANSWER_BYTES
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

_SERVER_ERROR: Final = 500
_FINAL: Final = {
    AttemptOutcome.NOT_SENT: ("worker-unreachable", 503),
    AttemptOutcome.REFUSED: ("workers-busy", 503),
    AttemptOutcome.UNKNOWN: ("outcome-unknown", 502),
    AttemptOutcome.ANSWERED: ("deadline-exceeded", 504),
}
_FINAL_BY_CAUSE: Final = {
    BodyTooLargeError.code: ("body-too-large", 413),
    CallerGoneError.code: ("caller-gone", 400),
    TruncatedAnswerError.code: ("answer-truncated", 502),
}
_UNCONFIRMED: Final = retryable_refusal(
    "not-ready", 503, Ran.NO, "the state was not confirmed since a pause"
)


@dataclass(frozen=True, slots=True)
class HandlerContext:
    """Hold what a serving needs of its process.

    ``background`` runs what the caller need not wait for; ``ended`` is called once
    when nothing of the request is left in progress.
    """

    parts: EntryDependencies
    timers: TimerService
    background: Callable[[Callable[[], Awaitable[None]]], None]
    ended: Callable[[], None]


class RequestHandler:
    """Hold what one request has been through."""

    def __init__(
        self, host: HandlerContext, facts: RequestFacts, request: OutgoingRequest
    ) -> None:
        self._host = host
        self._parts = host.parts
        self._timers = host.timers
        self._facts = facts
        self._attempts = AttemptRunner(host.parts, host.timers, facts, request)
        self._permit: Permit | None = None
        self._intent_open = False
        self._over = False

    @property
    def attempts(self) -> int:
        """Return how many attempts were begun."""
        return self._attempts.begun

    @property
    def ran(self) -> Ran:
        """Tell whether the request may have run, by all that is known here.

        Until the intent is open, nothing is known of earlier tries under the key.
        """
        if self._facts.idempotency_key and not self._intent_open:
            return Ran.UNKNOWN
        return self._attempts.ran

    async def async_run(self) -> HandlerResult:
        """Return a worker's answer, or the refusal that ends the request."""
        remaining = self._facts.deadline - self._timers.monotonic()
        if remaining <= 0:
            return self._refuse_late()
        try:
            with anyio.move_on_after(remaining):
                return await self._async_admitted()
        except BaseException:
            self._give_up()
            raise
        return self._refuse_late()

    async def _async_admitted(self) -> HandlerResult:
        admitted = await self._parts.limiter.async_admit(self._facts)
        if isinstance(admitted, Failure):
            return await self._async_elsewhere(admitted.failure())
        self._permit = admitted.unwrap()
        if self._facts.idempotency_key:
            return await self._async_keyed()
        return await self._async_attempts()

    async def _async_keyed(self) -> HandlerResult:
        gate = self._parts.intents
        if gate is None:
            return self._refuse(
                retryable_refusal(
                    "key-unavailable", 503, Ran.UNKNOWN, "no log to keep intents in"
                )
            )
        opened = await gate.async_open(self._facts)
        if isinstance(opened, Failure):
            self._give_up()
            return Failure(opened.failure())
        stored = opened.unwrap()
        if stored is not None:
            self._release(True)
            self._end_once()
            return Success(_stored_answer(stored))
        self._intent_open = True
        return await self._async_attempts()

    async def _async_attempts(self) -> HandlerResult:
        retries = self._parts.retries
        retries.record_first(self._facts)
        exclude: frozenset[str] = frozenset()
        while True:
            if not await self._async_may_dispatch():
                return self._refuse(_UNCONFIRMED)
            chosen = self._choose(exclude)
            if isinstance(chosen, Failure):
                return await self._async_elsewhere(chosen.failure())
            choice = chosen.unwrap()
            held = await self._async_try(choice)
            if held is not None and not await self._async_try_past(held):
                return self._accept(held)
            if held is None:
                if not self._attempts.may_send_again:
                    return self._refuse(self._final_refusal())
                decision = retries.decide(
                    self._facts, self._attempts.made, self._timers.monotonic()
                )
                if not decision.should_retry:
                    return self._refuse(self._final_refusal())
                await self._async_pause(decision)
            exclude |= {choice.instance.instance_id}

    async def _async_may_dispatch(self) -> bool:
        guard = self._parts.guard
        return guard is None or guard.open or await guard.async_pass()

    def _choose(self, exclude: frozenset[str]) -> Result[Choice, RequestRefusal]:
        """Choose a worker not tried yet; any, once all were."""
        chosen = self._parts.router.choose(self._facts, exclude)
        if isinstance(chosen, Failure) and exclude:
            return self._parts.router.choose(self._facts, frozenset())
        return chosen

    async def _async_try(self, choice: Choice) -> PendingResponse | None:
        delay = self._parts.retries.hedge_after(self._facts)
        if delay is None or not self._attempts.may_hedge:
            return await self._attempts.async_local(choice)
        race = HedgedAttempt(
            self._parts, self._timers, self._facts, self._attempts, delay
        )
        return await race.async_run(choice)

    async def _async_try_past(self, held: PendingResponse) -> bool:
        """Drop an answer that is a worker's failure if another try is allowed."""
        if held.answer.status < _SERVER_ERROR or not self._facts.idempotent:
            return False
        if not self._attempts.may_send_again:
            return False
        decision = self._parts.retries.decide(
            self._facts,
            (*self._attempts.made, held.attempt),
            self._timers.monotonic(),
        )
        if not decision.should_retry:
            return False
        await self._attempts.async_give_up(held, "worker-failed")
        await self._async_pause(decision)
        return True

    async def _async_pause(self, decision: RetryDecision) -> None:
        if decision.delay_seconds > 0:
            await self._timers.async_sleep(decision.delay_seconds)

    async def _async_elsewhere(self, refusal: RequestRefusal) -> HandlerResult:
        """Try another data centre where that helps; else refuse.

        A keyed request stays: its intent stands in this data centre's log, and no
        other may dispatch it.
        """
        helps = (
            refusal.code in FORWARDABLE_REFUSAL_CODES
            and not self._facts.idempotency_key
        )
        if not helps or not self._attempts.may_send_again or not self._safe_to_send:
            return self._refuse(refusal)
        choice = self._parts.router.choose_remote(self._facts)
        if choice is None or self._parts.peers is None:
            return self._refuse(refusal)
        held = await self._attempts.async_remote(choice)
        if held is not None:
            return self._accept(held)
        return self._refuse(refusal)

    @property
    def _safe_to_send(self) -> bool:
        return self._facts.idempotent or self._attempts.ran is Ran.NO

    def _accept(self, held: PendingResponse) -> HandlerResult:
        answer = held.answer
        keep = STORED_ANSWER_BYTES if self._intent_open else -1
        body = TrackedBody(answer.chunks, keep, partial(self._end, held))
        return Success(WorkerResponse(answer.status, answer.headers, body))

    def _end(self, held: PendingResponse, whole: bool, kept: bytes | None) -> None:
        held.end(whole)
        self._release(whole and held.answer.status < _SERVER_ERROR)
        if self._intent_open:
            stored = None if kept is None else _stored(held.answer, kept)
            self._close_intent(Ran.YES, stored)
        self._end_once()

    def _final_refusal(self) -> RequestRefusal:
        made = self._attempts.made
        last = made[-1]
        code, status = _FINAL_BY_CAUSE.get(last.cause, _FINAL[last.outcome])
        detail = f"attempts={len(made)} last={last.cause}"
        return retryable_refusal(code, status, self.ran, detail)

    def _refuse_late(self) -> HandlerResult:
        detail = f"attempts={self._attempts.begun}"
        return self._refuse(RequestRefusal("deadline-exceeded", 504, self.ran, detail))

    def _refuse(self, refusal: RequestRefusal) -> HandlerResult:
        """End with a refusal whose ``ran`` holds for all attempts and the key."""
        ran = self._truthful(self.ran if refusal.ran is Ran.NO else refusal.ran)
        self._give_up()
        return Failure(replace(refusal, ran=ran))

    def _truthful(self, ran: Ran) -> Ran:
        # An idempotent request may have been served without its key while the log was
        # out. A caller who is then told that its retry was not run would order again.
        gate = self._parts.intents
        if gate is None or not self._facts.idempotency_key:
            return ran
        return gate.reportable_ran(self._facts, ran)

    def _give_up(self) -> None:
        self._release(False)
        if self._intent_open:
            self._close_intent(self.ran, None)
        self._end_once()

    def _end_once(self) -> None:
        if not self._over:
            self._over = True
            self._host.ended()

    def _release(self, succeeded: bool) -> None:
        if self._permit is None:
            return
        latency = self._timers.monotonic() - self._facts.arrived
        self._permit.release(latency, succeeded)
        self._permit = None

    def _close_intent(self, ran: Ran, answer: StoredResponse | None) -> None:
        # The caller is not held back for this: should the record get lost, a later
        # try under the key finds an intent without an outcome and is told "unknown".
        self._intent_open = False
        gate = self._parts.intents
        assert gate is not None
        facts = self._facts
        self._host.background(lambda: gate.async_close(facts, ran.value, answer))


def _stored(answer: WorkerResponse, body: bytes) -> StoredResponse:
    content_type = find_header(answer.headers, b"content-type") or b""
    return StoredResponse(answer.status, content_type.decode("latin-1"), body)


def _stored_answer(stored: StoredResponse) -> WorkerResponse:
    headers = [(b"content-length", b"%d" % len(stored.body))]
    if stored.content_type:
        headers.append((b"content-type", stored.content_type.encode("latin-1")))
    return WorkerResponse(stored.status, tuple(headers), BufferedBody(stored.body))
