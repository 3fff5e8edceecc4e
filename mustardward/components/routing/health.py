"""Judge the health of workers by distinct requests, relative to their peers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ...helpers.chart import load_chart
from ..entry.models import Attempt, AttemptOutcome
from .const import (
    ABANDONED_RATIO,
    FAILURE_PENALTY,
    FAILURE_SMOOTHING,
    MAXIMUM_TRACKED_FAILURES,
    OUTLIER_MARGIN,
    OUTLIER_MINIMUM_SAMPLES,
    OUTLIER_SHARE,
    PENALTY_FADE_SECONDS,
    PROBATION_SUCCESSES,
    QUARANTINE_MAXIMUM_SECONDS,
    QUARANTINE_MAXIMUM_SHARE,
    QUARANTINE_RESET_SECONDS,
    QUARANTINE_SECONDS,
)

TRUSTED = "trusted"
QUARANTINED = "quarantined"
PROBATION = "probation"

_SERVER_ERROR = 500
_ABANDONED = "abandoned"
_FAULTY_RESPONSE_CAUSES = frozenset({"answer-late", "truncated"})
_LOCAL_CAUSES = frozenset(
    {"body-too-large", "caller-gone", "connections-used-up", "deadline-exceeded"}
)


@dataclass(slots=True)
class Health:
    """Health of one worker according to the outcomes of distinct requests.

    ``state`` is a state of ``charts/quarantine.yaml``, ``quarantines`` the number of
    recent quarantines, ``quarantine_ends_at`` the end of the current one, ``failed_at``
    the time of the last failure and ``successes`` the consecutive successful probes.
    """

    state: str = TRUSTED
    samples: int = 0
    failure_share: float = 0.0
    quarantines: int = 0
    quarantine_ends_at: float = 0.0
    failed_at: float = float("-inf")
    successes: int = 0


def is_conclusive(attempt: Attempt, baseline_seconds: float) -> bool:
    """Return whether an attempt is evidence of its worker's health.

    A refusal is not: the worker reported correctly that it can't take the request. An
    abandoned attempt only is if the worker had it for long, because a caller with
    little time left abandons any worker, and an overload would quarantine all of them.
    """
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return is_failure(attempt) or not attempt.cause
    if attempt.outcome is not AttemptOutcome.UNKNOWN:
        return False
    if attempt.cause != _ABANDONED:
        return True
    return attempt.latency_seconds >= ABANDONED_RATIO * baseline_seconds


def is_unreachable(attempt: Attempt) -> bool:
    """Return whether an attempt could not reach its worker for no local cause."""
    unsent = attempt.outcome is AttemptOutcome.NOT_SENT
    return unsent and attempt.cause not in _LOCAL_CAUSES


def is_failure(attempt: Attempt) -> bool:
    """Return whether a conclusive attempt counts as a failure of its worker."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return (
            attempt.status >= _SERVER_ERROR or attempt.cause in _FAULTY_RESPONSE_CAUSES
        )
    return True


def record_sample(health: Health, failed: bool, now: float) -> None:
    """Record the outcome of one distinct request."""
    if failed:
        health.failed_at = now
    health.samples += 1
    health.failure_share += FAILURE_SMOOTHING * (failed - health.failure_share)


def undo_failure(health: Health) -> None:
    """Undo a recorded failure that was caused by the request itself."""
    health.samples = max(0, health.samples - 1)
    share = health.failure_share - FAILURE_SMOOTHING
    health.failure_share = max(0.0, share / (1 - FAILURE_SMOOTHING))


def penalty(health: Health, now: float) -> float:
    """Return the score penalty for a worker's failures, fading with time.

    Without fading, a worker that failed once would never be chosen again while its
    peers are idle, and so would be neither quarantined nor cleared.
    """
    remaining = 1.0 - (now - health.failed_at) / PENALTY_FADE_SECONDS
    return FAILURE_PENALTY * health.failure_share * max(0.0, remaining)


def is_outlier(health: Health, peers_share: float) -> bool:
    """Return whether a worker fails far more often than its peers."""
    if health.samples < OUTLIER_MINIMUM_SAMPLES or health.failure_share < OUTLIER_SHARE:
        return False
    return health.failure_share - peers_share >= OUTLIER_MARGIN


def quarantine_cap(workers: int) -> int:
    """Return how many of a number of workers may be in quarantine at once."""
    return int(workers * QUARANTINE_MAXIMUM_SHARE)


def apply_event(health: Health, event: str, now: float) -> None:
    """Apply an event of the quarantine chart.

    :raises TransitionError: if the current state does not accept the event.
    """
    health.state = load_chart("quarantine").next_state(health.state, event)
    if health.state == QUARANTINED:
        if now - health.quarantine_ends_at > QUARANTINE_RESET_SECONDS:
            health.quarantines = 0
        duration = QUARANTINE_SECONDS * 2.0**health.quarantines
        health.quarantine_ends_at = now + min(duration, QUARANTINE_MAXIMUM_SECONDS)
        health.quarantines += 1
    if health.state == TRUSTED:
        health.samples = 0
        health.failure_share = 0.0
    health.successes = 0


def record_probe(health: Health, failed: bool) -> str:
    """Record the outcome of a probe and return the resulting chart event, or ``""``."""
    if failed:
        return "probe_failed"
    health.successes += 1
    return "proved" if health.successes >= PROBATION_SUCCESSES else ""


class FailureAttribution:
    """Attribute the failures of requests to workers.

    A request that fails on every worker would count against each worker that tries it,
    and could put a whole pool into quarantine. When a second worker fails the same
    request, the failure of the first is therefore undone.
    """

    def __init__(self) -> None:
        self._first: OrderedDict[str, str] = OrderedDict()

    def attribute(self, request_id: str, instance_id: str) -> tuple[bool, str]:
        """Return whether the failure counts, and the worker to clear or ``""``."""
        first = self._first.get(request_id)
        if first is None:
            self._first[request_id] = instance_id
            if len(self._first) > MAXIMUM_TRACKED_FAILURES:
                self._first.popitem(last=False)
            return True, ""
        if first in ("", instance_id):
            return False, ""
        self._first[request_id] = ""
        return False, first

    def is_known(self, request_id: str) -> bool:
        """Return whether the request failed before."""
        return request_id in self._first
