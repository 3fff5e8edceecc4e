"""Plan which instances a maintenance wave drains and maintains when; pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...platform.models import INSTANCE_UP, INSTANCE_UPKEEP, Instance, MaintenanceWave
from ..ledger.models import WaveRecord
from .const import (
    MAINTENANCE_CYCLE_SECONDS,
    MAX_DRAINED_POOL_SHARE,
    MIN_CONCURRENT_INSTANCES,
    ORDER_RETRY_SECONDS,
    PACE_FACTOR,
    UNCHANGED_INCARNATION_SECONDS,
    UNLISTED_TIMEOUT_SECONDS,
)
from .drain_order import choose_rank
from .models import (
    Decision,
    Drain,
    FleetView,
    Maintain,
    MaintenanceOrder,
    WaveRun,
)


@dataclass(slots=True, eq=False)
class WavePlanner:
    """Plan maintenance waves within their limits of concurrent instances.

    :param maintenance_seconds: shortest time that an instance is down.
    """

    maintenance_seconds: float
    runs: dict[int, WaveRun] = field(default_factory=dict)

    def decide(self, view: FleetView, now: float) -> list[Decision]:
        """Return the next decisions for all unfinished waves."""
        decisions: list[Decision] = []
        for run in self.runs.values():
            if run.done:
                continue
            _record_unlisted(run, view)
            self._finish_orders(run, view)
            self._update_postponed(run, view, now)
            decisions.extend(self._issue_orders(run, view, now))
            decisions.extend(self._start_draining(run, view, now))
            run.done = not run.orders and all(
                machine in run.started or _is_gone(run, machine, view)
                for machine in run.wave.machines
            )
        return decisions

    def record_accepted(self, wave: int, machine: str, now: float) -> None:
        """Record that the platform has started an instance's maintenance."""
        run = self.runs[wave]
        run.started.add(machine)
        run.draining.pop(machine, None)
        order = run.orders.get(machine)
        if order is not None and not order.accepted:
            order.accepted = True
            order.accepted_at = now

    def record_refused(self, wave: int, machine: str) -> None:
        """Drop an order that the platform refused, and that hence has no effect."""
        self.runs[wave].orders.pop(machine, None)

    def held_machines(self) -> set[str]:
        """Return the machines that are being drained or have an unfinished order."""
        held: set[str] = set()
        for run in self.runs.values():
            held.update(run.draining)
            held.update(run.orders)
        return held

    def draining_workers(self) -> set[str]:
        """Return the workers of the machines that are being drained."""
        return {
            worker_id
            for run in self.runs.values()
            for worker_id in run.draining.values()
            if worker_id
        }

    def maintenance_due(self) -> set[str]:
        """Return the machines whose maintenance has not started."""
        return {
            machine
            for run in self.runs.values()
            if not run.done
            for machine in run.wave.machines
            if machine not in run.started
        }

    def remaining_instances(self, run: WaveRun, view: FleetView) -> list[Instance]:
        """Return the listed instances whose maintenance has not started."""
        return [
            view.instances[machine]
            for machine in run.wave.machines
            if machine not in run.started and machine in view.instances
        ]

    def _finish_orders(self, run: WaveRun, view: FleetView) -> None:
        """Drop the orders whose instances are up again or gone.

        An instance counts as down until a list that was requested after its maintenance
        shows it up as another incarnation: the list lags, and another order too early
        would exceed the wave's limit.
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
                order.accepted_at
                + self.maintenance_seconds
                + UNCHANGED_INCARNATION_SECONDS
            ):
                # The same incarnation is still up: a previous owner had it maintained,
                # and the platform accepts a repeated order without carrying it out.
                if instance.state == INSTANCE_UP:
                    del run.orders[machine]

    def _update_postponed(self, run: WaveRun, view: FleetView, now: float) -> None:
        """Postpone the drains of needed workers, and go on with those that have places.

        All of them may become free at once, when another instance arrives.
        """
        run.postponed.intersection_update(run.draining)
        ready = [
            machine
            for machine in run.draining
            if machine in run.postponed
            and run.draining[machine] not in view.needed_hosts
        ]
        run.postponed.update(
            machine
            for machine, worker_id in run.draining.items()
            if worker_id in view.needed_hosts
        )
        if ready:
            remaining = len(self._undrained_instances(run, view))
            target = self._target_concurrency(run, remaining, now)
            free = max(0, target - self._count_held(run, view))
            run.postponed.difference_update(ready[:free])

    def _issue_orders(
        self, run: WaveRun, view: FleetView, now: float
    ) -> Iterable[Decision]:
        for machine in list(run.draining):
            instance = view.instances.get(machine)
            if instance is None:
                if _is_gone(run, machine, view) or _is_unlisted_too_long(
                    run, machine, view
                ):
                    del run.draining[machine]
                continue
            if instance.state != INSTANCE_UP or _is_unresponsive(instance, view):
                del run.draining[machine]
                continue
            # Cordons the current worker, which may have replaced an earlier one.
            run.draining[machine] = instance.id or ""
            if machine in run.postponed or not _is_idle(instance, view):
                continue
            if self._count_down(run, view) >= run.wave.max_count:
                continue
            del run.draining[machine]
            order = run.orders[machine] = MaintenanceOrder(
                machine, instance.id, now, view.worker_started_at_ms(instance)
            )
            yield _maintain(order, run)
        for order in run.orders.values():
            if order.accepted:
                continue
            order.update_replacement(view)
            if now - order.issued_at >= ORDER_RETRY_SECONDS:
                order.issued_at = now
                yield _maintain(order, run)

    def _count_down(self, run: WaveRun, view: FleetView) -> int:
        """Return how many of a wave's instances are, or may be, down for it.

        This includes instances that a previous owner had maintained: the list shows
        them, or, while it lags, the last renewal of that owner names them. It excludes
        moves by this owner, since a demand peak that moves 40 instances would stop a
        wave for seconds.
        """
        down_before = [
            machine
            for machine in run.wave.machines
            if machine not in run.orders
            and machine in view.instances
            and (
                view.instances[machine].state == INSTANCE_UPKEEP
                or machine in view.blocked
            )
        ]
        return len(run.orders) + len(down_before)

    def _start_draining(
        self, run: WaveRun, view: FleetView, now: float
    ) -> Iterable[Decision]:
        remaining = self._undrained_instances(run, view)
        target = self._target_concurrency(run, len(remaining), now)
        held = self._count_held(run, view)
        per_pool = self._count_held_per_pool(run, view)
        sizes = Counter(instance.pool for instance in view.instances.values())
        rank = choose_rank(now - run.first_seen_at)
        for instance in sorted(remaining, key=lambda i: rank(i, view)):
            if held >= target:
                return
            if instance.machine in view.moving:
                continue
            if instance.state != INSTANCE_UP or instance.machine in run.orders:
                continue
            if instance.pool not in view.standby and instance.id not in view.loads:
                # An unconfirmed worker may run tasks of any step.
                continue
            pool = instance.pool
            pool_limit = max(1, math.floor(MAX_DRAINED_POOL_SHARE * sizes[pool]))
            if pool not in view.standby and per_pool[pool] >= pool_limit:
                continue
            per_pool[pool] += 1
            held += 1
            run.draining[instance.machine] = instance.id or ""
            yield Drain(instance.machine, instance.id or "")

    def _undrained_instances(self, run: WaveRun, view: FleetView) -> list[Instance]:
        return [
            instance
            for instance in self.remaining_instances(run, view)
            if instance.machine not in run.draining
        ]

    def _count_held(self, run: WaveRun, view: FleetView) -> int:
        """Return how many of a wave's places are taken."""
        return len(run.draining) - len(run.postponed) + self._count_down(run, view)

    def _target_concurrency(self, run: WaveRun, remaining: int, now: float) -> int:
        """Return how many instances to process at once to finish the wave in time."""
        seconds_left = run.first_seen_at + run.wave.duration_s - now
        cycles = max(1.0, seconds_left / MAINTENANCE_CYCLE_SECONDS - 1)
        pace = math.ceil(PACE_FACTOR * remaining / cycles)
        return min(run.wave.max_count, max(MIN_CONCURRENT_INSTANCES, pace))

    def _count_held_per_pool(self, run: WaveRun, view: FleetView) -> Counter[str]:
        held: Counter[str] = Counter()
        for machine in [*run.draining, *run.orders]:
            instance = view.instances.get(machine)
            if instance is not None:
                held[instance.pool] += 1
        return held


def _maintain(order: MaintenanceOrder, run: WaveRun) -> Maintain:
    return Maintain(
        order.machine, run.wave.wave, order.worker_id or "", order.started_at_ms
    )


def _record_unlisted(run: WaveRun, view: FleetView) -> None:
    """Record since when instances of a wave are missing from the list."""
    for machine in run.wave.machines:
        if machine in view.instances:
            run.unlisted_since.pop(machine, None)
        else:
            run.unlisted_since.setdefault(machine, view.read_at)


def _is_gone(run: WaveRun, machine: str, view: FleetView) -> bool:
    """Return whether an instance is missing from two lists in a row, the last complete.

    Instances come and go while the pages of one list are read, and an unreadable row
    may belong to any instance.
    """
    return (
        view.complete and run.unlisted_since.get(machine, view.read_at) < view.read_at
    )


def _is_unlisted_too_long(run: WaveRun, machine: str, view: FleetView) -> bool:
    since = run.unlisted_since.get(machine, view.read_at)
    return view.read_at - since > UNLISTED_TIMEOUT_SECONDS


def _is_up_again(instance: Instance, order: MaintenanceOrder, view: FleetView) -> bool:
    if instance.state != INSTANCE_UP:
        return False
    if instance.pool in view.standby:
        return True
    if instance.id != order.worker_id:
        return instance.id is not None
    # A restarted worker may have the same id but has a later start time.
    return 0 < order.started_at_ms < view.worker_started_at_ms(instance)


def _is_unresponsive(instance: Instance, view: FleetView) -> bool:
    """Return whether the worker of an instance has been unusable for a while.

    If it were drained further, it would block one of its wave's places meanwhile.
    """
    if instance.pool in view.standby or instance.id in view.loads:
        return False
    return (instance.id or instance.machine) in view.unusable


def _is_idle(instance: Instance, view: FleetView) -> bool:
    if instance.pool in view.standby:
        return True
    load = view.loads.get(instance.id or "")
    return load is not None and load.idle


def resume_wave(
    wave: MaintenanceWave, stored: WaveRecord | None, now: float, wall: float
) -> WaveRun:
    """Return a wave with the progress that a previous owner stored.

    Its duration counts from when the first owner saw it: an owner that restarted it
    would spread the remaining instances over the whole duration again.
    """
    if stored is None:
        return WaveRun(wave, now, wall)
    elapsed = min(wave.duration_s, max(0.0, wall - stored.seen_at))
    return WaveRun(
        wave, now - elapsed, stored.seen_at, set(stored.machines), done=stored.done
    )
