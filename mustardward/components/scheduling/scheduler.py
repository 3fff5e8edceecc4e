"""Provide the scheduler: events in, commands out."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterable

from ...helpers.instruments import JOBS_GIVEN_UP
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...platform.models import WorkerEntry
from ...platform.workers import WorkerReport
from ..fair_sharing.fair_shares import FairShares, RateLookup, unlimited_rate
from ..ledger.ledger import LedgerJob
from ..ledger.models import JobState, Progress
from ..run_times.const import MIN_GROWTH
from .advice import AdviceRequests
from .commands import Command
from .const import (
    CHECK_INTERVAL_SECONDS,
    MAX_IDLE_SECONDS,
    MAX_OBSERVE_INTERVAL_SECONDS,
    STUCK_FACTOR,
    STUCK_SECONDS,
)
from .crashes import CrashTracker, suspects_of
from .evacuation import Evacuation
from .health import WorkerHealth
from .incarnations import make_worker
from .intake import Intake
from .job_order import ORDERS
from .losses import LossCause, log_worker_lost
from .models import Job, Phase, Task
from .organisation_limits import OrganisationLimits
from .pacing import Pacing
from .planner import Planner
from .progress import progress_of
from .quotas import QuotaLookup, Quotas, unlimited_quota
from .reports import Reports
from .scheduler_state import PolicyLookup, SchedulerState, always_configured
from .wait_logger import WaitLogger
from .worker_entries import WorkerEntries
from .worker_state import WorkerState
from .zone_chooser import ZoneChooser

_LOGGER = get_logger(__name__)


def _never_stop_stuck(scheduler: Scheduler, /, now: float) -> None:
    """Let stuck runs keep their room."""


class Scheduler:
    """Schedule the jobs of one shard for the owner of one epoch.

    All times are monotonic seconds, except ``wall``, which is in seconds since 1970.

    :param policy_of: returns the policy of a queue, or None if it is not configured.
    :param order: name of a fixed order of work that can still meet its objective; by
        default the order depends on the load.
    :param quota_of: returns the quota of an organisation.
    :param is_configured: returns whether policies are known.
    :param rate_of: returns the rate of an organisation, in jobs per second.
    :param limits: holds the limits that are stored with jobs.
    """

    def __init__(
        self,
        epoch: int,
        policy_of: PolicyLookup,
        order: str = "",
        quota_of: QuotaLookup = unlimited_quota,
        rate_of: RateLookup = unlimited_rate,
        is_configured: Callable[[], bool] = always_configured,
        limits: OrganisationLimits | None = None,
    ) -> None:
        self.state = SchedulerState(
            epoch, policy_of, is_configured, quotas=Quotas(quota_of)
        )
        self.worker_entries = WorkerEntries(self.state)
        self._zone_chooser = ZoneChooser(self.state)
        fair_shares = FairShares(rate_of)
        self.intake = Intake(
            self.state, self._zone_chooser, fair_shares, limits or OrganisationLimits()
        )
        self.health = WorkerHealth(self.state)
        self.reports = Reports(self.state, self.intake, self.health)
        self.pacing = Pacing(self.state)
        self._crash_tracker = CrashTracker(self.state)
        self._evacuation = Evacuation(self.state)
        self.advice = AdviceRequests(self.state)
        self._planner = Planner(
            self.state, self._zone_chooser, self.advice, ORDERS.get(order), fair_shares
        )
        self.wait_logger = WaitLogger(self.state, self._planner.wait_tracker)
        self._ending: dict[str, Job] = {}
        self._next_check_at = -math.inf

    def add_job(self, job: LedgerJob, now: float, wall: float) -> None:
        """Add an accepted job."""
        self.intake.add(job, now, wall)

    def mark_stored(self, job_ids: Iterable[str]) -> None:
        """Record that the log contains the latest records of jobs; they may start."""
        for job_id in job_ids:
            job = self.state.jobs.get(job_id)
            if job is not None:
                job.stored |= job.crashes_in_record == job.crashes_counted
                job.stored_zones = job.pending_zones
                job.losses_stored = job.losses_in_record

    def cancel_job(self, job_id: str) -> None:
        """End a job that a caller cancelled."""
        self.intake.cancel(job_id)

    def end_reported_job(self, job_id: str) -> None:
        """End a job that a previous owner reported as done to a caller."""
        job = self.state.jobs.get(job_id)
        if job is not None and not job.state.final:
            self.state.end_job(job, JobState.DONE)

    def give_up_job(self, job_id: str, reason: str) -> None:
        """End a job as failed that can't be continued."""
        job = self.state.jobs.get(job_id)
        if job is not None and not job.state.final:
            JOBS_GIVEN_UP.inc()
            _LOGGER.warning("job_given_up", job=job_id, reason=reason)
            self.state.end_job(job, JobState.FAILED)

    def update_policies(self) -> None:
        """Apply a new configuration to the present jobs."""
        for job in self.state.jobs.values():
            changed = self._update_limits(job)
            policy = self.state.policy_of(job.record.queue)
            if policy is not None and policy != job.policy:
                job.policy = policy
                changed = True
            if changed and not job.state.final:
                self.state.mark_dirty(job)
        self.intake.end_failed_jobs()

    def _update_limits(self, job: Job) -> bool:
        """Apply the newest limits of a job's organisation; return if they changed."""
        previous = job.limits
        job.limits = self.intake.limits.find(job.organisation)
        return job.has_other_limits(previous)

    def update_worker(self, worker_id: str, entry: WorkerEntry, now: float) -> bool:
        """Apply a worker's entry; return whether the worker is new."""
        return self.worker_entries.update(worker_id, entry, now)

    def replace_worker(
        self, worker_id: str, started_at_ms: int, entry: WorkerEntry, now: float
    ) -> None:
        """Replace a worker that restarted under its id.

        :param entry: the newest known entry. If it is the previous incarnation's, the
            worker gets no tasks until its own entry has been read.
        """
        old = self.state.workers.get(worker_id)
        new = make_worker(worker_id, entry)
        new.started_at_ms = started_at_ms
        new.described = entry.born == started_at_ms
        new.absent = not new.described
        _LOGGER.info(
            "worker_restarted",
            worker=worker_id,
            born=started_at_ms,
            previous_born=old.started_at_ms if old is not None else 0,
            described=new.described,
        )
        if old is None:
            self.state.add_worker(new, now)
        else:
            log_worker_lost(old, LossCause.RESTARTED, now)
            suspects = suspects_of(old, now)
            self.state.replace_worker(old, new, now)
            self._crash_tracker.record_loss(old, LossCause.RESTARTED, suspects, now)

    def mark_worker_missing(self, worker_id: str, now: float) -> None:
        """Record that a worker's entry is missing; its runs may continue."""
        self.worker_entries.mark_missing(worker_id, now)

    def mark_worker_absent(self, worker_id: str) -> None:
        """Assign no new tasks to a worker until it has a valid entry again."""
        self.worker_entries.mark_absent(worker_id)

    def remove_worker(
        self,
        worker_id: str,
        cause: LossCause,
        now: float,
        held_until: float | None = None,
    ) -> None:
        """Remove a lost worker on which nothing that it confirmed runs any more.

        :param held_until: until when it may run the starts that it left unanswered, or
            None if it has ended.
        """
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            log_worker_lost(worker, cause, now)
            suspects = suspects_of(worker, now)
            self.state.drop_worker(worker, now, held_until)
            self._crash_tracker.record_loss(worker, cause, suspects, now)
        if cause is LossCause.REPLACED:
            # Its address rejects all calls that name its id.
            self.state.held_starts.release(worker_id)
        elif held_until is None:
            self.state.record_ended(worker_id, now)

    def apply_worker_report(
        self, worker_id: str, answer: WorkerReport, sent_at: float, now: float
    ) -> None:
        """Apply a worker's report of running and ended tasks."""
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            self.reports.apply_report(worker, answer, sent_at, now)

    def set_cordoned(self, worker_id: str, cordoned: bool, now: float) -> None:
        """Cordon a worker, which also evacuates it, or uncordon it."""
        worker = self.state.workers.get(worker_id)
        if worker is not None and worker.cordoned != cordoned:
            worker.cordoned = cordoned
            worker.cordoned_since = now

    def set_maintenance_due(self, worker_ids: set[str]) -> None:
        """Set which workers are due for maintenance."""
        for worker in self.state.workers.values():
            worker.maintenance_due = worker.id in worker_ids

    def plan(
        self, now: float, wall: float, max_starts: int = sys.maxsize
    ) -> list[Command]:
        """Return the commands that are due.

        :param max_starts: the most starts to decide on, as many as can be sent soon.
        """
        self.intake.open_due_occurrences(now, wall)
        self.worker_entries.check(now)
        self._evacuation.run(now)
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_SECONDS
            self.state.expire_held_starts(now)
            self._stop_stuck(now)
            self.health.measure_speeds()
            self._observe_running(now)
            self._crash_tracker.evaluate(now)
            self.pacing.run(now)
        self.state.repeat_starts(now)
        self._planner.run(now, max_starts)
        self._forget_ended()
        self.reports.run_logger.flush()
        return self.state.take_commands()

    def take_dirty(self, now: float, wall: float) -> list[tuple[str, Progress]]:
        """Return the progress records to store, and mark ended jobs for removal."""
        dirty = self.state.dirty
        self.state.dirty = {}
        records = [(job_id, progress_of(job, wall)) for job_id, job in dirty.items()]
        for job_id, job in dirty.items():
            job.pending_zones = job.zones
            job.crashes_in_record = job.crashes_counted
            job.losses_in_record = job.losses
            self.wait_logger.record_sent(job_id, now)
            if job.state.final and job_id not in self._ending:
                self._ending[job_id] = job
                self._zone_chooser.remove_work(job)
                _LOGGER.info(
                    "job_ended",
                    job=job_id,
                    state=job.state.name.lower(),
                    seconds=now - job.accepted_at,
                    objective_seconds=job.objective_at - job.accepted_at,
                    organisation=job.organisation,
                    beyond=job.was_beyond_share,
                )
        return records

    def _forget_ended(self) -> None:
        # An ended job stays until its last run has ended, since a run that is being
        # stopped uses its room until its worker lists it as ended.
        for job_id, job in list(self._ending.items()):
            if any(step.active for step in job.steps.values()):
                continue
            del self._ending[job_id]
            self.state.jobs.pop(job_id, None)
            for step in job.steps.values():
                self.state.ready.pop(id(step), None)

    @switchable(
        "stuck-runs",
        "a stuck run is stopped and repeated elsewhere",
        without=_never_stop_stuck,
    )
    def _stop_stuck(self, now: float) -> None:
        for worker in self.state.workers.values():
            for task in list(worker.tasks.values()):
                if self._is_stuck(task):
                    task.avoided_workers.add(worker.id)
                    self.health.record_failure(worker, task, now)
                    self.state.stop(task, "stuck")

    def _observe_running(self, now: float) -> None:
        """Let runs that exceed their estimates correct those of their siblings."""
        for worker in self.state.workers.values():
            if worker.stale:
                continue
            for task in worker.tasks.values():
                if now >= task.observe_at and task.phase is Phase.RUNNING:
                    self._observe(worker, task, now)

    def _observe(self, worker: WorkerState, task: Task, now: float) -> None:
        estimates = self.state.estimates
        remaining = estimates.remaining_seconds(task, now)
        if remaining > 0:
            # The estimate may drop meanwhile.
            task.observe_at = now + min(remaining, MAX_OBSERVE_INTERVAL_SECONDS)
            return
        task.observe_at = now + MIN_GROWTH * (now - task.started_at)
        if (
            task.seconds_without_progress <= MAX_IDLE_SECONDS
            and self.reports.is_representative(worker, task)
            and estimates.observe_running(task, now)
        ):
            self.intake.update_objective(task.step.job)

    def _is_stuck(self, task: Task) -> bool:
        if task.phase is not Phase.RUNNING or task.percent >= 100:
            return False
        if task.worker is None or task.worker.stale:
            # Without current reports, progress is unknown.
            return False
        expected = STUCK_FACTOR * self.state.estimates.high_seconds(task.step)
        return task.seconds_without_progress > max(STUCK_SECONDS, expected)
