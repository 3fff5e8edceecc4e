"""Keep a request under an idempotency key from running twice.

The log decides: whoever's intent stands first in the work stream of the key's data
centre may dispatch, and nobody else until that intent is closed as not run. An open
intent has no lease, so a process that was paused after opening one does no harm when
it wakes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from ...helpers.timer import TimerService
from ...state.handlers.intents import MAX_STORED_RESPONSE_BYTES
from ...state.models.jobs import CloseIntent
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import StoredResponse
from .intents_home import KeyHomes
from .intents_judge import (
    HOME_ELSEWHERE,
    Standing,
    log_out_refusal,
    may_run_without_key,
)
from .intents_models import KeyQuestion, KeyReply
from .intents_recorder import IntentRecorder
from .intents_remote import RemoteRecorders

NO_ANSWER: Final = StoredResponse(0, "", b"")

Opened = Result[StoredResponse | None, RequestRefusal]


@dataclass(frozen=True, slots=True)
class OpenIntentHere:
    """Hold an intent under which this process may dispatch."""

    data_centre: str
    sequence: int


@dataclass(slots=True, eq=False)
class LogIntentGate:
    """Open and close the intents of this entry's callers.

    :param identity: the name of this incarnation, see ``home_name``.
    :param remote: reaches other data centres; without it their keys are refused.
    """

    recorder: IntentRecorder
    homes: KeyHomes
    timers: TimerService
    tasks: TaskGroup
    identity: str
    remote: RemoteRecorders | None = None
    _opened: dict[str, OpenIntentHere] = field(default_factory=dict)
    _count: int = 0

    def reportable_ran(self, facts: RequestFacts, ran: Ran) -> Ran:
        """Return what a refusal may say, with earlier attempts under the key in mind.

        An idempotent request may have been served without its key while the log was
        out, so nobody can vouch that it never ran.
        """
        if ran is not Ran.NO or not facts.idempotency_key:
            return ran
        if facts.idempotent:
            return Ran.UNKNOWN
        if facts.request_id in self._opened:
            return Ran.NO
        return Ran.NO if self._surely_unseen(facts) else Ran.UNKNOWN

    async def async_open(self, facts: RequestFacts) -> Opened:
        """Return nothing if this process may dispatch, or the stored answer."""
        if not facts.idempotency_key:
            return Success(None)
        data_centre = self.homes.data_centre_of(facts)
        question = self._question(facts)
        if data_centre == self.homes.data_centre:
            reply = await self.recorder.async_open(question)
        elif self.remote is None:
            return _refuse(facts, HOME_ELSEWHERE)
        else:
            reply = await self._async_open_there(self.remote, question, data_centre)
        if reply.opened:
            opened = OpenIntentHere(data_centre, reply.opened)
            self._opened[facts.request_id] = opened
            return Success(None)
        return _answer(facts, reply)

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredResponse | None
    ) -> None:
        """Make the outcome durable; ``ran`` ``no`` lets a later try dispatch.

        The caller need not wait for that: until then the key answers as in progress.
        """
        opened = self._opened.pop(facts.request_id, None)
        if opened is None:
            return
        kept = answer if answer and _is_small(answer) else NO_ANSWER
        body = CloseIntent(
            organisation=facts.organisation,
            key=facts.idempotency_key,
            home=self.identity,
            ran=str(ran),
            status=kept.status,
            content_type=kept.content_type,
            body=kept.body,
            opened=opened.sequence,
        )
        if opened.data_centre == self.homes.data_centre:
            self.tasks.start_soon(self.recorder.closer.async_close, body)
        elif self.remote is not None:
            self.tasks.start_soon(self.remote.async_close, body, opened.data_centre)

    async def _async_open_there(
        self, remote: RemoteRecorders, question: KeyQuestion, data_centre: str
    ) -> KeyReply:
        try:
            return await remote.async_open(question, data_centre)
        except BaseException:
            remote.unsure[question.record_id] = None
            raise
        finally:
            if question.record_id in remote.unsure:
                self.tasks.start_soon(remote.async_settle, question, data_centre)

    def _question(self, facts: RequestFacts) -> KeyQuestion:
        self._count += 1
        return KeyQuestion(
            organisation=facts.organisation,
            key=facts.idempotency_key,
            request_digest=facts.request_digest,
            home=self.identity,
            record_id=f"intent/{self.identity}/{self._count}",
            remaining_seconds=max(0.0, facts.deadline - self.timers.monotonic()),
        )

    def _surely_unseen(self, facts: RequestFacts) -> bool:
        log = self.recorder.log
        since_arrival = self.timers.monotonic() - facts.arrived
        fresh = log.may_decide and log.tail_age_seconds() <= since_arrival
        if not fresh or self.homes.data_centre_of(facts) != self.homes.data_centre:
            return False
        verdict = self.recorder.judge(self._question(facts))
        return verdict.standing is Standing.FREE


def _answer(facts: RequestFacts, reply: KeyReply) -> Opened:
    if reply.answer is not None:
        return Success(reply.answer)
    if reply.refusal is not None:
        return _refuse(facts, reply.refusal)
    ran = Ran.NO if reply.unseen else Ran.UNKNOWN
    return _refuse(facts, log_out_refusal(ran))


def _refuse(facts: RequestFacts, refusal: RequestRefusal) -> Opened:
    if facts.idempotent and may_run_without_key(refusal):
        return Success(None)
    return Failure(refusal)


def _is_small(answer: StoredResponse) -> bool:
    return len(answer.body) <= MAX_STORED_RESPONSE_BYTES
