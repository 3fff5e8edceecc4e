"""Build task orders and derive the end of an attempt from task states, without I/O."""

from __future__ import annotations

from ...standin.protocol.models import TaskOrder, TaskReport, TaskState
from ...state.models.jobs import AttemptEnd, EndAttempt, Job
from .const import (
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
    MAX_RESULT_BYTES,
    UNKNOWN_OUTCOME_WAIT_SECONDS,
)
from .models import LeasedAttempt


def build_task_order(attempt: LeasedAttempt, job: Job) -> TaskOrder:
    """Return the order that starts an attempt's task."""
    return TaskOrder(
        task_id=job.job_id,
        generation=attempt.task_generation,
        organisation=job.organisation,
        service=job.service,
        payload=job.payload,
        checkpoint=job.checkpoint,
        lease_seconds=LEASE_SECONDS,
        pool_generation=attempt.pool_generation,
    )


def end_from_report(
    attempt: LeasedAttempt, job: Job, report: TaskReport, suspect: bool
) -> EndAttempt | None:
    """Return the end that a worker's report implies, or None while the task runs."""
    if report.generation != attempt.task_generation:
        return _end(
            attempt, _lost_outcome(job), "another attempt is on the worker", suspect
        )
    outcome = _outcome(attempt, report, job)
    if outcome is None:
        return None
    reason = report.reason or str(report.state)
    result = report.result
    if len(result) > MAX_RESULT_BYTES:
        reason = f"result too large to keep bytes={len(result)}"
        result = b""
    return _end(attempt, outcome, reason, suspect, report.checkpoint, result)


def end_for_unknown_task(attempt: LeasedAttempt, job: Job) -> EndAttempt:
    """Return the end for a task that its worker does not know.

    Either the worker rebooted or the start never reached it; the two can't be
    distinguished.
    """
    return _end(attempt, _lost_outcome(job), "worker knows no such task", False)


def end_if_unreachable(
    attempt: LeasedAttempt, job: Job, now: float
) -> EndAttempt | None:
    """Return the end once an unreachable worker's lease has certainly expired, or None.

    A job that isn't idempotent waits longer, since a late report would still give its
    outcome.
    """
    limit = attempt.lease_expires_by + LEASE_MARGIN_SECONDS
    if not job.idempotent:
        limit += UNKNOWN_OUTCOME_WAIT_SECONDS
    if now < limit:
        return None
    return _end(attempt, _lost_outcome(job), "worker unreachable", False)


def end_not_run(attempt: LeasedAttempt, reason: str) -> EndAttempt:
    """Return the end of an attempt whose task certainly never started."""
    return _end(attempt, AttemptEnd.REFUSED, reason, False)


def end_stalled(
    attempt: LeasedAttempt, job: Job, report: TaskReport, suspect: bool
) -> EndAttempt:
    """Return the end of a task that was stopped because it made no progress."""
    if not job.idempotent:
        return _end(
            attempt, AttemptEnd.PREEMPTED, "stalled", suspect, report.checkpoint
        )
    return _end(attempt, AttemptEnd.FAILED, "stalled", suspect, report.checkpoint)


def _outcome(attempt: LeasedAttempt, report: TaskReport, job: Job) -> AttemptEnd | None:
    if report.state is TaskState.DONE:
        return AttemptEnd.DONE
    if report.state is TaskState.FAILED:
        return AttemptEnd.FAILED
    if report.state is TaskState.LAPSED:
        return _lost_outcome(job)
    if report.state is not TaskState.STOPPED:
        return None
    # A task that was stopped without a checkpoint still reports the one it resumed
    # from. Resuming a non-idempotent job there would repeat its effects, so its stop
    # is clean only if this process requested a checkpoint.
    clean = job.idempotent or attempt.checkpoint_requested
    return AttemptEnd.PREEMPTED if clean else AttemptEnd.UNKNOWN


def _lost_outcome(job: Job) -> AttemptEnd:
    return AttemptEnd.LOST if job.idempotent else AttemptEnd.UNKNOWN


def _end(
    attempt: LeasedAttempt,
    outcome: AttemptEnd,
    reason: str,
    suspect: bool,
    checkpoint: str = "",
    result: bytes = b"",
) -> EndAttempt:
    return EndAttempt(
        job_id=attempt.job_id,
        generation=attempt.generation,
        outcome=outcome.value,
        checkpoint=checkpoint,
        reason=reason[:200],
        result=result,
        worker_suspect=suspect,
    )
