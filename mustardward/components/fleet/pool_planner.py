"""Plan which instances move between pools and standby; pure.

Load pattern: demand comes in peaks. Each queue demands five times its mean for some
seconds, more than its pool can serve, while other pools are idle; then it demands next
to nothing. A full pool takes idle instances of other pools at once, else standby ones.
An idle instance goes to standby once the projected work does not need it.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

from ...helpers.policies import switchable
from ...platform.models import INSTANCE_UP, Instance, Room
from ..pool_sizing.models import Demand, Need, Supply
from ..pool_sizing.sizing import PoolSizing
from ..scheduling.demand import PoolLoad
from .const import (
    BACKLOG_START_SECONDS,
    LATER_BACKLOG_START_SECONDS,
    MAX_ISOLATED_WORKERS,
    MIN_POOL_INSTANCES,
    MOVE_TIMEOUT_SECONDS,
    ORDER_OVERHEAD_SECONDS,
    ORDER_RETRY_SECONDS,
    TARGET_UTILISATION,
)
from .instance_sizes import ALL_POOLS, mean_sizes
from .models import FleetView, Move, MoveOrder
from .order_budget import OrderBudget
from .pool_surplus import (
    idle_timeout_seconds,
    sort_by_rack_load,
    surplus,
    unreachable_zones,
)


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Hold the supply and the need of instances at one point in time.

    :param available: instances without tasks, orders and maintenance, by machine.
    :param counts: how many instances each pool has, or is about to have.
    :param needs: how many instances each pool's work needs.
    """

    view: FleetView
    available: dict[str, Instance]
    counts: Counter[str]
    needs: dict[str, Need]
    now: float


def _need_by_load(
    planner: PoolPlanner,
    /,
    pool: str,
    size: Room,
    load: PoolLoad,
    supply: Supply,
    now: float,
) -> Need:
    """Return a pool's need by its present load and the rate of its arrivals."""
    return planner.need_by_load(pool, size, load, supply, now)


def _unlimited_need(
    planner: PoolPlanner, /, load: PoolLoad, size: Room, count: int
) -> float:
    return math.inf


@dataclass(slots=True, eq=False)
class PoolPlanner:
    """Move instances to the pools where work waits.

    :param move_seconds: shortest time that a move takes.
    :param budget: limits the rate of orders; moves beyond it are planned again later.
    :param needs: how many instances each pool needed at the last decision.
    """

    move_seconds: float
    budget: OrderBudget = field(default_factory=OrderBudget)
    orders: dict[str, MoveOrder] = field(default_factory=dict)
    needs: dict[str, Need] = field(default_factory=dict)
    _sizing: PoolSizing = field(default_factory=PoolSizing)
    _need_history: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    _idle_since: dict[str, float] = field(default_factory=dict)

    def decide(
        self,
        view: FleetView,
        loads: dict[str, PoolLoad],
        held: set[str],
        now: float,
    ) -> list[Move]:
        """Return the moves to order now.

        :param held: machines that are reserved for maintenance or blocked.
        """
        self._finish_orders(view, now)
        # Idle times and needs are recorded on each call, whatever the budget allows.
        available = self._available_instances(view, held, now)
        counts = self._count_instances(view, held)
        sizes = mean_sizes(view)
        needs = {
            pool: self._need(
                pool,
                sizes.get(pool) or sizes[ALL_POOLS],
                loads.get(pool, PoolLoad()),
                self._supply(pool, counts[pool], now),
                now,
            )
            for pool in _pool_names(view)
        }
        self.needs = needs
        snapshot = _Snapshot(view, available, counts, needs, now)
        candidates = chain(
            self._retry_orders(view, now),
            self._fill_pools(snapshot),
            self._release_idle(snapshot),
        )
        moves = list(islice(candidates, self.budget.available(now)))
        self.budget.consume(len(moves))
        return moves

    def _fill_pools(self, snapshot: _Snapshot) -> Iterator[Move]:
        """Fill the pools up to their need, the one with the largest shortage first."""
        transferable = self._transferable(snapshot)
        counts = snapshot.counts
        for pool, need in sorted(
            snapshot.needs.items(), key=lambda item: -_relative_shortage(item, counts)
        ):
            missing = need.ordered - counts[pool]
            yield from self._fill(pool, missing, transferable, snapshot)

    def record_accepted(self, machine: str, now: float) -> None:
        """Record that the platform has started a move."""
        order = self.orders.get(machine)
        if order is not None and order.accepted_at is None:
            order.accepted_at = now

    def record_refused(self, machine: str) -> None:
        """Drop a move that the platform refused, and that hence has no effect."""
        self.orders.pop(machine, None)

    def _finish_orders(self, view: FleetView, now: float) -> None:
        """Drop the orders that are done, timed out or without an instance."""
        for machine, order in list(self.orders.items()):
            if order.accepted_at is None:
                continue
            instance = view.instances.get(machine)
            elapsed = now - order.accepted_at
            listed = (
                instance is not None
                and instance.pool == order.pool
                and instance.state == INSTANCE_UP
                and view.read_at >= order.accepted_at + self.move_seconds
            )
            gone = instance is None and view.complete
            if gone or listed or elapsed > MOVE_TIMEOUT_SECONDS:
                del self.orders[machine]

    def _retry_orders(self, view: FleetView, now: float) -> Iterator[Move]:
        for order in self.orders.values():
            if (
                order.accepted_at is None
                and now - order.issued_at >= ORDER_RETRY_SECONDS
            ):
                order.issued_at = now
                order.update_worker(view)
                yield order.move

    def _available_instances(
        self, view: FleetView, held: set[str], now: float
    ) -> dict[str, Instance]:
        """Return the idle instances without an order or maintenance."""
        available: dict[str, Instance] = {}
        for machine, instance in view.instances.items():
            load = view.loads.get(instance.id or "")
            on_standby = instance.pool in view.standby
            idle = on_standby or (load is not None and load.idle)
            reserved = machine in held or machine in self.orders
            if instance.state != INSTANCE_UP or not idle or reserved:
                self._idle_since.pop(machine, None)
                continue
            self._idle_since.setdefault(machine, now)
            available[machine] = instance
        return available

    def _count_instances(self, view: FleetView, held: set[str]) -> Counter[str]:
        """Return how many usable instances each pool has, or is about to have."""
        counts = Counter(order.pool for order in self.orders.values())
        for machine, instance in view.instances.items():
            if machine in self.orders:
                continue
            if (instance.id or machine) in view.unusable:
                # If it were counted, a step that limits its tasks for each worker would
                # not get the additional worker that it needs.
                continue
            if machine not in held and instance.state == INSTANCE_UP:
                counts[instance.pool] += 1
        return counts

    def _supply(self, pool: str, count: int, now: float) -> Supply:
        """Return the instances that a pool has, and when others arrive."""
        seconds = self.move_seconds + ORDER_OVERHEAD_SECONDS
        arrivals = tuple(
            max(0.0, _accepted_at(order, now) + seconds - now)
            for order in self.orders.values()
            if order.pool == pool
        )
        return Supply(count - len(arrivals), arrivals, seconds)

    @switchable(
        "pools-look-ahead",
        "a pool has the instances that its work needs over the next seconds",
        without=_need_by_load,
    )
    def _need(
        self, pool: str, size: Room, load: PoolLoad, supply: Supply, now: float
    ) -> Need:
        """Return how many instances a pool's work needs over the next seconds."""
        long_running = load.long_running.share_of(size)
        minimum = max(
            MIN_POOL_INSTANCES,
            load.spread_workers,
            math.ceil(long_running / TARGET_UTILISATION),
            supply.present + load.empty_workers if load.empty_workers else 0,
        )
        demand = Demand(load.profile.in_instances(size), long_running, minimum)
        isolated = min(load.isolation_workers, MAX_ISOLATED_WORKERS)
        return self._sizing.need(pool, demand, supply, isolated, now)

    def need_by_load(
        self, pool: str, size: Room, load: PoolLoad, supply: Supply, now: float
    ) -> Need:
        """Return how many instances a pool's work needs now."""
        count = supply.present + len(supply.arrivals)
        demand = sum(
            amount.share_of(size)
            for amount in (load.long_running, load.running, load.waiting)
        )
        required = (
            demand / TARGET_UTILISATION
            + load.backlog.share_of(size) / BACKLOG_START_SECONDS
        )
        required = min(required, self._need_at_arrival(load, size, count))
        upcoming = load.long_running.share_of(size) + load.inflow.share_of(size)
        required = max(required, upcoming / TARGET_UTILISATION)
        need = max(MIN_POOL_INSTANCES, load.spread_workers, math.ceil(required))
        need += min(load.isolation_workers, MAX_ISOLATED_WORKERS)
        history = self._need_history.setdefault(pool, [])
        history.append((now, need))
        while history[0][0] < now - idle_timeout_seconds():
            history.pop(0)
        kept = max(recent for _, recent in history)
        return Need(need, need, kept, idle_timeout_seconds(), "present_load")

    @switchable(
        "coming-work",
        "a pool requests instances only for work that it can't do before they arrive",
        without=_unlimited_need,
    )
    def _need_at_arrival(self, load: PoolLoad, size: Room, count: int) -> float:
        """Return the need at the time when an instance that is ordered now arrives.

        Work that the pool finishes by itself until then needs no other instance: if all
        waiting work counted, the last instances of a demand peak would arrive when its
        work was nearly over, and be idle for seconds.
        """
        seconds = self.move_seconds + ORDER_OVERHEAD_SECONDS
        long_running = load.long_running.share_of(size)
        inflow = load.inflow.share_of(size)
        done = max(0.0, count - long_running) * seconds
        left = max(0.0, load.remaining.share_of(size) + inflow * seconds - done)
        return (
            long_running + inflow + left / LATER_BACKLOG_START_SECONDS
        ) / TARGET_UTILISATION

    def _transferable(self, snapshot: _Snapshot) -> dict[str, list[Instance]]:
        """Return the instances that each pool can give to others now."""
        by_pool: dict[str, list[Instance]] = defaultdict(list)
        unreachable = unreachable_zones(snapshot.view)
        for instance in snapshot.available.values():
            by_pool[instance.pool].append(instance)
        for pool, instances in by_pool.items():
            if pool not in snapshot.view.standby:
                sort_by_rack_load(instances)
                need = snapshot.needs.get(pool)
                spare = surplus(snapshot.counts[pool], need.lent if need else 0)
                del instances[spare:]
            # Instances are taken from the end, maintained ones first: the others get
            # their maintenance while nothing runs on them.
            due = snapshot.view.maintenance_due
            instances.sort(
                key=lambda i: (i.zone not in unreachable, i.machine not in due)
            )
        return by_pool

    def _fill(
        self,
        pool: str,
        missing: int,
        transferable: dict[str, list[Instance]],
        snapshot: _Snapshot,
    ) -> Iterable[Move]:
        for _ in range(missing):
            # An instance that is on already costs nothing more in its new pool.
            donors = [
                name
                for name, instances in transferable.items()
                if instances and name != pool
            ]
            if not donors:
                return
            donor = min(
                donors,
                key=lambda name: (
                    name in snapshot.view.standby,
                    -len(transferable[name]),
                ),
            )
            yield self._order(transferable[donor].pop(), pool, snapshot)

    def _release_idle(self, snapshot: _Snapshot) -> Iterable[Move]:
        """Move instances to standby that their pools have not needed for a while."""
        view, counts = snapshot.view, snapshot.counts
        if not view.standby:
            return
        target = min(view.standby)
        for machine, instance in sorted(
            snapshot.available.items(),
            key=lambda item: (item[0] not in view.maintenance_due, item[0]),
        ):
            pool = instance.pool
            if (
                machine in self.orders
                or pool in view.standby
                or pool not in snapshot.needs
            ):
                continue
            need = snapshot.needs[pool]
            if snapshot.now - self._idle_since[machine] < need.idle_seconds:
                continue
            if counts[pool] <= max(need.kept, MIN_POOL_INSTANCES):
                continue
            counts[pool] -= 1
            yield self._order(instance, target, snapshot)

    def _order(self, instance: Instance, pool: str, snapshot: _Snapshot) -> Move:
        order = self.orders[instance.machine] = MoveOrder(
            instance.machine,
            pool,
            snapshot.now,
            worker_id=instance.id or "",
            started_at_ms=snapshot.view.worker_started_at_ms(instance),
        )
        self._idle_since.pop(instance.machine, None)
        return order.move


def _pool_names(view: FleetView) -> set[str]:
    pools = {instance.pool for instance in view.instances.values()}
    return (pools | set(view.pools)) - view.standby


def _relative_shortage(item: tuple[str, Need], counts: Counter[str]) -> float:
    pool, need = item
    return (need.ordered - counts[pool]) / max(1, counts[pool])


def _accepted_at(order: MoveOrder, now: float) -> float:
    """Return when a move began, or now if that is not known."""
    return now if order.accepted_at is None else order.accepted_at
