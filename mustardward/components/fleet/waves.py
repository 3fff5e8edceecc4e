"""Decide which instances a maintenance wave takes when; pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...platform.models import INSTANCE_UP, INSTANCE_UPKEEP, Instance, UpkeepWave
from ..ledger.models import WaveRecord
from .const import (
    CYCLE_SECONDS,
    HURRY_FACTOR,
    LEAST_AT_ONCE,
    MISSED_SECONDS,
    POOL_SHARE,
    REPEATED_SECONDS,
    RETRY_SECONDS,
)
from .costs import choose_cost
from .models import (
    Decision,
    Empty,
    FleetView,
    Maintain,
    MaintenanceOrder,
    WaveRun,
)


@dataclass(slots=True, eq=False)
class WavePlanner:
    """Carry out waves within their most at once.

    :param maintenance_seconds: how long an instance is down at least.
    """

    maintenance_seconds: float
    runs: dict[int, WaveRun] = field(default_factory=dict)

    def decide(self, view: FleetView, now: float) -> list[Decision]:
        """Return what is to be done for all waves that are not done."""
        decisions: list[Decision] = []
        for run in self.runs.values():
            if run.done:
                continue
            _note_missed(run, view)
            self._settle(run, view)
            decisions.extend(self._order(run, view, now))
            decisions.extend(self._empty(run, view, now))
            run.done = not run.orders and all(
                machine in run.begun or _is_gone(run, machine, view)
                for machine in run.wave.machines
            )
        return decisions

    def accepted(self, wave: int, machine: str, now: float) -> None:
        """Take in that the platform has begun an instance's maintenance."""
        run = self.runs[wave]
        run.begun.add(machine)
        run.emptying.pop(machine, None)
        order = run.orders.get(machine)
        if order is not None and not order.accepted:
            order.accepted = True
            order.accepted_at = now

    def refused(self, wave: int, machine: str) -> None:
        """Take in that an order certainly had no effect."""
        self.runs[wave].orders.pop(machine, None)

    def taken(self) -> set[str]:
        """Return the machines that waves hold now."""
        held: set[str] = set()
        for run in self.runs.values():
            held.update(run.emptying)
            held.update(run.orders)
        return held

    def due(self) -> set[str]:
        """Return the machines whose maintenance is still to come."""
        return {
            machine
            for run in self.runs.values()
            if not run.done
            for machine in run.wave.machines
            if machine not in run.begun
        }

    def left(self, run: WaveRun, view: FleetView) -> list[Instance]:
        """Return the instances whose maintenance has not begun."""
        return [
            view.instances[machine]
            for machine in run.wave.machines
            if machine not in run.begun and machine in view.instances
        ]

    def _settle(self, run: WaveRun, view: FleetView) -> None:
        """Forget the orders whose instances were seen up again, or are gone.

        An instance counts as down until a list that was asked for after its
        maintenance shows it up as another incarnation: the list lags, and one more
        order too early would break the wave's most at once.
        """
        for machine, order in list(run.orders.items()):
            instance = view.instances.get(machine)
            if not order.accepted:
                continue
            if view.read_at < order.accepted_at + self.maintenance_seconds:
                continue
            if instance is None:
                if _is_gone(run, machine, view):
                    del run.orders[machine]
            elif _is_up_again(instance, order, view):
                del run.orders[machine]
            elif view.read_at >= (
                order.accepted_at + self.maintenance_seconds + REPEATED_SECONDS
            ):
                # The same incarnation is still up: an owner before had it maintained,
                # and the platform accepts an order again that was carried out.
                if instance.state == INSTANCE_UP:
                    del run.orders[machine]

    def _order(self, run: WaveRun, view: FleetView, now: float) -> Iterable[Decision]:
        for machine in list(run.emptying):
            instance = view.instances.get(machine)
            if instance is None:
                if _is_gone(run, machine, view) or _is_missed_long(run, machine, view):
                    del run.emptying[machine]
                continue
            if instance.state != INSTANCE_UP or _is_silent(instance, view):
                del run.emptying[machine]
                continue
            # Whichever worker runs there by now gets no new task.
            run.emptying[machine] = instance.id or ""
            if not _is_empty(instance, view):
                continue
            if self._down(run, view) >= run.wave.max_count:
                continue
            del run.emptying[machine]
            order = run.orders[machine] = MaintenanceOrder(
                machine, instance.id, now, view.born_of(instance)
            )
            yield _maintain(order, run)
        for order in run.orders.values():
            if not order.accepted and now - order.given_at >= RETRY_SECONDS:
                order.given_at = now
                yield _maintain(order, run)

    def _down(self, run: WaveRun, view: FleetView) -> int:
        """Return how many of a wave's instances are, or may be, down for it.

        An owner before this one may have taken some; the list shows them, or, where it
        lags, that owner's last renewal named them. Moves of this owner are none of
        them: a turn of demand that moves 40 instances would stop a wave for seconds.
        """
        others = [
            machine
            for machine in run.wave.machines
            if machine not in run.orders
            and machine in view.instances
            and (
                view.instances[machine].state == INSTANCE_UPKEEP
                or machine in view.barred
            )
        ]
        return len(run.orders) + len(others)

    def _empty(self, run: WaveRun, view: FleetView, now: float) -> Iterable[Decision]:
        left = [i for i in self.left(run, view) if i.machine not in run.emptying]
        wanted = self._at_once(run, len(left), now)
        held = len(run.emptying) + self._down(run, view)
        per_pool = self._held_by_pool(run, view)
        sizes = Counter(instance.pool for instance in view.instances.values())
        cost = choose_cost(now - run.first_seen_at)
        for instance in sorted(left, key=lambda i: cost(i, view)):
            if held >= wanted:
                return
            if instance.machine in view.moving:
                continue
            if instance.state != INSTANCE_UP or instance.machine in run.orders:
                continue
            if instance.pool not in view.standby and instance.id not in view.loads:
                # A worker that was not heard of may run tasks of any step.
                continue
            pool = instance.pool
            most = max(1, math.floor(POOL_SHARE * sizes[pool]))
            if pool not in view.standby and per_pool[pool] >= most:
                continue
            per_pool[pool] += 1
            held += 1
            run.emptying[instance.machine] = instance.id or ""
            yield Empty(instance.machine, instance.id or "")

    def _at_once(self, run: WaveRun, left: int, now: float) -> int:
        time_left = run.first_seen_at + run.wave.duration_s - now
        rounds = max(1.0, time_left / CYCLE_SECONDS - 1)
        pace = math.ceil(HURRY_FACTOR * left / rounds)
        return min(run.wave.max_count, max(LEAST_AT_ONCE, pace))

    def _held_by_pool(self, run: WaveRun, view: FleetView) -> Counter[str]:
        held: Counter[str] = Counter()
        for machine in [*run.emptying, *run.orders]:
            instance = view.instances.get(machine)
            if instance is not None:
                held[instance.pool] += 1
        return held


def _maintain(order: MaintenanceOrder, run: WaveRun) -> Maintain:
    return Maintain(order.machine, run.wave.wave, order.old_id or "", order.old_born)


def _note_missed(run: WaveRun, view: FleetView) -> None:
    """Note which instances of a wave the lists miss, and since when."""
    for machine in run.wave.machines:
        if machine in view.instances:
            run.missed.pop(machine, None)
        else:
            run.missed.setdefault(machine, view.read_at)


def _is_gone(run: WaveRun, machine: str, view: FleetView) -> bool:
    """Return whether two lists in a row missed an instance, the last of them complete.

    Instances come and go while the pages of one list are read, and a row that can't be
    read may be that of any.
    """
    return view.complete and run.missed.get(machine, view.read_at) < view.read_at


def _is_missed_long(run: WaveRun, machine: str, view: FleetView) -> bool:
    since = run.missed.get(machine, view.read_at)
    return view.read_at - since > MISSED_SECONDS


def _is_up_again(instance: Instance, order: MaintenanceOrder, view: FleetView) -> bool:
    if instance.state != INSTANCE_UP:
        return False
    if instance.pool in view.standby:
        return True
    if instance.id != order.old_id:
        return instance.id is not None
    # A worker may come back under its id; its time of birth tells it apart.
    return 0 < order.old_born < view.born_of(instance)


def _is_silent(instance: Instance, view: FleetView) -> bool:
    """Return whether nothing was heard of an instance for longer than a moment.

    Emptied on, it would hold a place of its wave for as long as that lasts.
    """
    if instance.pool in view.standby or instance.id in view.loads:
        return False
    return (instance.id or instance.machine) in view.unusable


def _is_empty(instance: Instance, view: FleetView) -> bool:
    if instance.pool in view.standby:
        return True
    load = view.loads.get(instance.id or "")
    return load is not None and load.empty


def take_up(
    wave: UpkeepWave, stored: WaveRecord | None, now: float, wall: float
) -> WaveRun:
    """Return a wave as an owner takes it up, with what one before it stored.

    Its time runs from when the first owner saw it: one that took it for new would
    spread what is left over the whole time again.
    """
    if stored is None:
        return WaveRun(wave, now, wall)
    passed = min(wave.duration_s, max(0.0, wall - stored.seen_at))
    return WaveRun(
        wave, now - passed, stored.seen_at, set(stored.machines), done=stored.done
    )
