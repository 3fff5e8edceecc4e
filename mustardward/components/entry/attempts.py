"""Run the attempts of one request and record the outcome of each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
from returns.result import Failure

from ...exceptions import TruncatedAnswerError
from ...helpers.timer import TimerService
from ..routing.models import RemoteChoice
from .body import StreamedBody
from .dependencies import EntryDependencies
from .models import Attempt, AttemptOutcome, Ran, RequestFacts
from .protocols import Choice, FailedAttempt, OutgoingRequest, WorkerResponse
from .response import RESPONSE_ERRORS, BufferedBody, async_close_response, should_buffer

FinishCallback = Callable[[Attempt], None]


@dataclass(slots=True, eq=False)
class PendingResponse:
    """A response whose head was received, and its attempt, still in progress."""

    response: WorkerResponse
    attempt: Attempt
    finish: FinishCallback

    def end(self, complete: bool) -> None:
        """Report the end of the attempt."""
        cause = "" if complete else "answer-not-whole"
        self.finish(replace(self.attempt, cause=cause))


class AttemptRunner:
    """Run one request's attempts on local workers or through other entries."""

    def __init__(
        self,
        dependencies: EntryDependencies,
        timers: TimerService,
        facts: RequestFacts,
        request: OutgoingRequest,
    ) -> None:
        self._dependencies = dependencies
        self._timers = timers
        self._facts = facts
        self._request = request
        self._unsuccessful: list[Attempt] = []
        self._started_count = 0

    @property
    def unsuccessful(self) -> tuple[Attempt, ...]:
        """Return the attempts that ended without a response for the caller."""
        return tuple(self._unsuccessful)

    @property
    def started_count(self) -> int:
        """Return the number of attempts started."""
        return self._started_count

    @property
    def ran(self) -> Ran:
        """Return whether any attempt may have run."""
        if all(attempt.outcome.definitely_not_run for attempt in self._unsuccessful):
            return Ran.NO
        return Ran.UNKNOWN

    @property
    def can_resend_body(self) -> bool:
        """Return whether the body can be sent again from its start."""
        body = self._request.body
        if isinstance(body, bytes):
            return True
        return isinstance(body, StreamedBody) and not body.started

    @property
    def can_hedge(self) -> bool:
        """Return whether two attempts can send the body concurrently."""
        return isinstance(self._request.body, bytes)

    async def async_send_local(self, choice: Choice) -> PendingResponse | None:
        """Send to a worker of this data centre; return ``None`` without a response."""

        def finish(attempt: Attempt) -> None:
            self._dependencies.router.finish(choice, self._facts, attempt)

        started_at = self._record_start()
        failed = FailedAttempt(AttemptOutcome.UNKNOWN, "abandoned")
        target = choice.instance.instance_id
        try:
            sent = await self._dependencies.dispatcher.async_send(
                choice, self._facts, self._request
            )
        except BaseException:
            self.record(
                self._build_attempt(choice.attempt_id, target, failed, started_at),
                finish,
            )
            raise
        if isinstance(sent, Failure):
            attempt = self._build_attempt(
                choice.attempt_id, target, sent.failure(), started_at
            )
            self.record(attempt, finish)
            return None
        return await self._async_accept(
            sent.unwrap(), choice.attempt_id, target, started_at, finish
        )

    async def async_send_remote(self, choice: RemoteChoice) -> PendingResponse | None:
        """Forward to an entry of another data centre; ``None`` without a response."""
        peers = self._dependencies.peers
        assert peers is not None
        started_at = self._record_start()
        failed = FailedAttempt(AttemptOutcome.UNKNOWN, "abandoned")
        target = choice.member.name
        try:
            sent = await peers.async_forward(choice.member, self._facts, self._request)
        except BaseException:
            self.record(
                self._build_attempt(choice.attempt_id, target, failed, started_at)
            )
            raise
        if isinstance(sent, Failure):
            self.record(
                self._build_attempt(
                    choice.attempt_id, target, sent.failure(), started_at
                )
            )
            return None
        return await self._async_accept(
            sent.unwrap(), choice.attempt_id, target, started_at, _ignore_outcome
        )

    async def async_abandon(self, pending: PendingResponse, cause: str) -> None:
        """Close a response that is not passed on to the caller."""
        await async_close_response(pending.response)
        self.record(replace(pending.attempt, cause=cause), pending.finish)

    def record(self, attempt: Attempt, finish: FinishCallback | None = None) -> None:
        """Record an attempt that ended without a response for the caller."""
        self._unsuccessful.append(attempt)
        if finish is not None:
            finish(attempt)

    def _record_start(self) -> float:
        self._started_count += 1
        return self._timers.monotonic()

    async def _async_accept(
        self,
        response: WorkerResponse,
        attempt_id: str,
        target: str,
        started_at: float,
        finish: FinishCallback,
    ) -> PendingResponse | None:
        now = self._timers.monotonic()
        attempt = Attempt(
            attempt_id,
            target,
            AttemptOutcome.ANSWERED,
            now - started_at,
            response.status,
        )
        pending = PendingResponse(response, attempt, finish)
        if now > self._facts.deadline:
            await self.async_abandon(pending, "answer-late")
            return None
        if not should_buffer(response):
            return pending
        return await self._async_buffer(pending)

    async def _async_buffer(self, pending: PendingResponse) -> PendingResponse | None:
        """Read a small response completely, so that a truncated one can be retried."""
        chunks = pending.response.chunks
        try:
            body = b"".join([chunk async for chunk in chunks])
        except RESPONSE_ERRORS:
            truncated = replace(
                pending.attempt,
                outcome=AttemptOutcome.UNKNOWN,
                cause=TruncatedAnswerError.code,
            )
            self.record(truncated, pending.finish)
            return None
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self.async_abandon(pending, "abandoned")
            raise
        pending.response.chunks = BufferedBody(body)
        return pending

    def _build_attempt(
        self, attempt_id: str, target: str, failed: FailedAttempt, started_at: float
    ) -> Attempt:
        latency = self._timers.monotonic() - started_at
        return Attempt(attempt_id, target, failed.outcome, latency, cause=failed.cause)


def _ignore_outcome(attempt: Attempt) -> None:
    """Ignore the outcome: the other entry tracks the health of its own workers."""
