"""Say what an attempt orders, and what the state of its task means: pure."""

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
    """Return the end that a worker's report means, or nothing while it runs."""
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
    """Return the end when the worker knows no such task.

    It rebooted, or the start never reached it; nobody can tell which.
    """
    return _end(attempt, _lost_outcome(job), "worker knows no such task", False)


def end_if_unreachable(
    attempt: LeasedAttempt, job: Job, now: float
) -> EndAttempt | None:
    """Return the end when a worker has not answered until its lease surely lapsed.

    A job that may not run twice waits longer, since a report would settle it.
    """
    limit = attempt.lease_expires_by + LEASE_MARGIN_SECONDS
    if not job.idempotent:
        limit += UNKNOWN_OUTCOME_WAIT_SECONDS
    if now < limit:
        return None
    return _end(attempt, _lost_outcome(job), "worker unreachable", False)


def end_not_run(attempt: LeasedAttempt, reason: str) -> EndAttempt:
    """Return the end of an attempt that surely never began."""
    return _end(attempt, AttemptEnd.REFUSED, reason, False)


def end_stalled(
    attempt: LeasedAttempt, job: Job, report: TaskReport, suspect: bool
) -> EndAttempt:
    """Return the end of a task that was stopped for making no progress."""
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
    # A task that was stopped without a checkpoint still reports the one it began
    # from. To resume a job there that may not run twice would repeat its effects, so
    # only a stop that this process asked for with a checkpoint is clean.
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
