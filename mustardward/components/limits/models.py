"""Model requests that wait for a place."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ...state.models.templates import Quota, Urgency
from .latency import LatencyEstimate


class TicketState(StrEnum):
    """Say where a request stands with the limits."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


class RefusalCause(StrEnum):
    """Say why a request got no place; the value is the problem's code."""

    DEADLINE = "deadline-exceeded"
    NO_WORKER = "no-worker"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    QUOTA = "quota-exceeded"
    WOULD_MISS_DEADLINE = "deadline-unreachable"


@dataclass(slots=True, eq=False)
class Ticket:
    """Hold one request's wish for a place.

    ``cost`` is the latency expected of it, in seconds.
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
    """Hold a pool's capacity in this data centre.

    ``reserve`` is the share of places kept for urgent work and light organisations,
    ``lent`` the slots that long work holds and gives back to urgent work.
    """

    slots: int
    entries: int
    reserve: float
    lent: int = 0


@dataclass(frozen=True, slots=True)
class SlotReclaimRequested:
    """Announce that urgent work waits in a pool for slots that long work holds."""

    pool: str
    slots: int


@dataclass(frozen=True, slots=True)
class AdmissionStats:
    """Hold one pool's figures for reports."""

    limit: float
    in_flight: int
    waiting: int
    by_organisation: dict[str, int] = field(default_factory=dict)
