"""Build the progress record of a job."""

from __future__ import annotations

from ..ledger.bitset import pack_indices
from ..ledger.models import Progress, StepProgress, TaskProgress
from .models import Job, Phase


def progress_of(job: Job, wall: float) -> Progress:
    """Return a job's progress record; that of an ended job contains only its state."""
    if job.state.final:
        return Progress(job.state, ended_at=wall)
    steps = [
        StepProgress(
            step.occurrence,
            step.number,
            pack_indices(t.index for t in step.tasks if t.phase is Phase.DONE),
        )
        for step in job.steps.values()
        if step.done
    ]
    tasks = [
        TaskProgress(
            step.occurrence,
            step.number,
            task.index,
            task.failed_runs,
            task.checkpoint,
            task.crashes,
        )
        for step in job.steps.values()
        for task in step.tasks
        if task.phase is not Phase.DONE
        and (task.failed_runs or task.checkpoint or task.crashes)
    ]
    return Progress(job.state, steps, tasks, zones=sorted(job.zones or ()))
