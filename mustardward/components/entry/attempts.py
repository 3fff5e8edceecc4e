"""Make the attempts of one request and remember how each ended."""

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

Finish = Callable[[Attempt], None]


@dataclass(slots=True, eq=False)
class PendingResponse:
    """Hold an answer whose head came, and its attempt, which has not ended yet."""

    answer: WorkerResponse
    attempt: Attempt
    finish: Finish

    def end(self, whole: bool) -> None:
        """End the attempt."""
        cause = "" if whole else "answer-not-whole"
        self.finish(replace(self.attempt, cause=cause))


class AttemptRunner:
    """Make one request's attempts, on workers here or through other entries."""

    def __init__(
        self,
        parts: EntryDependencies,
        timers: TimerService,
        facts: RequestFacts,
        request: OutgoingRequest,
    ) -> None:
        self._parts = parts
        self._timers = timers
        self._facts = facts
        self._request = request
        self._made: list[Attempt] = []
        self._begun = 0

    @property
    def made(self) -> tuple[Attempt, ...]:
        """Return the attempts that ended without an answer for the caller."""
        return tuple(self._made)

    @property
    def begun(self) -> int:
        """Return how many attempts were begun."""
        return self._begun

    @property
    def ran(self) -> Ran:
        """Tell whether any attempt may have run."""
        if all(attempt.outcome.definitely_not_run for attempt in self._made):
            return Ran.NO
        return Ran.UNKNOWN

    @property
    def may_send_again(self) -> bool:
        """Tell whether the body can be sent from its beginning."""
        body = self._request.body
        if isinstance(body, bytes):
            return True
        return isinstance(body, StreamedBody) and not body.begun

    @property
    def may_hedge(self) -> bool:
        """Tell whether two attempts can send the body at the same time."""
        return isinstance(self._request.body, bytes)

    async def async_local(self, choice: Choice) -> PendingResponse | None:
        """Try one worker of this data centre; nothing if there is no answer."""

        def finish(attempt: Attempt) -> None:
            self._parts.router.finish(choice, self._facts, attempt)

        started = self._begin()
        failed = FailedAttempt(AttemptOutcome.UNKNOWN, "abandoned")
        name = choice.instance.instance_id
        try:
            sent = await self._parts.dispatcher.async_send(
                choice, self._facts, self._request
            )
        except BaseException:
            self.note(self._attempt(choice.attempt_id, name, failed, started), finish)
            raise
        if isinstance(sent, Failure):
            attempt = self._attempt(choice.attempt_id, name, sent.failure(), started)
            self.note(attempt, finish)
            return None
        return await self._async_hold(
            sent.unwrap(), choice.attempt_id, name, started, finish
        )

    async def async_remote(self, choice: RemoteChoice) -> PendingResponse | None:
        """Let an entry of another data centre try; nothing if there is no answer."""
        peers = self._parts.peers
        assert peers is not None
        started = self._begin()
        failed = FailedAttempt(AttemptOutcome.UNKNOWN, "abandoned")
        name = choice.member.name
        try:
            sent = await peers.async_forward(choice.member, self._facts, self._request)
        except BaseException:
            self.note(self._attempt(choice.attempt_id, name, failed, started))
            raise
        if isinstance(sent, Failure):
            self.note(self._attempt(choice.attempt_id, name, sent.failure(), started))
            return None
        return await self._async_hold(
            sent.unwrap(), choice.attempt_id, name, started, _ignore
        )

    async def async_give_up(self, held: PendingResponse, cause: str) -> None:
        """Drop an answer that its caller does not get."""
        await async_close_response(held.answer)
        self.note(replace(held.attempt, cause=cause), held.finish)

    def note(self, attempt: Attempt, finish: Finish | None = None) -> None:
        """Remember an attempt that ended without an answer for the caller."""
        self._made.append(attempt)
        if finish is not None:
            finish(attempt)

    def _begin(self) -> float:
        self._begun += 1
        return self._timers.monotonic()

    async def _async_hold(
        self,
        answer: WorkerResponse,
        attempt_id: str,
        name: str,
        started: float,
        finish: Finish,
    ) -> PendingResponse | None:
        now = self._timers.monotonic()
        attempt = Attempt(
            attempt_id, name, AttemptOutcome.ANSWERED, now - started, answer.status
        )
        held = PendingResponse(answer, attempt, finish)
        if now > self._facts.deadline:
            await self.async_give_up(held, "answer-late")
            return None
        if not should_buffer(answer):
            return held
        return await self._async_whole(held)

    async def _async_whole(self, held: PendingResponse) -> PendingResponse | None:
        """Read a small answer to its end, so that a broken one can be tried past."""
        chunks = held.answer.chunks
        try:
            body = b"".join([chunk async for chunk in chunks])
        except RESPONSE_ERRORS:
            lost = replace(
                held.attempt,
                outcome=AttemptOutcome.UNKNOWN,
                cause=TruncatedAnswerError.code,
            )
            self.note(lost, held.finish)
            return None
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self.async_give_up(held, "abandoned")
            raise
        held.answer.chunks = BufferedBody(body)
        return held

    def _attempt(
        self, attempt_id: str, name: str, failed: FailedAttempt, started: float
    ) -> Attempt:
        latency = self._timers.monotonic() - started
        return Attempt(attempt_id, name, failed.outcome, latency, cause=failed.cause)


def _ignore(attempt: Attempt) -> None:
    """Judge nobody: the other entry judges its own workers."""
