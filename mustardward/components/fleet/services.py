"""Manage the fleet: poll the instance list and carry out the planners' decisions."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from anyio.abc import TaskGroup

from ...helpers.duty_cycle import DutyCycle
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.models import INSTANCE_UP, Instance
from ..configuration.services import Configuration
from ..dispatch.dispatcher import Dispatcher
from ..ledger.appender import GroupAppender
from ..ledger.const import PREFIX_WAVE
from ..ledger.ledger import Ledger, encode
from ..ledger.models import WaveRecord
from ..scheduling.demand import measure
from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.losses import LossCause
from ..scheduling.needed_hosts import find_needed_hosts
from ..scheduling.scheduler import Scheduler
from ..scheduling.worker_state import WorkerState
from .const import (
    ACTIVE_LIST_INTERVAL_SECONDS,
    LIST_INTERVAL_SECONDS,
    TICK_SECONDS,
)
from .cordons import find_cordoned, is_cordoned
from .instance_list import InstanceListReader
from .listed_workers import ListedWorkers
from .models import Drain, FleetView, Load, Maintain, Move, WaveRun
from .order_executor import OrderExecutor, OrderOutcome
from .pool_planner import PoolPlanner
from .unlisted_holds import UnlistedHolds
from .unusable import UnusableTracker
from .wave_planner import WavePlanner, resume_wave
from .wave_reporter import WaveReporter
from .worker_hosts import WorkerHosts

_LOGGER = get_logger(__name__)

MAX_TICK_SHARE: Final = 0.15
"""Largest share of an owner's time for the fleet; its workers need the rest."""

MAX_TICK_PAUSE_SECONDS: Final = 2.0
"""Longest pause between two ticks, and thus delay of the order for an instance."""

_DUTY: Final = DutyCycle(TICK_SECONDS, MAX_TICK_SHARE, MAX_TICK_PAUSE_SECONDS)
_IDLE: Final = Load(0, 0)


@dataclass(slots=True, eq=False)
class Fleet:
    """Manage the fleet for the term of one owner.

    :param blocked_until: until when machines get no orders, in monotonic seconds, since
        the previous owner ordered them: their holder must not change twice within a
        lease.
    :param ledger_appender: stores which instances a wave has maintained.
    :param authorised: whether this owner may still issue orders.
    """

    list_reader: InstanceListReader
    executor: OrderExecutor
    blocked_until: dict[str, float]
    timers: TimerService
    scheduler: Scheduler
    dispatcher: Dispatcher
    configuration: Configuration
    ledger: Ledger
    ledger_appender: GroupAppender
    wave_planner: WavePlanner
    wave_reporter: WaveReporter
    pool_planner: PoolPlanner
    authorised: Callable[[], bool]
    tasks: TaskGroup
    _instances: dict[str, Instance] = field(default_factory=dict)
    _worker_hosts: WorkerHosts = field(default_factory=WorkerHosts)
    _listed: ListedWorkers = field(default_factory=ListedWorkers)
    _unusable: UnusableTracker = field(default_factory=UnusableTracker)
    _unlisted_holds: UnlistedHolds = field(default_factory=UnlistedHolds)
    _read_at: float = -1.0
    _complete: bool = True

    async def async_run(self) -> None:
        """Poll the list and carry out decisions until cancelled."""
        while True:
            await self._async_read_if_due()
            started_at = self.timers.monotonic()
            if self.configuration.is_loaded:
                # Otherwise the instances on standby are unknown.
                self._decide()
            seconds = self.timers.monotonic() - started_at
            await self.timers.async_sleep(_DUTY.pause(seconds))

    async def _async_read_if_due(self) -> None:
        self._add_new_waves()
        now = self.timers.monotonic()
        active = (
            any(not run.done for run in self.wave_planner.runs.values())
            or bool(self.pool_planner.orders)
            or self._listed.needs_another
            or self.dispatcher.has_unresponsive_workers()
            or bool(self._awaited_without_session())
        )
        interval = ACTIVE_LIST_INTERVAL_SECONDS if active else LIST_INTERVAL_SECONDS
        if now - self._read_at >= self.list_reader.interval(interval):
            await self._async_read()

    def _decide(self) -> None:
        """Decide on moves and maintenance by the latest list."""
        if self._read_at < 0 or not self.authorised():
            return
        now = self.timers.monotonic()
        blocked = self._blocked_machines()
        view = self._view()
        self.scheduler.state.unusable_workers = view.unusable
        held = self.wave_planner.held_machines() | blocked
        for move in self.pool_planner.decide(
            view, measure(self.scheduler.state, now), held, now
        ):
            self.tasks.start_soon(self._async_move, move)
        self.scheduler.state.pool_needs = self.pool_planner.needs
        view = replace(
            view,
            moving=frozenset(blocked | set(self.pool_planner.orders)),
            blocked=frozenset(blocked),
        )
        for decision in self.wave_planner.decide(view, now):
            if isinstance(decision, Drain):
                _LOGGER.info("instance_draining", machine=decision.machine)
            elif isinstance(decision, Maintain):
                self.tasks.start_soon(self._async_maintain, decision)
        # Cordons the workers before the orders are sent: a task placed on one of them
        # meanwhile would be interrupted.
        self._update_cordons()
        self.scheduler.state.incoming_cpu = self._incoming_cpu()
        self.scheduler.set_maintenance_due(
            {self._worker_of(machine) for machine in view.maintenance_due}
        )
        for number in self.wave_reporter.report(view, now):
            self._store_wave(self.wave_planner.runs[number])

    async def _async_read(self) -> None:
        listing = await self.list_reader.async_read()
        if listing is None:
            return
        self._read_at = listing.started_at
        self._instances = {row.machine: row for row in listing.instances}
        self._complete = listing.complete
        self._listed.update(listing)
        self._release_replaced_workers()
        self._end_unlisted_holds()
        self._remove_unlisted_workers()

    def listed_workers(self) -> dict[str, str] | None:
        """Return the data centres of the workers that the list names.

        :returns: None if a worker that is not named may be alive: no list was read yet,
            or it has an unreadable row, or its pages may have missed one.
        """
        return self._listed.zones()

    def _remove_unlisted_workers(self) -> None:
        """Remove the unresponsive workers whose incarnation is no longer listed.

        Their tasks would otherwise not restart before the end of their leases.
        """
        sessions = self.dispatcher.sessions
        held_starts = self.scheduler.state.held_starts
        ordered = (
            self._blocked_machines()
            | set(self.pool_planner.orders)
            | self.wave_planner.held_machines()
        )
        for worker_id, session in list(sessions.items()):
            unresponsive_since = session.unresponsive_since
            is_over = session.closed and not held_starts.await_worker(worker_id)
            if is_over or unresponsive_since is None:
                continue
            was_listed = self._worker_hosts.has_listed(worker_id)
            if not self._listed.is_gone(worker_id, was_listed, unresponsive_since):
                continue
            cause = self._worker_hosts.loss_cause(worker_id, self._instances, ordered)
            _LOGGER.info(
                "unlisted_worker_removed",
                worker=worker_id,
                cause=cause.value,
                machine=self._worker_hosts.machine_of(worker_id),
                unresponsive_seconds=self._read_at - unresponsive_since,
                list_seconds=self.timers.monotonic() - self._read_at,
            )
            self.dispatcher.remove_worker(worker_id, cause)
        alive = {name for name, session in sessions.items() if not session.closed}
        self._worker_hosts.update(self._instances, alive | held_starts.workers())

    def _awaited_without_session(self) -> set[str]:
        """Return the workers of unanswered starts that this owner has never met."""
        awaited = self.scheduler.state.held_starts.awaited_workers()
        return awaited - self.dispatcher.sessions.keys()

    def _end_unlisted_holds(self) -> None:
        """End the holds of workers that were gone before their entries were read.

        Without a session, nothing else would show that they have ended.
        """
        gone = self._unlisted_holds.update(
            self._awaited_without_session(), self._listed.zones(), self._read_at
        )
        now = self.timers.monotonic()
        for worker_id in gone:
            _LOGGER.info("held_worker_gone", worker=worker_id, cause="unlisted")
            self.scheduler.state.held_starts.limit_after_end(worker_id, now)

    def limit_unlisted_holds(self) -> None:
        """Let the next owner wait no longer than this one for unlisted workers.

        Otherwise each of several owners in a row would wait for them anew.
        """
        for worker_id, ends_at in self._unlisted_holds.ends_at().items():
            self.scheduler.state.held_starts.limit_after_end(worker_id, ends_at)

    def _release_replaced_workers(self) -> None:
        """Release the starts of workers whose machines have other workers.

        Such a worker can't restart under its id, and the other one rejects its calls.
        """
        held_starts = self.scheduler.state.held_starts
        for worker_id in held_starts.workers():
            if self._worker_hosts.is_replaced(worker_id, self._instances):
                _LOGGER.info("held_worker_gone", worker=worker_id, cause="replaced")
                held_starts.release(worker_id)

    def _blocked_machines(self) -> set[str]:
        """Return the machines that the previous owner may just have ordered."""
        now = self.timers.monotonic()
        return {machine for machine, until in self.blocked_until.items() if until > now}

    async def _async_maintain(self, order: Maintain) -> None:
        outcome = await self.executor.async_execute(order)
        if outcome is OrderOutcome.REFUSED:
            self.wave_planner.record_refused(order.wave, order.machine)
            self._update_cordons()
        elif outcome is OrderOutcome.BEGUN:
            self.wave_planner.record_accepted(
                order.wave, order.machine, self.timers.monotonic()
            )
            self._remove_ordered_worker(order)
            self._store_wave(self.wave_planner.runs[order.wave])

    async def _async_move(self, order: Move) -> None:
        outcome = await self.executor.async_execute(order)
        if outcome is OrderOutcome.REFUSED:
            self.pool_planner.record_refused(order.machine)
            self._update_cordons()
        elif outcome is OrderOutcome.BEGUN:
            self.pool_planner.record_accepted(order.machine, self.timers.monotonic())
            self._remove_ordered_worker(order)

    def _remove_ordered_worker(self, order: Maintain | Move) -> None:
        """Remove the worker that an order was decided for, but no later incarnation."""
        if not order.worker_id:
            return
        worker = self.scheduler.state.workers.get(order.worker_id)
        if worker is not None and is_other_incarnation(
            worker.started_at_ms, order.started_at_ms
        ):
            return
        self.dispatcher.remove_worker(order.worker_id, LossCause.ORDERED)

    def _worker_of(self, machine: str) -> str:
        instance = self._instances.get(machine)
        return (instance.id if instance is not None else None) or ""

    def _incoming_cpu(self) -> dict[str, int]:
        """Return the CPU capacity that is moving to each pool."""
        incoming: Counter[str] = Counter()
        for machine, order in self.pool_planner.orders.items():
            instance = self._instances.get(machine)
            if instance is not None:
                incoming[order.pool] += instance.capacity.cpu
        return incoming

    def _find_unusable(self, standby: frozenset[str]) -> frozenset[str]:
        """Return the workers that have been unable to take tasks for a while."""
        state = self.scheduler.state
        instances = (
            instance
            for instance in self._instances.values()
            if instance.state == INSTANCE_UP and instance.pool not in standby
        )
        now = self.timers.monotonic()
        return self._unusable.update(instances, state.workers, state.taken_over_at, now)

    def _update_cordons(self) -> None:
        """Cordon exactly the workers that are about to be moved or maintained."""
        now = self.timers.monotonic()
        self._update_needed_hosts(now)
        cordoned = find_cordoned(
            self.wave_planner.runs.values(),
            self.pool_planner.orders.values(),
            self.scheduler.state.needed_hosts,
        )
        for worker in self.scheduler.state.workers.values():
            should_cordon = is_cordoned(worker, cordoned)
            if worker.cordoned != should_cordon:
                self.scheduler.set_cordoned(worker.id, should_cordon, now)

    def _update_needed_hosts(self, now: float) -> None:
        """Find the workers to be drained that long-running tasks can't leave yet."""
        needed = find_needed_hosts(
            self.scheduler.state, self.wave_planner.draining_workers(), now
        )
        for worker_id in needed - self.scheduler.state.needed_hosts:
            _LOGGER.info("drain_postponed", worker=worker_id)
        self.scheduler.state.needed_hosts = needed

    def _add_new_waves(self) -> None:
        for number, wave in self.configuration.waves.items():
            if number in self.wave_planner.runs:
                continue
            now = self.timers.monotonic()
            wall = self.timers.wall()
            stored = self.ledger.waves.get(str(number))
            run = resume_wave(wave, stored, now, wall)
            self.wave_planner.runs[number] = run
            if stored is None:
                self._store_wave(run)

    def _view(self) -> FleetView:
        loads = {
            worker.id: _load_of(worker)
            for worker in self.scheduler.state.workers.values()
            if worker.confirmed and not worker.stale
        }
        standby = frozenset(self.configuration.standby_pools())
        config = self.configuration.config
        pools = frozenset(pool.name for pool in config.services) if config else ()
        return FleetView(
            self._instances,
            loads,
            standby,
            frozenset(pools),
            self._read_at,
            complete=self._complete,
            unusable=self._find_unusable(standby),
            maintenance_due=frozenset(self.wave_planner.maintenance_due()),
            capacities={
                w.id: w.capacity for w in self.scheduler.state.workers.values()
            },
            needed_hosts=self.scheduler.state.needed_hosts,
        )

    def _store_wave(self, run: WaveRun) -> None:
        record = WaveRecord(sorted(run.started), run.done, run.first_seen_wall)
        key = f"{PREFIX_WAVE}{run.wave.wave}"
        self.ledger_appender.post([(key, encode(record))], math.inf)


def _load_of(worker: WorkerState) -> Load:
    """Return the load of a worker; most workers of a large fleet have no tasks."""
    has_unstored_ends = bool(worker.unstored_ends)
    if not (worker.tasks or worker.started_at_ms or has_unstored_ends):
        return _IDLE
    long_running = sum(task.step.spec.long_running for task in worker.tasks.values())
    short_running = len(worker.tasks) - long_running
    return Load(long_running, short_running, worker.started_at_ms, has_unstored_ends)
