"""Model what the platform's services say."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one entry of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold entries read at once; ``tail`` is the offset the next append will get."""

    entries: tuple[LogEntry, ...]
    oldest: int
    tail: int


class ListedState(StrEnum):
    """Say what the platform's lagging list believes of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Hold one line of the platform's list; ``kind`` is ``worker`` or ``entry``."""

    instance_id: str
    kind: str
    data_centre: str
    rack: str
    address: str
    state: ListedState
    boot: int


class PowerState(StrEnum):
    """Say where an instance is on its way through drain and reboot."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class InstancePower:
    """Hold an instance as the platform's pool service sees it.

    ``boot`` grows with each boot; ``generation`` is the highest one a call carried;
    ``running`` counts requests and tasks still in progress there.
    """

    instance_id: str
    state: PowerState
    boot: int
    generation: int
    running: int


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Hold what a worker reported of itself, ``age_seconds`` ago."""

    instance_id: str
    slots_busy: int
    connections_open: int
    age_seconds: float


class TaskState(StrEnum):
    """Say how far a task on a worker is."""

    RUNNING = "running"
    THROTTLED = "throttled"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Ask a worker to run a task under a lease.

    ``generation`` fences: a worker refuses one lower than it has seen for the task.
    """

    task_id: str
    generation: int
    organisation: str
    service: str
    payload: bytes
    checkpoint: str
    lease_seconds: float
    pool_generation: int


@dataclass(frozen=True, slots=True)
class TaskReport:
    """Hold a task as its worker reports it; ``progress`` runs from 0 to 1."""

    task_id: str
    generation: int
    state: TaskState
    progress: float
    checkpoint: str
    result: bytes = b""
    reason: str = ""
