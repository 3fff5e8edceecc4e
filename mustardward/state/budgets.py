"""Maintain every organisation's availability budget from the fleet state.

There is a budget for each organisation and each pool that its services use, in each
data centre and over the fleet. The counters are derived data: they are not part of
snapshots and are rebuilt for a state that was restored from one.
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

    :param binding: the budget that would be exceeded.
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
        """Return the budget that would be exceeded."""
        return self._binding


@dataclass(frozen=True, slots=True)
class _CountedInstance:
    """Hold how an instance was counted, so that it can be subtracted the same way."""

    pool: str
    data_centre: str
    rack: str
    available: bool


class BudgetIndex:
    """Update the counters of one state incrementally.

    Code that changes an instance or an organisation calls ``recount_instance`` or
    ``update_organisation`` afterwards; both are idempotent.
    """

    def __init__(self, state: FleetState) -> None:
        self._counters: dict[str, dict[str, PoolCounter]] = {}
        self._counted: dict[str, _CountedInstance] = {}
        self._by_data_centre: dict[str, dict[str, None]] = {}
        self._pool_users: dict[str, dict[str, Parameters]] = {}
        self._organisation_pools: dict[str, frozenset[str]] = {}
        self._wave_claims: dict[str, int] = {}
        self._claim_waves: dict[str, str] = {}
        for instance_id in state.instances:
            self.recount_instance(state, instance_id)
        for name in state.organisations:
            self.update_organisation(state, name)

    def recount_instance(self, state: FleetState, instance_id: str) -> None:
        """Update the counters after a change of an instance.

        Owner, claim, move and absence of an instance determine how it is counted.
        """
        self._recount_claim(state, instance_id)
        current = _classify(state, instance_id)
        previous = self._counted.get(instance_id)
        if current == previous:
            return
        if previous is not None:
            self._count(previous, -1)
            del self._counted[instance_id]
            del self._by_data_centre[previous.data_centre][instance_id]
        if current is not None:
            self._count(current, 1)
            self._counted[instance_id] = current
            self._by_data_centre.setdefault(current.data_centre, {})[instance_id] = None

    def update_organisation(self, state: FleetState, name: str) -> None:
        """Update the pool users after an organisation was changed or removed."""
        for pool in self._organisation_pools.pop(name, frozenset()):
            self._pool_users[pool].pop(name, None)
        organisation = state.organisations.get(name)
        if organisation is None:
            return
        self._organisation_pools[name] = organisation.parameters.pools
        for pool in organisation.parameters.pools:
            self._pool_users.setdefault(pool, {})[name] = organisation.parameters

    def users(self, pool: str) -> dict[str, Parameters]:
        """Return the parameters of the organisations that use a pool, by name."""
        return self._pool_users.get(pool, {})

    def instances_of(self, data_centre: str) -> Collection[str]:
        """Return the instances of a data centre without iterating over the fleet."""
        return self._by_data_centre.get(data_centre, {}).keys()

    def is_available(self, instance_id: str) -> bool:
        """Return whether an instance counts as available in its data centre."""
        counted = self._counted.get(instance_id)
        return counted is not None and counted.available

    def claim_count(self, wave_id: str) -> int:
        """Return the number of instances that a wave has claimed."""
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
        """Return the budget with the smallest margin for one more unavailable instance.

        Only the instance's own data centre and the fleet are compared, since no other
        budget changes with it. Returns ``None`` if no organisation uses the pool.
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
        """Return all counters in a comparable form, for consistency checks."""
        counters = {
            (pool, data_centre): (item.total, item.unavailable, dict(item.racks))
            for pool, by_centre in self._counters.items()
            for data_centre, item in by_centre.items()
            if item.total
        }
        users = {pool: dict(names) for pool, names in self._pool_users.items() if names}
        claims = {wave: number for wave, number in self._wave_claims.items() if number}
        return counters, users, claims

    def _count(self, counted: _CountedInstance, step: int) -> None:
        by_centre = self._counters.setdefault(counted.pool, {})
        counter = by_centre.setdefault(counted.data_centre, PoolCounter())
        counter.add(counted.rack, counted.available, step)

    def _recount_claim(self, state: FleetState, instance_id: str) -> None:
        claim = state.claims.get(instance_id)
        wave = claim.wave_id if claim else ""
        previous = self._claim_waves.pop(instance_id, "")
        if previous:
            self._wave_claims[previous] -= 1
        if wave:
            self._wave_claims[wave] = self._wave_claims.get(wave, 0) + 1
            self._claim_waves[instance_id] = wave


def _classify(state: FleetState, instance_id: str) -> _CountedInstance | None:
    instance = state.instances.get(instance_id)
    if instance is None or instance.removed:
        return None
    available = not (
        instance_id in state.claims
        or instance_id in state.absences
        or instance_id in state.moves
    )
    return _CountedInstance(
        instance.pool, instance.data_centre, instance.rack, available
    )


def _fleet_count(counters: dict[str, PoolCounter], silent: set[str]) -> ScopeCount:
    total = unavailable = largest = 0
    for data_centre, counter in counters.items():
        total += counter.total
        # A disconnected data centre reports no failures. If its instances counted as
        # available, a wave elsewhere could claim the last ones that actually serve.
        if data_centre in silent:
            unavailable += counter.total
            continue
        unavailable += counter.unavailable
        largest = max(largest, counter.largest)
    return ScopeCount(total, unavailable, largest)


_INDEXES: Final[dict[int, BudgetIndex]] = {}


def get_budget_index(state: FleetState) -> BudgetIndex:
    """Return the budget index of a state, building it on first use."""
    index = _INDEXES.get(id(state))
    if index is None:
        index = BudgetIndex(state)
        _INDEXES[id(state)] = index
        weakref.finalize(state, _INDEXES.pop, id(state), None)
    return index


def recount_instance(state: FleetState, instance_id: str) -> None:
    """Update the budget counters after a record changed an instance."""
    get_budget_index(state).recount_instance(state, instance_id)


def update_organisation(state: FleetState, name: str) -> None:
    """Update the budget index after a record changed or removed an organisation."""
    get_budget_index(state).update_organisation(state, name)


def check_one_more_unavailable(
    state: FleetState, instance: Instance
) -> BudgetExceededError | None:
    """Return the error if one more instance may not become unavailable now."""
    tightest = get_budget_index(state).tightest(
        state, instance.pool, instance.data_centre
    )
    if tightest is None or tightest.margin >= 1:
        return None
    return BudgetExceededError(tightest)


def check_within_budgets(
    state: FleetState, instance: Instance, more_unavailable: int = 0
) -> BudgetExceededError | None:
    """Return the error if a budget is violated while an instance is unavailable.

    Floors and reserves have to be met with the instance unavailable. Checking instead
    whether it could be claimed again would reject valid claims: counted as available,
    the instance may make its rack the largest one, which enlarges the reserve.

    :param more_unavailable: instances of its pool and data centre that are known to be
        down but whose absence is not in the state yet.
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
