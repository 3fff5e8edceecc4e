"""Decide whether a request may be retried."""

from __future__ import annotations

from ..entry.models import Attempt, AttemptOutcome, RequestFacts
from .const import (
    BACKOFF_BASE_SECONDS,
    BACKOFF_MAX_SECONDS,
    BUSY_BACKOFF_BASE_SECONDS,
    BUSY_BACKOFF_MAX_SECONDS,
    BUSY_COST,
    MAX_ATTEMPTS,
    MAX_BUSY_REFUSALS,
    MIN_ATTEMPT_SECONDS,
    RETRIABLE_STATUSES,
    RETRY_COST,
)


def no_retry_cause(
    facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
) -> str:
    """Return why a request must not be retried, or an empty string.

    Budget and delay are not considered here.
    """
    last = attempts[-1]
    if (
        last.outcome is AttemptOutcome.ANSWERED
        and last.status not in RETRIABLE_STATUSES
    ):
        return "answered"
    if not facts.idempotent and not _definitely_not_run(attempts):
        return "may-have-run"
    busy = _busy_refusals(attempts)
    if busy >= MAX_BUSY_REFUSALS or len(attempts) - busy >= MAX_ATTEMPTS:
        return "attempts-used"
    if now + MIN_ATTEMPT_SECONDS >= facts.deadline:
        return "deadline"
    return ""


def max_backoff_seconds(attempts: tuple[Attempt, ...]) -> float:
    """Return the upper bound of the delay before the next attempt, in seconds.

    The delay is drawn from the whole range (full jitter), so that requests that failed
    together aren't retried together.
    """
    busy = _busy_refusals(attempts)
    if attempts[-1].outcome is AttemptOutcome.REFUSED:
        return min(
            BUSY_BACKOFF_MAX_SECONDS, BUSY_BACKOFF_BASE_SECONDS * 2.0 ** (busy - 1)
        )
    failed = len(attempts) - busy
    return min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** (failed - 1))


def retry_cost(last: Attempt) -> float:
    """Return the budget cost of a retry."""
    return BUSY_COST if last.outcome is AttemptOutcome.REFUSED else RETRY_COST


def _busy_refusals(attempts: tuple[Attempt, ...]) -> int:
    return sum(attempt.outcome is AttemptOutcome.REFUSED for attempt in attempts)


def _definitely_not_run(attempts: tuple[Attempt, ...]) -> bool:
    # Check all attempts: after an unknown outcome, a later refusal doesn't show that
    # the request hasn't run, and a retry could run it twice.
    return all(attempt.outcome.definitely_not_run for attempt in attempts)
