"""Maintain counts, groups and retention of jobs at constant cost for each record."""

from __future__ import annotations

from typing import Final

from ...helpers.chart import load_chart
from ..models.jobs import CancelledBatch, Job
from ..work import WorkState, group_name

MAX_FINISHED_JOBS: Final = 5_000
"""Done and cancelled jobs whose result is still available."""

MAX_RESULT_BYTES: Final = 8_388_608
"""Total size of the results of finished jobs."""

REAPED_JOBS_PER_RECORD: Final = 8
"""Jobs of cancelled groups whose status is updated with each record."""

CANCELLABLE: Final = ("waiting", "running", "parked", "held")


def job_status(state: WorkState, job: Job) -> str:
    """Return a job's state, including a pending cancellation by its group."""
    if job.status not in CANCELLABLE:
        return job.status
    cancelled_at = state.cancelled_groups.get(
        group_name(job.organisation, job.group), 0
    )
    if not job.group or cancelled_at <= job.accepted_sequence:
        return job.status
    return load_chart("job").next_state(job.status, "cancel")


def add_open(state: WorkState, job: Job) -> None:
    """Add a job to the unfinished ones of its organisation and group."""
    name = group_name(job.organisation, job.group)
    state.open_groups.setdefault(name, {})[job.job_id] = job.accepted_sequence
    count = state.open_jobs.get(job.organisation, 0)
    state.open_jobs[job.organisation] = count + 1
    state.payload_bytes += len(job.payload)


def remove_open(state: WorkState, job: Job) -> None:
    """Remove a job from the unfinished ones, unless its group's cancellation did."""
    name = group_name(job.organisation, job.group)
    members = state.open_groups.get(name, {})
    if members.pop(job.job_id, None) is None:
        return
    if not members:
        del state.open_groups[name]
    _subtract_open(state, job.organisation, 1)


def add_finished(state: WorkState, job: Job, sequence: int) -> None:
    """Add a finished job, and drop the oldest ones beyond the limits."""
    state.payload_bytes -= len(job.payload)
    job.payload = b""
    state.result_bytes += len(job.result)
    state.finished[job.job_id] = sequence
    while _too_many_finished(state):
        oldest = next(iter(state.finished))
        del state.finished[oldest]
        state.result_bytes -= len(state.jobs.pop(oldest).result)


def _too_many_finished(state: WorkState) -> bool:
    too_large = state.result_bytes > MAX_RESULT_BYTES
    return too_large or len(state.finished) > MAX_FINISHED_JOBS


def cancel_group(state: WorkState, name: str, organisation: str, sequence: int) -> int:
    """Cancel all unfinished jobs of a group at constant cost."""
    jobs = state.open_groups.pop(name, None)
    if jobs is None:
        return 0
    # The group's cancellation sequence takes effect immediately. Later records update
    # the status of a few jobs of the batch each, so that no single record is slow.
    state.cancelled_groups[name] = sequence
    state.cancelled_batches.append(CancelledBatch(name, sequence, jobs))
    _subtract_open(state, organisation, len(jobs))
    return len(jobs)


def reap_cancelled(state: WorkState, sequence: int) -> None:
    """Update the status of a few jobs of cancelled groups."""
    for _ in range(REAPED_JOBS_PER_RECORD):
        if not state.cancelled_batches:
            return
        _reap_one(state, state.cancelled_batches[0], sequence)


def _reap_one(state: WorkState, batch: CancelledBatch, sequence: int) -> None:
    if not batch.jobs:
        state.cancelled_batches.pop(0)
        if state.cancelled_groups.get(batch.group) == batch.sequence:
            del state.cancelled_groups[batch.group]
        return
    job_id, accepted = batch.jobs.popitem()
    job = state.jobs.get(job_id)
    if job is None or job.accepted_sequence != accepted:
        return
    if job.status not in CANCELLABLE:
        return
    job.status = load_chart("job").next_state(job.status, "cancel")
    state.stuck.pop(job_id, None)
    if load_chart("job").is_final(job.status):
        add_finished(state, job, sequence)


def _subtract_open(state: WorkState, organisation: str, count: int) -> None:
    remaining = state.open_jobs.get(organisation, 0) - count
    if remaining > 0:
        state.open_jobs[organisation] = remaining
    else:
        state.open_jobs.pop(organisation, None)
