"""Take one request through its attempts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import Final

import anyio
from returns.result import Failure, Result, Success

from ...exceptions import BodyTooLargeError, CallerGoneError
from ...helpers.timer import TimerService
from .answer import StoredBody, WatchedBody, async_close_answer
from .body import StreamedBody
from .const import STORED_ANSWER_BYTES
from .headers import find_header
from .models import Attempt, AttemptOutcome, Ran, RequestFacts, RequestRefusal
from .parts import EntryParts
from .problem import no_answer_refusal
from .protocols import (
    Choice,
    FailedAttempt,
    OutgoingRequest,
    Permit,
    StoredAnswer,
    WorkerAnswer,
)

Background = Callable[[Callable[[], Awaitable[None]]], None]

_FINAL: Final = {
    AttemptOutcome.NOT_SENT: ("worker-unreachable", 503),
    AttemptOutcome.REFUSED: ("workers-busy", 503),
    AttemptOutcome.UNKNOWN: ("outcome-unknown", 502),
    AttemptOutcome.ANSWERED: ("deadline-exceeded", 504),
}
_FINAL_BY_CAUSE: Final = {
    BodyTooLargeError.code: ("body-too-large", 413),
    CallerGoneError.code: ("caller-gone", 400),
}


class Serving:
    """Hold what one request has been through.

    :param background: runs what the caller need not wait for.
    """

    def __init__(
        self,
        parts: EntryParts,
        timers: TimerService,
        background: Background,
        facts: RequestFacts,
        request: OutgoingRequest,
    ) -> None:
        self._parts = parts
        self._timers = timers
        self._background = background
        self._facts = facts
        self._request = request
        self._attempts: list[Attempt] = []
        self._permit: Permit | None = None
        self._intent_open = False

    @property
    def attempts(self) -> int:
        """Return how many attempts were made."""
        return len(self._attempts)

    @property
    def ran(self) -> Ran:
        """Tell whether the request may have run, by all that is known here.

        Until the intent is open, nothing is known of earlier tries under the key.
        """
        if self._facts.idempotency_key and not self._intent_open:
            return Ran.UNKNOWN
        if all(attempt.outcome.surely_not_run for attempt in self._attempts):
            return Ran.NO
        return Ran.UNKNOWN

    async def async_run(self) -> Result[WorkerAnswer, RequestRefusal]:
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

    async def _async_admitted(self) -> Result[WorkerAnswer, RequestRefusal]:
        admitted = await self._parts.limiter.async_admit(self._facts)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure())
        self._permit = admitted.unwrap()
        if self._facts.idempotency_key:
            return await self._async_keyed()
        return await self._async_attempts()

    async def _async_keyed(self) -> Result[WorkerAnswer, RequestRefusal]:
        gate = self._parts.intents
        if gate is None:
            return self._refuse(
                no_answer_refusal(
                    "key-unavailable", 503, Ran.UNKNOWN, "no log to keep intents in"
                )
            )
        opened = await gate.async_open(self._facts)
        if isinstance(opened, Failure):
            self._release(False)
            return Failure(opened.failure())
        stored = opened.unwrap()
        if stored is not None:
            self._release(True)
            return Success(_stored_answer(stored))
        self._intent_open = True
        return await self._async_attempts()

    async def _async_attempts(self) -> Result[WorkerAnswer, RequestRefusal]:
        self._parts.retries.record_first(self._facts)
        exclude: frozenset[str] = frozenset()
        while True:
            chosen = self._parts.router.choose(self._facts, exclude)
            if isinstance(chosen, Failure):
                return self._refuse(chosen.failure())
            choice = chosen.unwrap()
            started = self._timers.monotonic()
            answer = await self._async_attempt(choice, started)
            if answer is not None:
                return self._accept(answer, choice, started)
            decision = self._parts.retries.decide(
                self._facts, tuple(self._attempts), self._timers.monotonic()
            )
            if not decision.again or not self._can_send_again():
                return self._refuse(self._final_refusal())
            exclude |= {choice.instance.instance_id}
            if decision.delay_seconds > 0:
                await self._timers.async_sleep(decision.delay_seconds)

    async def _async_attempt(
        self, choice: Choice, started: float
    ) -> WorkerAnswer | None:
        failed = FailedAttempt(AttemptOutcome.UNKNOWN, "abandoned")
        try:
            sent = await self._parts.dispatcher.async_send(
                choice, self._facts, self._request
            )
            if not isinstance(sent, Failure):
                answer = sent.unwrap()
                if self._timers.monotonic() <= self._facts.deadline:
                    return answer
                await async_close_answer(answer)
                failed = FailedAttempt(AttemptOutcome.ANSWERED, "answer-late")
            else:
                failed = sent.failure()
        except BaseException:
            self._record(choice, failed, started)
            raise
        self._record(choice, failed, started)
        return None

    def _record(self, choice: Choice, failed: FailedAttempt, started: float) -> None:
        attempt = Attempt(
            choice.attempt_id,
            choice.instance.instance_id,
            failed.outcome,
            self._timers.monotonic() - started,
            cause=failed.cause,
        )
        self._attempts.append(attempt)
        self._parts.router.finish(choice, self._facts, attempt)

    def _accept(
        self, answer: WorkerAnswer, choice: Choice, started: float
    ) -> Result[WorkerAnswer, RequestRefusal]:
        attempt = Attempt(
            choice.attempt_id,
            choice.instance.instance_id,
            AttemptOutcome.ANSWERED,
            self._timers.monotonic() - started,
            status=answer.status,
        )
        self._attempts.append(attempt)
        keep = STORED_ANSWER_BYTES if self._intent_open else -1
        on_end = partial(self._end, answer, choice, attempt)
        body = WatchedBody(answer.chunks, keep, on_end)
        return Success(WorkerAnswer(answer.status, answer.headers, body))

    def _end(
        self,
        answer: WorkerAnswer,
        choice: Choice,
        attempt: Attempt,
        whole: bool,
        kept: bytes | None,
    ) -> None:
        if not whole:
            attempt = replace(attempt, cause="answer-not-whole")
        self._parts.router.finish(choice, self._facts, attempt)
        self._release(whole and answer.status < 500)
        if self._intent_open:
            stored = None if kept is None else _stored(answer, kept)
            self._close_intent(Ran.YES, stored)

    def _can_send_again(self) -> bool:
        body = self._request.body
        return not (isinstance(body, StreamedBody) and body.begun)

    def _final_refusal(self) -> RequestRefusal:
        last = self._attempts[-1]
        code, status = _FINAL_BY_CAUSE.get(last.cause, _FINAL[last.outcome])
        detail = f"attempts={len(self._attempts)} last={last.cause}"
        return no_answer_refusal(code, status, self.ran, detail)

    def _refuse_late(self) -> Result[WorkerAnswer, RequestRefusal]:
        detail = f"attempts={len(self._attempts)}"
        return self._refuse(RequestRefusal("deadline-exceeded", 504, self.ran, detail))

    def _refuse(self, refusal: RequestRefusal) -> Result[WorkerAnswer, RequestRefusal]:
        """End with a refusal whose ``ran`` holds for all attempts and the key."""
        ran = self.ran if refusal.ran is Ran.NO else refusal.ran
        self._give_up()
        return Failure(replace(refusal, ran=ran))

    def _give_up(self) -> None:
        self._release(False)
        if self._intent_open:
            self._close_intent(self.ran, None)

    def _release(self, succeeded: bool) -> None:
        if self._permit is None:
            return
        latency = self._timers.monotonic() - self._facts.arrived
        self._permit.release(latency, succeeded)
        self._permit = None

    def _close_intent(self, ran: Ran, answer: StoredAnswer | None) -> None:
        # The caller is not held back for this: should the record get lost, a later
        # try under the key finds an intent without an outcome and is told "unknown".
        self._intent_open = False
        gate = self._parts.intents
        assert gate is not None
        facts = self._facts
        self._background(lambda: gate.async_close(facts, ran.value, answer))


def _stored(answer: WorkerAnswer, body: bytes) -> StoredAnswer:
    content_type = find_header(answer.headers, b"content-type") or b""
    return StoredAnswer(answer.status, content_type.decode("latin-1"), body)


def _stored_answer(stored: StoredAnswer) -> WorkerAnswer:
    headers = [(b"content-length", b"%d" % len(stored.body))]
    if stored.content_type:
        headers.append((b"content-type", stored.content_type.encode("latin-1")))
    return WorkerAnswer(stored.status, tuple(headers), StoredBody(stored.body))
