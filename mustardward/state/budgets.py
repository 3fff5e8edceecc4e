"""Count every organisation's availability budget from the folded state.

A budget is kept for each organisation and each pool that its services use, in each
data centre and over the fleet. The counters are derived: they never stand in a
snapshot, and are counted anew for a state that was restored from one.
"""

from __future__ import annotations

import weakref
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from .budget_counters import (
    FLEET_SCOPE,
    Budget,
    PoolCounter,
    ScopeCount,
    compute_budget,
)
from .fleet import FleetState
from .fold import RecordRefusedError
from .models.pools import Instance
from .models.templates import Organisation, Parameters


class BudgetExceededError(RecordRefusedError):
    """Report that a claim would break an organisation's budget.

    :param binding: the budget that does not allow it.
    """

    code = "budget-exceeded"

    def __init__(self, binding: Budget) -> None:
        super().__init__(
            f"organisation={binding.organisation} pool={binding.pool}"
            f" scope={binding.scope} total={binding.total}"
            f" unavailable={binding.unavailable} floor={binding.floor}"
            f" reserve={binding.reserve} margin={binding.margin}"
        )
        self._binding = binding

    @property
    def binding(self) -> Budget:
        """Return the budget that refused."""
        return self._binding


@dataclass(frozen=True, slots=True)
class _Placed:
    """Remember how an instance was counted, to count it out the same way."""

    pool: str
    data_centre: str
    rack: str
    available: bool


class BudgetIndex:
    """Keep the counters of one state up to date, a record at a time.

    Whatever changes an instance or an organisation calls ``recount_instance`` or
    ``update_organisation`` afterwards; both may be called once too often.
    """

    def __init__(self, state: FleetState) -> None:
        self._counters: dict[str, dict[str, PoolCounter]] = {}
        self._placed: dict[str, _Placed] = {}
        self._local: dict[str, dict[str, None]] = {}
        self._users: dict[str, dict[str, Parameters]] = {}
        self._bound: dict[str, frozenset[str]] = {}
        self._wave_claims: dict[str, int] = {}
        self._claimed: dict[str, str] = {}
        for instance_id in state.instances:
            self.recount_instance(state, instance_id)
        for name in state.organisations:
            self.update_organisation(state, name)

    def recount_instance(self, state: FleetState, instance_id: str) -> None:
        """Count an instance anew after its owner, claim, move or absence changed."""
        self._touch_claim(state, instance_id)
        placed = _place(state, instance_id)
        before = self._placed.get(instance_id)
        if placed == before:
            return
        if before is not None:
            self._count(before, -1)
            del self._placed[instance_id]
            del self._local[before.data_centre][instance_id]
        if placed is not None:
            self._count(placed, 1)
            self._placed[instance_id] = placed
            self._local.setdefault(placed.data_centre, {})[instance_id] = None

    def update_organisation(self, state: FleetState, name: str) -> None:
        """Take an organisation's present parameters, or its end, into account."""
        for pool in self._bound.pop(name, frozenset()):
            self._users[pool].pop(name, None)
        organisation = state.organisations.get(name)
        if organisation is None:
            return
        self._bound[name] = organisation.parameters.pools
        for pool in organisation.parameters.pools:
            self._users.setdefault(pool, {})[name] = organisation.parameters

    def users(self, pool: str) -> dict[str, Parameters]:
        """Return the parameters of the organisations that use a pool, by name."""
        return self._users.get(pool, {})

    def instances_of(self, data_centre: str) -> Collection[str]:
        """Return the instances of a data centre, without a look at all the others."""
        return self._local.get(data_centre, {}).keys()

    def is_available(self, instance_id: str) -> bool:
        """Tell whether an instance counts as available in its data centre."""
        placed = self._placed.get(instance_id)
        return placed is not None and placed.available

    def claims_of(self, wave_id: str) -> int:
        """Return how many instances a wave holds claims on."""
        return self._wave_claims.get(wave_id, 0)

    def scopes(self, pool: str) -> list[str]:
        """Return the scopes in which a pool has instances."""
        return [*sorted(self._counters.get(pool, {})), FLEET_SCOPE]

    def data_centres(self, pool: str) -> list[str]:
        """Return the data centres in which a pool has instances."""
        return sorted(self._counters.get(pool, {}))

    def count(self, state: FleetState, pool: str, scope: str) -> ScopeCount:
        """Return a pool's count in a data centre or over the fleet."""
        counters = self._counters.get(pool, {})
        if scope == FLEET_SCOPE:
            return _fleet_count(counters, state.silent)
        counter = counters.get(scope, PoolCounter())
        return ScopeCount(counter.total, counter.unavailable, counter.largest)

    def budgets(self, state: FleetState, pool: str, scope: str) -> Iterator[Budget]:
        """Yield the budget of each organisation on a pool in one scope."""
        count = self.count(state, pool, scope)
        for name, parameters in self.users(pool).items():
            yield compute_budget(name, parameters, pool, scope, count)

    def tightest(self, state: FleetState, pool: str, data_centre: str) -> Budget | None:
        """Return the budget with the least margin for one more unavailable instance.

        Only the instance's own data centre and the fleet count: nowhere else does it
        change a number. Nothing is returned if no organisation uses the pool.
        """
        candidates = [
            *self.budgets(state, pool, data_centre),
            *self.budgets(state, pool, FLEET_SCOPE),
        ]
        return min(
            candidates,
            key=lambda item: (item.margin, item.organisation, item.scope),
            default=None,
        )

    def snapshot(self) -> tuple[object, ...]:
        """Return all counters in a form that compares, for checks."""
        counters = {
            (pool, data_centre): (item.total, item.unavailable, dict(item.racks))
            for pool, by_centre in self._counters.items()
            for data_centre, item in by_centre.items()
            if item.total
        }
        users = {pool: dict(names) for pool, names in self._users.items() if names}
        claims = {wave: number for wave, number in self._wave_claims.items() if number}
        return counters, users, claims

    def _count(self, placed: _Placed, step: int) -> None:
        by_centre = self._counters.setdefault(placed.pool, {})
        counter = by_centre.setdefault(placed.data_centre, PoolCounter())
        counter.add(placed.rack, placed.available, step)

    def _touch_claim(self, state: FleetState, instance_id: str) -> None:
        claim = state.claims.get(instance_id)
        wave = claim.wave_id if claim else ""
        before = self._claimed.pop(instance_id, "")
        if before:
            self._wave_claims[before] -= 1
        if wave:
            self._wave_claims[wave] = self._wave_claims.get(wave, 0) + 1
            self._claimed[instance_id] = wave


def _place(state: FleetState, instance_id: str) -> _Placed | None:
    instance = state.instances.get(instance_id)
    if instance is None or instance.removed:
        return None
    available = not (
        instance_id in state.claims
        or instance_id in state.absences
        or instance_id in state.moves
    )
    return _Placed(instance.pool, instance.data_centre, instance.rack, available)


def _fleet_count(counters: dict[str, PoolCounter], silent: set[str]) -> ScopeCount:
    total = unavailable = largest = 0
    for data_centre, counter in counters.items():
        total += counter.total
        # A data centre that is cut off reports no failures; were it counted as whole,
        # a wave elsewhere could take the last instances that really serve.
        if data_centre in silent:
            unavailable += counter.total
            continue
        unavailable += counter.unavailable
        largest = max(largest, counter.largest)
    return ScopeCount(total, unavailable, largest)


_INDEXES: Final[dict[int, BudgetIndex]] = {}


def get_budget_index(state: FleetState) -> BudgetIndex:
    """Return the counters of a state, counting them first if it is new."""
    index = _INDEXES.get(id(state))
    if index is None:
        index = BudgetIndex(state)
        _INDEXES[id(state)] = index
        weakref.finalize(state, _INDEXES.pop, id(state), None)
    return index


def recount_instance(state: FleetState, instance_id: str) -> None:
    """Count an instance anew after a record changed it."""
    get_budget_index(state).recount_instance(state, instance_id)


def update_organisation(state: FleetState, name: str) -> None:
    """Take an organisation's new parameters, or its end, into account."""
    get_budget_index(state).update_organisation(state, name)


def check_one_more_unavailable(
    state: FleetState, instance: Instance
) -> BudgetExceededError | None:
    """Return why an instance may not be taken out now, or nothing."""
    tightest = get_budget_index(state).tightest(
        state, instance.pool, instance.data_centre
    )
    if tightest is None or tightest.margin >= 1:
        return None
    return BudgetExceededError(tightest)


def check_within_budgets(
    state: FleetState, instance: Instance, more_unavailable: int = 0
) -> BudgetExceededError | None:
    """Return why an instance that is out should go back, or nothing.

    Floors and reserves have to be whole with the instance out. To ask instead whether
    it could be taken anew would refuse what was rightly admitted: back in its rack, it
    may make that the largest, and the reserve larger.

    :param more_unavailable: instances of its pool and data centre that are seen to be
        down and are not folded as such yet.
    """
    tightest = get_budget_index(state).tightest(
        state, instance.pool, instance.data_centre
    )
    if tightest is None or tightest.margin - more_unavailable >= 0:
        return None
    return BudgetExceededError(tightest)


def all_budgets(state: FleetState, organisation: Organisation) -> list[Budget]:
    """Return an organisation's budgets on all its pools and in all scopes."""
    index = get_budget_index(state)
    return [
        compute_budget(
            organisation.name,
            organisation.parameters,
            pool,
            scope,
            index.count(state, pool, scope),
        )
        for pool in sorted(organisation.parameters.pools)
        for scope in index.scopes(pool)
    ]
