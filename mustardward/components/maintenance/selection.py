"""Choose which instances a wave takes next; pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ...state.budget_counters import Budget
from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ...state.handlers.waves import wave_limit
from ...state.instance_status import instance_status
from ...state.models.maintenance import Wave
from ...state.models.pools import Instance
from .windows import windows_allow


@dataclass(frozen=True, slots=True)
class Selection:
    """Hold what to claim now, and what holds each pool back.

    ``binding`` is the tightest budget of a pool that allows no more, ``closed`` names
    pools outside their maintenance windows.
    """

    chosen: tuple[str, ...]
    binding: dict[str, Budget]
    closed: frozenset[str]
    growth_reached: bool = False


@dataclass(frozen=True, slots=True)
class SelectionFacts:
    """Hold what a choice is made from besides the folded state.

    :param evidence: instances by pool that look down and are not folded as such.
    :param concurrency: most instances of a pool that may be out in the data centre.
    :param burden: cost of taking an instance now; the least burdened go first.
    :param excluded: instances not to be taken for now.
    """

    data_centre: str
    wall: float
    evidence: Counter[str]
    concurrency: Callable[[str], int]
    burden: Callable[[Instance], float]
    most: int
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SelectionBasis:
    """Hold what a selection came from: the same basis gives the same selection.

    Windows and paces depend on time, so the period counts too.
    """

    next_offset: int
    period: int
    evidence: frozenset[tuple[str, int]]


def select_claims(state: FleetState, wave: Wave, facts: SelectionFacts) -> Selection:
    """Return the instances of one data centre that a wave should claim now."""
    left = min(
        facts.most, wave_limit(wave) - get_budget_index(state).claims_of(wave.wave_id)
    )
    if left <= 0:
        return Selection((), {}, frozenset(), growth_reached=True)
    chosen: list[str] = []
    binding: dict[str, Budget] = {}
    closed: set[str] = set()
    candidates = _candidates(state, wave, facts)
    for pool in sorted(candidates, key=lambda name: (-len(candidates[name]), name)):
        if not windows_allow(get_budget_index(state).users(pool).values(), facts.wall):
            closed.add(pool)
            continue
        ordered = sorted(
            candidates[pool], key=lambda item: (facts.burden(item), item.instance_id)
        )
        names = [item.instance_id for item in ordered]
        free = [name for name in names if name in state.absences]
        costly = [name for name in names if name not in state.absences]
        allowed, budget = _allowed(state, pool, facts)
        if allowed <= 0 and budget is not None:
            binding[pool] = budget
        wanted = costly[: max(0, allowed)]
        if len(wave.done) >= wave.canary and _is_whole(budget):
            wanted = [*free, *wanted]
        chosen.extend(wanted[: left - len(chosen)])
    return Selection(tuple(chosen), binding, frozenset(closed))


def _candidates(
    state: FleetState, wave: Wave, facts: SelectionFacts
) -> dict[str, list[Instance]]:
    index = get_budget_index(state)
    found: dict[str, list[Instance]] = defaultdict(list)
    for instance_id in index.instances_of(facts.data_centre):
        if instance_id not in wave.pending or instance_id in facts.excluded:
            continue
        instance = state.instances[instance_id]
        if index.is_available(instance_id) or _is_free(state, instance_id):
            found[instance.pool].append(instance)
    return found


def _is_free(state: FleetState, instance_id: str) -> bool:
    """Tell whether an instance is in quarantine only: taking it costs no budget.

    It never serves as a canary: that it fails would say nothing about the wave.
    """
    return instance_status(state, instance_id) == "quarantined"


def _is_whole(budget: Budget | None) -> bool:
    return budget is None or budget.margin >= 0


def _allowed(
    state: FleetState, pool: str, facts: SelectionFacts
) -> tuple[int, Budget | None]:
    index = get_budget_index(state)
    out = sum(1 for _ in claimed_in(state, pool, facts.data_centre))
    planned = facts.concurrency(pool) - out
    tightest = index.tightest(state, pool, facts.data_centre)
    if tightest is None:
        return planned, None
    margin = tightest.margin - facts.evidence[pool]
    return min(planned, margin), tightest if margin <= 0 else None


def claimed_in(state: FleetState, pool: str, data_centre: str) -> Iterator[Instance]:
    """Yield the claimed instances of a pool in a data centre."""
    for instance_id in state.claims:
        instance = state.instances[instance_id]
        if instance.pool == pool and instance.data_centre == data_centre:
            yield instance


def give_back_order(stage: str) -> int:
    """Return the rank in which claims go back when failures eat the margin.

    A drained instance serves again at once and nothing of its work is disturbed; one
    that still drains goes next.
    """
    return {"drained": 0, "vacating": 1, "draining": 2, "claimed": 3}.get(stage, 4)
