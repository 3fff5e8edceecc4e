"""Attribute unsuccessful requests to what spent the organisation's error budget."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ...core import Core
from ...helpers.registry import Registry
from ...state.fleet import FleetState
from ..keys import FLEET_LOG

REFUSAL: Final = "refusal"
WAVE: Final = "wave"
FAILURE: Final = "failure"
NEIGHBOUR: Final = "neighbour"
WORKER: Final = "worker"
NO_CAUSE: Final = ""
"""Caller errors do not spend error budget."""

CACHE_SECONDS: Final = 1.0
"""Time for which a pool's capacity loss is cached, as refusals come in bursts."""


@dataclass(frozen=True, slots=True)
class AttributionInputs:
    """The inputs of an attribution rule.

    ``capacity_loss`` is why the pool currently lacks instances: ``WAVE``, ``FAILURE``,
    or empty if it lacks none.
    """

    attempts: int
    capacity_loss: str


AttributionRule = Callable[[AttributionInputs], str]

ATTRIBUTION_RULES: Registry[str, AttributionRule] = Registry("attribution rules")
"""Rules by refusal code; a code without a rule is a caller error."""


def attribution_rule(*codes: str) -> Callable[[AttributionRule], AttributionRule]:
    """Return a decorator that registers a rule for refusal codes."""

    def decorate(rule: AttributionRule) -> AttributionRule:
        for code in codes:
            ATTRIBUTION_RULES.register(code)(rule)
        return rule

    return decorate


@attribution_rule(
    "quota-exceeded",
    "queue-full",
    "not-ready",
    "key-unavailable",
    "idempotency-log-out",
    "idempotency-outcome-unknown",
    "internal-error",
)
def attribute_to_limits(inputs: AttributionInputs) -> str:
    """Attribute to the limits and rules that apply to the organisation."""
    return REFUSAL


@attribution_rule("overloaded", "deadline-unreachable", "no-capacity", "workers-busy")
def attribute_overload(inputs: AttributionInputs) -> str:
    """Attribute to the pool's capacity loss, else to the tenants that share it."""
    return inputs.capacity_loss or NEIGHBOUR


@attribution_rule(
    "no-worker", "worker-unreachable", "outcome-unknown", "answer-truncated"
)
def attribute_worker_failure(inputs: AttributionInputs) -> str:
    """Attribute to a wave that removed workers, else to worker failures."""
    return inputs.capacity_loss if inputs.capacity_loss == WAVE else FAILURE


@attribution_rule("deadline-exceeded")
def attribute_timeout(inputs: AttributionInputs) -> str:
    """Attribute to the worker if one was tried, else to the time spent queued."""
    return WORKER if inputs.attempts else attribute_overload(inputs)


class BudgetAttributor:
    """Attribute refusals, using the replicated fleet state of the pool."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._cache: dict[str, tuple[float, str]] = {}

    def attribute(self, code: str, pool: str, attempts: int) -> str:
        """Return the cause to which a refusal's code is attributed."""
        rule = ATTRIBUTION_RULES.get(code)
        if rule is None:
            return NO_CAUSE
        return rule(AttributionInputs(attempts, self._find_capacity_loss(pool)))

    def _find_capacity_loss(self, pool: str) -> str:
        now = self._core.timers.monotonic()
        cached = self._cache.get(pool)
        if cached is not None and now - cached[0] < CACHE_SECONDS:
            return cached[1]
        log = self._core.find(FLEET_LOG)
        capacity_loss = (
            "" if log is None or not log.ready else self._evaluate(log.state, pool)
        )
        self._cache[pool] = (now, capacity_loss)
        return capacity_loss

    def _evaluate(self, state: FleetState, pool: str) -> str:
        if self._affects_pool(state, state.claims, pool):
            return WAVE
        return FAILURE if self._affects_pool(state, state.absences, pool) else ""

    def _affects_pool(self, state: FleetState, names: Iterable[str], pool: str) -> bool:
        data_centre = self._core.settings.entry.data_centre
        for name in names:
            instance = state.instances.get(name)
            if instance is None or instance.pool != pool:
                continue
            if instance.data_centre == data_centre:
                return True
        return False
