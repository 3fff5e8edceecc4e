"""Open intents in this data centre's work stream: the first one in the log wins."""

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
from .intents_close import IntentCloser
from .intents_judge import (
    DEADLINE_PASSED,
    IN_PROGRESS,
    Standing,
    Verdict,
    judge_intent,
)
from .intents_models import KeyReply, KeyRequest

_LOGGER = get_logger(__name__)

WAIT_SECONDS: Final = 5.0
"""Longest wait for an earlier attempt under the same key to end."""

CONFIRM_SECONDS: Final = 1.0
OPEN_PRIORITY: Final = 0
MAXIMUM_ROUNDS: Final = 8
MAXIMUM_ABANDONED: Final = 10_000


@dataclass(slots=True, eq=False)
class IntentRecorder:
    """Propose intents, for this entry or for one of another data centre.

    :param identity: the name of this incarnation, see ``home_name``.
    :param is_live: tells whether the home that an intent names may still close it.
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
        """Begin to follow the log; return what ends that."""
        return self.log.listen(self._on_record)

    async def async_open(self, request: KeyRequest) -> KeyReply:
        """Open an intent, or say what stands under the key."""
        deadline = self.timers.monotonic() + request.remaining_seconds
        if request.repeated:
            # An intent of the first copy would look like another's in progress.
            reply = await self._async_propose(request, deadline)
            if reply is not None:
                return reply
        for _ in range(MAXIMUM_ROUNDS):
            verdict = self.judge(request)
            if verdict.standing is Standing.FREE:
                reply = await self._async_propose(request, deadline)
            elif verdict.standing is Standing.IN_PROGRESS:
                reply = await self._async_wait(request, deadline)
            else:
                reply = KeyReply(answer=verdict.answer, refusal=verdict.refusal)
            if reply is not None:
                return reply
        return KeyReply(refusal=IN_PROGRESS)

    def judge(self, request: KeyRequest) -> Verdict:
        """Return what the folded intent under a key allows."""
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents.get(name)
        return judge_intent(intent, request.request_digest)

    async def _async_propose(
        self, request: KeyRequest, deadline: float
    ) -> KeyReply | None:
        left = deadline - self.timers.monotonic()
        if left <= 0:
            return KeyReply(refusal=DEADLINE_PASSED)
        record_id = request.record_id
        self._proposed.setdefault(record_id, 0)
        try:
            result = await self._async_append(request, left)
        except BaseException:
            # Who asked gave up in mid-append: nobody will dispatch under the intent.
            self._abandon(request)
            raise
        folded = self._proposed.get(record_id, 0)
        if isinstance(result, Success) or folded:
            self._proposed.pop(record_id, None)
            return self._opened(request, folded or result.unwrap().revision)
        error = result.failure()
        unsure = isinstance(error, PlatformOutcomeUnknownError)
        if unsure:
            self._abandon(request)
        self._proposed.pop(record_id, None)
        if isinstance(error, RecordRefusedError):
            return None
        return await self._async_log_out(request, unsure)

    def _opened(self, request: KeyRequest, sequence: int) -> KeyReply | None:
        # A repeated question may come so late that its intent was closed, and even
        # opened anew for another try.
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents.get(name)
        if intent is None or intent.sequence != sequence or intent.closed:
            return None
        return KeyReply(opened=sequence)

    async def _async_append(
        self, request: KeyRequest, left: float
    ) -> Result[Acceptance, MustardwardError]:
        body = OpenIntent(
            request.organisation, request.key, request.request_digest, request.home
        )
        return await self.log.async_propose(
            body,
            actor=request.home,
            record_id=request.record_id,
            timeout_seconds=min(left, WAIT_SECONDS),
            priority=OPEN_PRIORITY,
        )

    def _abandon(self, request: KeyRequest) -> None:
        # The record may be folded at any later time, and nobody will dispatch under
        # it. It is closed then as not run: else the key would answer `unknown` for
        # ever.
        _LOGGER.warning("intent_abandoned", record_id=request.record_id)
        opened = self._proposed.pop(request.record_id, 0)
        if request.home != self.identity:
            # Who asked may get the intent through another entry and dispatch under
            # it; to close it here as not run would let a second try run as well.
            return
        if opened:
            body = (request.organisation, request.key, request.home)
            self._close_unused(CloseIntent(*body, "no", opened=opened))
            return
        self._abandoned[request.record_id] = None
        while len(self._abandoned) > MAXIMUM_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _close_unused(self, close: CloseIntent) -> None:
        self.tasks.start_soon(self.closer.async_close, close)

    async def _async_log_out(self, request: KeyRequest, unsure: bool) -> KeyReply:
        # `not run` is true only if nobody else opened the key before; without the
        # tail an earlier attempt may stand there unseen.
        confirmed = await self.log.async_confirm_tail(CONFIRM_SECONDS)
        verdict = self.judge(request)
        if verdict.standing is Standing.FREE:
            return KeyReply(unseen=confirmed, unsure=unsure)
        return KeyReply(answer=verdict.answer, refusal=verdict.refusal, unsure=unsure)

    async def _async_wait(
        self, request: KeyRequest, deadline: float
    ) -> KeyReply | None:
        name = intent_name(request.organisation, request.key)
        intent = self.log.state.intents[name]
        if not self.is_live(intent.home):
            return KeyReply(refusal=IN_PROGRESS)
        event = anyio.Event()
        self._waiters.setdefault(name, []).append(event)
        left = min(deadline - self.timers.monotonic(), WAIT_SECONDS)
        if await async_wait_for(event, self.timers, left):
            return None
        self._forget_waiter(name, event)
        return KeyReply(refusal=IN_PROGRESS)

    def _forget_waiter(self, name: str, event: anyio.Event) -> None:
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
