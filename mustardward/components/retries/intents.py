"""Keep a request under an idempotency key from running twice.

The log decides: whoever's intent stands first in the data centre's work stream may
dispatch, and nobody else until that intent is closed as not run. An open intent has no
lease, so a process that was paused after opening one does no harm when it wakes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError, PlatformOutcomeUnknownError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...helpers.waiting import async_wait_for
from ...state.fold import Acceptance, RecordOutcome, RecordRefusedError
from ...state.handlers.intents import STORED_ANSWER_BYTES
from ...state.models.jobs import CloseIntent, OpenIntent
from ...state.protocols import WorkLog
from ...state.work import intent_name
from ..entry.models import Ran, RequestFacts, RequestRefusal
from ..entry.protocols import StoredAnswer
from ..membership.models import Member
from .intents_close import IntentCloser
from .intents_home import KeyHomes
from .intents_judge import (
    DEADLINE_PASSED,
    HOME_ELSEWHERE,
    IN_PROGRESS,
    Standing,
    Verdict,
    judge_intent,
    log_out_refusal,
    may_run_without_key,
)

_LOGGER = get_logger(__name__)

WAIT_SECONDS: Final = 5.0
"""Longest wait for an earlier attempt under the same key to end."""

CONFIRM_SECONDS: Final = 1.0
OPEN_PRIORITY: Final = 0
MAXIMUM_ROUNDS: Final = 8
MAXIMUM_ABANDONED: Final = 10_000
NO_ANSWER: Final = StoredAnswer(0, "", b"")

Opened = Result[StoredAnswer | None, RequestRefusal]


@dataclass(slots=True, eq=False)
class LogIntentGate:
    """Open and close intents through the work log.

    :param identity: the name of this incarnation, see ``home_name``.
    """

    log: WorkLog
    homes: KeyHomes
    timers: TimerService
    tasks: TaskGroup
    identity: str
    _opened: dict[str, int] = field(default_factory=dict)
    _proposed: dict[str, int] = field(default_factory=dict)
    _abandoned: dict[str, None] = field(default_factory=dict)
    _waiters: dict[str, list[anyio.Event]] = field(default_factory=dict)
    _closer: IntentCloser = field(init=False)
    _count: int = 0

    def __post_init__(self) -> None:
        self._closer = IntentCloser(self.log, self.timers, self.identity)

    def start(self) -> Callable[[], None]:
        """Begin to follow the log; return what ends that."""
        return self.log.listen(self._on_record)

    def home(self, facts: RequestFacts) -> Member | None:
        """Return the entry that should serve a keyed request, or nothing for this."""
        if not facts.idempotency_key:
            return None
        return self.homes.member_of(facts)

    def truthful(self, facts: RequestFacts, ran: Ran) -> Ran:
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
        since_arrival = self.timers.monotonic() - facts.arrived
        fresh = self.log.may_decide and self.log.tail_age_seconds() <= since_arrival
        if not fresh or not self._is_local(facts):
            return Ran.UNKNOWN
        free = self._judge(facts).standing is Standing.FREE
        return Ran.NO if free else Ran.UNKNOWN

    async def async_open(self, facts: RequestFacts) -> Opened:
        """Return nothing if this process may dispatch, or the stored answer."""
        if not facts.idempotency_key:
            return Success(None)
        if not self._is_local(facts):
            return _refuse(facts, HOME_ELSEWHERE)
        for _ in range(MAXIMUM_ROUNDS):
            verdict = self._judge(facts)
            if verdict.standing is Standing.FREE:
                opened = await self._async_propose(facts)
            elif verdict.standing is Standing.IN_PROGRESS:
                opened = await self._async_wait(facts)
            else:
                opened = _settled(facts, verdict)
            if opened is not None:
                return opened
        return _refuse(facts, IN_PROGRESS)

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredAnswer | None
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
            opened=opened,
        )
        self.tasks.start_soon(self._closer.async_close, body)

    def _judge(self, facts: RequestFacts) -> Verdict:
        name = intent_name(facts.organisation, facts.idempotency_key)
        return judge_intent(self.log.state.intents.get(name), facts)

    def _is_local(self, facts: RequestFacts) -> bool:
        return self.homes.data_centre_of(facts) == self.homes.data_centre

    async def _async_propose(self, facts: RequestFacts) -> Opened | None:
        left = facts.deadline - self.timers.monotonic()
        if left <= 0:
            return Failure(DEADLINE_PASSED)
        record_id = self._next_record_id()
        self._proposed[record_id] = 0
        try:
            result = await self._async_append_open(facts, record_id, left)
        except BaseException:
            # The caller gave up in mid-append: nobody will dispatch under the intent.
            self._abandon(record_id, facts)
            raise
        folded = self._proposed[record_id]
        if isinstance(result, Success) or folded:
            del self._proposed[record_id]
            self._opened[facts.request_id] = folded or result.unwrap().revision
            return Success(None)
        error = result.failure()
        if isinstance(error, PlatformOutcomeUnknownError):
            self._abandon(record_id, facts)
        else:
            del self._proposed[record_id]
        if isinstance(error, RecordRefusedError):
            return None
        return await self._async_log_out(facts)

    async def _async_append_open(
        self, facts: RequestFacts, record_id: str, left: float
    ) -> Result[Acceptance, MustardwardError]:
        return await self.log.async_propose(
            OpenIntent(
                facts.organisation,
                facts.idempotency_key,
                facts.request_digest,
                self.identity,
            ),
            actor=self.identity,
            record_id=record_id,
            timeout_seconds=min(left, WAIT_SECONDS),
            priority=OPEN_PRIORITY,
        )

    def _next_record_id(self) -> str:
        self._count += 1
        return f"intent/{self.identity}/{self._count}"

    def _abandon(self, record_id: str, facts: RequestFacts) -> None:
        # The record may be folded at any later time, and nobody will dispatch under
        # it. It is closed then as not run: else the key would answer `unknown` for
        # ever.
        _LOGGER.warning("intent_abandoned", record_id=record_id)
        opened = self._proposed.pop(record_id)
        if opened:
            self._close_unused(facts.organisation, facts.idempotency_key, opened)
            return
        self._abandoned[record_id] = None
        while len(self._abandoned) > MAXIMUM_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _close_unused(self, organisation: str, key: str, opened: int) -> None:
        close = CloseIntent(organisation, key, self.identity, "no", opened=opened)
        self.tasks.start_soon(self._closer.async_close, close)

    async def _async_log_out(self, facts: RequestFacts) -> Opened:
        if facts.idempotent:
            return Success(None)
        # `not run` is true only if nobody else opened the key before; without the
        # tail an earlier attempt may stand there unseen.
        confirmed = await self.log.async_confirm_tail(CONFIRM_SECONDS)
        verdict = self._judge(facts)
        if verdict.standing is Standing.FREE:
            return Failure(log_out_refusal(Ran.NO if confirmed else Ran.UNKNOWN))
        return _settled(facts, verdict)

    async def _async_wait(self, facts: RequestFacts) -> Opened | None:
        name = intent_name(facts.organisation, facts.idempotency_key)
        intent = self.log.state.intents[name]
        if not self.homes.is_live(intent.home):
            return _refuse(facts, IN_PROGRESS)
        event = anyio.Event()
        self._waiters.setdefault(name, []).append(event)
        left = facts.deadline - self.timers.monotonic()
        closed = await async_wait_for(event, self.timers, min(left, WAIT_SECONDS))
        if closed:
            return None
        self._forget_waiter(name, event)
        return _refuse(facts, IN_PROGRESS)

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
        if isinstance(body, OpenIntent):
            self._on_open(outcome, body)

    def _on_open(self, outcome: RecordOutcome, body: OpenIntent) -> None:
        if not isinstance(outcome.result, Success):
            return
        record_id = outcome.envelope.record_id
        opened = outcome.result.unwrap().revision
        if record_id in self._proposed:
            self._proposed[record_id] = opened
        if record_id in self._abandoned:
            del self._abandoned[record_id]
            self._close_unused(body.organisation, body.key, opened)


def _is_small(answer: StoredAnswer) -> bool:
    return len(answer.body) <= STORED_ANSWER_BYTES


def _refuse(facts: RequestFacts, refusal: RequestRefusal) -> Opened:
    if facts.idempotent and may_run_without_key(refusal):
        return Success(None)
    return Failure(refusal)


def _settled(facts: RequestFacts, verdict: Verdict) -> Opened:
    if verdict.answer is not None:
        return Success(verdict.answer)
    return _refuse(facts, verdict.refusal or IN_PROGRESS)
