"""Model long work as the scheduler sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...state.models.jobs import EndAttempt, Job
from ...state.models.pools import Instance


@dataclass(frozen=True, slots=True)
class Need:
    """Hold what a job needs of one worker."""

    cores: int
    memory_gigabytes: int
    accelerators: int


def need_of(job: Job) -> Need:
    """Return what a job needs."""
    return Need(job.cores, job.memory_gigabytes, job.accelerators)


@dataclass(slots=True)
class WorkerCapacity:
    """Hold what is left on one worker for long work.

    ``due`` tells that a running wave will take the worker soon.
    """

    instance: Instance
    slots: int
    cores: int
    memory_gigabytes: int
    accelerators: int
    due: bool = False

    def fits(self, need: Need) -> bool:
        """Tell whether one more task with this need has room."""
        return (
            self.slots >= 1
            and self.cores >= need.cores
            and self.memory_gigabytes >= need.memory_gigabytes
            and self.accelerators >= need.accelerators
        )

    def reserve(self, need: Need) -> None:
        """Count a task in; a need larger than what is left leaves it negative."""
        self.slots -= 1
        self.cores -= need.cores
        self.memory_gigabytes -= need.memory_gigabytes
        self.accelerators -= need.accelerators


def could_ever_fit(instance: Instance, need: Need) -> bool:
    """Tell whether an empty worker would be large enough."""
    return total_capacity(instance).fits(need)


def total_capacity(instance: Instance) -> WorkerCapacity:
    """Return the whole of a worker."""
    return WorkerCapacity(
        instance,
        instance.slots,
        instance.cores,
        instance.memory_gigabytes,
        instance.accelerators,
    )


@dataclass(slots=True, eq=False)
class LeasedAttempt:
    """Hold one attempt whose lease this process has; times are monotonic seconds.

    ``lapses_by`` is when the worker's lease has surely ended unless renewed.
    ``started`` is false until a start was sent; ``unsure`` says that its answer was
    lost or that the attempt was taken over, so that only a report can tell.
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
    """Hold a job as submitted; an empty id draws a new one."""

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
    """Hold what a job's owner and the operators may know of it."""

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
