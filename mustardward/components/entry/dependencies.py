"""Gather the parts that a request passes through."""

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
    """Let another entry serve a request; ``Peers`` does."""

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Return when the answer's head is there."""
        ...


@dataclass(frozen=True, slots=True)
class EntryDependencies:
    """Hold the parts that a request passes through, in order of use."""

    limiter: Limiter
    router: Router
    retries: RetryPolicy
    dispatcher: WorkerDispatcher
    intents: IdempotencyGuard | None = None
    peers: RequestForwarder | None = None
    guard: PauseGuard | None = None
