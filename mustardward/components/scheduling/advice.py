"""Decide which steps to request advice for, and when.

Advice says which workers may run a step. The service handles the calls of one entry one
after the other, and works off also those whose caller has given up. Requests that are
sent or repeated faster than it answers therefore delay each other until none is
answered in time, while the pool is idle. So a call is sent once the one before it is
answered or overdue, for the most urgent step that could start, and a call that is
overdue is still waited for.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...platform.advice import MAX_WORKERS
from .advice_size import AllowedShare, count_to_name, expected_seconds
from .commands import RequestAdvice
from .models import StepRun, Ticket
from .placement import (
    count_fitting,
    meets_constraints,
    placement_score,
    preferred_per_worker,
    tasks_that_fit,
)
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

SLACK_SECONDS: Final = 0.5
LATE_FACTOR: Final = 2.0
"""A call is overdue after the slack and this multiple of the time that it should take,
by the queue's timings and by how much slower the service was before."""

MAX_SPACING_SECONDS: Final = 5.0
"""Each overdue call doubles the time until the next one, up to this interval. It bounds
how long a service that is back after an outage remains unused."""

MAX_CALLS: Final = 7
"""Calls in progress, so that one connection to the service stays free."""

GIVE_UP_SECONDS: Final = 60.0
"""Time after which an overdue call is given up. The last of MAX_CALLS is given up as
soon as it is overdue, so that further calls find out when the service is back."""

MAX_SLOWDOWN: Final = 32.0
SLOWDOWN_WEIGHT: Final = 0.5

RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 2.0
MAX_STEP_RETRY_SECONDS: Final = 30.0
"""Delays after a failed call: for all steps, and for the step, so that a step whose
calls always fail delays the others less and less."""

OUTAGE_RETRY_SECONDS: Final = 4.0
"""Longest delay for a step while the service answers no other one; longer than
MAX_RETRY_SECONDS, so that others are asked for in between."""

TICKET_MARGIN_SECONDS: Final = 0.6
MAX_TICKET_MARGIN_SHARE: Final = 0.25
"""A start may wait for START_MAX_AGE_SECONDS before it is sent with its ticket."""

DENIAL_SECONDS: Final = 30.0
"""Age at which a worker that advice did not allow is named again."""

MAX_REQUESTS_PER_POOL: Final = 4
"""Requests considered per pool and plan for steps with room; one of all is sent."""

MAX_STEPS_AHEAD: Final = 4
"""Steps per pool that may have tickets without room. More tickets would expire unused
while steps that have room wait for the service."""


@dataclass(frozen=True, slots=True)
class _Wanted:
    """Hold a request that may be sent.

    :param workers: the workers that may be named.
    :param tasks: number of tasks that need a worker.
    :param has_room: whether the workers have room for the step now.
    :param repeats: whether a call for the step is overdue.
    :param everywhere: whether to name all of them.
    """

    step: StepRun
    workers: list[WorkerState]
    tasks: int
    has_room: bool
    repeats: bool
    everywhere: bool


@dataclass(slots=True, eq=False)
class AdviceRequests:
    """Request advice for the most urgent steps, as fast as the service answers.

    Pools take turns. Steps that could start at once come before those that lack room,
    whose tickets may expire before they are used.
    """

    state: SchedulerState
    in_progress: list[RequestAdvice] = field(default_factory=list)
    failures: int = 0
    _slowdown: float = 1.0
    _answered_at: float = 0.0
    _retry_at: float = 0.0
    _turns: dict[str, int] = field(default_factory=dict)
    _turn: int = 0
    _wanted: dict[str, list[_Wanted]] = field(default_factory=lambda: defaultdict(list))
    _ahead: Counter[str] = field(default_factory=Counter)
    _shares: dict[str, AllowedShare] = field(
        default_factory=lambda: defaultdict(AllowedShare)
    )

    def begin_plan(self) -> None:
        """Forget the requests of the previous plan."""
        self._wanted.clear()
        self._ahead.clear()

    def allows(
        self, step: StepRun, workers: list[WorkerState], now: float, everywhere: bool
    ) -> bool:
        """Return whether a step may start on any of the workers; request more advice.

        :param workers: the workers that the step may use, without regard to advice.
        :param everywhere: whether to request advice on all of them, not only on those
            with room.
        """
        forget_expired(step, now)
        allowed = [worker for worker in workers if worker.id in step.tickets]
        count = sum(tasks_that_fit(worker, step) for worker in allowed)
        needed = len(step.waiting) or len(step.tasks)
        if allowed and not count:
            self._ahead[step.job.policy.service] += 1
        if count >= needed and not everywhere:
            return True
        missing = max(1, needed - count)
        more = self._want(step, workers, missing, bool(allowed), now, everywhere)
        if step.spec.gang and more:
            return False
        return bool(allowed)

    def _want(
        self,
        step: StepRun,
        workers: list[WorkerState],
        tasks: int,
        is_allowed: bool,
        now: float,
        everywhere: bool,
    ) -> bool:
        """Note a request for a step; return whether advice may allow more workers."""
        calls = [call for call in self.in_progress if call.step is step]
        if any(now < call.due_at for call in calls):
            return True
        unknown = [
            worker
            for worker in workers
            if worker.id not in step.tickets
            and now - step.denied_at.get(worker.id, -DENIAL_SECONDS) >= DENIAL_SECONDS
            and meets_constraints(worker, step)
        ]
        with_room = [worker for worker in unknown if tasks_that_fit(worker, step)]
        named = with_room
        if everywhere or not (with_room or is_allowed):
            named = unknown
        if not named:
            return False
        pool = step.job.policy.service
        if now < step.advice_retry_at or not self._may_add(pool, bool(with_room)):
            return True
        if not with_room:
            self._ahead[pool] += 1
        wanted = _Wanted(step, named, tasks, bool(with_room), bool(calls), everywhere)
        self._wanted[pool].append(wanted)
        return True

    def _may_add(self, pool: str, has_room: bool) -> bool:
        """Return whether this plan considers another request for a pool."""
        if not has_room:
            return self._ahead[pool] < MAX_STEPS_AHEAD
        return sum(w.has_room for w in self._wanted[pool]) < MAX_REQUESTS_PER_POOL

    def send(self, now: float) -> None:
        """Send the most urgent request if the service should have nothing to do."""
        calls = self.in_progress
        if now < self._retry_at or len(calls) >= MAX_CALLS:
            return
        if calls and now < calls[-1].due_at:
            return
        chosen = self._choose()
        if chosen is None:
            return
        step = chosen.step
        self._turn += 1
        self._turns[step.job.policy.service] = self._turn
        names = self._choose_names(chosen)
        expected = expected_seconds(step.job.policy.advice, len(names))
        patience = self._patience(expected)
        is_last = len(calls) == MAX_CALLS - 1
        timeout = patience if is_last else patience + GIVE_UP_SECONDS
        request = RequestAdvice(step, names, now, expected, now + patience, timeout)
        calls.append(request)
        step.advice_requested_at = now
        self.state.add_command(request)

    def answered(
        self,
        request: RequestAdvice,
        tickets: Mapping[str, str],
        valid_seconds: float,
        now: float,
    ) -> None:
        """Apply the answer to a request.

        :param tickets: tickets of the workers that may run the step.
        :param valid_seconds: how long they are valid.
        """
        # The service answers in turn, so the calls before this one are lost.
        self.in_progress = [c for c in self.in_progress if c.sent_at > request.sent_at]
        self.failures = 0
        step = request.step
        step.advice_failures = 0
        expected = request.expected_seconds
        self._learn(now - max(request.sent_at, self._answered_at), expected)
        self._answered_at = now
        margin = min(TICKET_MARGIN_SECONDS, MAX_TICKET_MARGIN_SHARE * valid_seconds)
        unknown = [w for w in request.workers if w not in step.allowed_workers]
        share = self._shares[step.job.record.queue]
        share.record(sum(name in tickets for name in unknown), len(unknown))
        add_tickets(step, tickets, now + valid_seconds - margin)
        for name in request.workers:
            if name not in tickets:
                step.denied_at[name] = now
        _LOGGER.info(
            "advice_received",
            job=step.job.record.id,
            step=step.number,
            asked=len(request.workers),
            allowed=len(tickets),
            seconds=now - request.sent_at,
            expected_seconds=expected,
        )

    def failed(self, request: RequestAdvice, detail: str, now: float) -> None:
        """Delay further requests after one that got no usable answer."""
        if request not in self.in_progress:
            return
        self.in_progress.remove(request)
        step = request.step
        delay = RETRY_SECONDS * 2**self.failures
        self._retry_at = now + min(MAX_RETRY_SECONDS, delay)
        is_step_alone = step.advice_failures > self.failures
        longest = MAX_STEP_RETRY_SECONDS if is_step_alone else OUTAGE_RETRY_SECONDS
        step_delay = RETRY_SECONDS * 2**step.advice_failures
        step.advice_retry_at = now + min(longest, step_delay)
        self.failures = min(self.failures + 1, 16)
        step.advice_failures = min(step.advice_failures + 1, 16)
        _LOGGER.warning(
            "advice_failed",
            job=step.job.record.id,
            step=step.number,
            asked=len(request.workers),
            timeout_seconds=request.timeout_seconds,
            failures=self.failures,
            detail=detail,
        )

    def _choose_names(self, wanted: _Wanted) -> tuple[str, ...]:
        """Return the workers to name, those first that the step would use first."""
        step = wanted.step
        avoided = step.waiting.first().avoided_workers if step.waiting else frozenset()
        ranked = sorted(
            wanted.workers,
            key=lambda worker: (
                worker.id not in step.allowed_workers,
                placement_score(worker, step, avoided),
            ),
        )[:MAX_WORKERS]
        count = len(ranked)
        advice = step.job.policy.advice
        if advice is not None and not wanted.everywhere:
            needed = _workers_needed(wanted, ranked)
            known = sum(worker.id in step.allowed_workers for worker in ranked)
            count = needed
            if needed > known:
                share = self._shares[step.job.record.queue].value
                others = len(ranked) - known
                count = known + count_to_name(needed - known, others, share, advice)
        return tuple(worker.id for worker in ranked[:count])

    def _learn(self, seconds: float, expected: float) -> None:
        """Learn how much slower the service is than the queue's timings say."""
        ratio = seconds / max(expected, SLACK_SECONDS)
        ratio = max(1.0, min(MAX_SLOWDOWN, ratio))
        self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)

    def _choose(self) -> _Wanted | None:
        """Return the next request: with room first, new ones first, by pools' turns."""
        pools = sorted(self._wanted, key=lambda pool: self._turns.get(pool, 0))
        requests = [wanted for pool in pools for wanted in self._wanted[pool]]
        return min(requests, key=lambda w: (not w.has_room, w.repeats), default=None)

    def _patience(self, own: float) -> float:
        """Return after how many seconds a call that is sent now is overdue.

        The service may still work on the calls before it, or may not be there.

        :param own: how long the call itself should take.
        """
        before = sum(call.expected_seconds for call in self.in_progress)
        factor = LATE_FACTOR * self._slowdown
        spacing: float = (SLACK_SECONDS + factor * own) * 2 ** len(self.in_progress)
        in_turn = SLACK_SECONDS + factor * (own + before)
        return max(in_turn, min(MAX_SPACING_SECONDS, spacing))


def _workers_needed(wanted: _Wanted, ranked: list[WorkerState]) -> int:
    """Return how many of the workers, if all are allowed, hold a step's tasks."""
    step = wanted.step
    limit = preferred_per_worker(step) or wanted.tasks
    tasks = wanted.tasks
    for number, worker in enumerate(ranked, start=1):
        fitting = tasks_that_fit(worker, step)
        if not wanted.has_room:
            fitting = max(1, count_fitting(worker.capacity, step.room))
        tasks -= min(limit, fitting)
        if tasks <= 0:
            return number
    return len(ranked)


def add_tickets(step: StepRun, tickets: Mapping[str, str], valid_until: float) -> None:
    """Add tickets that advice returned for a step, by worker id."""
    for name, value in tickets.items():
        step.tickets[name] = Ticket(value, valid_until)
        step.allowed_workers.add(name)
        step.denied_at.pop(name, None)


def forget_expired(step: StepRun, now: float) -> None:
    """Drop the tickets that are no longer valid."""
    expired = [n for n, ticket in step.tickets.items() if now >= ticket.valid_until]
    for name in expired:
        del step.tickets[name]
