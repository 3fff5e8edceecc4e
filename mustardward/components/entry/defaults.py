"""Stand in for parts that are not set up: no limits, one more try, any worker."""

from __future__ import annotations

import secrets

from returns.result import Failure, Result, Success

from ...core import Core
from ...state.models.pools import Instance
from ..keys import FLEET_LOG
from ..routing.models import RemoteChoice
from ..templates.protocols import Resolved
from .models import Attempt, Ran, RequestFacts, RequestRefusal
from .protocols import Choice, Permit, RetryDecision


class OpenPermit:
    """Hold nothing."""

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        """Do nothing."""


class OpenLimiter:
    """Admit every request."""

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        """Admit the request."""
        return Success(OpenPermit())


class OneMoreTry:
    """Try once more after an attempt that surely did not run."""

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        """Decide after the last attempt."""
        safe = facts.idempotent or attempts[-1].outcome.surely_not_run
        return RetryDecision(again=safe and len(attempts) < 2)

    def record_first(self, facts: RequestFacts) -> None:
        """Do nothing."""

    def hedge_after(self, facts: RequestFacts) -> float | None:
        """Never hedge."""
        return None

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        """Never hedge."""
        return False


class LeastBusyRouter:
    """Choose the worker of the pool that this process sent the least."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._in_flight: dict[str, int] = {}

    def choose(
        self, facts: RequestFacts, exclude: frozenset[str]
    ) -> Result[Choice, RequestRefusal]:
        """Choose a worker of this data centre."""
        candidates = [
            item
            for item in self._instances()
            if item.pool == facts.pool and item.instance_id not in exclude
        ]
        if not candidates:
            return Failure(
                RequestRefusal("no-worker", 503, Ran.NO, f"pool={facts.pool}", 1.0)
            )
        best = min(candidates, key=lambda i: self._in_flight.get(i.instance_id, 0))
        self._in_flight[best.instance_id] = self._in_flight.get(best.instance_id, 0) + 1
        return Success(Choice(best, secrets.token_hex(8)))

    def finish(self, choice: Choice, facts: RequestFacts, attempt: Attempt) -> None:
        """End the in-flight count."""
        self._in_flight[choice.instance.instance_id] -= 1

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        """Stay in this data centre."""
        return None

    def slots(self, pool: str) -> int:
        """Return the slots of a pool's workers in this data centre."""
        return sum(item.slots for item in self._instances() if item.pool == pool)

    def _instances(self) -> list[Instance]:
        log = self._core.find(FLEET_LOG)
        if log is None:
            return []
        own = self._core.settings.entry.data_centre
        return [
            item
            for item in log.state.instances.values()
            if item.data_centre == own and not item.removed
        ]


class StateDirectory:
    """Find organisations in the folded state."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def resolve(
        self, organisation: str, service: str
    ) -> Result[Resolved, RequestRefusal]:
        """Return the organisation and its service's binding, or a typed refusal."""
        log = self._core.find(FLEET_LOG)
        if log is None or not log.ready:
            return Failure(
                RequestRefusal("not-ready", 503, Ran.NO, "no state to serve from", 1.0)
            )
        found = log.state.organisations.get(organisation)
        if found is None:
            return Failure(
                RequestRefusal("organisation-unknown", 404, Ran.NO, organisation)
            )
        for binding in found.parameters.services:
            if binding.service == service:
                return Success(Resolved(found, binding))
        return Failure(RequestRefusal("service-unknown", 404, Ran.NO, service))
