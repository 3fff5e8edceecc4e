"""Admit jobs to the scheduler, open their steps and occurrences, and end them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..fair_sharing.fair_shares import FairShares
from ..ledger.bitset import unpack_indices
from ..ledger.ledger import LedgerJob
from ..ledger.models import JobState, Progress, StepProgress
from .const import LATE_FACTOR
from .inflow import RECENT_SECONDS, Amount
from .models import Job, Phase, QueuePolicy, StepRun, Task
from .scheduler_state import SchedulerState
from .zone_chooser import ZoneChooser

OCCURRENCE_MARGIN_SECONDS = 0.03
"""Margin for clock skew: a timed occurrence must never start before its time."""


@dataclass(slots=True, eq=False)
class Intake:
    """Create the steps and tasks of accepted jobs."""

    state: SchedulerState
    zone_chooser: ZoneChooser
    fair_shares: FairShares = field(default_factory=FairShares)
    _unjudged: list[Task] = field(default_factory=list)

    def add(self, ledger_job: LedgerJob, now: float, wall: float) -> None:
        """Add an accepted job and restore its stored progress."""
        record = ledger_job.record
        if ledger_job.state.final or record.is_stub or record.id in self.state.jobs:
            return
        configured = self.state.policy_of(record.queue)
        policy = configured or QueuePolicy(service=record.service)
        age = max(0.0, wall - record.accepted_at)
        job = Job(record, policy, accepted_at=now - age)
        self._set_objective(job, job.accepted_at)
        job.exceeds_rate = self.fair_shares.exceeds_rate(
            job.organisation, job.accepted_at
        )
        self.state.jobs[record.id] = job
        progress = ledger_job.progress
        if progress is None:
            self.zone_chooser.choose(job)
            self.state.mark_dirty(job)
        else:
            job.stored = True
            job.from_previous_owner = True
            job.state = progress.state
            job.zones = frozenset(progress.zones) or None
            job.stored_zones = job.pending_zones = job.zones
            self._restore(job, progress)
            self.zone_chooser.add_work(job)
        if not record.times:
            self._open_occurrence(job, 0, now)
            job.next_occurrence = 1
        self._advance(job, now)
        if progress is not None:
            self._judge_restored(job, progress)

    def cancel(self, job_id: str) -> None:
        """End a job that a caller cancelled."""
        job = self.state.jobs.get(job_id)
        if job is not None and not job.state.final:
            self.state.end_job(job, JobState.CANCELLED)

    def open_due_occurrences(self, now: float, wall: float) -> None:
        """Open the occurrences whose time has come."""
        for job in self.state.jobs.values():
            record = job.record
            if not record.times or job.state.final:
                continue
            while job.next_occurrence < record.times:
                due_ms = record.start_at_ms + job.next_occurrence * record.interval_ms
                if wall < due_ms / 1000 + OCCURRENCE_MARGIN_SECONDS:
                    break
                self._set_objective(job, now)
                self._open_occurrence(job, job.next_occurrence, now)
                job.next_occurrence += 1

    def get_step(self, job: Job, occurrence: int, number: int) -> StepRun | None:
        """Return a step, or None if the job has no such step.

        Creates the steps of an occurrence that a previous owner started and that is not
        open here yet.
        """
        if occurrence >= job.occurrences or number >= len(job.record.steps):
            return None
        if (occurrence, number) not in job.steps:
            self._make_steps(job, occurrence)
        return job.steps[(occurrence, number)]

    def handle_task_done(self, task: Task, now: float) -> None:
        """Mark a task as done, and open the steps that depend on it."""
        step = task.step
        if step.spec.gang:
            # The members of a gang complete together, so one completion covers all.
            for member in step.tasks:
                self.state.finish_task(member)
        else:
            self.state.finish_task(task)
        if step.complete:
            self.state.estimates.learn_step(step)
            self.state.ready.pop(id(step), None)
            self._advance(step.job, now)

    def handle_task_failed(self, task: Task) -> None:
        """End a job whose task, or gang, has failed too often."""
        step = task.step
        if step.spec.long_running:
            return
        if not self.state.is_configured():
            self._unjudged.append(task)
            return
        members = step.tasks if step.spec.gang else [task]
        # The members of a gang share their runs, and several may fail in one.
        failures = len({run for member in members for run in member.failed_runs})
        if failures >= step.job.policy.max_attempts and not step.job.state.final:
            self.state.end_job(step.job, JobState.FAILED)

    def end_failed_jobs(self) -> None:
        """End the jobs whose tasks had failed too often before policies were known."""
        unjudged, self._unjudged = self._unjudged, []
        for task in unjudged:
            self.handle_task_failed(task)

    def update_objective(self, job: Job) -> None:
        """Update a job's objective after its own runs have changed its estimates.

        Callers measure against the actual run times, so that a job whose declared times
        are too long is more urgent than they imply.
        """
        is_known = self.state.estimates.is_known(job.record.queue)
        if is_known and not job.state.final:
            self._set_objective(job, job.begun_at)

    def _set_objective(self, job: Job, begun_at: float) -> None:
        job.begun_at = begun_at
        critical_path = self.state.estimates.critical_path(job, only_remaining=False)
        objective = job.policy.stretch * critical_path + job.policy.target_seconds
        job.objective_at = begun_at + objective
        job.late_at = begun_at + LATE_FACTOR * objective

    def _make_steps(self, job: Job, occurrence: int) -> None:
        for number, spec in enumerate(job.record.steps):
            step = StepRun(job, occurrence, number, spec)
            step.tasks = [Task(step, index) for index in range(spec.count)]
            step.waiting.extend(step.tasks)
            job.steps[(occurrence, number)] = step

    def _open_occurrence(self, job: Job, occurrence: int, now: float) -> None:
        if (occurrence, 0) not in job.steps:
            self._make_steps(job, occurrence)
        self._open_steps(job, occurrence, now)
        # Jobs that the previous owner accepted count with their arrival time. Without
        # it an owner that takes over during a demand peak would size the pool by the
        # backlog alone.
        arrived_at = job.accepted_at if now <= self.state.taken_over_at else now
        if now - arrived_at < RECENT_SECONDS:
            self._record_arrival(job, occurrence, arrived_at)

    def _record_arrival(self, job: Job, occurrence: int, at: float) -> None:
        work = Amount()
        for number, spec in enumerate(job.record.steps):
            if not spec.long_running:
                step = job.steps[(occurrence, number)]
                work.add(
                    step.room, spec.count * self.state.estimates.mean_seconds(step)
                )
        if work.cpu or work.mem_mb:
            seconds = self.state.estimates.critical_path(job, only_remaining=False)
            self.state.inflow.record(job.policy.service, at, work, seconds)

    def _open_steps(self, job: Job, occurrence: int, now: float) -> None:
        for number, spec in enumerate(job.record.steps):
            step = job.steps[(occurrence, number)]
            if step.open or step.complete:
                continue
            if all(job.steps[(occurrence, earlier)].complete for earlier in spec.after):
                step.open = True
                for task in step.waiting:
                    task.ready_since = now
                self.state.ready[id(step)] = step

    def _advance(self, job: Job, now: float) -> None:
        if job.state.final:
            return
        for occurrence in sorted({key[0] for key in job.steps}):
            if occurrence < job.next_occurrence:
                self._open_steps(job, occurrence, now)
        if job.next_occurrence < job.occurrences:
            return
        if all(step.complete for step in job.steps.values()):
            job.state = JobState.DONE
            self.state.mark_dirty(job)

    def _restore(self, job: Job, progress: Progress) -> None:
        for step_progress in progress.steps:
            self._restore_done(job, step_progress)
        for task_progress in progress.tasks:
            step = self.get_step(job, task_progress.occurrence, task_progress.step)
            if step is None or task_progress.index >= len(step.tasks):
                continue
            task = step.tasks[task_progress.index]
            if not step.spec.long_running:
                task.failed_runs = task_progress.failed_runs
            task.record_checkpoint(task_progress.checkpoint)
            task.crashes = task_progress.crashes
        self.state.update_suspicion(job)
        self._make_started_occurrences(job)

    def _judge_restored(self, job: Job, progress: Progress) -> None:
        """End a job that used its attempts under an owner without a configuration."""
        for stored in progress.tasks:
            step = job.steps.get((stored.occurrence, stored.step))
            if step is None or stored.index >= len(step.tasks):
                continue
            if stored.failed_runs:
                self.handle_task_failed(step.tasks[stored.index])

    def _restore_done(self, job: Job, step_progress: StepProgress) -> None:
        step = self.get_step(job, step_progress.occurrence, step_progress.step)
        if step is None:
            return
        for index in unpack_indices(step_progress.done):
            if index >= len(step.tasks):
                return
            task = step.tasks[index]
            if task.phase is Phase.WAITING:
                step.waiting.remove(task)
                task.phase = Phase.DONE
                step.done += 1

    def _make_started_occurrences(self, job: Job) -> None:
        """Create all occurrences up to the last one with stored progress.

        An earlier one may have no stored progress yet, though a later one has started.
        """
        if not job.record.times or not job.steps:
            return
        job.next_occurrence = max(key[0] for key in job.steps) + 1
        for occurrence in range(job.next_occurrence):
            if (occurrence, 0) not in job.steps:
                self._make_steps(job, occurrence)
