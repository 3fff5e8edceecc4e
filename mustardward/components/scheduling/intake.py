"""Admit jobs to the scheduler, open their steps and occurrences, and end them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ..fair_sharing.fair_shares import FairShares
from ..ledger.bitset import unpack_indices
from ..ledger.index_ranges import IndexRanges
from ..ledger.ledger import LedgerJob
from ..ledger.models import JobState, Progress, StepProgress
from .const import LATE_FACTOR
from .earlier_steps import find_incomplete, has_run
from .inflow import RECENT_SECONDS, Amount
from .models import Job, Phase, QueuePolicy, StepRun, Task
from .occurrences import OccurrenceOpener, due_seconds
from .organisation_limits import OrganisationLimits
from .scheduler_state import SchedulerState
from .zone_chooser import ZoneChooser

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Intake:
    """Create the steps and tasks of accepted jobs."""

    state: SchedulerState
    zone_chooser: ZoneChooser
    fair_shares: FairShares = field(default_factory=FairShares)
    limits: OrganisationLimits = field(default_factory=OrganisationLimits)
    _opener: OccurrenceOpener = field(init=False)
    _unjudged: list[Task] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the opener of due occurrences."""
        self._opener = OccurrenceOpener(self.state, self._open_due)

    def add(self, ledger_job: LedgerJob, now: float, wall: float) -> None:
        """Add an accepted job and restore its stored progress."""
        record = ledger_job.record
        if ledger_job.state.final or record.is_stub or record.id in self.state.jobs:
            return
        stored = _stored_policy(ledger_job)
        policy = self.state.policy_of(record.queue) or stored
        stored_limits = self.limits.restore(ledger_job)
        age = max(0.0, wall - record.accepted_at)
        job = Job(record, policy, accepted_at=now - age)
        job.limits = self.limits.find(job.organisation)
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
            self._restore(job, progress, now)
            if policy != stored or job.has_other_limits(stored_limits):
                self.state.mark_dirty(job)
            self.zone_chooser.add_work(job)
        if not record.times:
            job.next_occurrence = 1
            job.begun_occurrences = 1
        self._open_begun(job, now, wall)
        if progress is not None:
            self._judge_restored(job, progress)

    def cancel(self, job_id: str) -> None:
        """End a job that a caller cancelled."""
        job = self.state.jobs.get(job_id)
        if job is not None and not job.state.final:
            self.state.end_job(job, JobState.CANCELLED)

    def open_due_occurrences(self, now: float, wall: float) -> None:
        """Open the occurrences whose time has come."""
        self._opener.run(now, wall)

    def get_step(self, job: Job, occurrence: int, number: int) -> StepRun | None:
        """Return a step, or None if there is none or its occurrence is complete.

        Creates the steps of an occurrence that a previous owner started and that is not
        open here yet.
        """
        if not 0 <= occurrence < job.occurrences or occurrence in job.done_occurrences:
            return None
        if not 0 <= number < len(job.record.steps):
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
            self._complete_step(step)
            self._open_dependents(step, now)

    def complete_earlier_steps(self, step: StepRun, now: float) -> None:
        """Complete the steps on which a step depends that has run."""
        if not step.blockers or step.job.state.final:
            return
        earlier_steps = find_incomplete(step)
        if not earlier_steps:
            return
        _LOGGER.info(
            "earlier_steps_completed",
            job=step.job.record.id,
            occurrence=step.occurrence,
            step=step.number,
            steps=len(earlier_steps),
            tasks=sum(len(earlier.tasks) - earlier.done for earlier in earlier_steps),
            running=sum(earlier.active for earlier in earlier_steps),
        )
        for earlier in earlier_steps:
            self._complete_unlisted(earlier)
        for earlier in earlier_steps:
            self._open_dependents(earlier, now)

    def handle_task_failed(self, task: Task) -> None:
        """End a job whose task, or gang, has failed too often."""
        step = task.step
        if step.spec.long_running or task.phase is Phase.DONE:
            return
        if not self.state.is_configured():
            self._unjudged.append(task)
            return
        members = step.tasks.known() if step.spec.gang else [task]
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
            step.blockers = len(set(spec.after))
            job.steps[(occurrence, number)] = step
        job.incomplete_steps[occurrence] = len(job.record.steps)
        job.unopened.add(occurrence)

    def _open_begun(self, job: Job, now: float, wall: float) -> None:
        """Open the occurrences of a new job that have begun."""
        if job.state.final:
            return
        if not job.record.times:
            self._open_occurrence(job, 0, now)
            # Jobs that the previous owner accepted count with their arrival time.
            # Without it an owner that takes over during a demand peak would size the
            # pool by the backlog alone.
            at = job.accepted_at if now <= self.state.taken_over_at else now
            self._record_arrival(job, 0, at, now)
        elif job.begun_occurrences:
            due = due_seconds(job.record, job.begun_occurrences - 1)
            self._set_objective(job, now - max(0.0, wall - due))
            for occurrence in sorted(job.unopened):
                self._open_occurrence(job, occurrence, now)

    def _open_due(self, job: Job, occurrence: int, due_at: float, now: float) -> None:
        """Open an occurrence whose time has come.

        :param due_at: when that was, in monotonic seconds.
        """
        self._set_objective(job, due_at)
        self._open_occurrence(job, occurrence, now)
        self._record_arrival(job, occurrence, due_at, now)

    def _open_occurrence(self, job: Job, occurrence: int, now: float) -> None:
        if (occurrence, 0) not in job.steps:
            self._make_steps(job, occurrence)
        job.unopened.discard(occurrence)
        for number in range(len(job.record.steps)):
            self._open_step(job.steps[(occurrence, number)], now)

    def _open_step(self, step: StepRun, now: float) -> None:
        """Open a step unless it has to wait or is complete."""
        if step.open or step.blockers or step.complete:
            return
        step.open = True
        step.opened_at = now
        for task in step.waiting.known():
            task.ready_since = now
        self.state.ready[id(step)] = step

    def _record_arrival(self, job: Job, occurrence: int, at: float, now: float) -> None:
        if now - at >= RECENT_SECONDS:
            return
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

    def _complete_step(self, step: StepRun) -> None:
        """Record that a step is complete, and perhaps its occurrence and its job."""
        job = step.job
        occurrence = step.occurrence
        for number in job.dependents[step.number]:
            job.steps[(occurrence, number)].blockers -= 1
        job.incomplete_steps[occurrence] -= 1
        if not job.incomplete_steps[occurrence]:
            self._complete_occurrence(job, occurrence)

    def _complete_unlisted(self, step: StepRun) -> None:
        """Complete a step whose tasks are done though no worker lists all their ends.

        Runs that were started again since are stopped, and count until they are over.
        """
        step.waiting.clear()
        self.state.ready.pop(id(step), None)
        for task in step.tasks.known():
            worker, run = task.worker, task.run
            self.state.finish_task(task)
            if worker is not None:
                self.state.stop_orphan_run(worker, task.name, run)
        step.record_all_done()
        self.state.mark_dirty(step.job)
        self._complete_step(step)

    def _open_dependents(self, step: StepRun, now: float) -> None:
        """Open the steps that waited only for a step that is complete now."""
        job = step.job
        if step.occurrence in job.unopened or step.occurrence in job.done_occurrences:
            return
        for number in job.dependents[step.number]:
            self._open_step(job.steps[(step.occurrence, number)], now)

    def _complete_occurrence(self, job: Job, occurrence: int) -> None:
        job.done_occurrences.add(occurrence)
        job.incomplete_steps.pop(occurrence, None)
        job.unopened.discard(occurrence)
        if job.done_occurrences.count >= job.occurrences:
            job.state = JobState.DONE
            self.state.mark_dirty(job)
            return
        for number in range(len(job.record.steps)):
            step = job.steps.pop((occurrence, number), None)
            self.state.ready.pop(id(step), None)

    def _restore(self, job: Job, progress: Progress, now: float) -> None:
        stored = IndexRanges.unpack(progress.occurrences, job.occurrences)
        job.done_occurrences = stored
        for occurrence in _complete_in_steps(job, progress):
            stored.add(occurrence)
        if stored.count >= job.occurrences:
            job.state = JobState.DONE
            self.state.mark_dirty(job)
            return
        for step_progress in progress.steps:
            self._restore_done(job, step_progress)
        for task_progress in progress.tasks:
            step = self.get_step(job, task_progress.occurrence, task_progress.step)
            if step is None or not 0 <= task_progress.index < len(step.tasks):
                continue
            task = step.tasks[task_progress.index]
            if task.phase is Phase.DONE:
                continue
            step.stateful[task.index] = task
            if not step.spec.long_running:
                task.failed_runs = task_progress.failed_runs
            task.record_checkpoint(task_progress.checkpoint)
            task.crashes = task_progress.crashes
        for step in list(job.steps.values()):
            if has_run(step):
                self.complete_earlier_steps(step, now)
        self.state.update_suspicion(job)
        job.begun_occurrences = max([stored.end, *(n + 1 for n in job.unopened)])

    def _judge_restored(self, job: Job, progress: Progress) -> None:
        """End a job that used its attempts under an owner without a configuration."""
        for stored in progress.tasks:
            step = job.steps.get((stored.occurrence, stored.step))
            if step is None or not 0 <= stored.index < len(step.tasks):
                continue
            if stored.failed_runs:
                self.handle_task_failed(step.tasks[stored.index])

    def _restore_done(self, job: Job, step_progress: StepProgress) -> None:
        step = self.get_step(job, step_progress.occurrence, step_progress.step)
        if step is None or step.complete:
            return
        step.restore_done(unpack_indices(step_progress.done))
        if step.complete:
            self._complete_step(step)


def _stored_policy(ledger_job: LedgerJob) -> QueuePolicy:
    """Return the newest policy that is stored with a job.

    Its queue may be missing from all configurations that this process has read.
    """
    record = ledger_job.record
    newest = ledger_job.progress.policy if ledger_job.progress is not None else None
    policy = newest or record.policy
    if policy is None:
        return QueuePolicy(service=record.service)
    return QueuePolicy.from_record(policy)


def _complete_in_steps(job: Job, progress: Progress) -> list[int]:
    """Return the occurrences of which all steps are stored as complete."""
    complete: dict[int, set[int]] = {}
    for stored in progress.steps:
        if not 0 <= stored.step < len(job.record.steps):
            continue
        count = job.record.steps[stored.step].count
        done = int.from_bytes(stored.done, "little") & ((1 << count) - 1)
        if done.bit_count() == count:
            complete.setdefault(stored.occurrence, set()).add(stored.step)
    return sorted(
        occurrence
        for occurrence, steps in complete.items()
        if len(steps) == len(job.record.steps) and 0 <= occurrence < job.occurrences
    )
