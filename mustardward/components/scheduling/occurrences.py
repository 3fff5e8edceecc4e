"""Open the due occurrences of timed jobs, a limited number at a time.

Thousands of occurrences may be due at once: after an outage, or because a job was
submitted with a first time in the past. Each open one costs time in every plan. An
owner that opened all of them would be blocked for longer than its lease allows, and so
would the next one. Only as many are open as keep the pool busy; the others are a
number.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..ledger.models import JobRecord
from .models import Job
from .scheduler_state import SchedulerState

MARGIN_SECONDS: Final = 0.03
"""Margin for clock skew: a timed occurrence must never start before its time."""

MAX_WAITING_TASKS: Final = 512
"""Waiting tasks of all jobs up to which further occurrences are opened. An owner starts
fewer tasks between two plans."""

MAX_OPEN_STEPS: Final = 4000
"""Steps of one job beyond which no further occurrence is opened, so that steps that
can't run do not accumulate while others of the same occurrences do."""

MAX_TASKS_PER_PLAN: Final = 2000
"""Tasks after which a plan opens no further occurrence, so that it takes some
milliseconds at most. Another job has the first turn in the next plan."""

OpenOccurrence = Callable[[Job, int, float, float], None]
"""Opens an occurrence of a job, given when it was due and the present time, both in
monotonic seconds."""


def due_seconds(record: JobRecord, occurrence: int) -> float:
    """Return when an occurrence may start, in seconds since 1970."""
    due_ms = record.start_at_ms + occurrence * record.interval_ms
    return due_ms / 1000 + MARGIN_SECONDS


def count_due(record: JobRecord, wall: float) -> int:
    """Return how many occurrences of a job may start by now.

    :param wall: seconds since 1970.
    """
    elapsed_ms = 1000 * (wall - MARGIN_SECONDS) - record.start_at_ms
    if elapsed_ms < 0:
        return 0
    if elapsed_ms >= record.interval_ms * record.times:
        return record.times
    return min(record.times, int(elapsed_ms / record.interval_ms) + 1)


@dataclass(slots=True, eq=False)
class OccurrenceOpener:
    """Open due occurrences while few tasks of their jobs wait."""

    state: SchedulerState
    open_occurrence: OpenOccurrence
    _turn: int = 0

    def run(self, now: float, wall: float) -> None:
        """Open the occurrences that are due, as far as the limits allow."""
        pending: list[tuple[Job, int]] = []
        for job in self.state.jobs.values():
            if not job.record.times or job.state.final:
                continue
            job.backlog = 0
            if _may_be_due(job, wall):
                due = max(job.begun_occurrences, count_due(job.record, wall))
                if _has_unopened(job, due):
                    pending.append((job, due))
        if not pending:
            return
        max_waiting = max(1, MAX_WAITING_TASKS // len(pending))
        first = self._turn % len(pending)
        remaining = MAX_TASKS_PER_PLAN
        for job, due in pending[first:] + pending[:first]:
            if remaining > 0:
                self._turn += 1
                remaining -= self._open(job, due, max_waiting, now, wall)
            job.backlog = _count_backlog(job, due)

    def _open(
        self, job: Job, due: int, max_waiting: int, now: float, wall: float
    ) -> int:
        """Open due occurrences of a job; return how many tasks these have.

        :param due: number of its due occurrences.
        """
        per_occurrence = sum(step.count for step in job.record.steps)
        opened = 0
        for occurrence in sorted(n for n in job.unopened if n < due):
            self._open_one(job, occurrence, now, wall)
        waiting = _count_waiting(job)
        while job.next_occurrence < due and opened < MAX_TASKS_PER_PLAN:
            may_add = min(waiting.values()) < max_waiting and (
                len(job.steps) < MAX_OPEN_STEPS
            )
            if job.incomplete_steps and not may_add:
                break
            self._open_one(job, job.next_occurrence, now, wall)
            job.next_occurrence = _next_unopened(job, job.next_occurrence + 1)
            opened += per_occurrence
            for number in waiting:
                waiting[number] += job.record.steps[number].count
        return opened

    def _open_one(self, job: Job, occurrence: int, now: float, wall: float) -> None:
        late_seconds = max(0.0, wall - due_seconds(job.record, occurrence))
        self.open_occurrence(job, occurrence, now - late_seconds, now)


def _may_be_due(job: Job, wall: float) -> bool:
    """Return whether an occurrence that is not open may be due; cheap."""
    if job.unopened or job.next_occurrence < job.begun_occurrences:
        return True
    return wall >= due_seconds(job.record, job.next_occurrence)


def _has_unopened(job: Job, due: int) -> bool:
    job.next_occurrence = _next_unopened(job, job.next_occurrence)
    return job.next_occurrence < due or any(n < due for n in job.unopened)


def _next_unopened(job: Job, occurrence: int) -> int:
    """Return the first occurrence from a given one on without open or past steps."""
    number = job.done_occurrences.first_missing(occurrence)
    while number in job.incomplete_steps:
        number = job.done_occurrences.first_missing(number + 1)
    return number


def _count_waiting(job: Job) -> Counter[int]:
    """Return the waiting tasks of each step that depends on no other one."""
    waiting = Counter(
        {number: 0 for number, spec in enumerate(job.record.steps) if not spec.after}
    )
    for step in job.steps.values():
        if step.open and not step.spec.after:
            waiting[step.number] += len(step.waiting)
    return waiting


def _count_backlog(job: Job, due: int) -> int:
    """Return how many due occurrences have no steps yet and are not complete."""
    first = job.next_occurrence
    if first >= due:
        return 0
    done = job.done_occurrences
    complete = done.count_below(due) - done.count_below(first)
    return due - first - complete - sum(first <= n < due for n in job.incomplete_steps)
