"""Model a history: what callers, workers, operators and faults did, and when.

All times are monotonic seconds of the one machine that runs the bench. An operation
has a start and an end, since nobody knows when in between it took effect.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """Say how a caller's request ended for the caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request as its caller saw it.

    ``ran`` is what a refusal claims (``no``, ``unknown``), empty for an answer.
    ``own`` tells whether everything in the answer is the caller's own; ``whole``
    whether it came to its end. A connection that broke is ``UNKNOWN``.
    """

    operation_id: str
    entry: str
    organisation: str
    service: str
    idempotent: bool
    key: str
    start: float
    end: float
    outcome: Outcome
    status: int = 0
    ran: str = ""
    own: bool = True
    whole: bool = True
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Execution:
    """Hold one run on a worker; ``end`` is infinite if it never ended.

    ``cut`` tells that a reboot interrupted it.
    """

    operation_id: str
    attempt_id: str
    instance: str
    organisation: str
    service: str
    key: str
    pool_generation: int
    start: float
    end: float
    cut: bool = False


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """Hold a call of an operator or planner; ``status`` 0 is unknown."""

    operation_id: str
    start: float
    end: float
    status: int


@dataclass(frozen=True, slots=True)
class TaskExecution:
    """Hold one run of a long job's task on a worker."""

    job_id: str
    instance: str
    generation: int
    idempotent: bool
    start: float
    end: float
    outcome: str


class PowerChange(StrEnum):
    """Name what happened to a worker instance.

    ``FAILED`` and ``RECOVERED`` are the bench's faults; the rest is planned.
    """

    DRAINING = "draining"
    REBOOTING = "rebooting"
    RETURNED = "returned"
    UP = "up"
    FAILED = "failed"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class PowerEvent:
    """Hold one change of a worker instance."""

    at: float
    instance: str
    change: PowerChange


@dataclass(frozen=True, slots=True)
class Placement:
    """Say where an instance stands."""

    instance: str
    data_centre: str
    rack: str


@dataclass(frozen=True, slots=True)
class Owned:
    """Say that the log gave an instance to a pool, under a generation."""

    at: float
    generation: int
    instance: str
    pool: str


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Hold what an entry said of an instance's pool and its generation."""

    start: float
    end: float
    entry: str
    generation: int
    instance: str
    pool: str


@dataclass(frozen=True, slots=True)
class Floor:
    """Hold an organisation's budget in one pool, as shares of its instances."""

    organisation: str
    pool: str
    minimum_available: float
    reserve_largest_rack: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """Hold a stop of an entry process; ``planned`` if by SIGTERM, not by a fault."""

    entry: str
    at: float
    planned: bool


@dataclass(frozen=True, slots=True)
class Published:
    """Hold an operator's publication and its end.

    ``base`` is the revision it was based on. ``accepted_at`` is when the log took the
    record, infinite if it was refused; ``revision`` is the accepted one or -1.
    """

    operation_id: str
    name: str
    base: int
    start: float
    end: float
    accepted_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """Hold the revision that an entry process had in force when asked."""

    entry: str
    incarnation: int
    name: str
    revision: int
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Isolation:
    """Hold a time in which an entry was paused, or had neither platform nor peers."""

    entry: str
    start: float
    end: float


@dataclass(slots=True)
class History:
    """Hold everything recorded in one run."""

    requests: list[CallerRequest] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    tasks: list[TaskExecution] = field(default_factory=list)
    calls: list[OperatorCall] = field(default_factory=list)
    power: list[PowerEvent] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)
    owned: list[Owned] = field(default_factory=list)
    owners_seen: list[OwnerSeen] = field(default_factory=list)
    floors: list[Floor] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    revisions_seen: list[RevisionSeen] = field(default_factory=list)
    isolations: list[Isolation] = field(default_factory=list)
    pool_of_service: dict[tuple[str, str], str] = field(default_factory=dict)
    """Pool by organisation and service."""

    @property
    def operations(self) -> int:
        """Return how many operations callers and operators made."""
        seen = len(self.revisions_seen) + len(self.owners_seen)
        changed = len(self.published) + len(self.calls)
        return len(self.requests) + changed + seen

    @property
    def unknown(self) -> int:
        """Return how many requests ended without a known outcome."""
        requests = sum(item.outcome is Outcome.UNKNOWN for item in self.requests)
        return requests + sum(item.status == 0 for item in self.calls)


@dataclass(frozen=True, slots=True)
class Violation:
    """Say which invariant a history breaks, by what and when."""

    invariant: str
    subject: str
    at: float
    detail: str
