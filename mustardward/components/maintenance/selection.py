"""Select the instances that a wave claims next; pure."""

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
from .windows import is_maintenance_allowed


@dataclass(frozen=True, slots=True)
class Selection:
    """Hold the instances to claim and the reasons that block further claims.

    ``binding`` maps pools without margin to their tightest budgets; ``closed_pools``
    contains pools outside their maintenance windows.
    """

    chosen: tuple[str, ...]
    binding: dict[str, Budget]
    closed_pools: frozenset[str]
    wave_limit_reached: bool = False


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Hold the inputs of a selection besides the replicated state.

    :param unreported: number of failed instances per pool that are not in the log yet.
    :param concurrency: returns the maximum number of claims of a pool here.
    :param drain_cost: returns the cost of draining an instance; the cheapest come
        first.
    :param limit: maximum number of instances to select.
    :param excluded: instances that must not be selected for now.
    """

    data_centre: str
    wall: float
    unreported: Counter[str]
    concurrency: Callable[[str], int]
    drain_cost: Callable[[Instance], float]
    limit: int
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SelectionKey:
    """Identify the inputs of a selection: equal keys give equal selections.

    Maintenance windows and rollout limits depend on time, so the period is included.
    """

    next_offset: int
    period: int
    unreported: frozenset[tuple[str, int]]


def select_claims(
    state: FleetState, wave: Wave, context: SelectionContext
) -> Selection:
    """Return the instances of one data centre that a wave should claim."""
    remaining = min(
        context.limit,
        wave_limit(wave) - get_budget_index(state).claim_count(wave.wave_id),
    )
    if remaining <= 0:
        return Selection((), {}, frozenset(), wave_limit_reached=True)
    chosen: list[str] = []
    binding: dict[str, Budget] = {}
    closed_pools: set[str] = set()
    candidates = _candidates(state, wave, context)
    for pool in sorted(candidates, key=lambda name: (-len(candidates[name]), name)):
        if not is_maintenance_allowed(
            get_budget_index(state).users(pool).values(), context.wall
        ):
            closed_pools.add(pool)
            continue
        ordered = sorted(
            candidates[pool],
            key=lambda item: (context.drain_cost(item), item.instance_id),
        )
        names = [item.instance_id for item in ordered]
        quarantined = [name for name in names if name in state.absences]
        available = [name for name in names if name not in state.absences]
        allowed, budget = _available_claims(state, pool, context)
        if allowed <= 0 and budget is not None:
            binding[pool] = budget
        selected = available[: max(0, allowed)]
        if len(wave.done) >= wave.canary and _is_within_budget(budget):
            selected = [*quarantined, *selected]
        chosen.extend(selected[: remaining - len(chosen)])
    return Selection(tuple(chosen), binding, frozenset(closed_pools))


def _candidates(
    state: FleetState, wave: Wave, context: SelectionContext
) -> dict[str, list[Instance]]:
    index = get_budget_index(state)
    found: dict[str, list[Instance]] = defaultdict(list)
    for instance_id in index.instances_of(context.data_centre):
        if instance_id not in wave.pending or instance_id in context.excluded:
            continue
        instance = state.instances[instance_id]
        if index.is_available(instance_id) or _is_quarantined(state, instance_id):
            found[instance.pool].append(instance)
    return found


def _is_quarantined(state: FleetState, instance_id: str) -> bool:
    """Return whether an instance is quarantined only, so a claim costs no margin.

    Such an instance is never a canary, since its failure says nothing about the wave.
    """
    return instance_status(state, instance_id) == "quarantined"


def _is_within_budget(budget: Budget | None) -> bool:
    return budget is None or budget.margin >= 0


def _available_claims(
    state: FleetState, pool: str, context: SelectionContext
) -> tuple[int, Budget | None]:
    index = get_budget_index(state)
    claimed = sum(1 for _ in claimed_in(state, pool, context.data_centre))
    concurrency_left = context.concurrency(pool) - claimed
    tightest = index.tightest(state, pool, context.data_centre)
    if tightest is None:
        return concurrency_left, None
    margin = tightest.margin - context.unreported[pool]
    return min(concurrency_left, margin), tightest if margin <= 0 else None


def claimed_in(state: FleetState, pool: str, data_centre: str) -> Iterator[Instance]:
    """Yield the claimed instances of a pool in a data centre."""
    for instance_id in state.claims:
        instance = state.instances[instance_id]
        if instance.pool == pool and instance.data_centre == data_centre:
            yield instance


def abort_rank(stage: str) -> int:
    """Return the rank of a claim stage for aborts when failures use up the margin.

    A drained instance can serve again at once without disturbing work, so it ranks
    first; claims that are still draining follow.
    """
    return {"drained": 0, "vacating": 1, "draining": 2, "claimed": 3}.get(stage, 4)
