"""Define the models of a caller's request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ...state.models.templates import Parameters, Urgency


class Ran(StrEnum):
    """Whether a request took effect on a worker."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class AttemptOutcome(StrEnum):
    """How an attempt ended; only the first two are known not to have run."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"

    @property
    def definitely_not_run(self) -> bool:
        """Return whether a non-idempotent request may be retried after this."""
        return self in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """The attributes of a request that routing and retries decide by, without its body.

    ``arrived`` and ``deadline`` are monotonic seconds of this process's timer service.
    ``hops`` is the number of entries that forwarded the request.
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
    """One attempt of a request; ``status`` is the HTTP status if answered, else 0."""

    attempt_id: str
    instance_id: str
    outcome: AttemptOutcome
    latency_seconds: float
    status: int = 0
    cause: str = ""


@dataclass(frozen=True, slots=True)
class RequestRefusal:
    """A final response that mustardward itself gives instead of a worker.

    ``code`` is the last part of the problem's ``type`` URI.
    """

    code: str
    status: int
    ran: Ran
    detail: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Event that a request got its final response.

    ``organisation`` is empty if no organisation of that name exists. ``code`` is that
    of the refusal or of the error that interrupted the response; empty for a complete
    response of a worker. ``cause`` is what spent error budget: ``refusal``, ``wave``,
    ``failure``, ``neighbour``, ``worker``, or empty if nothing was spent.
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
