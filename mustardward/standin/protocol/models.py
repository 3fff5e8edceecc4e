"""Data models of the platform's services."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """A page of entries; ``tail`` is the offset of the next append."""

    entries: tuple[LogEntry, ...]
    oldest: int
    tail: int


class ListedState(StrEnum):
    """State of an instance in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """A row of the platform's list; ``kind`` is ``worker`` or ``entry``."""

    instance_id: str
    kind: str
    data_centre: str
    rack: str
    address: str
    state: ListedState
    boot: int


class PowerState(StrEnum):
    """State of an instance during drain and reboot."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class InstancePower:
    """Power state of an instance.

    ``boot`` increases with each boot; ``generation`` is the highest one received in
    a call; ``running`` counts requests and tasks in progress.
    """

    instance_id: str
    state: PowerState
    boot: int
    generation: int
    running: int


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Usage that a worker reported ``age_seconds`` ago."""

    instance_id: str
    slots_busy: int
    connections_open: int
    age_seconds: float


class TaskState(StrEnum):
    """State of a task on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Order to run a task under a lease.

    ``generation`` is a fencing token: a worker refuses one that is lower than the
    highest it received for the task.
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
    """Report of a worker on a task; ``progress`` is between 0 and 1."""

    task_id: str
    generation: int
    state: TaskState
    progress: float
    checkpoint: str
    result: bytes = b""
    reason: str = ""
