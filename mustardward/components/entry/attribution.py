"""Say what a request without success spent its organisation's error budget on."""

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
NOTHING: Final = ""
"""The caller's own fault spends nothing."""

MEMORY_SECONDS: Final = 1.0
"""How long what is missing from a pool is remembered: refusals come in floods."""


@dataclass(frozen=True, slots=True)
class AttributionInputs:
    """Hold what a rule decides from.

    ``missing`` says what takes instances from the pool now: a wave, failures, or
    nothing.
    """

    attempts: int
    missing: str


AttributionRule = Callable[[AttributionInputs], str]

ATTRIBUTION_RULES: Registry[str, AttributionRule] = Registry("cause rules")
"""Rule by code of a refusal; a code without one is the caller's own fault."""


def attribution_rule(*codes: str) -> Callable[[AttributionRule], AttributionRule]:
    """Return a decorator that files a rule under codes."""

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
def refused(inputs: AttributionInputs) -> str:
    """Blame the limits and rules that the organisation is under."""
    return REFUSAL


@attribution_rule("overloaded", "deadline-unreachable", "no-capacity", "workers-busy")
def crowded(inputs: AttributionInputs) -> str:
    """Blame what shrank the pool, else those who share it."""
    return inputs.missing or NEIGHBOUR


@attribution_rule(
    "no-worker", "worker-unreachable", "outcome-unknown", "answer-truncated"
)
def broken(inputs: AttributionInputs) -> str:
    """Blame a wave that took the workers, else their failure."""
    return inputs.missing if inputs.missing == WAVE else FAILURE


@attribution_rule("deadline-exceeded")
def late(inputs: AttributionInputs) -> str:
    """Blame the worker that had the request, else the queue before it."""
    return WORKER if inputs.attempts else crowded(inputs)


class BudgetAttributor:
    """Find causes, with what the folded state says of a pool."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._missing: dict[str, tuple[float, str]] = {}

    def find(self, code: str, pool: str, attempts: int) -> str:
        """Return the cause for a refusal's code."""
        rule = ATTRIBUTION_RULES.get(code)
        if rule is None:
            return NOTHING
        return rule(AttributionInputs(attempts, self._missing_from(pool)))

    def _missing_from(self, pool: str) -> str:
        now = self._core.timers.monotonic()
        known = self._missing.get(pool)
        if known is not None and now - known[0] < MEMORY_SECONDS:
            return known[1]
        log = self._core.find(FLEET_LOG)
        found = "" if log is None or not log.ready else self._look(log.state, pool)
        self._missing[pool] = (now, found)
        return found

    def _look(self, state: FleetState, pool: str) -> str:
        if self._touches(state, state.claims, pool):
            return WAVE
        return FAILURE if self._touches(state, state.absences, pool) else ""

    def _touches(self, state: FleetState, names: Iterable[str], pool: str) -> bool:
        own = self._core.settings.entry.data_centre
        for name in names:
            instance = state.instances.get(name)
            if instance is None or instance.pool != pool:
                continue
            if instance.data_centre == own:
                return True
        return False
