"""Build the progress record of a job."""

from __future__ import annotations

from ..ledger.models import (
    LimitsRecord,
    PolicyRecord,
    Progress,
    StepProgress,
    TaskProgress,
)
from .models import Job, StepRun, Task


def progress_of(job: Job, wall: float) -> Progress:
    """Return a job's progress record; that of an ended job contains only its state."""
    if job.state.final:
        return Progress(job.state, ended_at=wall)
    steps = [
        StepProgress(step.occurrence, step.number, bytes(step.done_bits))
        for step in job.steps.values()
        if step.done
    ]
    tasks = [
        TaskProgress(
            step.occurrence,
            step.number,
            task.index,
            task.failed_runs if _has_failed(task) else (),
            _stored_checkpoint(task),
            task.crashes,
        )
        for step in job.steps.values()
        for task in _stateful_tasks(step)
        if _has_failed(task) or _stored_checkpoint(task) or task.crashes
    ]
    return Progress(
        job.state,
        steps,
        tasks,
        zones=sorted(job.zones or ()),
        occurrences=job.done_occurrences.pack(),
        policy=_changed_policy(job),
        limits=_changed_limits(job),
    )


def _changed_policy(job: Job) -> PolicyRecord | None:
    """Return a job's policy if it differs from the one in the job's record."""
    policy = job.policy.to_record()
    return policy if policy != job.record.policy else None


def _changed_limits(job: Job) -> LimitsRecord | None:
    """Return the limits of a job's organisation if they differ from its record's."""
    return job.limits if job.has_other_limits(job.record.limits) else None


def _stateful_tasks(step: StepRun) -> list[Task]:
    """Return the tasks that may have state to store, by index."""
    found = dict(step.stateful)
    if step.checkpoint and not step.complete:
        # The checkpoint of a gang is stored with its first task.
        found[0] = step.tasks[0]
    return [found[index] for index in sorted(found)]


def _stored_checkpoint(task: Task) -> str:
    """Return the checkpoint to store with a task; a gang's is stored once."""
    if not task.step.spec.gang:
        return task.checkpoint
    return task.step.checkpoint if task.index == 0 else ""


def _has_failed(task: Task) -> bool:
    """Return whether failed runs of a task are stored, as they limit its attempts."""
    return bool(task.failed_runs) and not task.step.spec.long_running
