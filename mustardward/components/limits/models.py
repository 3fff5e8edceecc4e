"""Define the data classes of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ...state.models.templates import Quota, Urgency
from .latency import LatencyEstimate


class TicketState(StrEnum):
    """State of a request in admission control."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


class RefusalCause(StrEnum):
    """Reason for a refusal; the value is the code of the problem response."""

    DEADLINE = "deadline-exceeded"
    NO_WORKER = "no-worker"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    QUOTA = "quota-exceeded"
    WOULD_MISS_DEADLINE = "deadline-unreachable"


@dataclass(slots=True, eq=False)
class Ticket:
    """Track one request through admission.

    ``cost`` is its expected latency in seconds when it was queued. ``is_long`` stays
    true for a long request that was promoted to normal urgency.
    """

    organisation: str
    urgency: Urgency
    quota: Quota
    arrived: float
    deadline: float
    estimate: LatencyEstimate
    cost: float = 0.0
    state: TicketState = TicketState.WAITING
    cause: RefusalCause | None = None
    started: float = 0.0
    is_long: bool = False


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Capacity of a pool in this data centre.

    ``reserve`` is the share of permits reserved for urgent requests and organisations
    below their fair share, ``job_slots`` the slots held by jobs, which can be reclaimed
    for urgent requests.
    """

    slots: int
    entries: int
    reserve: float
    job_slots: int = 0


@dataclass(frozen=True, slots=True)
class SlotReclaimRequested:
    """Event: urgent requests wait in a pool whose slots are held by jobs."""

    pool: str
    slots: int


@dataclass(frozen=True, slots=True)
class AdmissionStats:
    """Current statistics of one pool's admission."""

    limit: float
    in_flight: int
    waiting: int
    in_flight_by_organisation: dict[str, int] = field(default_factory=dict)
