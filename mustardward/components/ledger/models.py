"""Records of the ledger, in their stored form."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ...platform.bodies import Number
from ...platform.models import QueueAdvice, Room, SubmittedStep


class JobState(IntEnum):
    """State of a job."""

    QUEUED = 0
    RUNNING = 1
    DONE = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether the state is terminal."""
        return self >= JobState.DONE


class PolicyRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store the policy of a job's queue, in case that its route is removed.

    :param service: pool of the workers that run the job.
    :param stretch: factor of the job's critical path in its objective.
    :param target_seconds: constant part of the objective.
    :param advice: timings of the advice service, or None if tasks need no advice.
    """

    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_seconds: float
    advice: QueueAdvice | None = None


class LimitsRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store an organisation's limits, in case that it is removed.

    :param version: first configuration version with these limits.
    :param weight: its share of a full system, in jobs per second; 0 for no limit.
    :param quota: upper limit of each resource for its running tasks; 0 for no limit.
    """

    version: int
    weight: float
    quota: Room

    def differs(self, stored: LimitsRecord | None) -> bool:
        """Return whether stored limits are others, of whichever version."""
        return stored is None or (
            (self.weight, self.quota) != (stored.weight, stored.quota)
        )


class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store an accepted job.

    :param queue: host and path prefix that it was submitted to.
    :param accepted_at: wall clock of the entry node that accepted it, in seconds.
    :param organisation: submitter; empty if unknown.
    :param policy: policy of its queue when it was accepted; None in the record of an
        older build.
    :param limits: limits of its organisation then, or None if none were configured.
    """

    id: str
    queue: str
    service: str
    spec: str
    steps: list[SubmittedStep]
    times: int
    start_at_ms: float
    interval_ms: float
    accepted_at: float
    organisation: str = ""
    policy: PolicyRecord | None = None
    limits: LimitsRecord | None = None

    @property
    def is_stub(self) -> bool:
        """Return whether the record was reduced to what callers may still query."""
        return not self.steps

    def as_stub(self) -> JobRecord:
        """Return the reduced record that is kept of a finished job."""
        return JobRecord(
            self.id,
            self.queue if self.organisation else "",
            "",
            "",
            [],
            0,
            0.0,
            0.0,
            self.accepted_at,
            self.organisation,
        )


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """Store which tasks of a step are done.

    :param done: task indices as a bit set.
    """

    occurrence: int
    step: int
    done: bytes


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Store the state of one task that is not done.

    :param failed_runs: numbers of the runs that failed. Run results are reported again
        to a new owner, and late by a worker that was partitioned, so that a plain
        counter would count some twice and miss others.
    :param crashes: incarnations of the workers that crashed while running the task.
    """

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    crashes: tuple[str, ...] = ()


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Store the progress of a job.

    :param steps: the steps with completed tasks, of occurrences that are not complete.
    :param ended_at: wall clock in seconds, or 0 while the job is not finished.
    :param zones: data centres in which a task of it may have started; empty if that may
        be any.
    :param occurrences: the complete occurrences, as pairs of the first one and the one
        after the last. Older builds store them in ``steps``.
    :param policy: the newest policy of its queue, or None if that is the one in the
        job's record.
    :param limits: the newest limits of its organisation, likewise.
    """

    state: JobState
    steps: list[StepProgress] = []
    tasks: list[TaskProgress] = []
    ended_at: float = 0.0
    zones: list[str] = []
    occurrences: list[int] = []
    policy: PolicyRecord | None = None
    limits: LimitsRecord | None = None


class UnansweredStart(msgspec.Struct, frozen=True, array_like=True):
    """Store a start that got no response.

    :param task: the task's name in the workers' format.
    :param worker: id of the worker that it was sent to.
    :param seconds: for how long a run that it began may last.
    :param held_seconds: for how long the task may start on this worker only; None until
        the worker has reported or has ended.
    :param is_after_end: whether that time counts from the end of the worker.
    """

    task: str
    run: Number
    worker: str
    seconds: float
    held_seconds: float | None = None
    is_after_end: bool = False


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store the owner of the shard and its last renewal.

    :param epoch: increases with each owner; the fencing token of all its orders.
    :param claim: identifies the claim that won, since one node may claim twice.
    :param node: empty once the owner has released the shard.
    :param renewal: number of the renewal within the epoch.
    :param renewed_at: the owner's wall clock at the renewal, in seconds. A successor
        that has started since computes the age of the renewal from it; a clock jump
        makes that wrong.
    :param ordered: instances that the owner ordered to move or be maintained within
        the last lease; a successor does not touch them for the length of a lease.
    :param settled: whether the owner has confirmed the state of every run that a
        previous owner may have left; until then, a previous owner may still renew
        leases.
    :param lease_seconds: for how long leases may last that were renewed before a
        release.
    :param unanswered: the starts that may have begun a run unknown to the owner, at a
        release; None if they are not known.
    """

    epoch: Number
    claim: str
    node: str
    renewal: Number = msgspec.field(name="beat")
    renewed_at: float = msgspec.field(default=0.0, name="wall")
    ordered: list[str] = []
    settled: bool = False
    lease_seconds: float = 0.0
    unanswered: list[UnansweredStart] | None = None


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store the progress of a maintenance wave.

    :param machines: machines whose maintenance has begun.
    :param done: whether the wave is complete.
    :param seen_at: wall clock at which an owner first saw it, in seconds, or 0.
    """

    machines: list[str]
    done: bool
    seen_at: float = 0.0


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store how peers reach an entry node.

    :param address: host and port of its peer listener.
    :param zone: its data centre.
    :param speed: its processing capacity, in cores.
    """

    address: str
    zone: str
    speed: float = 1.0


class RunTimesRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store what an owner learned of the run times of a queue's jobs.

    :param figures: as exported by the estimates; a newer build may append some.
    :param organisations: mean error of each organisation's declared times, relative to
        the queue's, as a logarithm.
    """

    figures: tuple[float, ...]
    organisations: dict[str, float] = {}


class ReportedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store that a caller was told that a job is done, as older builds do.

    :param at: wall clock in seconds.
    """

    at: float


class CancelRecord(msgspec.Struct, frozen=True, array_like=True):
    """Store that a caller cancelled a job.

    :param at: wall clock in seconds.
    """

    at: float
