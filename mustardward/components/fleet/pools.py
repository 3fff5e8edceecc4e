"""Decide which instances move between pools and standby; pure.

Load pattern: demand comes by turns. Each queue asks five times its mean for some
seconds, more than its pool holds, while other pools stand idle; then it asks next to
nothing. A pool that is full takes idle instances of other pools at once, else of
standby, and what stays idle for as long as a way off and on costs goes off.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

from ...helpers.policies import switchable
from ...platform.models import INSTANCE_UP, Instance, Room
from ..scheduling.demand import PoolLoad
from .budget import OrderBudget
from .const import (
    CLEAR_SECONDS,
    LEAST_INSTANCES,
    MOST_WORKERS_APART,
    MOVE_LOST_SECONDS,
    ORDER_SECONDS,
    RETRY_SECONDS,
    TARGET_SHARE,
    THEN_CLEAR_SECONDS,
)
from .lending import idle_seconds, keep_racks_apart, spare, unheard_zones
from .models import FleetView, Move, MoveOrder
from .sizes import ANY_POOL, sizes_of


@dataclass(frozen=True, slots=True)
class _Look:
    """Hold what one look at the fleet found.

    :param free: the instances that nothing runs on and nobody holds, by machine.
    :param have: how many instances each pool has, or is about to have.
    :param needs: how many its work asks for.
    """

    view: FleetView
    free: dict[str, Instance]
    have: Counter[str]
    needs: dict[str, int]
    now: float


def _need_at_once(
    planner: PoolPlanner, /, load: PoolLoad, size: Room, have: int
) -> float:
    return math.inf


@dataclass(slots=True, eq=False)
class PoolPlanner:
    """Move instances to where work waits.

    :param move_seconds: how long an instance is away at least.
    :param budget: bounds the orders; what it leaves out is decided anew.
    """

    move_seconds: float
    budget: OrderBudget = field(default_factory=OrderBudget)
    orders: dict[str, MoveOrder] = field(default_factory=dict)
    _needs: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    _idle_since: dict[str, float] = field(default_factory=dict)

    def decide(
        self,
        view: FleetView,
        loads: dict[str, PoolLoad],
        taken: set[str],
        now: float,
    ) -> list[Move]:
        """Return the moves to order now.

        :param taken: machines that maintenance holds.
        """
        self._settle(view, now)
        # What was free and needed is noted at each look, however few orders may go.
        free = self._free(view, taken, now)
        have = self._have(view, taken)
        sizes = sizes_of(view)
        needs = {
            pool: self._need(pool, sizes, loads, have[pool], now)
            for pool in _pools(view)
        }
        look = _Look(view, free, have, needs, now)
        wanted = chain(self._repeat(view, now), self._fill_all(look), self._rest(look))
        moves = list(islice(wanted, self.budget.left(now)))
        self.budget.spend(len(moves))
        return moves

    def _fill_all(self, look: _Look) -> Iterator[Move]:
        """Fill the pools, the one that lacks most of its need first."""
        lendable = self._lendable(look)
        have = look.have
        for pool, need in sorted(
            look.needs.items(), key=lambda item: -_gap(item, have)
        ):
            yield from self._fill(pool, need - have[pool], lendable, look)

    def accepted(self, machine: str, now: float) -> None:
        """Take in that the platform has begun a move."""
        order = self.orders.get(machine)
        if order is not None and order.accepted_at is None:
            order.accepted_at = now

    def refused(self, machine: str) -> None:
        """Take in that a move certainly was not begun."""
        self.orders.pop(machine, None)

    def _settle(self, view: FleetView, now: float) -> None:
        for machine, order in list(self.orders.items()):
            if order.accepted_at is None:
                continue
            instance = view.instances.get(machine)
            since = now - order.accepted_at
            shown = (
                instance is not None
                and instance.pool == order.pool
                and instance.state == INSTANCE_UP
                and view.read_at >= order.accepted_at + self.move_seconds
            )
            gone = instance is None and view.complete
            if gone or shown or since > MOVE_LOST_SECONDS:
                del self.orders[machine]

    def _repeat(self, view: FleetView, now: float) -> Iterator[Move]:
        for order in self.orders.values():
            if order.accepted_at is None and now - order.given_at >= RETRY_SECONDS:
                order.given_at = now
                order.update_worker(view)
                yield order.move

    def _free(
        self, view: FleetView, taken: set[str], now: float
    ) -> dict[str, Instance]:
        """Return the instances that nothing runs on and nobody holds."""
        free: dict[str, Instance] = {}
        for machine, instance in view.instances.items():
            load = view.loads.get(instance.id or "")
            off = instance.pool in view.standby
            idle = off or (load is not None and load.empty)
            held = machine in taken or machine in self.orders
            if instance.state != INSTANCE_UP or not idle or held:
                self._idle_since.pop(machine, None)
                continue
            self._idle_since.setdefault(machine, now)
            free[machine] = instance
        return free

    def _have(self, view: FleetView, taken: set[str]) -> Counter[str]:
        have = Counter(order.pool for order in self.orders.values())
        for machine, instance in view.instances.items():
            if machine in self.orders:
                continue
            if (instance.id or machine) in view.unusable:
                # Counted, it would keep a step that spreads from the worker it lacks.
                continue
            if machine not in taken and instance.state == INSTANCE_UP:
                have[instance.pool] += 1
        return have

    def _need(
        self,
        pool: str,
        sizes: dict[str, Room],
        loads: dict[str, PoolLoad],
        have: int,
        now: float,
    ) -> int:
        """Return how many instances a pool's work asks for now."""
        load = loads.get(pool, PoolLoad())
        size = sizes.get(pool) or sizes[ANY_POOL]
        taken = sum(
            amount.share_of(size)
            for amount in (load.long_running, load.running, load.waiting)
        )
        asked = taken / TARGET_SHARE + load.backlog.share_of(size) / CLEAR_SECONDS
        asked = min(asked, self._need_then(load, size, have))
        coming = load.long_running.share_of(size) + load.inflow.share_of(size)
        asked = max(asked, coming / TARGET_SHARE)
        need = max(LEAST_INSTANCES, load.spread_workers, math.ceil(asked))
        need += min(load.isolation_workers, MOST_WORKERS_APART)
        history = self._needs.setdefault(pool, [])
        history.append((now, need))
        while history[0][0] < now - idle_seconds():
            history.pop(0)
        return need

    @switchable(
        "coming-work",
        "a pool asks for what it can't do itself until instances come, no more",
        without=_need_at_once,
    )
    def _need_then(self, load: PoolLoad, size: Room, have: int) -> float:
        """Return what is asked for once an instance that is ordered now has come.

        What the pool does by itself until then needs no other instance: asked for by
        all that waits, the last ones of a turn came when its work was nearly over, and
        stood idle for seconds.
        """
        seconds = self.move_seconds + ORDER_SECONDS
        lasting = load.long_running.share_of(size)
        inflow = load.inflow.share_of(size)
        done = max(0.0, have - lasting) * seconds
        left = max(0.0, load.remaining.share_of(size) + inflow * seconds - done)
        return (lasting + inflow + left / THEN_CLEAR_SECONDS) / TARGET_SHARE

    def _lendable(self, look: _Look) -> dict[str, list[Instance]]:
        """Return, by pool, the instances that it can spare now."""
        by_pool: dict[str, list[Instance]] = defaultdict(list)
        unheard = unheard_zones(look.view)
        for instance in look.free.values():
            by_pool[instance.pool].append(instance)
        for pool, instances in by_pool.items():
            if pool not in look.view.standby:
                keep_racks_apart(instances)
                del instances[spare(look.have[pool], look.needs.get(pool, 0)) :]
            # What has its maintenance behind it is taken first, from the end: the rest
            # is maintained where nothing runs.
            due = look.view.due
            instances.sort(key=lambda i: (i.zone not in unheard, i.machine not in due))
        return by_pool

    def _fill(
        self,
        pool: str,
        missing: int,
        lendable: dict[str, list[Instance]],
        look: _Look,
    ) -> Iterable[Move]:
        for _ in range(missing):
            # One that is on already costs nothing more in its new pool.
            donors = [
                name
                for name, instances in lendable.items()
                if instances and name != pool
            ]
            if not donors:
                return
            donor = min(
                donors,
                key=lambda name: (name in look.view.standby, -len(lendable[name])),
            )
            yield self._order(lendable[donor].pop(), pool, look)

    def _rest(self, look: _Look) -> Iterable[Move]:
        """Send off what its pool has not needed for a while."""
        view, have = look.view, look.have
        if not view.standby:
            return
        target = min(view.standby)
        idle = idle_seconds()
        for machine, instance in sorted(
            look.free.items(), key=lambda item: (item[0] not in view.due, item[0])
        ):
            pool = instance.pool
            if machine in self.orders or pool in view.standby or pool not in look.needs:
                continue
            if look.now - self._idle_since[machine] < idle:
                continue
            recent = max(need for _, need in self._needs[pool])
            if have[pool] <= max(recent, LEAST_INSTANCES):
                continue
            have[pool] -= 1
            yield self._order(instance, target, look)

    def _order(self, instance: Instance, pool: str, look: _Look) -> Move:
        order = self.orders[instance.machine] = MoveOrder(
            instance.machine,
            pool,
            look.now,
            worker=instance.id or "",
            born=look.view.born_of(instance),
        )
        self._idle_since.pop(instance.machine, None)
        return order.move


def _pools(view: FleetView) -> set[str]:
    pools = {instance.pool for instance in view.instances.values()}
    return (pools | set(view.pools)) - view.standby


def _gap(item: tuple[str, int], have: Counter[str]) -> float:
    pool, need = item
    return (need - have[pool]) / max(1, have[pool])
