"""Provide the retry policy with a budget for each organisation."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from ...state.models.templates import Urgency
from ..entry.models import (
    Attempt,
    RequestFacts,
    RequestFinished,
)
from ..entry.protocols import RetryDecision
from .budget import RetryBudget
from .const import (
    MAX_TRACKED_SERVICES,
    MIN_ATTEMPT_SECONDS,
    MIN_HEDGE_SAMPLES,
    MIN_HEDGE_SECONDS,
    RETRY_COST,
)
from .policy import max_backoff_seconds, no_retry_cause, retry_cost
from .quantile import LatencyQuantile

_SERVER_ERROR = 500


class RetryPolicyService:
    """Decide on retries and hedges of requests.

    :param random: the random generator for the jitter of delays.
    """

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()
        self._shares: dict[str, float] = {}
        self._quantiles: OrderedDict[tuple[str, str], LatencyQuantile] = OrderedDict()

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        """Return whether and after which delay to retry after ``attempts``."""
        cause = no_retry_cause(facts, attempts, now)
        if cause:
            return RetryDecision(False, cause=cause)
        delay = self._random.random() * max_backoff_seconds(attempts)
        if now + delay + MIN_ATTEMPT_SECONDS >= facts.deadline:
            return RetryDecision(False, cause="deadline")
        if not self._budget(facts.organisation).spend(retry_cost(attempts[-1])):
            return RetryDecision(False, cause="budget")
        return RetryDecision(True, delay)

    def record_first(self, facts: RequestFacts) -> None:
        """Record the first attempt of a request."""
        self._shares[facts.organisation] = facts.parameters.retry_share
        self._budget(facts.organisation)

    def hedge_after(self, facts: RequestFacts) -> float | None:
        """Return the seconds after which a hedged attempt may start, if any."""
        if not facts.idempotent or facts.urgency is not Urgency.URGENT:
            return None
        quantile = self._quantiles.get((facts.organisation, facts.service))
        if quantile is None or quantile.samples < MIN_HEDGE_SAMPLES:
            return None
        return max(MIN_HEDGE_SECONDS, quantile.value)

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        """Spend budget on a hedged attempt; return whether it may be made."""
        if self.hedge_after(facts) is None:
            return False
        if now + MIN_ATTEMPT_SECONDS >= facts.deadline:
            return False
        return self._budget(facts.organisation).spend(RETRY_COST)

    def on_finished(self, event: RequestFinished) -> None:
        """Add budget for a successful request and record its latency."""
        if event.status >= _SERVER_ERROR or event.status == 0 or not event.attempts:
            return
        share = self._shares.get(event.organisation, 0.0)
        self._budget(event.organisation).earn(share)
        key = (event.organisation, event.service)
        quantile = self._quantiles.get(key)
        if quantile is None:
            quantile = self._quantiles[key] = LatencyQuantile()
            if len(self._quantiles) > MAX_TRACKED_SERVICES:
                self._quantiles.popitem(last=False)
        quantile.add(event.latency_seconds)

    def _budget(self, organisation: str) -> RetryBudget:
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = self._budgets[organisation] = RetryBudget()
            if len(self._budgets) > MAX_TRACKED_SERVICES:
                evicted, _ = self._budgets.popitem(last=False)
                self._shares.pop(evicted, None)
        return budget
