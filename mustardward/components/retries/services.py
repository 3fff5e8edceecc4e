"""Decide on further attempts with each organisation's budget."""

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
    HEDGE_MINIMUM_SECONDS,
    HEDGE_SAMPLES,
    LEAST_ATTEMPT_SECONDS,
    MAXIMUM_SERVICES,
    RETRY_COST,
)
from .policy import backoff_ceiling, forbidden_cause, retry_cost
from .quantile import LatencyQuantile

_SERVER_ERROR = 500


class RetryPolicyService:
    """Serve as the process's retry policy.

    :param random: the dice for pauses.
    """

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()
        self._shares: dict[str, float] = {}
        self._quantiles: OrderedDict[tuple[str, str], LatencyQuantile] = OrderedDict()

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        """Decide after the last attempt in ``attempts``."""
        cause = forbidden_cause(facts, attempts, now)
        if cause:
            return RetryDecision(False, cause=cause)
        delay = self._random.random() * backoff_ceiling(attempts)
        if now + delay + LEAST_ATTEMPT_SECONDS >= facts.deadline:
            return RetryDecision(False, cause="deadline")
        if not self._budget(facts.organisation).spend(retry_cost(attempts[-1])):
            return RetryDecision(False, cause="budget")
        return RetryDecision(True, delay)

    def record_first(self, facts: RequestFacts) -> None:
        """Note that a request made its first attempt."""
        self._shares[facts.organisation] = facts.parameters.retry_share
        self._budget(facts.organisation)

    def hedge_after(self, facts: RequestFacts) -> float | None:
        """Return the seconds after which a second attempt may run beside the first."""
        if not facts.idempotent or facts.urgency is not Urgency.URGENT:
            return None
        quantile = self._quantiles.get((facts.organisation, facts.service))
        if quantile is None or quantile.samples < HEDGE_SAMPLES:
            return None
        return max(HEDGE_MINIMUM_SECONDS, quantile.value)

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        """Take a hedged attempt out of the budget; tell whether it may be made."""
        if self.hedge_after(facts) is None:
            return False
        if now + LEAST_ATTEMPT_SECONDS >= facts.deadline:
            return False
        return self._budget(facts.organisation).spend(RETRY_COST)

    def on_finished(self, event: RequestFinished) -> None:
        """Earn budget from a success, and learn its latency."""
        if event.status >= _SERVER_ERROR or event.status == 0 or not event.attempts:
            return
        share = self._shares.get(event.organisation, 0.0)
        self._budget(event.organisation).earn(share)
        key = (event.organisation, event.service)
        quantile = self._quantiles.get(key)
        if quantile is None:
            quantile = self._quantiles[key] = LatencyQuantile()
            if len(self._quantiles) > MAXIMUM_SERVICES:
                self._quantiles.popitem(last=False)
        quantile.add(event.latency_seconds)

    def _budget(self, organisation: str) -> RetryBudget:
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = self._budgets[organisation] = RetryBudget()
            if len(self._budgets) > MAXIMUM_SERVICES:
                forgotten, _ = self._budgets.popitem(last=False)
                self._shares.pop(forgotten, None)
        return budget
