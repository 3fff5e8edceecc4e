"""Decide on the records of long jobs."""

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
    add_open,
    cancel_group,
    job_status,
    leave_open,
    note_finished,
    reap_cancelled,
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
"""Failures, or lost attempts, that park a job even if few workers are left."""

Outcome = Result[Acceptance, MustardwardError]


def job_digest(body: AcceptJob) -> str:
    """Return the digest that tells a repeated submission from another job."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(body))


@WORK_HANDLERS.register("job.accept")
def accept_job(state: WorkState, context: FoldContext, body: AcceptJob) -> Outcome:
    """Accept a job, or confirm one that was accepted before."""
    reap_cancelled(state, context.sequence)
    digest = job_digest(body)
    known = state.jobs.get(body.job_id)
    if known is not None:
        return _confirm_known(known, digest)
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


def _confirm_known(job: Job, digest: str) -> Outcome:
    if job.digest != digest:
        return Failure(JobIdTakenError(f"job_id={job.job_id}"))
    return Success(Acceptance((job.job_id,), job.accepted_sequence, "duplicate"))


@WORK_HANDLERS.register("job.lease")
def lease_job(state: WorkState, context: FoldContext, body: LeaseJob) -> Outcome:
    """Give a job's lease to a new attempt, fenced by this record's sequence.

    A lease on a running job takes it over: the attempt before it is fenced off. What
    it did is for the new holder to find out by the task's id.
    """
    reap_cancelled(state, context.sequence)
    job = state.jobs.get(body.job_id)
    if job is None:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    if job.generation != body.previous_generation:
        return Failure(JobFencedError(f"generation={job.generation}"))
    status = _advance(state, job, "lease")
    if status is None:
        return _wrong_state(state, job, "lease")
    # Another worker while the task may still run on the first would run it twice.
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
    """Keep the checkpoint of the present attempt."""
    reap_cancelled(state, context.sequence)
    found = _held_by(state, body.job_id, body.generation)
    if isinstance(found, MustardwardError):
        return Failure(found)
    found.checkpoint = body.checkpoint
    return Success(Acceptance((found.job_id,), context.sequence))


@WORK_HANDLERS.register("job.end")
def end_attempt(state: WorkState, context: FoldContext, body: EndAttempt) -> Outcome:
    """End the present attempt; the job is done, waits again, or stops."""
    reap_cancelled(state, context.sequence)
    found = _held_by(state, body.job_id, body.generation)
    if isinstance(found, MustardwardError):
        return Failure(found)
    if body.outcome not in tuple(AttemptEnd):
        return Failure(JobStateError(f"outcome={body.outcome}"))
    if body.checkpoint:
        found.checkpoint = body.checkpoint
    _count(found, body)
    event = _event_after(found, body)
    status = _advance(state, found, event)
    if status is None:
        return _wrong_state(state, found, event)
    found.reason = _reason(found, body, status)
    found.result = body.result
    _settle(state, context, found, status)
    return Success(Acceptance((found.job_id,), context.sequence, status))


@WORK_HANDLERS.register("job.cancel")
def cancel_jobs(state: WorkState, context: FoldContext, body: CancelJobs) -> Outcome:
    """Cancel one job, or all that a group holds now, at the same cost."""
    reap_cancelled(state, context.sequence)
    if body.group:
        name = group_name(body.organisation, body.group)
        count = cancel_group(state, name, body.organisation, context.sequence)
        return Success(Acceptance((name,), context.sequence, f"jobs={count}"))
    job = state.jobs.get(body.job_id)
    if job is None or job.organisation != body.organisation:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    status = _advance(state, job, "cancel")
    if status is None:
        return _wrong_state(state, job, "cancel")
    _settle(state, context, job, status)
    return Success(Acceptance((job.job_id,), context.sequence, status))


@WORK_HANDLERS.register("job.retry")
def retry_job(state: WorkState, context: FoldContext, body: RetryJob) -> Outcome:
    """Let a parked or held job wait again with a clean record of failures."""
    reap_cancelled(state, context.sequence)
    job = state.jobs.get(body.job_id)
    if job is None:
        return Failure(JobUnknownError(f"job_id={body.job_id}"))
    status = _advance(state, job, "retry")
    if status is None:
        return _wrong_state(state, job, "retry")
    job.failed_workers = ()
    job.failures = 0
    job.losses = 0
    job.reason = ""
    _settle(state, context, job, status)
    return Success(Acceptance((job.job_id,), context.sequence, status))


def _advance(state: WorkState, job: Job, event: str) -> str | None:
    chart = load_chart("job")
    status = job_status(state, job)
    return chart.next_state(status, event) if chart.accepts(status, event) else None


def _wrong_state(state: WorkState, job: Job, event: str) -> Outcome:
    status = job_status(state, job)
    return Failure(JobStateError(f"job_id={job.job_id} state={status} event={event}"))


def _held_by(state: WorkState, job_id: str, generation: int) -> Job | MustardwardError:
    job = state.jobs.get(job_id)
    if job is None:
        return JobUnknownError(f"job_id={job_id}")
    if job.generation != generation or job.status not in ("running", "cancelling"):
        return JobFencedError(f"job_id={job_id} generation={job.generation}")
    return job


def _count(job: Job, body: EndAttempt) -> None:
    if body.outcome == AttemptEnd.LOST:
        job.losses += 1
    if body.outcome == AttemptEnd.PREEMPTED:
        job.preemptions += 1
    if body.outcome != AttemptEnd.FAILED:
        return
    job.failures += 1
    if not body.worker_suspect and job.worker not in job.failed_workers:
        job.failed_workers = (*job.failed_workers, job.worker)


def _event_after(job: Job, body: EndAttempt) -> str:
    # A job that may not run twice goes on only from a state that is surely known: it
    # never began, or it stopped at a checkpoint. Else its order would ship twice.
    outcome = AttemptEnd(body.outcome)
    if outcome in (AttemptEnd.DONE, AttemptEnd.REFUSED):
        return outcome.value
    if not job.idempotent:
        return _event_when_not_idempotent(outcome, body)
    if outcome is AttemptEnd.UNKNOWN:
        outcome = AttemptEnd.LOST
    if len(job.failed_workers) >= PARK_AFTER_WORKERS:
        return "park"
    if max(job.failures, job.losses) >= PARK_AFTER_FAILURES:
        return "park"
    return outcome.value


def _event_when_not_idempotent(outcome: AttemptEnd, body: EndAttempt) -> str:
    if outcome is AttemptEnd.FAILED:
        return "park"
    if outcome is AttemptEnd.PREEMPTED and body.checkpoint:
        return outcome.value
    return "hold"


def _reason(job: Job, body: EndAttempt, status: str) -> str:
    if status == "parked":
        workers = ",".join(job.failed_workers)
        return f"failures={job.failures} workers={workers} last={body.reason}"
    return body.reason


def _settle(state: WorkState, context: FoldContext, job: Job, status: str) -> None:
    job.status = status
    state.stuck.pop(job.job_id, None)
    if status in ("waiting", "parked", "held"):
        job.holder = ""
        job.worker = ""
    if status in ("parked", "held"):
        state.stuck[job.job_id] = context.sequence
    if load_chart("job").is_final(status):
        leave_open(state, job)
        note_finished(state, job, context.sequence)
