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
    IntentGate,
    Limiter,
    OutgoingRequest,
    RetryPolicy,
    Router,
    WorkerAnswer,
    WorkerDispatcher,
)


class Forwarding(Protocol):
    """Let another entry serve a request; ``Peers`` does."""

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerAnswer, FailedAttempt]:
        """Return when the answer's head is there."""
        ...


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Hold the parts that a request passes through, in order of use."""

    limiter: Limiter
    router: Router
    retries: RetryPolicy
    dispatcher: WorkerDispatcher
    intents: IntentGate | None = None
    peers: Forwarding | None = None
    guard: PauseGuard | None = None
