"""Hold the scheduler's state and the operations that change task placement."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ...platform.workers import TaskName, encode_task
from ..dispatch.const import latest_lease_end
from ..ledger.models import JobState
from ..pool_sizing.models import Need
from ..run_times.estimates import Estimates
from .commands import Command, Start, Stop
from .const import (
    ISOLATION_CRASHES,
    MAX_LEASE_SECONDS,
    RESTART_SECONDS,
    RUN_BITS,
    SAME_WORKER_SECONDS,
    STOP_GRACE_SECONDS,
)
from .held_starts import HeldStart, HeldStarts
from .inflow import Inflow
from .lost_starts import MAX_DELAY_SECONDS, LostStarts, UnansweredStart
from .models import ACTIVE, UNKNOWN_PACE, Job, Phase, QueuePolicy, StepRun, Task
from .quotas import Quotas
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)


def always_configured() -> bool:
    """Return that policies are known, for a scheduler that has no configuration."""
    return True


def _always_confirmed() -> float:
    """Return that ownership is confirmed, for a scheduler without a log."""
    return math.inf


PolicyLookup = Callable[[str], QueuePolicy | None]


@dataclass(slots=True, eq=False)
class SchedulerState:
    """Hold all unfinished jobs, all workers, and the pending commands.

    :param epoch: the owner's epoch, which forms the upper bits of each run number.
    :param policy_of: returns the policy of a queue, or None if it is not configured.
    :param is_configured: returns whether policies are known. Without any, nothing is
        started or given up.
    :param dirty: the jobs with progress to be stored, by id.
    :param ready: the open steps with waiting tasks, by object id.
    :param takeover_hold_until: until when unconfirmed workers may run tasks that a
        previous owner started.
    :param previous_leases_until: when the longest leases that previous owners may have
        granted have expired, also those of workers without runs.
    :param listing_workers: ids of the workers that began to report their runs to this
        owner during the takeover, and have more ended runs to list.
    :param incoming_cpu: processors of instances ordered for each pool, in millicores.
    :param pool_needs: how many instances each pool needs, and why.
    :param unusable_workers: ids of workers that have been unusable for a while.
    :param needed_hosts: ids of workers that long-running tasks can't leave for a drain.
    :param reconciled_zones: data centres whose workers have all reported their runs.
    :param suspects: the jobs with tasks under which workers crashed, by id.
    :param max_lease_seconds: the longest lease that workers grant, whatever deadline
        they are sent.
    :param stop_grace_seconds: how long a worker may take to stop a run.
    :param confirmed_until: returns until when the log is known to name no other owner,
        in monotonic seconds.
    :param held_starts: unanswered starts whose tasks may not start elsewhere.
    :param unlisted_starts: tasks whose unanswered starts are to be repeated.
    :param unreported_loss_at: when a worker was last lost during the takeover before it
        had reported all its runs.
    """

    epoch: int
    policy_of: PolicyLookup
    is_configured: Callable[[], bool] = always_configured
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, WorkerState] = field(default_factory=dict)
    estimates: Estimates = field(default_factory=Estimates)
    inflow: Inflow = field(default_factory=Inflow)
    dirty: dict[str, Job] = field(default_factory=dict)
    ready: dict[int, StepRun] = field(default_factory=dict)
    takeover_hold_until: float = 0.0
    previous_leases_until: float = 0.0
    reconciled_zones: frozenset[str] = frozenset()
    listing_workers: set[str] = field(default_factory=set)
    incoming_cpu: dict[str, int] = field(default_factory=dict)
    pool_needs: dict[str, Need] = field(default_factory=dict)
    unusable_workers: frozenset[str] = frozenset()
    needed_hosts: frozenset[str] = frozenset()
    taken_over_at: float = 0.0
    quotas: Quotas = field(default_factory=Quotas)
    suspects: dict[str, Job] = field(default_factory=dict)
    max_lease_seconds: float = MAX_LEASE_SECONDS
    stop_grace_seconds: float = STOP_GRACE_SECONDS
    confirmed_until: Callable[[], float] = _always_confirmed
    unreported_loss_at: float = -math.inf
    held_starts: HeldStarts = field(default_factory=HeldStarts)
    unlisted_starts: list[Task] = field(default_factory=list)
    _lost_starts: LostStarts = field(default_factory=LostStarts)
    _commands: list[Command] = field(default_factory=list)
    _run_counter: int = 0

    def take_commands(self) -> list[Command]:
        """Return the commands added since the last call."""
        commands = self._commands
        self._commands = []
        return commands

    def add_command(self, command: Command) -> None:
        """Add a command to be carried out."""
        self._commands.append(command)

    def next_run_number(self) -> int:
        """Return a run number greater than all of this and previous owners."""
        self._run_counter += 1
        return (self.epoch << RUN_BITS) + self._run_counter

    def find_task(self, name: TaskName) -> Task | None:
        """Return the task of a name, or None if it is not known."""
        job = self.jobs.get(name.job)
        if job is None:
            return None
        step = job.steps.get((name.occurrence, name.step))
        if step is None or name.index >= len(step.tasks):
            return None
        return step.tasks[name.index]

    def is_held_after_takeover(self, job: Job, now: float) -> bool:
        """Return whether unknown runs of a job may exist from a previous owner."""
        if not job.from_previous_owner or self.is_takeover_complete(now):
            return False
        if not self.is_unreported_loss_confirmed:
            return True
        return job.stored_zones is None or not job.stored_zones <= self.reconciled_zones

    def is_takeover_complete(self, now: float) -> bool:
        """Return whether all runs of previous owners are known or certainly over.

        After the hold, the leases of a previous owner have expired, unless the next
        owner has renewed them. A worker that this owner renewed meanwhile may still
        have to list tasks that are done.
        """
        is_hold_over = min(now, self.confirmed_until()) >= self.takeover_hold_until
        return (
            is_hold_over
            and self.is_unreported_loss_confirmed
            and not self.listing_workers
        )

    @property
    def is_unreported_loss_confirmed(self) -> bool:
        """Return whether nobody had taken over when a worker was lost unreported."""
        return self.confirmed_until() >= self.unreported_loss_at

    def mark_confirmed(self, worker: WorkerState, now: float) -> None:
        """Record that a worker has reported all its runs."""
        if self.held_starts:
            self.held_starts.limit(
                worker.id,
                now + SAME_WORKER_SECONDS,
                lambda name: name not in worker.tasks,
            )
        worker.confirmed = True
        worker.listing_ends = False
        self.listing_workers.discard(worker.id)

    def mark_listing_ends(self, worker: WorkerState, now: float) -> None:
        """Record that a worker reported a part of its ended runs for the first time.

        After the takeover its tasks were already started elsewhere, as its leases had
        expired, so that nothing waits for it.
        """
        if not worker.listing_ends and not self.is_takeover_complete(now):
            self.listing_workers.add(worker.id)
        worker.listing_ends = True

    def mark_dirty(self, job: Job) -> None:
        """Mark a job whose progress has to be stored."""
        self.dirty[job.record.id] = job

    def assign(self, task: Task, worker: WorkerState, run: int, now: float) -> None:
        """Start a task on a worker; the caller has removed it from the step's queue."""
        self._reserve(task, worker, run)
        task.phase = Phase.STARTING
        task.started_at = now
        task.observe_at = now
        task.percent = 0.0
        task.percent_since = now
        task.percent_at_ms = -1.0
        task.pace = 100
        task.paced = False
        task.seen_running = False
        task.sent = False
        task.unanswered_at = None
        task.start_answered = False
        task.adopted = False
        self.add_command(Start(task, worker.id, run))

    def adopt(self, task: Task, worker: WorkerState, run: int, now: float) -> None:
        """Adopt a run that a previous owner started."""
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        self._reserve(task, worker, run)
        task.phase = Phase.RUNNING
        task.seen_running = True
        task.adopted = True
        task.pace = UNKNOWN_PACE
        task.started_at = now
        task.observe_at = now
        task.percent_since = now
        task.percent_at_ms = -1.0

    def mark_started(self, job: Job) -> None:
        """Mark a job as running after a worker confirmed a run of it.

        Callers see this once it is stored. A decision to start is no confirmation: the
        start may be withdrawn, refused or lost.
        """
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.mark_dirty(job)

    def stop(self, task: Task, reason: str) -> None:
        """Stop a task's run."""
        if task.worker is None or task.phase is Phase.STOPPING:
            return
        _LOGGER.info(
            "run_stopping",
            task=encode_task(task.name),
            run=task.run,
            worker=task.worker.id,
            reason=reason,
            percent=task.percent,
        )
        task.phase = Phase.STOPPING
        task.unanswered_at = None
        task.stop_acknowledged_at = None
        self.add_command(Stop(task.name, task.worker.id, task.run, task))

    def mark_uncertain(self, task: Task, now: float) -> None:
        """Handle a start without a response: the run may start now, later or never.

        The worker's next report shows whether the run is there; otherwise the start is
        repeated, since the worker executes only one of two starts with the same number.
        """
        if task.worker is None:
            return
        if task.unanswered_at is None:
            task.worker.unanswered_starts.append((task.name, task.run))
            task.unanswered_since = now
        task.phase = Phase.UNCERTAIN
        task.unanswered_at = now

    def repeat_starts(self, now: float) -> None:
        """Send the starts again that got no response and that workers do not list."""
        for task in self.unlisted_starts:
            if task.worker is None or not task.awaits_report:
                continue
            if not self._may_repeat(task, task.worker):
                self.reject_start(task)
                continue
            self.hold_start(task, now)
            task.phase = Phase.STARTING
            task.started_at = now
            self.add_command(Start(task, task.worker.id, task.run))
        self.unlisted_starts.clear()

    def _may_repeat(self, task: Task, worker: WorkerState) -> bool:
        """Return whether a task may still start on its worker."""
        job = task.step.job
        requested = task.step.requested
        self.quotas.release(job.organisation, requested)
        is_within_quota = self.quotas.allows(job.organisation, requested)
        self.quotas.reserve(job.organisation, requested)
        return (
            is_within_quota
            and worker.service == job.policy.service
            and not (worker.draining or worker.cordoned)
        )

    def reject_start(self, task: Task) -> None:
        """Let a worker reject a start without a response.

        Once it has acknowledged the stop and does not list the run, the task may start
        again.
        """
        if task.worker is None:
            return
        task.phase = Phase.UNCERTAIN
        task.unanswered_at = None
        task.stop_acknowledged_at = None
        self.add_command(Stop(task.name, task.worker.id, task.run, task))

    def hold_start(self, task: Task, now: float) -> None:
        """Keep a task from other workers while its start may still be executed."""
        if task.worker is None:
            return
        until = latest_lease_end(now + MAX_DELAY_SECONDS, self.max_lease_seconds)
        start = HeldStart(task.worker.id, task.run, until)
        self.held_starts.add(task.name, start, task.started_at)

    def requeue(self, task: Task, now: float) -> None:
        """Put a task whose run has ended back on its step's queue."""
        worker = task.worker
        self._release(task)
        task.phase = Phase.WAITING
        task.ready_since = now
        if self.held_starts and worker is not None and not worker.stale:
            self.held_starts.limit_task(task.name, worker.id, now + SAME_WORKER_SECONDS)
        step = task.step
        step.waiting.append(task)
        if step.open:
            self.ready[id(step)] = step

    def return_to_queue(self, step: StepRun, tasks: Iterable[Task]) -> None:
        """Put removed tasks that were not assigned back on a step's queue."""
        step.waiting.extend(task for task in tasks if task.phase is Phase.WAITING)
        if not step.waiting:
            self.ready.pop(id(step), None)
        elif step.open:
            self.ready[id(step)] = step

    def finish_task(self, task: Task) -> None:
        """Mark a task as done."""
        if task.phase is Phase.DONE:
            return
        step = task.step
        if task.phase in ACTIVE:
            self._release(task)
        elif task in step.waiting:
            step.waiting.remove(task)
        task.checkpoint = ""
        step.record_done(task)
        self.clear_suspicion(task)
        self.mark_dirty(step.job)

    def end_job(self, job: Job, state: JobState) -> None:
        """End a job and stop its runs.

        Runs stay on their workers until these list them as ended, so that their room
        counts as used until then.
        """
        job.state = state
        self.suspects.pop(job.record.id, None)
        for step in job.steps.values():
            step.waiting.clear()
            step.open = False
            self.ready.pop(id(step), None)
            for task in step.tasks.known():
                if task.phase in ACTIVE:
                    self.stop(task, state.name.lower())
        self.mark_dirty(job)

    def record_crash(self, task: Task, incarnation: str) -> None:
        """Record that a worker crashed under a task.

        From ISOLATION_CRASHES on, the crashes are stored before the job starts again,
        so that another owner continues the count. The job may then start in any data
        centre.
        """
        if incarnation in task.crashes:
            return
        task.crashes += (incarnation,)
        task.step.stateful[task.index] = task
        task.runs_since_crash = 0
        job = task.step.job
        job.crashes_counted += 1
        job.suspicion = max(job.suspicion, len(task.crashes))
        self.suspects[job.record.id] = job
        if job.suspicion >= ISOLATION_CRASHES:
            job.stored = False
            job.zones = None
        self.mark_dirty(job)

    def clear_suspicion(self, task: Task) -> None:
        """Clear a task of the crashes recorded for it."""
        if task.crashes:
            task.crashes = ()
            task.evaluation_due_at = 0.0
            self.update_suspicion(task.step.job)
            self.mark_dirty(task.step.job)

    def update_suspicion(self, job: Job) -> None:
        """Recompute a job's suspicion from the crashes of its tasks."""
        job.suspicion = max(
            (
                len(task.crashes)
                for step in job.steps.values()
                for task in step.stateful.values()
            ),
            default=0,
        )
        if job.suspicion and not job.state.final:
            self.suspects[job.record.id] = job
        else:
            self.suspects.pop(job.record.id, None)

    def stop_orphan_run(self, worker: WorkerState, name: TaskName, run: int) -> None:
        """Stop a run that no task owns; it occupies room until it is over."""
        self.add_orphan_run(worker, name)
        self.add_command(Stop(name, worker.id, run, None))

    def add_orphan_run(self, worker: WorkerState, name: TaskName) -> None:
        """Count the resources of an orphan run until its worker's next report."""
        job = self.jobs.get(name.job)
        if job is None or name.step >= len(job.record.steps):
            worker.unknown_runs = True
            return
        step = job.steps.get((name.occurrence, name.step))
        if step is None:
            # The occurrence is complete, and its steps were dropped.
            spec = job.record.steps[name.step]
            step = StepRun(job, name.occurrence, name.step, spec)
        self.quotas.reserve(step.job.organisation, step.requested)
        worker.reserve(step.room)
        worker.orphan_steps.append(step)

    def clear_orphan_runs(self, worker: WorkerState) -> None:
        """Clear a worker's orphan runs, as its report lists all present runs."""
        for step in worker.orphan_steps:
            self.quotas.release(step.job.organisation, step.requested)
            worker.release(step.room)
        worker.orphan_steps.clear()
        worker.unknown_runs = False

    def add_worker(self, worker: WorkerState, now: float) -> None:
        """Add a worker, which may be the next incarnation of a lost one."""
        self.workers[worker.id] = worker
        self._reject_delayed(worker, self._lost_starts.take(worker.id, now))

    def drop_worker(
        self, worker: WorkerState, now: float, held_until: float | None = None
    ) -> None:
        """Remove a worker that is certainly gone, and requeue its tasks.

        :param held_until: until when the worker may run the starts that it left
            unanswered, if only the leases of its known incarnation have expired.
        """
        self._record_losses(worker, now)
        self._hold_unanswered(worker, now)
        in_flight = [
            (task.name, task.run)
            for task in worker.tasks.values()
            if task.phase is Phase.STARTING and task.sent
        ]
        starts = (*worker.unanswered_starts, *in_flight)
        self._lost_starts.add(worker.id, starts, now)
        names = set(worker.tasks)
        for task in list(worker.tasks.values()):
            self.end_run(task, now)
        self.held_starts.extend(worker.id, now, names, held_until)
        self.clear_orphan_runs(worker)
        self.workers.pop(worker.id, None)
        self.listing_workers.discard(worker.id)

    def _hold_unanswered(self, worker: WorkerState, now: float) -> None:
        for task in worker.tasks.values():
            if task.is_start_unanswered and task.phase is not Phase.UNCERTAIN:
                self.hold_start(task, now)

    def record_ended(self, worker_id: str, now: float) -> None:
        """Record that a worker has ended; it may restart under its id."""
        self.held_starts.limit_after_end(worker_id, now + RESTART_SECONDS)

    def expire_held_starts(self, now: float) -> None:
        """Drop the holds that have ended, or whose task starts no more."""
        if self.held_starts:
            until = min(now, self.confirmed_until())
            self.held_starts.expire(until, self._may_start_again)

    def _may_start_again(self, name: TaskName) -> bool:
        job = self.jobs.get(name.job)
        if job is None or job.state.final:
            return False
        task = self.find_task(name)
        return task is None or task.phase is not Phase.DONE

    def take_held_tasks(self, step: StepRun, now: float) -> list[Task]:
        """Remove the tasks whose unanswered start may still run from a step's queue.

        :return: the tasks, which the caller returns to the queue.
        """
        return self.held_starts.take_held_tasks(step, min(now, self.confirmed_until()))

    def allowed_worker(self, task: Task, now: float) -> WorkerState | None:
        """Return the only worker on which a held task may start, if it is known."""
        until = min(now, self.confirmed_until())
        return self.workers.get(self.held_starts.allowed_worker(task.name, until))

    def replace_worker(self, old: WorkerState, new: WorkerState, now: float) -> None:
        """Replace a worker by its next incarnation.

        Runs of the old incarnation are over. A start without a response may still be in
        flight, and the new incarnation would carry it out, since it has seen no fencing
        token yet. It is therefore sent a stop, which makes it reject that run, and the
        task continues once the stop is acknowledged. This includes starts whose task
        has moved elsewhere since, because only the old incarnation knew of their stop.
        """
        self._record_losses(old, now)
        self._hold_unanswered(old, now)
        self._reject_delayed(new, old.unanswered_starts)
        names = set(old.tasks)
        for task in list(old.tasks.values()):
            if task.seen_running:
                self.end_run(task, now)
                continue
            run = task.run
            self._release(task)
            self._reserve(task, new, run)
            new.unanswered_starts.append((task.name, run))
            self.reject_start(task)
        self.held_starts.extend(old.id, now, names)
        self.clear_orphan_runs(old)
        self.workers[new.id] = new
        self.listing_workers.discard(old.id)
        for job in self.jobs.values():
            if job.policy.advice:
                for step in job.steps.values():
                    step.tickets.pop(new.id, None)
                    step.allowed_workers.discard(new.id)
                    step.denied_at.pop(new.id, None)

    def _record_losses(self, worker: WorkerState, now: float) -> None:
        """Record a lost worker, whose runs another owner may have seen ending.

        Its tasks, and the jobs that are held for its report, start only once the log
        shows that nobody had taken over by then.
        """
        if not (worker.confirmed or self.is_takeover_complete(now)):
            self.unreported_loss_at = now
        for task in worker.tasks.values():
            job = task.step.job
            if not job.state.final:
                job.losses += 1
                task.loss = job.losses
                self.mark_dirty(job)

    def _reject_delayed(
        self, worker: WorkerState, starts: Iterable[UnansweredStart]
    ) -> None:
        """Let a worker reject the starts that its previous incarnation did not answer.

        They are remembered for the next incarnation too.
        """
        for name, run in starts:
            worker.unanswered_starts.append((name, run))
            self.add_command(Stop(name, worker.id, run, None))

    def end_run(self, task: Task, now: float) -> None:
        """Handle the end of a run that did not complete its task."""
        if task.step.job.state.final:
            self._release(task)
            task.phase = Phase.WAITING
        else:
            self.requeue(task, now)

    def _reserve(self, task: Task, worker: WorkerState, run: int) -> None:
        step = task.step
        worker.reserve(step.room)
        worker.tasks[task.name] = task
        self.quotas.reserve(step.job.organisation, step.requested)
        step.active += 1
        step.on_worker[worker.id] += 1
        task.worker = worker
        task.run = run
        task.missed_reports = 0
        task.stop_acknowledged_at = None

    def _release(self, task: Task) -> None:
        worker = task.worker
        if worker is None:
            return
        step = task.step
        worker.release(step.room)
        worker.tasks.pop(task.name, None)
        self.quotas.release(step.job.organisation, step.requested)
        step.active -= 1
        step.on_worker[worker.id] -= 1
        task.worker = None
        task.percent = 0.0
