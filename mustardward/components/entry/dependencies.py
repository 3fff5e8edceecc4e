"""Define the dependencies of the request path."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..membership.models import Member
from .models import RequestFacts
from .pause import PauseGuard
from .protocols import (
    FailedAttempt,
    IdempotencyGuard,
    Limiter,
    OutgoingRequest,
    RetryPolicy,
    Router,
    WorkerDispatcher,
    WorkerResponse,
)


class RequestForwarder(Protocol):
    """Forward requests to other entries; implemented by ``Peers``."""

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Forward the request and return once the response head is received."""
        ...


@dataclass(frozen=True, slots=True)
class EntryDependencies:
    """The components that a request passes through, in order of use."""

    limiter: Limiter
    router: Router
    retries: RetryPolicy
    dispatcher: WorkerDispatcher
    intents: IdempotencyGuard | None = None
    peers: RequestForwarder | None = None
    guard: PauseGuard | None = None
