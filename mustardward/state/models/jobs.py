"""Define long-running jobs of one data centre and intents of idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..records import record_kind


@dataclass(slots=True)
class Job:
    """Hold one accepted job.

    ``status`` is a state of ``charts/job.yaml``. ``generation`` is the fencing token of
    the attempt that holds the lease, 0 if there is none. ``task_generation`` is the one
    that identifies the task at the worker; a takeover by another holder keeps it.
    """

    job_id: str
    organisation: str
    service: str
    pool: str
    group: str
    payload: bytes
    idempotent: bool
    cores: int
    memory_gigabytes: int
    accelerators: int
    declared_seconds: float
    accepted_sequence: int
    status: str = "waiting"
    generation: int = 0
    holder: str = ""
    worker: str = ""
    attempts: int = 0
    checkpoint: str = ""
    failed_workers: tuple[str, ...] = ()
    reason: str = ""
    result: bytes = b""
    digest: str = ""
    failures: int = 0
    losses: int = 0
    task_generation: int = 0
    preemptions: int = 0


@dataclass(slots=True)
class Intent:
    """Hold the durable intent to run a request once under an idempotency key.

    ``closed`` is true once an outcome is known; ``ran`` is ``yes``, ``no`` or
    ``unknown``.
    """

    organisation: str
    key: str
    request_digest: str
    home: str
    sequence: int
    closed: bool = False
    ran: str = "unknown"
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(slots=True)
class CancelledBatch:
    """Hold the jobs of a group that were unfinished when it was cancelled."""

    group: str
    sequence: int
    jobs: dict[str, int]


class AttemptEnd(StrEnum):
    """Name how an attempt on a job ended.

    ``refused`` has definitely not run, ``preempted`` was stopped deliberately, ``lost``
    ended without a known outcome and may have run, ``unknown`` may still be running.
    """

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    PREEMPTED = "preempted"
    LOST = "lost"
    UNKNOWN = "unknown"


@record_kind("job.accept")
@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Propose a job; jobs of one ``group`` can be cancelled by one record."""

    job_id: str
    organisation: str
    service: str
    pool: str
    group: str = ""
    payload: bytes = b""
    idempotent: bool = True
    cores: int = 1
    memory_gigabytes: int = 1
    accelerators: int = 0
    declared_seconds: float = 60.0


@record_kind("job.lease")
@dataclass(frozen=True, slots=True)
class LeaseJob:
    """Propose an attempt; the sequence of the accepted record is its fencing token.

    ``previous_generation`` has to be the job's current generation.
    """

    job_id: str
    previous_generation: int
    holder: str
    worker: str


@record_kind("job.progress")
@dataclass(frozen=True, slots=True)
class ProgressJob:
    """Record a checkpoint of the attempt identified by ``generation``."""

    job_id: str
    generation: int
    checkpoint: str


@record_kind("job.end")
@dataclass(frozen=True, slots=True)
class EndAttempt:
    """End an attempt; ``outcome`` is one of :class:`AttemptEnd`.

    A failure on a suspect worker does not count against the job.
    """

    job_id: str
    generation: int
    outcome: str
    checkpoint: str = ""
    reason: str = ""
    result: bytes = b""
    worker_suspect: bool = False


@record_kind("job.cancel")
@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancel one job, or all jobs accepted so far in a group of an organisation."""

    organisation: str
    job_id: str = ""
    group: str = ""


@record_kind("job.retry")
@dataclass(frozen=True, slots=True)
class RetryJob:
    """Requeue a parked or held job on an operator's request."""

    job_id: str


@record_kind("intent.open")
@dataclass(frozen=True, slots=True)
class OpenIntent:
    """Propose to run a request under a key; the first one in the log wins."""

    organisation: str
    key: str
    request_digest: str
    home: str


@record_kind("intent.close")
@dataclass(frozen=True, slots=True)
class CloseIntent:
    """Record the outcome under a key, with the response if it is small enough.

    ``opened`` is the sequence of the intent to close.
    """

    organisation: str
    key: str
    home: str
    ran: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    opened: int = 0
