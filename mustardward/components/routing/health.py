"""Judge workers on distinct requests against their peers; pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ...helpers.chart import load_chart
from ..entry.models import Attempt, AttemptOutcome
from .const import (
    ABANDONED_RATIO,
    BLAME_MEMORY,
    FAILURE_PENALTY,
    FAILURE_SMOOTHING,
    OUTLIER_MARGIN,
    OUTLIER_SHARE,
    OUTLIER_VERDICTS,
    PENALTY_SECONDS,
    PROBATION_SUCCESSES,
    QUARANTINE_MAXIMUM_SECONDS,
    QUARANTINE_SECONDS,
    QUARANTINED_SHARE,
    TERMS_FORGOTTEN_SECONDS,
)

TRUSTED = "trusted"
QUARANTINED = "quarantined"
PROBATION = "probation"

_SERVER_ERROR = 500
_ABANDONED = "abandoned"
_FAULTY_ANSWERS = frozenset({"answer-late", "truncated"})
_OWN_CAUSES = frozenset(
    {"body-too-large", "caller-gone", "connections-used-up", "deadline-exceeded"}
)


@dataclass(slots=True)
class Health:
    """Hold what the outcomes of distinct requests say of one worker.

    ``standing`` is a state of ``charts/quarantine.yaml``; ``due`` is the time at
    which the present term of quarantine is over, ``failed_at`` the time of the last
    failure.
    """

    standing: str = TRUSTED
    verdicts: int = 0
    failure_share: float = 0.0
    terms: int = 0
    due: float = 0.0
    failed_at: float = float("-inf")
    successes: int = 0


def is_verdict(attempt: Attempt, usual_seconds: float) -> bool:
    """Tell whether an attempt says anything of its worker.

    A refusal does not: the worker said the truth about its slots. An attempt that was
    abandoned does so only if the worker had it for long: a caller with little time left
    gives up on any worker, and an overload would so condemn them all.
    """
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return is_failure(attempt) or not attempt.cause
    if attempt.outcome is not AttemptOutcome.UNKNOWN:
        return False
    if attempt.cause != _ABANDONED:
        return True
    return attempt.latency_seconds >= ABANDONED_RATIO * usual_seconds


def is_unreachable(attempt: Attempt) -> bool:
    """Tell whether the worker could not be reached, for no reason on our side."""
    unsent = attempt.outcome is AttemptOutcome.NOT_SENT
    return unsent and attempt.cause not in _OWN_CAUSES


def is_failure(attempt: Attempt) -> bool:
    """Tell whether an attempt speaks against its worker."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return attempt.status >= _SERVER_ERROR or attempt.cause in _FAULTY_ANSWERS
    return True


def add_verdict(health: Health, failed: bool, now: float) -> None:
    """Take one distinct request into account."""
    if failed:
        health.failed_at = now
    health.verdicts += 1
    health.failure_share += FAILURE_SMOOTHING * (failed - health.failure_share)


def remove_failure(health: Health) -> None:
    """Take a failure back that turned out to be the request's own fault."""
    health.verdicts = max(0, health.verdicts - 1)
    share = health.failure_share - FAILURE_SMOOTHING
    health.failure_share = max(0.0, share / (1 - FAILURE_SMOOTHING))


def penalty(health: Health, now: float) -> float:
    """Return how much a worker's failures weigh in a choice, fading with time.

    Without fading, a worker that failed once would never be chosen again where its
    peers are idle, and so never be judged or cleared.
    """
    left = 1.0 - (now - health.failed_at) / PENALTY_SECONDS
    return FAILURE_PENALTY * health.failure_share * max(0.0, left)


def is_outlier(health: Health, peers_share: float) -> bool:
    """Tell whether a worker is far worse than the mean of its peers."""
    if health.verdicts < OUTLIER_VERDICTS or health.failure_share < OUTLIER_SHARE:
        return False
    return health.failure_share - peers_share >= OUTLIER_MARGIN


def quarantine_cap(workers: int) -> int:
    """Return how many of so many workers may be in quarantine at once."""
    return int(workers * QUARANTINED_SHARE)


def move_standing(health: Health, event: str, now: float) -> None:
    """Apply an event of the chart.

    :raises TransitionError: if the present standing does not accept it.
    """
    health.standing = load_chart("quarantine").next_state(health.standing, event)
    if health.standing == QUARANTINED:
        if now - health.due > TERMS_FORGOTTEN_SECONDS:
            health.terms = 0
        term = QUARANTINE_SECONDS * 2.0**health.terms
        health.due = now + min(term, QUARANTINE_MAXIMUM_SECONDS)
        health.terms += 1
    if health.standing == TRUSTED:
        health.verdicts = 0
        health.failure_share = 0.0
    health.successes = 0


def judge_probe(health: Health, failed: bool) -> str:
    """Return the event of the chart that a probe's outcome makes, or nothing."""
    if failed:
        return "probe_failed"
    health.successes += 1
    return "proved" if health.successes >= PROBATION_SUCCESSES else ""


class BlameBook:
    """Remember which worker a failed request failed on first.

    A request that fails wherever it runs would blame each worker that was kind enough
    to try it; its organisation could so empty a pool. The second worker's failure
    takes the first one's blame back.
    """

    def __init__(self) -> None:
        self._first: OrderedDict[str, str] = OrderedDict()

    def blame(self, request_id: str, instance_id: str) -> tuple[bool, str]:
        """Return whether the failure counts, and the worker to be pardoned."""
        first = self._first.get(request_id)
        if first is None:
            self._first[request_id] = instance_id
            if len(self._first) > BLAME_MEMORY:
                self._first.popitem(last=False)
            return True, ""
        if first in ("", instance_id):
            return False, ""
        self._first[request_id] = ""
        return False, first

    def is_known(self, request_id: str) -> bool:
        """Tell whether the request failed before."""
        return request_id in self._first
