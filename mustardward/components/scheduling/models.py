"""Define the scheduler's jobs, steps and tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from ...platform.models import QueueAdvice, Room, SubmittedStep
from ...platform.workers import TaskName
from ..ledger.bitset import add_index, has_index, missing_ranges
from ..ledger.index_ranges import IndexRanges
from ..ledger.models import JobRecord, JobState, LimitsRecord, PolicyRecord
from ..run_times.models import JobRunTimes
from .step_tasks import StepTasks, WaitingTasks

if TYPE_CHECKING:
    from .worker_state import WorkerState


class Phase(Enum):
    """Represent the phase of a task."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"
    DONE = "done"


ACTIVE: frozenset[Phase] = frozenset(
    (Phase.STARTING, Phase.RUNNING, Phase.UNCERTAIN, Phase.STOPPING)
)


UNKNOWN_PACE: Final = -1
"""Pace of a run that may be throttled; the next plan sets it, as it equals none."""


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Hold the operator's configuration of a queue.

    :param service: the pool whose workers run the queue's tasks.
    :param stretch: the factor of a job's critical path in its objective.
    :param target_seconds: the constant part of the objective.
    :param advice: timings of the advice service if tasks run only on workers that it
        allows.
    """

    service: str
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 2.0
    target_seconds: float = 0.0
    advice: QueueAdvice | None = None

    def to_record(self) -> PolicyRecord:
        """Return the policy in its stored form."""
        return PolicyRecord(
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_seconds,
            self.advice,
        )

    @classmethod
    def from_record(cls, record: PolicyRecord) -> QueuePolicy:
        """Return a stored policy."""
        return cls(
            record.service,
            record.priority,
            record.max_attempts,
            record.stretch,
            record.target_seconds,
            record.advice,
        )


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission of the advice service to run a step's tasks on a worker.

    :param valid_until: until when it may be planned with, in monotonic seconds.
    """

    value: str
    valid_until: float


@dataclass(slots=True, eq=False)
class Task:
    """Hold one task of a step. All times are monotonic seconds unless noted.

    :param failed_runs: numbers of its failed runs; of a long-running task, whose
        attempts are not limited, only the highest one.
    :param ready_since: when the task last became ready to start.
    :param stop_acknowledged_at: when the worker last acknowledged a stop, or None.
    :param percent_at_ms: the worker's clock when it first listed the run at its present
        percentage, or -1 if that is unknown.
    :param seen_running: whether a report of the worker listed the run. Otherwise the
        start command may be in flight, or another incarnation may have accepted it.
    :param sent: whether the start command was sent to the worker.
    :param unanswered_since: when the first start of the run went unanswered.
    :param unanswered_at: when the last one did, or None once the run is to be stopped.
    :param start_answered: whether the worker confirmed the start.
    :param crashes: the incarnations of workers that crashed under the task.
    :param loss: number of the last loss of one of its runs, counted in its job.
    :param evaluation_due_at: when it will be known which other workers crashed together
        with the last of these, or 0 if no evaluation is due.
    :param adopted: whether a previous owner started the run, and may have stopped it.
    :param observe_at: when to compare the run with its estimate.
    :param paced: whether the run was throttled at any time.
    :param runs_since_crash: number of runs since the last crash that ended without one.
    """

    step: StepRun
    index: int
    phase: Phase = Phase.WAITING
    run: int = 0
    worker: WorkerState | None = None
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    started_at: float = 0.0
    percent: float = 0.0
    percent_since: float = 0.0
    figure: float = 0.0
    pace: int = 100
    missed_reports: int = 0
    stop_acknowledged_at: float | None = None
    avoided_workers: set[str] = field(default_factory=set)
    ready_since: float = 0.0
    seen_running: bool = False
    percent_at_ms: float = -1.0
    sent: bool = False
    unanswered_since: float = 0.0
    unanswered_at: float | None = None
    start_answered: bool = False
    crashes: tuple[str, ...] = ()
    evaluation_due_at: float = 0.0
    runs_since_crash: int = 0
    adopted: bool = False
    paced: bool = False
    observe_at: float = 0.0
    loss: int = 0

    @property
    def name(self) -> TaskName:
        """Return the task's name."""
        step = self.step
        return TaskName(step.job.record.id, step.occurrence, step.number, self.index)

    @property
    def is_start_unanswered(self) -> bool:
        """Return whether the run may have begun without the worker's confirmation."""
        return self.sent and not (self.seen_running or self.start_answered)

    @property
    def awaits_report(self) -> bool:
        """Return whether a report is to show if an unanswered start was executed."""
        return self.phase is Phase.UNCERTAIN and self.unanswered_at is not None

    def record_checkpoint(self, checkpoint: str) -> None:
        """Record a checkpoint that a worker reported; an empty one means none."""
        if not checkpoint:
            return
        self.step.stateful[self.index] = self
        if self.step.spec.gang:
            self.step.checkpoint = checkpoint
        else:
            self.checkpoint = checkpoint

    def record_failed_run(self, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before.

        A worker reports the end of a run until it is acknowledged.
        """
        self.step.stateful[self.index] = self
        if not self.step.spec.long_running:
            is_new = run not in self.failed_runs
            self.failed_runs += (run,) if is_new else ()
            return is_new
        if self.failed_runs and run <= self.failed_runs[-1]:
            return False
        self.failed_runs = (run,)
        return True

    @property
    def is_serving(self) -> bool:
        """Return whether a long-running task is known to serve.

        The last report of an unresponsive worker does not count.
        """
        if self.worker is None or self.worker.stale:
            return False
        return self.phase is Phase.RUNNING and self.percent >= 100

    @property
    def seconds_without_progress(self) -> float:
        """Return for how long the worker has reported no progress of the run.

        Measured on the worker's own clock between its reports. On the owner's clock,
        time in which the owner was blocked and read no reports would count, and the
        owner would stop runs whose workers reported progress meanwhile.
        """
        if self.worker is None:
            return 0.0
        if self.percent_at_ms >= 0:
            return (self.worker.clock_ms - self.percent_at_ms) / 1000
        return self.worker.reported_at - self.percent_since


def reserved_room(spec: SubmittedStep) -> Room:
    """Return the resources that one task reserves on a worker.

    A filling step uses what others leave idle, so its processors are not counted.
    """
    return Room(0 if spec.fills else spec.cpu, spec.mem_mb, spec.gpu)


@dataclass(slots=True, eq=False)
class StepRun:
    """Hold one step of one occurrence of a job.

    :param open: whether its occurrence is open and all steps on which it depends are
        complete.
    :param blockers: number of incomplete steps on which it depends.
    :param opened_at: when it opened, in monotonic seconds.
    :param waiting: the queue of its tasks that wait for a worker.
    :param done_bits: the indices of its completed tasks as a bit set.
    :param stateful: the tasks that are not done and may have failed runs, a checkpoint
        or crashes, by index.
    :param on_worker: number of its active tasks by worker id.
    :param tickets: valid tickets by worker id.
    :param allowed_workers: ids of all workers that advice ever allowed.
    :param denied_at: when advice last did not allow a worker, by worker id.
    :param checkpoint: the newest checkpoint of any member of a gang, which is valid for
        all of them. Each run of the gang starts all members from one value.
    :param advice_requested_at: when advice was last requested, or None.
    :param advice_failures: number of failed requests for advice since the last answer.
    :param advice_retry_at: when advice may be requested after a failed request.
    :param requested: the resources one task requests, as counted for the quota.
    :param room: the resources one task reserves on a worker. Cached, since each plan
        reads it for every task that runs.
    """

    job: Job
    occurrence: int
    number: int
    spec: SubmittedStep
    tasks: StepTasks = field(init=False)
    waiting: WaitingTasks = field(init=False)
    opened_at: float = 0.0
    done: int = 0
    done_bits: bytearray = field(default_factory=bytearray)
    stateful: dict[int, Task] = field(default_factory=dict)
    active: int = 0
    open: bool = False
    blockers: int = 0
    on_worker: Counter[str] = field(default_factory=Counter)
    checkpoint: str = ""
    tickets: dict[str, Ticket] = field(default_factory=dict)
    allowed_workers: set[str] = field(default_factory=set)
    denied_at: dict[str, float] = field(default_factory=dict)
    advice_requested_at: float | None = None
    advice_failures: int = 0
    advice_retry_at: float = 0.0
    requested: Room = field(init=False)
    room: Room = field(init=False)

    def __post_init__(self) -> None:
        """Compute the resources of one task, and queue all tasks."""
        self.requested = self.spec.requested_resources
        self.room = reserved_room(self.spec)
        self.tasks = StepTasks(self)
        self.waiting = WaitingTasks(self.tasks)

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return self.done >= len(self.tasks)

    def record_done(self, task: Task) -> None:
        """Record that a task, which neither waits nor runs any more, is done."""
        task.phase = Phase.DONE
        self.done += 1
        add_index(self.done_bits, task.index)
        self.stateful.pop(task.index, None)
        self.tasks.forget(task.index)

    def record_all_done(self) -> None:
        """Record that all tasks are done, of which none that was created is left."""
        count = self.done = len(self.tasks)
        self.done_bits = bytearray(
            ((1 << count) - 1).to_bytes((count + 7) // 8, "little")
        )

    def restore_done(self, indices: Iterable[int]) -> None:
        """Restore which tasks are done, of a step none of whose tasks has started."""
        for index in indices:
            if index >= len(self.tasks):
                break
            if not has_index(self.done_bits, index):
                self.record_done(self.tasks[index])
        self.waiting.set_new(missing_ranges(self.done_bits, len(self.tasks)))

    def count_phases(self) -> Counter[Phase]:
        """Return the number of tasks in each phase."""
        known = self.tasks.known()
        phases = Counter(task.phase for task in known)
        phases[Phase.DONE] += self.done
        phases[Phase.WAITING] += len(self.tasks) - self.done - len(known)
        return +phases

    def make_task(self, index: int) -> Task:
        """Return a new task, which waits or is done."""
        phase = Phase.DONE if self.is_done(index) else Phase.WAITING
        return Task(self, index, phase, ready_since=self.opened_at)

    def is_done(self, index: int) -> bool:
        """Return whether the task of an index is done."""
        return has_index(self.done_bits, index)


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Represent a failure domain: a rack in a data centre."""

    zone: str
    rack: str


@dataclass(slots=True, eq=False)
class Job:
    """Hold one unfinished job.

    :param begun_at: when its newest open occurrence was due, in monotonic seconds.
    :param objective_at: when it has to complete for full credit, in monotonic seconds.
    :param late_at: until when a late completion is still useful, in monotonic seconds.
    :param steps: the steps of its occurrences that have begun or are open, by
        occurrence and number. Those of a complete occurrence are dropped, so that the
        work for a job does not grow with the number of its occurrences.
    :param dependents: the numbers of the steps that depend on each step.
    :param incomplete_steps: number of incomplete steps of each occurrence in ``steps``.
    :param unopened: the occurrences in ``steps`` that are not open yet.
    :param done_occurrences: the complete occurrences.
    :param next_occurrence: all occurrences before this one are open or complete.
    :param begun_occurrences: the occurrences before this one are due whatever the clock
        says, since a later one has begun.
    :param backlog: number of due occurrences that are not in ``steps``.
    :param stored: whether the log contains its admission by an owner. Nothing of it
        starts before, so that the next owner knows which jobs can't have started.
    :param from_previous_owner: whether a previous owner had admitted it, and may have
        started it.
    :param home_rack: the rack preferred for its short tasks. A job completes only with
        all its tasks, so losing a rack should affect all tasks of few jobs rather than
        some tasks of most jobs.
    :param zones: the data centres in which it is to start, or None for any.
    :param stored_zones: the data centres that the log is known to contain; tasks start
        nowhere else.
    :param pending_zones: the data centres in the record that is being appended to the
        log.
    :param exceeds_rate: whether it exceeded its organisation's rate when it arrived.
    :param beyond_share: whether it is beyond its organisation's share of the pool.
    :param was_beyond_share: whether it was so in any plan.
    :param suspicion: the largest number of worker crashes under one of its tasks.
    :param crashes_counted: number of crashes that this owner recorded for its tasks.
    :param crashes_in_record: how many of these its newest log record contains.
    :param losses: number of times that runs of it were lost with their worker.
    :param losses_in_record: how many of these preceded its newest log record.
    :param losses_stored: how many of these preceded its newest stored record. Tasks of
        later losses wait: another owner may have acknowledged that they are done, and
        the log accepts a record only if none had taken over by then.
    :param run_times: what its own runs show about its run times.
    :param limits: the newest limits of its organisation, or None if it has none.
    """

    record: JobRecord
    policy: QueuePolicy
    accepted_at: float
    begun_at: float = 0.0
    objective_at: float = 0.0
    late_at: float = 0.0
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    dependents: list[list[int]] = field(init=False)
    incomplete_steps: dict[int, int] = field(default_factory=dict)
    unopened: set[int] = field(default_factory=set)
    done_occurrences: IndexRanges = field(default_factory=IndexRanges)
    next_occurrence: int = 0
    begun_occurrences: int = 0
    backlog: int = 0
    state: JobState = JobState.QUEUED
    stored: bool = False
    from_previous_owner: bool = False
    home_rack: FailureDomain | None = None
    zones: frozenset[str] | None = None
    stored_zones: frozenset[str] | None = None
    pending_zones: frozenset[str] | None = None
    exceeds_rate: bool = False
    beyond_share: bool = False
    was_beyond_share: bool = False
    suspicion: int = 0
    crashes_counted: int = 0
    crashes_in_record: int = 0
    losses: int = 0
    losses_in_record: int = 0
    losses_stored: int = 0
    run_times: JobRunTimes = field(default_factory=JobRunTimes)
    limits: LimitsRecord | None = None

    def __post_init__(self) -> None:
        """Compute the dependents of each step."""
        self.dependents = [[] for _ in self.record.steps]
        for number, spec in enumerate(self.record.steps):
            for earlier in set(spec.after):
                self.dependents[earlier].append(number)

    def has_other_limits(self, stored: LimitsRecord | None) -> bool:
        """Return whether limits are known that differ from stored ones."""
        return self.limits is not None and self.limits.differs(stored)

    @property
    def organisation(self) -> str:
        """Return the organisation that submitted the job, or an empty string."""
        return self.record.organisation

    @property
    def occurrences(self) -> int:
        """Return how many times the steps of the job run."""
        return max(1, self.record.times)
