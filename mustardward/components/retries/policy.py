"""Decide whether a request may be tried again; pure."""

from __future__ import annotations

from ..entry.models import Attempt, AttemptOutcome, RequestFacts
from .const import (
    BACKOFF_BASE_SECONDS,
    BACKOFF_MAXIMUM_SECONDS,
    BUSY_BASE_SECONDS,
    BUSY_COST,
    BUSY_MAXIMUM_SECONDS,
    LEAST_ATTEMPT_SECONDS,
    MAXIMUM_ATTEMPTS,
    MAXIMUM_BUSY,
    RETRIED_STATUSES,
    RETRY_COST,
)


def forbidden_cause(
    facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
) -> str:
    """Return why no further attempt may be made, or nothing.

    Neither budget nor delay is considered here.
    """
    last = attempts[-1]
    if last.outcome is AttemptOutcome.ANSWERED and last.status not in RETRIED_STATUSES:
        return "answered"
    if not facts.idempotent and not _surely_not_run(attempts):
        return "may-have-run"
    busy = _busy_refusals(attempts)
    if busy >= MAXIMUM_BUSY or len(attempts) - busy >= MAXIMUM_ATTEMPTS:
        return "attempts-used"
    if now + LEAST_ATTEMPT_SECONDS >= facts.deadline:
        return "deadline"
    return ""


def backoff_ceiling(attempts: tuple[Attempt, ...]) -> float:
    """Return the longest pause before the next attempt, in seconds.

    The pause is drawn from all of it (full jitter): callers that failed together then
    do not come back together.
    """
    busy = _busy_refusals(attempts)
    if attempts[-1].outcome is AttemptOutcome.REFUSED:
        return min(BUSY_MAXIMUM_SECONDS, BUSY_BASE_SECONDS * 2.0 ** (busy - 1))
    failed = len(attempts) - busy
    return min(BACKOFF_MAXIMUM_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** (failed - 1))


def retry_cost(last: Attempt) -> float:
    """Return what another attempt costs the budget."""
    return BUSY_COST if last.outcome is AttemptOutcome.REFUSED else RETRY_COST


def _busy_refusals(attempts: tuple[Attempt, ...]) -> int:
    return sum(attempt.outcome is AttemptOutcome.REFUSED for attempt in attempts)


def _surely_not_run(attempts: tuple[Attempt, ...]) -> bool:
    # Every attempt counts, not the last one alone: a refusal after an unknown outcome
    # would otherwise let an order be made twice.
    return all(attempt.outcome.definitely_not_run for attempt in attempts)
