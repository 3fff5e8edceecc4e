"""Gather the parts that a request passes through."""

from __future__ import annotations

from dataclasses import dataclass

from .protocols import IntentGate, Limiter, RetryPolicy, Router, WorkerDispatcher


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Hold the parts that a request passes through, in order of use."""

    limiter: Limiter
    router: Router
    retries: RetryPolicy
    dispatcher: WorkerDispatcher
    intents: IntentGate | None = None
