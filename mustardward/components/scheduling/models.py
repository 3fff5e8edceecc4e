"""Hold what the scheduler knows, and the commands that it gives."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ...platform.models import Room, SubmittedStep
from ...platform.workers import TaskName
from ..ledger.models import JobRecord, JobState

if TYPE_CHECKING:
    from .worker_state import WorkerState


class Phase(Enum):
    """Say where a task stands."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"
    DONE = "done"


ACTIVE: frozenset[Phase] = frozenset(
    (Phase.STARTING, Phase.RUNNING, Phase.UNCERTAIN, Phase.STOPPING)
)


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Hold what the operator's configuration says of a queue.

    :param service: the pool whose workers run the queue's tasks.
    :param stretch: the objective as a multiple of the longest chain of work.
    :param target_seconds: what the objective adds to it.
    """

    service: str
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 2.0
    target_seconds: float = 0.0
    advice: bool = False


@dataclass(slots=True, eq=False)
class Task:
    """Hold one task of a step.

    :param ready_since: when its turn came, or it became ready again; steady seconds.
    :param stop_acknowledged_at: when the worker last acknowledged a stop, or None.
    :param percent_at_ms: the worker's clock as it first listed the run at its percent,
        or -1 while it has not.
    :param seen_running: whether the worker said that the run began. An order of which
        that is not known may still be on its way.
    :param sent: whether the order to start was given to the worker.
    :param crashes: the incarnations of workers that crashed under the task.
    :param evaluation_due_at: when it is known what crashed together with the last of
        them, or 0 if that was looked at.
    :param runs_since_crash: how many runs ended by themselves since, under no crash.
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
    missed_holds: int = 0
    stop_acknowledged_at: float | None = None
    avoided_workers: set[str] = field(default_factory=set)
    ready_since: float = 0.0
    seen_running: bool = False
    percent_at_ms: float = -1.0
    sent: bool = False
    crashes: tuple[str, ...] = ()
    evaluation_due_at: float = 0.0
    runs_since_crash: int = 0

    @property
    def name(self) -> TaskName:
        """Return the task's name."""
        step = self.step
        return TaskName(step.job.record.id, step.occurrence, step.number, self.index)

    @property
    def is_serving(self) -> bool:
        """Return whether a lasting task serves, as far as is known.

        What a worker reported last says nothing once it has fallen silent.
        """
        if self.worker is None or self.worker.stale:
            return False
        return self.phase is Phase.RUNNING and self.percent >= 100

    @property
    def seconds_without_progress(self) -> float:
        """Return for how long the worker has told of no progress of the run.

        It counts what the worker reported, on the worker's own clock. Up to now it
        would count time in which this owner, held up, read no report: it then stopped
        runs of workers that had long told of their progress.
        """
        if self.worker is None:
            return 0.0
        if self.percent_at_ms >= 0:
            return (self.worker.clock_ms - self.percent_at_ms) / 1000
        return self.worker.reported_at - self.percent_since


@dataclass(slots=True, eq=False)
class StepRun:
    """Hold one step of one occurrence of a job.

    :param open: whether all tasks of the steps before it are done.
    :param advice_requested_for: the workers of which advice was asked last.
    :param requested: what one task asks for, by which its organisation's quota counts.
    :param room: what one task takes of a worker. A step that fills takes what others
        leave unused, so its processor share is not counted. Held, since each plan asks
        it of every task that runs.
    """

    job: Job
    occurrence: int
    number: int
    spec: SubmittedStep
    tasks: list[Task] = field(default_factory=list)
    waiting: deque[Task] = field(default_factory=deque)
    done: int = 0
    active: int = 0
    open: bool = False
    on_worker: Counter[str] = field(default_factory=Counter)
    tickets: dict[str, str] = field(default_factory=dict)
    tickets_valid_until: float = 0.0
    advice_requested_until: float = 0.0
    advice_requested_for: frozenset[str] = frozenset()
    requested: Room = field(init=False)
    room: Room = field(init=False)

    def __post_init__(self) -> None:
        """Work out what one task takes."""
        spec = self.spec
        self.requested = spec.asked
        self.room = Room(0 if spec.fills else spec.cpu, spec.mem_mb, spec.gpu)

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return self.done >= len(self.tasks)


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Name a failure domain: a data centre and a rack there."""

    zone: str
    rack: str


@dataclass(slots=True, eq=False)
class Job:
    """Hold one job that is not over.

    :param objective_at: until when it earns in full; steady seconds.
    :param stored: whether the log shows that an owner has taken it in. Nothing of it
        starts before, so that the next owner knows which jobs nobody can have started.
    :param from_previous_owner: whether an owner before had taken it in, and may have
        started it.
    :param home_rack: where its short tasks go while there is room: a job is done once
        all of
        them are, so that a loss should take all tasks of few jobs, not some of most.
    :param zones: the data centres in which it is to start, or None for any.
    :param stored_zones: those of which the log is known to have been told: it starts
        nowhere else.
    :param pending_zones: those that the record on its way to the log names.
    :param over_rate: whether it lies beyond its organisation's rate.
    :param suspicion: most workers that crashed under one of its tasks.
    :param crashes_counted: how many crashes this owner noted under its tasks.
    :param crashes_in_record: how many of them its newest record for the log has.
    """

    record: JobRecord
    policy: QueuePolicy
    accepted_at: float
    objective_at: float = 0.0
    late_at: float = 0.0
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    next_occurrence: int = 0
    state: JobState = JobState.QUEUED
    stored: bool = False
    from_previous_owner: bool = False
    home_rack: FailureDomain | None = None
    zones: frozenset[str] | None = None
    stored_zones: frozenset[str] | None = None
    pending_zones: frozenset[str] | None = None
    over_rate: bool = False
    suspicion: int = 0
    crashes_counted: int = 0
    crashes_in_record: int = 0

    @property
    def organisation(self) -> str:
        """Return whose job it is, or nothing."""
        return self.record.organisation

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.record.times)
