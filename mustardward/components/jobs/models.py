"""Data models of the job component."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...state.models.jobs import EndAttempt, Job
from ...state.models.pools import Instance


@dataclass(frozen=True, slots=True)
class Need:
    """Resources that a job requires on one worker."""

    cores: int
    memory_gigabytes: int
    accelerators: int


def need_of(job: Job) -> Need:
    """Return the resources that a job requires."""
    return Need(job.cores, job.memory_gigabytes, job.accelerators)


@dataclass(slots=True)
class WorkerCapacity:
    """Remaining capacity of one worker for jobs.

    ``due`` is set if a running maintenance wave will claim the worker soon.
    """

    instance: Instance
    slots: int
    cores: int
    memory_gigabytes: int
    accelerators: int
    due: bool = False

    def fits(self, need: Need) -> bool:
        """Return whether one more task with this need fits."""
        return (
            self.slots >= 1
            and self.cores >= need.cores
            and self.memory_gigabytes >= need.memory_gigabytes
            and self.accelerators >= need.accelerators
        )

    def reserve(self, need: Need) -> None:
        """Subtract a task's need; the remaining capacity may become negative."""
        self.slots -= 1
        self.cores -= need.cores
        self.memory_gigabytes -= need.memory_gigabytes
        self.accelerators -= need.accelerators


def could_ever_fit(instance: Instance, need: Need) -> bool:
    """Return whether an empty worker would be large enough."""
    return total_capacity(instance).fits(need)


def total_capacity(instance: Instance) -> WorkerCapacity:
    """Return a worker's capacity when empty."""
    return WorkerCapacity(
        instance,
        instance.slots,
        instance.cores,
        instance.memory_gigabytes,
        instance.accelerators,
    )


@dataclass(slots=True, eq=False)
class LeasedAttempt:
    """State of one attempt whose lease this process holds; times are monotonic seconds.

    ``lease_expires_by`` is when the worker's lease has certainly expired if it isn't
    renewed. ``start_sent`` is false until a start was sent. ``uncertain`` is set if the
    reply to the start was lost or the attempt was taken over, so that only a report can
    show whether the task runs.
    """

    job_id: str
    generation: int
    task_generation: int
    instance_id: str
    address: str
    pool_generation: int
    began_at: float
    lease_expires_by: float
    start_sent: bool = False
    uncertain: bool = False
    renewed_at: float = 0.0
    contacted_at: float = 0.0
    from_checkpoint: bool = False
    progress: float = 0.0
    progressed_at: float = 0.0
    checkpoint_requested: bool = False
    throttled: bool = False
    busy: bool = False
    pending_end: EndAttempt | None = None


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted; an id is generated if it is empty."""

    organisation: str
    service: str
    payload: bytes = b""
    job_id: str = ""
    group: str = ""
    idempotent: bool = True
    cores: int = 1
    memory_gigabytes: int = 1
    accelerators: int = 0
    declared_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class JobView:
    """The view of a job for its owner and for operators."""

    job_id: str
    organisation: str
    service: str
    pool: str
    group: str
    status: str
    attempts: int
    worker: str
    checkpoint: str
    reason: str
    failed_workers: tuple[str, ...] = field(default=())
    result: bytes = b""
