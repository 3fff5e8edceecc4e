"""Model a caller's request and what became of its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ...state.models.templates import Parameters, Urgency


class Ran(StrEnum):
    """Say whether a request took effect on a worker."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class AttemptOutcome(StrEnum):
    """Say how one attempt ended; only the first two are sure not to have run."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"

    @property
    def definitely_not_run(self) -> bool:
        """Tell whether a non-idempotent request may be tried again after this."""
        return self in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what decisions need to know of a request; its body is not among it.

    ``arrived`` and ``deadline`` are monotonic seconds of this process's timer service.
    ``hops`` counts the entries that already forwarded it.
    """

    request_id: str
    organisation: str
    service: str
    pool: str
    parameters: Parameters
    urgency: Urgency
    idempotent: bool
    arrived: float
    deadline: float
    idempotency_key: str = ""
    request_digest: str = ""
    hops: int = 0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one attempt of a request; ``status`` is the HTTP status if answered."""

    attempt_id: str
    instance_id: str
    outcome: AttemptOutcome
    latency_seconds: float
    status: int = 0
    cause: str = ""


@dataclass(frozen=True, slots=True)
class RequestRefusal:
    """Hold the final answer to a request that mustardward itself answers.

    ``code`` is the last part of the problem's ``type`` URI.
    """

    code: str
    status: int
    ran: Ran
    detail: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Announce on the event bus that a request got its final answer.

    ``organisation`` is empty if none of that name is in force. ``code`` is the
    refusal's, or that of what broke the answer off, and empty for a worker's whole
    answer. ``cause`` names what spent error budget, or is empty: ``refusal``, ``wave``,
    ``failure``, ``neighbour`` or ``worker``.
    """

    request_id: str
    organisation: str
    service: str
    urgency: Urgency
    status: int
    ran: Ran
    latency_seconds: float
    attempts: int
    cause: str = ""
    code: str = ""
