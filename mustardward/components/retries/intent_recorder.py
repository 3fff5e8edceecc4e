"""Open intents in the work stream of this data centre; the first in the log wins."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from returns.result import Result, Success

from ...exceptions import MustardwardError, PlatformOutcomeUnknownError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...helpers.waiting import async_wait_for
from ...state.fold import Acceptance, RecordOutcome, RecordRefusedError
from ...state.models.jobs import CloseIntent, OpenIntent
from ...state.protocols import WorkLog
from ...state.work import intent_name
from .intent_closer import IntentCloser
from .intent_evaluation import (
    DEADLINE_PASSED,
    IN_PROGRESS,
    KeyEvaluation,
    KeyStatus,
    evaluate_intent,
)
from .intent_messages import KeyReply, KeyRequest

_LOGGER = get_logger(__name__)

MAX_WAIT_SECONDS: Final = 5.0
"""Longest wait for an earlier request with the same key to finish."""

CONFIRM_TIMEOUT_SECONDS: Final = 1.0
OPEN_PRIORITY: Final = 0
MAX_ROUNDS: Final = 8
MAX_ABANDONED: Final = 10_000


@dataclass(slots=True, eq=False)
class IntentRecorder:
    """Propose intents for this entry node and for those of other data centres.

    :param identity: the name of this incarnation, see ``incarnation_name``.
    :param is_live: returns whether the incarnation that opened an intent is alive, so
        that it may still close it.
    """

    log: WorkLog
    timers: TimerService
    tasks: TaskGroup
    identity: str
    is_live: Callable[[str], bool]
    _proposed: dict[str, int] = field(default_factory=dict)
    _abandoned: dict[str, None] = field(default_factory=dict)
    _waiters: dict[str, list[anyio.Event]] = field(default_factory=dict)
    closer: IntentCloser = field(init=False)

    def __post_init__(self) -> None:
        self.closer = IntentCloser(self.log, self.timers)

    def start(self) -> Callable[[], None]:
        """Subscribe to the log; return the function that unsubscribes."""
        return self.log.listen(self._on_record)

    async def async_open(self, request: KeyRequest) -> KeyReply:
        """Open an intent, or return the response or refusal for the key."""
        deadline = self.timers.monotonic() + request.remaining_seconds
        if request.repeated:
            # Propose first: the intent of the first copy would otherwise appear to be
            # another request in progress.
            reply = await self._async_propose(request, deadline)
            if reply is not None:
                return reply
        for _ in range(MAX_ROUNDS):
            evaluation = self.evaluate(request)
            if evaluation.key_status is KeyStatus.FREE:
                reply = await self._async_propose(request, deadline)
            elif evaluation.key_status is KeyStatus.IN_PROGRESS:
                reply = await self._async_wait(request, deadline)
            else:
                reply = KeyReply(answer=evaluation.answer, refusal=evaluation.refusal)
            if reply is not None:
                return reply
        return KeyReply(refusal=IN_PROGRESS)

    def evaluate(self, request: KeyRequest) -> KeyEvaluation:
        """Return the status of a key by its applied intent."""
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents.get(name)
        return evaluate_intent(intent, request.request_digest)

    async def _async_propose(
        self, request: KeyRequest, deadline: float
    ) -> KeyReply | None:
        seconds_left = deadline - self.timers.monotonic()
        if seconds_left <= 0:
            return KeyReply(refusal=DEADLINE_PASSED)
        record_id = request.record_id
        self._proposed.setdefault(record_id, 0)
        try:
            result = await self._async_append(request, seconds_left)
        except BaseException:
            # The requester was cancelled during the append and will not dispatch.
            self._abandon(request)
            raise
        applied = self._proposed.get(record_id, 0)
        if isinstance(result, Success) or applied:
            self._proposed.pop(record_id, None)
            return self._build_opened_reply(
                request, applied or result.unwrap().revision
            )
        error = result.failure()
        unsure = isinstance(error, PlatformOutcomeUnknownError)
        if unsure:
            self._abandon(request)
        self._proposed.pop(record_id, None)
        if isinstance(error, RecordRefusedError):
            return None
        return await self._async_reply_unavailable(request, unsure)

    def _build_opened_reply(
        self, request: KeyRequest, sequence: int
    ) -> KeyReply | None:
        # When a repeated request arrives late, its intent may have been closed, and
        # another one opened for a retry.
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents.get(name)
        if intent is None or intent.sequence != sequence or intent.closed:
            return None
        return KeyReply(opened=sequence)

    async def _async_append(
        self, request: KeyRequest, seconds_left: float
    ) -> Result[Acceptance, MustardwardError]:
        body = OpenIntent(
            request.organisation, request.key, request.request_digest, request.home
        )
        return await self.log.async_propose(
            body,
            actor=request.home,
            record_id=request.record_id,
            timeout_seconds=min(seconds_left, MAX_WAIT_SECONDS),
            priority=OPEN_PRIORITY,
        )

    def _abandon(self, request: KeyRequest) -> None:
        # The record may still be applied later, though nobody will dispatch under it.
        # It is then closed as not run; otherwise the key would stay `unknown` forever.
        _LOGGER.warning("intent_abandoned", record_id=request.record_id)
        opened = self._proposed.pop(request.record_id, 0)
        if request.home != self.identity:
            # The requester may get the intent through another entry node and dispatch.
            # Closing it here as not run would permit a retry to run as well.
            return
        if opened:
            body = (request.organisation, request.key, request.home)
            self._close_unused(CloseIntent(*body, "no", opened=opened))
            return
        self._abandoned[request.record_id] = None
        while len(self._abandoned) > MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _close_unused(self, close: CloseIntent) -> None:
        self.tasks.start_soon(self.closer.async_close, close)

    async def _async_reply_unavailable(
        self, request: KeyRequest, unsure: bool
    ) -> KeyReply:
        # The request may be reported as not run only if there is no earlier intent for
        # the key, which is certain only after the log was read to its end.
        confirmed = await self.log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS)
        evaluation = self.evaluate(request)
        if evaluation.key_status is KeyStatus.FREE:
            return KeyReply(unseen=confirmed, unsure=unsure)
        return KeyReply(
            answer=evaluation.answer, refusal=evaluation.refusal, unsure=unsure
        )

    async def _async_wait(
        self, request: KeyRequest, deadline: float
    ) -> KeyReply | None:
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents[name]
        if not self.is_live(intent.home):
            return KeyReply(refusal=IN_PROGRESS)
        event = anyio.Event()
        self._waiters.setdefault(name, []).append(event)
        seconds_left = min(deadline - self.timers.monotonic(), MAX_WAIT_SECONDS)
        if await async_wait_for(event, self.timers, seconds_left):
            return None
        self._remove_waiter(name, event)
        return KeyReply(refusal=IN_PROGRESS)

    def _remove_waiter(self, name: str, event: anyio.Event) -> None:
        waiters = self._waiters.get(name, [])
        if event in waiters:
            waiters.remove(event)
        if not waiters:
            self._waiters.pop(name, None)

    def _on_record(self, outcome: RecordOutcome) -> None:
        body = outcome.body
        if isinstance(body, CloseIntent):
            name = intent_name(body.organisation, body.key)
            for event in self._waiters.pop(name, ()):
                event.set()
        if isinstance(body, OpenIntent) and isinstance(outcome.result, Success):
            self._on_open(outcome.envelope.record_id, body, outcome.result.unwrap())

    def _on_open(
        self, record_id: str, body: OpenIntent, acceptance: Acceptance
    ) -> None:
        if record_id in self._proposed:
            self._proposed[record_id] = acceptance.revision
        if record_id in self._abandoned:
            del self._abandoned[record_id]
            opened = acceptance.revision
            self._close_unused(
                CloseIntent(body.organisation, body.key, body.home, "no", opened=opened)
            )
