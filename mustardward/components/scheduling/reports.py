"""Apply workers' reports of runs and their responses to commands."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ...platform.models import ENDED_DONE, ENDED_FAILED
from ...platform.workers import (
    REFUSED_LATE,
    REFUSED_ROOM,
    REFUSED_TICKET,
    EndedTask,
    RunningTask,
    TaskName,
    WorkerReport,
)
from .commands import Stop
from .const import (
    MAX_MISSED_REPORTS,
    START_REPEAT_INTERVAL_SECONDS,
    START_REPEAT_SECONDS,
)
from .health import WorkerHealth
from .intake import Intake
from .models import ACTIVE, Phase, Task
from .run_logger import RunLogger, run_key
from .scheduler_state import SchedulerState
from .sent_starts import SentStarts
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

ROOM_PAUSE_SECONDS = 0.1
UNHEALTHY_PAUSE_SECONDS = 0.5


@dataclass(slots=True, eq=False)
class Reports:
    """Apply workers' reports to the scheduler state."""

    state: SchedulerState
    intake: Intake
    health: WorkerHealth
    run_logger: RunLogger = field(default_factory=RunLogger)
    sent_starts: SentStarts = field(default_factory=SentStarts)

    def __post_init__(self) -> None:
        """Name the owner's epoch in the lines of its runs."""
        self.run_logger.epoch = self.state.epoch

    def apply_report(
        self, worker: WorkerState, answer: WorkerReport, sent_at: float, now: float
    ) -> None:
        """Apply a worker's lists of running and ended tasks.

        :param sent_at: when the call was sent; later commands may not be reflected.
        """
        for ended in answer.ended:
            self.apply_end(worker, ended, now)
        self.state.clear_orphan_runs(worker)
        listed: set[tuple[object, int]] = set()
        worker.clock_ms = answer.clock_ms
        for row in answer.running:
            listed.add((row.task, row.run))
            self._handle_running(worker, row, sent_at, now)
        missing = [t for name, t in worker.tasks.items() if (name, t.run) not in listed]
        if answer.lists_all_ends:
            self._handle_missing(worker, missing, sent_at, now)
            self.state.mark_confirmed(worker, now)
        else:
            self._handle_unlisted(worker, missing, sent_at, now)
            if not worker.confirmed:
                self.state.mark_listing_ends(worker, now)
        worker.stale = False
        worker.reported_at = sent_at

    def start_sent(self, task: Task, run: int) -> None:
        """Record that a start command is being sent."""
        if task.run == run:
            task.sent = True
            if task.worker is not None:
                self.sent_starts.record(task.name, run, task.worker.id)

    def start_answered(self, task: Task, run: int, reason: str, now: float) -> None:
        """Handle a worker's response to a start; an empty reason means success."""
        if not reason:
            self.state.mark_started(task.step.job)
        sent = self.sent_starts.get(task.name, run)
        if task.run != run or task.phase is not Phase.STARTING or task.worker is None:
            if not reason and sent is not None:
                self.run_logger.record_overtaken_start(task, sent)
            return
        if not reason:
            task.start_answered = True
            task.unanswered_at = None
            task.phase = Phase.RUNNING
            task.started_at = now
            task.percent_since = now
            waited = now - task.ready_since
            expected = self.state.estimates.seconds(task.step)
            self.run_logger.record_start(task, task.worker, waited, expected, sent)
            return
        worker = task.worker
        if reason == REFUSED_ROOM:
            worker.refusing_until = now + ROOM_PAUSE_SECONDS
        elif reason == REFUSED_TICKET:
            task.step.tickets.pop(worker.id, None)
        elif reason == REFUSED_LATE:
            worker.stale = True
        _LOGGER.info(
            "start_rejected",
            job=task.step.job.record.id,
            task=run_key(task),
            worker=worker.id,
            run=run,
            reason=reason,
        )
        if task.unanswered_at is None:
            self._handle_not_started(task, now)
        else:
            # The start before it may have been executed, or still be.
            self.state.reject_start(task)

    def start_refused(self, task: Task, run: int, now: float) -> None:
        """Handle a start that certainly was not carried out."""
        if task.run != run or task.phase is not Phase.STARTING or task.worker is None:
            return
        task.worker.refusing_until = now + UNHEALTHY_PAUSE_SECONDS
        self._handle_not_sent(task, now)

    def start_withdrawn(self, task: Task, run: int, now: float) -> None:
        """Handle a start that was not sent, which implies no fault of the worker."""
        if task.run == run and task.phase is Phase.STARTING:
            self._handle_not_sent(task, now)

    def start_unknown(self, task: Task, run: int, now: float) -> None:
        """Handle a start without a response."""
        if task.run != run or task.worker is None:
            return
        if not task.seen_running:
            self.state.hold_start(task, now)
        if task.phase is Phase.STARTING:
            # A worker may respond to everything else and still fail every start.
            task.avoided_workers.add(task.worker.id)
            self.state.mark_uncertain(task, now)

    def stop_answered(self, task: Task, run: int, now: float) -> None:
        """Record that a worker acknowledged a stop."""
        if task.run == run and task.phase in (Phase.UNCERTAIN, Phase.STOPPING):
            task.stop_acknowledged_at = now

    def _handle_not_sent(self, task: Task, now: float) -> None:
        if task.unanswered_at is None:
            self._handle_not_started(task, now)
        else:
            self.state.mark_uncertain(task, now)

    def _handle_not_started(self, task: Task, now: float) -> None:
        step = task.step
        self.state.end_run(task, now)
        if step.spec.gang:
            # The other members would wait for this one until they time out.
            for member in step.tasks.known():
                if member.phase in (Phase.STARTING, Phase.RUNNING):
                    self.state.stop(member, "gang")

    def apply_end(self, worker: WorkerState, ended: EndedTask, now: float) -> None:
        """Apply a run that a worker lists as ended."""
        task = self._find_task(ended.task)
        if task is None or task.phase is Phase.DONE:
            return
        is_current = (
            task.worker is worker and task.run == ended.run and task.phase in ACTIVE
        )
        self.run_logger.record_end(worker, ended, is_current)
        self.state.held_starts.record_executed(ended.task, worker.id, ended.run)
        self.state.mark_started(task.step.job)
        self.intake.complete_earlier_steps(task.step, now)
        if ended.how == ENDED_DONE:
            self._handle_done(worker, task, is_current, now)
            return
        if ended.how == ENDED_FAILED and task.record_failed_run(ended.run):
            task.avoided_workers.add(worker.id)
            self.health.record_failure(worker, task, now)
        task.record_checkpoint(ended.checkpoint)
        self.state.mark_dirty(task.step.job)
        if is_current:
            task.runs_since_crash += task.phase is not Phase.STOPPING
            self.state.end_run(task, now)
        if ended.how == ENDED_FAILED:
            self.intake.handle_task_failed(task)

    def log_ignored_end(self, worker: WorkerState, ended: EndedTask) -> None:
        """Log an end that will be ignored, as its task is done or its job unknown."""
        task = self.state.find_task(ended.task)
        is_unknown = ended.task.job not in self.state.jobs
        if is_unknown or (task is not None and task.phase is Phase.DONE):
            self.run_logger.record_ignored_end(worker, ended)

    def _handle_done(
        self, worker: WorkerState, task: Task, is_current: bool, now: float
    ) -> None:
        if is_current:
            seconds = now - task.started_at
            self.health.record_success(worker, task, seconds)
            if self.is_representative(worker, task):
                self.state.estimates.learn(task.step, seconds)
                self.intake.update_objective(task.step.job)
            expected = self.state.estimates.seconds(task.step)
            self.run_logger.record_estimate(task, expected)
        elif task.phase in ACTIVE and task.worker is not None:
            self.state.add_command(Stop(task.name, task.worker.id, task.run, None))
        if not task.step.job.state.final:
            self.intake.handle_task_done(task, now)
        elif is_current:
            self.state.end_run(task, now)

    def is_representative(self, worker: WorkerState, task: Task) -> bool:
        """Return whether a run shows how long its task takes."""
        data_rack = task.step.spec.data_rack
        is_near_data = not data_rack or data_rack in worker.labels
        is_whole = not (task.checkpoint or task.adopted or task.paced)
        return is_near_data and is_whole and not self.health.is_slow(worker)

    def _handle_running(
        self, worker: WorkerState, row: RunningTask, sent_at: float, now: float
    ) -> None:
        task = self._find_task(row.task)
        if task is None:
            self._stop_orphan_run(worker, row)
            return
        self.state.mark_started(task.step.job)
        self.intake.complete_earlier_steps(task.step, now)
        if task.phase is Phase.DONE:
            self._stop_orphan_run(worker, row)
            return
        if task.phase is Phase.WAITING:
            if task.step.job.state.final:
                self._stop_orphan_run(worker, row)
                return
            self.state.adopt(task, worker, row.run, now)
        elif task.worker is not worker or task.run != row.run:
            self._stop_orphan_run(worker, row)
            return
        elif task.phase is Phase.STARTING or task.awaits_report:
            self.state.held_starts.record_executed(task.name, worker.id, task.run)
            task.phase = Phase.RUNNING
            task.unanswered_at = None
        task.seen_running = True
        task.missed_reports = 0
        task.figure = row.figure
        task.record_checkpoint(row.checkpoint)
        if row.percent != task.percent:
            task.percent = row.percent
            task.percent_since = now
            task.percent_at_ms = worker.clock_ms or -1.0
        elif task.percent_at_ms < 0 and worker.clock_ms:
            elapsed = max(0.0, sent_at - task.percent_since)
            task.percent_at_ms = worker.clock_ms - 1000 * elapsed

    def _stop_orphan_run(self, worker: WorkerState, row: RunningTask) -> None:
        self.run_logger.record_unexpected_run(worker, row)
        self.state.stop_orphan_run(worker, row.task, row.run)

    def _find_task(self, name: TaskName) -> Task | None:
        """Return a task or None; create the steps of its occurrence if needed."""
        task = self.state.find_task(name)
        if task is not None:
            return task
        job = self.state.jobs.get(name.job)
        if job is None:
            return None
        step = self.intake.get_step(job, name.occurrence, name.step)
        if step is None or name.index >= len(step.tasks):
            return None
        return step.tasks[name.index]

    def _handle_unlisted(
        self, worker: WorkerState, missing: list[Task], sent_at: float, now: float
    ) -> None:
        """Let runs whose ends are yet to be listed count neither as serving nor stuck.

        All present runs are listed, so the others have ended.
        """
        for task in missing:
            if task.phase is Phase.RUNNING and task.started_at <= sent_at:
                task.percent = 0.0
                task.percent_since = now
                task.percent_at_ms = worker.clock_ms or -1.0

    def _handle_missing(
        self, worker: WorkerState, missing: list[Task], sent_at: float, now: float
    ) -> None:
        for task in missing:
            if task.awaits_report:
                self._handle_unanswered(task, sent_at, now)
            elif task.phase in (Phase.UNCERTAIN, Phase.STOPPING):
                at = task.stop_acknowledged_at
                if at is not None and at <= sent_at:
                    self.state.end_run(task, now)
            elif task.phase is Phase.RUNNING and task.started_at <= sent_at:
                task.missed_reports += 1
                if task.missed_reports >= MAX_MISSED_REPORTS:
                    _LOGGER.warning("run_lost", worker=worker.id, run=task.run)
                    self.state.end_run(task, now)

    def _handle_unanswered(self, task: Task, sent_at: float, now: float) -> None:
        """Repeat a start whose run a worker does not list, or give up the run."""
        if task.unanswered_at is None or task.worker is None:
            return
        is_repeated = task.unanswered_at > task.unanswered_since
        pause = START_REPEAT_INTERVAL_SECONDS if is_repeated else 0.0
        if sent_at < task.unanswered_at + pause:
            return
        until = task.unanswered_since + START_REPEAT_SECONDS
        held = self.state.held_starts.get(task.name, task.worker.id)
        if held is not None:
            until = min(until, held.elsewhere_at)
        if now < until:
            self.state.unlisted_starts.append(task)
        else:
            self.state.reject_start(task)
