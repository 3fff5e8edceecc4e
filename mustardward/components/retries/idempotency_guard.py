"""Prevent a request with an idempotency key from running twice.

The log decides: the process whose intent is first in the work stream of the data centre
that owns the key may dispatch, and no other until that intent is closed as not run. An
open intent has no lease, so a process that is paused after opening one does no harm
when it resumes.
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
from .intent_evaluation import (
    OWNER_UNREACHABLE,
    KeyStatus,
    log_unavailable_refusal,
    may_run_without_key,
)
from .intent_messages import KeyReply, KeyRequest
from .intent_recorder import IntentRecorder
from .key_locator import KeyLocator
from .remote_intents import RemoteIntentClient

NO_RESPONSE: Final = StoredResponse(0, "", b"")

OpenResult = Result[StoredResponse | None, RequestRefusal]


@dataclass(frozen=True, slots=True)
class OpenedIntent:
    """Hold an open intent that allows this process to dispatch."""

    data_centre: str
    sequence: int


@dataclass(slots=True, eq=False)
class LogIdempotencyGuard:
    """Open and close the intents of this entry node's callers.

    :param identity: the name of this incarnation, see ``incarnation_name``.
    :param remote: client for keys of other data centres; without it they are refused.
    """

    recorder: IntentRecorder
    key_locator: KeyLocator
    timers: TimerService
    tasks: TaskGroup
    identity: str
    remote: RemoteIntentClient | None = None
    _opened: dict[str, OpenedIntent] = field(default_factory=dict)
    _count: int = 0

    def reportable_ran(self, facts: RequestFacts, ran: Ran) -> Ran:
        """Return what a refusal may report, given earlier requests with the same key.

        An idempotent request may have been served without its key while the log was
        unavailable, so it is never reported as not run.
        """
        if ran is not Ran.NO or not facts.idempotency_key:
            return ran
        if facts.idempotent:
            return Ran.UNKNOWN
        if facts.request_id in self._opened:
            return Ran.NO
        return Ran.NO if self._is_confirmed_unused(facts) else Ran.UNKNOWN

    async def async_open(self, facts: RequestFacts) -> OpenResult:
        """Return ``None`` if this process may dispatch, or the stored response."""
        if not facts.idempotency_key:
            return Success(None)
        data_centre = self.key_locator.data_centre_of(facts)
        request = self._build_request(facts)
        if data_centre == self.key_locator.data_centre:
            reply = await self.recorder.async_open(request)
        elif self.remote is None:
            return _refuse(facts, OWNER_UNREACHABLE)
        else:
            reply = await self._async_open_remotely(self.remote, request, data_centre)
        if reply.opened:
            opened = OpenedIntent(data_centre, reply.opened)
            self._opened[facts.request_id] = opened
            return Success(None)
        return _to_result(facts, reply)

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredResponse | None
    ) -> None:
        """Start to record the outcome in the log; ``ran`` ``no`` permits a retry.

        The caller needn't wait for the record: until then the key is in progress.
        """
        opened = self._opened.pop(facts.request_id, None)
        if opened is None:
            return
        stored = answer if answer and _is_storable(answer) else NO_RESPONSE
        body = CloseIntent(
            organisation=facts.organisation,
            key=facts.idempotency_key,
            home=self.identity,
            ran=str(ran),
            status=stored.status,
            content_type=stored.content_type,
            body=stored.body,
            opened=opened.sequence,
        )
        if opened.data_centre == self.key_locator.data_centre:
            self.tasks.start_soon(self.recorder.closer.async_close, body)
        elif self.remote is not None:
            self.tasks.start_soon(self.remote.async_close, body, opened.data_centre)

    async def _async_open_remotely(
        self, remote: RemoteIntentClient, request: KeyRequest, data_centre: str
    ) -> KeyReply:
        try:
            return await remote.async_open(request, data_centre)
        except BaseException:
            remote.unsure[request.record_id] = None
            raise
        finally:
            if request.record_id in remote.unsure:
                self.tasks.start_soon(remote.async_resolve, request, data_centre)

    def _build_request(self, facts: RequestFacts) -> KeyRequest:
        self._count += 1
        return KeyRequest(
            organisation=facts.organisation,
            key=facts.idempotency_key,
            request_digest=facts.request_digest,
            home=self.identity,
            record_id=f"intent/{self.identity}/{self._count}",
            remaining_seconds=max(0.0, facts.deadline - self.timers.monotonic()),
        )

    def _is_confirmed_unused(self, facts: RequestFacts) -> bool:
        log = self.recorder.log
        since_arrival = self.timers.monotonic() - facts.arrived
        is_fresh = log.may_decide and log.tail_age_seconds() <= since_arrival
        if (
            not is_fresh
            or self.key_locator.data_centre_of(facts) != self.key_locator.data_centre
        ):
            return False
        evaluation = self.recorder.evaluate(self._build_request(facts))
        return evaluation.key_status is KeyStatus.FREE


def _to_result(facts: RequestFacts, reply: KeyReply) -> OpenResult:
    if reply.answer is not None:
        return Success(reply.answer)
    if reply.refusal is not None:
        return _refuse(facts, reply.refusal)
    ran = Ran.NO if reply.unseen else Ran.UNKNOWN
    return _refuse(facts, log_unavailable_refusal(ran))


def _refuse(facts: RequestFacts, refusal: RequestRefusal) -> OpenResult:
    if facts.idempotent and may_run_without_key(refusal):
        return Success(None)
    return Failure(refusal)


def _is_storable(response: StoredResponse) -> bool:
    return len(response.body) <= MAX_STORED_RESPONSE_BYTES
