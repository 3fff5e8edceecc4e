"""Apply the records of long-running jobs."""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError
from ...helpers.chart import load_chart
from ..fold import Acceptance, FoldContext
from ..models.jobs import (
    AcceptJob,
    AttemptEnd,
    CancelJobs,
    EndAttempt,
    Job,
    LeaseJob,
    ProgressJob,
    RetryJob,
)
from ..work import WorkState, group_name
from .job_index import (
    add_finished,
    add_open,
    cancel_group,
    job_status,
    reap_cancelled,
    remove_open,
)
from .work_errors import (
    JobFencedError,
    JobIdTakenError,
    JobStateError,
    JobUnknownError,
)
from .work_registry import WORK_HANDLERS

PARK_AFTER_WORKERS: Final = 3
"""Distinct healthy workers on which a job has to fail before it is parked."""

PARK_AFTER_FAILURES: Final = 8
"""Failures, or lost attempts, after which a job is parked even if too few workers are
left to reach ``PARK_AFTER_WORKERS``."""

Outcome = Result[Acceptance, MustardwardError]


def job_digest(body: AcceptJob) -> str:
    """Return the digest that identifies repeated submissions of the same job."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(body))


@WORK_HANDLERS.register("job.accept")
def accept_job(state: WorkState, context: FoldContext, body: AcceptJob) -> Outcome:
    """Accept a job, or confirm one that is already accepted."""
    reap_cancelled(state, context.sequence)
    digest = job_digest(body)
    existing = state.jobs.get(body.job_id)
    if existing is not None:
        return _confirm_existing(existing, digest)
    job = Job(
        job_id=body.job_id,
        organisation=body.organisation,
        service=body.service,
        pool=body.pool,
        group=body.group,
        payload=body.payload,
        idempotent=body.idempotent,
        cores=body.cores,
        memory_gigabytes=body.memory_gigabytes,
        accelerators=body.accelerators,
        declared_seconds=body.declared_seconds,
        accepted_sequence=context.sequence,
        digest=digest,
    )
    state.jobs[job.job_id] = job
    add_open(state, job)
    return Success(Acceptance((job.job_id,), context.sequence))


def _confirm_existing(job: Job, digest: str) -> Outcome:
    if job.digest != digest:
        return Failure(JobIdTakenError(f"job_id={job.job_id}"))
    return Success(Acceptance((job.job_id,), job.accepted_sequence, "duplicate"))


@WORK_HANDLERS.register("job.lease")
def lease_job(state: WorkState, context: FoldContext, body: LeaseJob) -> Outcome:
    """Lease a job to a new attempt, with this record's sequence as fencing token.

    A lease on a running job is a takeover: the previous attempt is fenced off, and the
    new holder has to determine its progress by the id of the task.
    """
    reap_cancelled(state, context.sequence)
    job = state.jobs.get(body.job_id)
    if job is None:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    if job.generation != body.previous_generation:
        return Failure(JobFencedError(f"generation={job.generation}"))
    status = _next_status(state, job, "lease")
    if status is None:
        return _state_refusal(state, job, "lease")
    # The task may still be running on its worker, so another one would run it twice.
    if job.status != "waiting" and body.worker != job.worker:
        return Failure(JobStateError(f"job_id={job.job_id} worker={job.worker}"))
    if job.status == "waiting":
        job.attempts += 1
        job.task_generation = context.sequence
    job.status = status
    job.generation = context.sequence
    job.holder = body.holder
    job.worker = body.worker
    return Success(Acceptance((job.job_id,), context.sequence))


@WORK_HANDLERS.register("job.progress")
def progress_job(state: WorkState, context: FoldContext, body: ProgressJob) -> Outcome:
    """Store the checkpoint of the current attempt."""
    reap_cancelled(state, context.sequence)
    found = _find_leased_job(state, body.job_id, body.generation)
    if isinstance(found, MustardwardError):
        return Failure(found)
    found.checkpoint = body.checkpoint
    return Success(Acceptance((found.job_id,), context.sequence))


@WORK_HANDLERS.register("job.end")
def end_attempt(state: WorkState, context: FoldContext, body: EndAttempt) -> Outcome:
    """End the current attempt and set the resulting state of the job."""
    reap_cancelled(state, context.sequence)
    found = _find_leased_job(state, body.job_id, body.generation)
    if isinstance(found, MustardwardError):
        return Failure(found)
    if body.outcome not in tuple(AttemptEnd):
        return Failure(JobStateError(f"outcome={body.outcome}"))
    if body.checkpoint:
        found.checkpoint = body.checkpoint
    _count_outcome(found, body)
    event = _event_for_outcome(found, body)
    status = _next_status(state, found, event)
    if status is None:
        return _state_refusal(state, found, event)
    found.reason = _end_reason(found, body, status)
    found.result = body.result
    _set_status(state, context, found, status)
    return Success(Acceptance((found.job_id,), context.sequence, status))


@WORK_HANDLERS.register("job.cancel")
def cancel_jobs(state: WorkState, context: FoldContext, body: CancelJobs) -> Outcome:
    """Cancel one job, or all jobs that are currently in a group, at constant cost."""
    reap_cancelled(state, context.sequence)
    if body.group:
        name = group_name(body.organisation, body.group)
        count = cancel_group(state, name, body.organisation, context.sequence)
        return Success(Acceptance((name,), context.sequence, f"jobs={count}"))
    job = state.jobs.get(body.job_id)
    if job is None or job.organisation != body.organisation:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    status = _next_status(state, job, "cancel")
    if status is None:
        return _state_refusal(state, job, "cancel")
    _set_status(state, context, job, status)
    return Success(Acceptance((job.job_id,), context.sequence, status))


@WORK_HANDLERS.register("job.retry")
def retry_job(state: WorkState, context: FoldContext, body: RetryJob) -> Outcome:
    """Requeue a parked or held job and reset its failures."""
    reap_cancelled(state, context.sequence)
    job = state.jobs.get(body.job_id)
    if job is None:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    status = _next_status(state, job, "retry")
    if status is None:
        return _state_refusal(state, job, "retry")
    job.failed_workers = ()
    job.failures = 0
    job.losses = 0
    job.reason = ""
    _set_status(state, context, job, status)
    return Success(Acceptance((job.job_id,), context.sequence, status))


def _next_status(state: WorkState, job: Job, event: str) -> str | None:
    chart = load_chart("job")
    status = job_status(state, job)
    return chart.next_state(status, event) if chart.accepts(status, event) else None


def _state_refusal(state: WorkState, job: Job, event: str) -> Outcome:
    status = job_status(state, job)
    return Failure(JobStateError(f"job_id={job.job_id} state={status} event={event}"))


def _find_leased_job(
    state: WorkState, job_id: str, generation: int
) -> Job | MustardwardError:
    job = state.jobs.get(job_id)
    if job is None:
        return JobUnknownError(f"job_id={job_id}")
    if job.generation != generation or job.status not in ("running", "cancelling"):
        return JobFencedError(f"job_id={job_id} generation={job.generation}")
    return job


def _count_outcome(job: Job, body: EndAttempt) -> None:
    if body.outcome == AttemptEnd.LOST:
        job.losses += 1
    if body.outcome == AttemptEnd.PREEMPTED:
        job.preemptions += 1
    if body.outcome != AttemptEnd.FAILED:
        return
    job.failures += 1
    if not body.worker_suspect and job.worker not in job.failed_workers:
        job.failed_workers = (*job.failed_workers, job.worker)


def _event_for_outcome(job: Job, body: EndAttempt) -> str:
    # A non-idempotent job continues only from a known state: it never started, or it
    # stopped at a checkpoint. Otherwise its side effects could happen twice.
    outcome = AttemptEnd(body.outcome)
    if outcome in (AttemptEnd.DONE, AttemptEnd.REFUSED):
        return outcome.value
    if not job.idempotent:
        return _event_for_non_idempotent(outcome, body)
    if outcome is AttemptEnd.UNKNOWN:
        outcome = AttemptEnd.LOST
    if len(job.failed_workers) >= PARK_AFTER_WORKERS:
        return "park"
    if max(job.failures, job.losses) >= PARK_AFTER_FAILURES:
        return "park"
    return outcome.value


def _event_for_non_idempotent(outcome: AttemptEnd, body: EndAttempt) -> str:
    if outcome is AttemptEnd.FAILED:
        return "park"
    if outcome is AttemptEnd.PREEMPTED and body.checkpoint:
        return outcome.value
    return "hold"


def _end_reason(job: Job, body: EndAttempt, status: str) -> str:
    if status == "parked":
        workers = ",".join(job.failed_workers)
        return f"failures={job.failures} workers={workers} last={body.reason}"
    return body.reason


def _set_status(state: WorkState, context: FoldContext, job: Job, status: str) -> None:
    job.status = status
    state.stuck.pop(job.job_id, None)
    if status in ("waiting", "parked", "held"):
        job.holder = ""
        job.worker = ""
    if status in ("parked", "held"):
        state.stuck[job.job_id] = context.sequence
    if load_chart("job").is_final(status):
        remove_open(state, job)
        add_finished(state, job, context.sequence)
