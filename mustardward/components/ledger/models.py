"""Hold the records of the ledger, as they are stored."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ...platform.models import SubmittedStep


class JobState(IntEnum):
    """Say where a job stands."""

    QUEUED = 0
    RUNNING = 1
    DONE = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether nothing of the job runs any more."""
        return self >= JobState.DONE


class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold an accepted job.

    :param queue: host and prefix that it was sent to.
    :param accepted_at: wall clock of the entry that accepted it, in seconds.
    :param organisation: that handed it in; empty where none is known.
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

    @property
    def is_stub(self) -> bool:
        """Return whether only what callers may still ask of the job is left."""
        return not self.steps

    def as_stub(self) -> JobRecord:
        """Return what is kept of a job that is over."""
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
    """Hold which tasks of a step are done, as a set of bits."""

    occurrence: int
    step: int
    done: bytes


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Hold what is stored of one task that is not done.

    :param failed_runs: the numbers of the runs that ended failed. Ends are listed
        again to a new owner, and late by a worker that was cut off, so a count alone
        would count some twice and miss others.
    :param crashes: the incarnations of workers that crashed under the task.
    """

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    crashes: tuple[str, ...] = ()


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Hold how far a job is; ``ended_at`` is wall clock, in seconds, or 0.

    :param zones: the data centres in which something of it may have started; empty if
        that may be any.
    """

    state: JobState
    steps: list[StepProgress] = []
    tasks: list[TaskProgress] = []
    ended_at: float = 0.0
    zones: list[str] = []


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold who owns the shard.

    :param epoch: rises with each owner; it is the fencing token of all its orders.
    :param claim: names the one claim that won, since a node may claim twice.
    :param node: empty once the owner has given the shard up.
    :param renewal: number of the renewal within the epoch.
    :param renewed_at: the owner's wall clock at the renewal, in seconds; tells a successor
        how long ago it was, where a jump of the clock may mislead it.
    :param settled: whether the owner had heard of all that an owner before it may have
        left running; without it, an owner before it may still renew leases.
    :param ordered: instances that the owner ordered to move or be maintained within
        the last lease; a successor leaves them alone for a lease.
    """

    epoch: int
    claim: str
    node: str
    renewal: int = msgspec.field(name="beat")
    renewed_at: float = msgspec.field(default=0.0, name="wall")
    ordered: list[str] = []
    settled: bool = False


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold the machines of a wave whose maintenance has begun, and if it is done.

    :param seen_at: when an owner first saw it, wall clock in seconds, or 0.
    """

    machines: list[str]
    done: bool
    seen_at: float = 0.0


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold where an entry answers its peers, its data centre and its speed in cores."""

    address: str
    zone: str
    speed: float = 1.0


class ReportedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold that a caller was told that a job is done, at this wall clock in seconds."""

    at: float


class CancelRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold that a caller cancelled a job, at this wall clock in seconds."""

    at: float
