"""Define data models of the platform's configuration, fleet and jobs."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from .bodies import MAX_AMOUNT

Count = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""Integer that a record can hold."""


class QueueAdvice(msgspec.Struct, frozen=True, rename="kebab"):
    """Timings of the advice for a queue's steps."""

    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class Queue(msgspec.Struct, frozen=True, rename="kebab"):
    """Queue of the operator's configuration."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 3000
    target_duration_ms: float = 0
    priority: Count = 0
    max_attempts: Count = 3
    stretch: float = 2.0
    public: bool = False
    advice: QueueAdvice | None = None


class PoolSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Pool of the operator's configuration."""

    name: str
    max_conns: int = 64
    admission_check: bool = True
    standby: bool = False


class CallerLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits on callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Room(msgspec.Struct, frozen=True, rename="kebab"):
    """Amounts of CPU (thousandths of a core), memory (MB) and accelerators."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class OrganisationSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Organisation of the operator's configuration.

    :param keys: secret API keys that authenticate its callers.
    :param weight: its share under full load, in jobs per second.
    :param quota: maximum of each resource in use by its runs; 0 for no limit.
    """

    name: str
    keys: list[str] = msgspec.field(default_factory=list, name="api-keys")
    weight: float = 1.0
    quota: Room = msgspec.field(default=Room(), name="max-count")

    def __repr__(self) -> str:
        """Return a text without the keys, since it may be logged."""
        return f"OrganisationSettings(name={self.name!r}, keys={len(self.keys)})"


class OperatorConfig(msgspec.Struct, frozen=True, rename="kebab"):
    """Version of the operator's configuration.

    :param organisations: None if the deployment has none and requires no API keys.
    """

    version: Count
    routes: list[Queue] = []
    services: list[PoolSettings] = []
    limits: CallerLimits = CallerLimits()
    organisations: list[OrganisationSettings] | None = msgspec.field(
        default=None, name="tenants"
    )


class WorkerEntry(msgspec.Struct, frozen=True, rename="kebab"):
    """Entry that a worker registers in the store.

    :param born: when its process started, in milliseconds since 1970. A worker that
        restarts under its id runs nothing and has no state of its previous process.
    """

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: Room = Room()
    labels: list[str] = []
    remaining_ms: float | None = None
    born: int = 0


class MaintenanceWave(msgspec.Struct, frozen=True, rename="kebab"):
    """Maintenance wave of the operator."""

    wave: int
    machines: list[str]
    duration_s: float
    max_count: int = 1


class Instance(msgspec.Struct, frozen=True, rename="kebab"):
    """Row of the fleet's instance list."""

    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: Room = Room()
    id: str | None = None


class SubmittedStep(msgspec.Struct, frozen=True, rename="kebab", omit_defaults=True):
    """Step of a job as submitted by a caller."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def requested_resources(self) -> Room:
        """Return the resources that one task requests."""
        return Room(self.cpu, self.mem_mb, self.gpu)


class SubmittedJob(msgspec.Struct, frozen=True, rename="kebab", omit_defaults=True):
    """Job as submitted by a caller."""

    spec: str
    steps: list[SubmittedStep]
    times: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0


WAVE_RUNNING: Final = "running"
WAVE_DONE: Final = "done"
INSTANCE_UP: Final = "up"
INSTANCE_UPKEEP: Final = "upkeep"
INSTANCE_MOVING: Final = "moving"
WORKER_DRAINING: Final = "draining"
ENDED_DONE: Final = "done"
ENDED_FAILED: Final = "failed"
