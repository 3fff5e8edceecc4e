"""Read the fleet's list, and carry out what the planners decide."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from anyio.abc import TaskGroup

from ...helpers.duty import Duty
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
from ..scheduling.scheduler import Scheduler
from ..scheduling.worker_state import WorkerState
from .const import (
    BUSY_LIST_SECONDS,
    LIST_SECONDS,
    TICK_SECONDS,
)
from .hosts import Hosts
from .leaving import find_leaving, is_leaving
from .listing import ListReader
from .models import Empty, FleetView, Load, Maintain, Move, WaveRun
from .ordering import Ordering, OrderOutcome
from .pools import PoolPlanner
from .telling import WaveTelling
from .unusable import UnusableInstances
from .waves import WavePlanner, take_up

_LOGGER = get_logger(__name__)

TICK_SHARE: Final = 0.15
"""Most of an owner's time for the fleet: workers wait for the rest of it."""

LONGEST_TICK_SECONDS: Final = 2.0
"""An instance that a pool needs is ordered this much later at most."""

_DUTY: Final = Duty(TICK_SECONDS, TICK_SHARE, LONGEST_TICK_SECONDS)
_IDLE: Final = Load(0, 0)


@dataclass(slots=True, eq=False)
class Fleet:
    """Do the fleet work of one ownership.

    :param barred: until when instances are left alone, in steady seconds, since the
        owner before ordered them: their holder must not change twice within a lease.
    :param ledger_appender: stores which instances a wave has taken.
    """

    listing: ListReader
    ordering: Ordering
    barred: dict[str, float]
    timers: TimerService
    scheduler: Scheduler
    dispatcher: Dispatcher
    configuration: Configuration
    ledger: Ledger
    ledger_appender: GroupAppender
    planner: WavePlanner
    telling: WaveTelling
    pools: PoolPlanner
    authorised: Callable[[], bool]
    tasks: TaskGroup
    _instances: dict[str, Instance] = field(default_factory=dict)
    _hosts: Hosts = field(default_factory=Hosts)
    _unusable: UnusableInstances = field(default_factory=UnusableInstances)
    _read_at: float = -1.0
    _complete: bool = True

    async def async_run(self) -> None:
        """Work until cancelled."""
        while True:
            await self._async_read_if_due()
            began = self.timers.monotonic()
            self._decide()
            spent = self.timers.monotonic() - began
            await self.timers.async_sleep(_DUTY.pause(spent))

    async def _async_read_if_due(self) -> None:
        self._take_in_waves()
        now = self.timers.monotonic()
        active = any(not run.done for run in self.planner.runs.values())
        active = active or bool(self.pools.orders) or self.dispatcher.any_silent()
        interval = BUSY_LIST_SECONDS if active else LIST_SECONDS
        if now - self._read_at >= self.listing.interval(interval):
            await self._async_read()

    def _decide(self) -> None:
        """Decide on moves and maintenance by the newest list."""
        if self._read_at < 0 or not self.authorised():
            return
        now = self.timers.monotonic()
        barred = self._barred()
        view = self._view()
        self.scheduler.state.unusable_workers = view.unusable
        taken = self.planner.taken() | barred
        for move in self.pools.decide(
            view, measure(self.scheduler.state, now), taken, now
        ):
            self.tasks.start_soon(self._async_move, move)
        view = replace(
            view,
            moving=frozenset(barred | set(self.pools.orders)),
            barred=frozenset(barred),
        )
        for decision in self.planner.decide(view, now):
            if isinstance(decision, Empty):
                _LOGGER.info("instance_emptying", machine=decision.machine)
            elif isinstance(decision, Maintain):
                self.tasks.start_soon(self._async_maintain, decision)
        # Before a call is sent: a task that were placed until then would end.
        self._settle_leaving()
        self.scheduler.state.incoming_cpu = self._coming()
        self.scheduler.set_maintenance_due(
            {self._worker_of(machine) for machine in view.due}
        )
        for number in self.telling.tell(view, now):
            self._store_wave(self.planner.runs[number])

    async def _async_read(self) -> None:
        read = await self.listing.async_read()
        if read is None:
            return
        self._read_at = read.begun_at
        self._instances = {row.machine: row for row in read.instances}
        self._complete = read.complete
        self._drop_gone(self._read_at)

    def listed_workers(self) -> dict[str, str] | None:
        """Return the data centres of the workers that the list names as up.

        :returns: None if the list was not read yet, or a row of it can't be read: a
            worker that is missing from it may then still run.
        """
        if self._read_at < 0 or not self._complete:
            return None
        return {
            instance.id: instance.zone
            for instance in self._instances.values()
            if instance.id and instance.state == INSTANCE_UP
        }

    def _drop_gone(self, read_at: float) -> None:
        """Lose the silent workers whose incarnation the list shows as over.

        Their tasks would else wait for the end of their leases.
        """
        listed = self.listed_workers()
        if listed is None:
            return
        sessions = self.dispatcher.sessions
        ordered = self._barred() | set(self.pools.orders) | self.planner.taken()
        for worker_id, session in list(sessions.items()):
            since = session.silent_since
            if session.gone or since is None or worker_id in listed:
                continue
            if read_at > since:
                cause = self._hosts.why_unlisted(worker_id, self._instances, ordered)
                _LOGGER.info("silent_worker_gone", worker=worker_id, cause=cause.value)
                self.dispatcher.remove_worker(worker_id, cause)
        alive = {name for name, session in sessions.items() if not session.gone}
        self._hosts.read(self._instances, alive)

    def _barred(self) -> set[str]:
        """Return the machines that the owner before may just have ordered."""
        now = self.timers.monotonic()
        return {machine for machine, until in self.barred.items() if until > now}

    async def _async_maintain(self, order: Maintain) -> None:
        outcome = await self.ordering.async_give(order)
        if outcome is OrderOutcome.REFUSED:
            self.planner.refused(order.wave, order.machine)
            self._settle_leaving()
        elif outcome is OrderOutcome.BEGUN:
            self.planner.accepted(order.wave, order.machine, self.timers.monotonic())
            self._lose_worker_of(order)
            self._store_wave(self.planner.runs[order.wave])

    async def _async_move(self, order: Move) -> None:
        outcome = await self.ordering.async_give(order)
        if outcome is OrderOutcome.REFUSED:
            self.pools.refused(order.machine)
            self._settle_leaving()
        elif outcome is OrderOutcome.BEGUN:
            self.pools.accepted(order.machine, self.timers.monotonic())
            self._lose_worker_of(order)

    def _lose_worker_of(self, order: Maintain | Move) -> None:
        """Lose the worker that an order was decided for, and none that came since."""
        if not order.worker:
            return
        worker = self.scheduler.state.workers.get(order.worker)
        if worker is not None and is_other_incarnation(worker.born, order.born):
            return
        self.dispatcher.remove_worker(order.worker, LossCause.ORDERED)

    def _worker_of(self, machine: str) -> str:
        instance = self._instances.get(machine)
        return (instance.id if instance is not None else None) or ""

    def _coming(self) -> dict[str, int]:
        """Return the processor that is on its way to each pool."""
        coming: Counter[str] = Counter()
        for machine, order in self.pools.orders.items():
            instance = self._instances.get(machine)
            if instance is not None:
                coming[order.pool] += instance.capacity.cpu
        return coming

    def _look_for_unusable(self, standby: frozenset[str]) -> frozenset[str]:
        """Return the workers that nothing can be started on for a while."""
        state = self.scheduler.state
        counted = (
            instance
            for instance in self._instances.values()
            if instance.state == INSTANCE_UP and instance.pool not in standby
        )
        now = self.timers.monotonic()
        return self._unusable.look(counted, state.workers, state.taken_over_at, now)

    def _settle_leaving(self) -> None:
        """Let those workers leave, and no others, that are about to be taken."""
        now = self.timers.monotonic()
        leaving = find_leaving(self.planner.runs.values(), self.pools.orders.values())
        for worker in self.scheduler.state.workers.values():
            leaves = is_leaving(worker, leaving)
            if worker.leaving != leaves:
                self.scheduler.set_leaving(worker.id, leaves, now)

    def _take_in_waves(self) -> None:
        for number, wave in self.configuration.waves.items():
            if number in self.planner.runs:
                continue
            now = self.timers.monotonic()
            wall = self.timers.wall()
            stored = self.ledger.waves.get(str(number))
            run = take_up(wave, stored, now, wall)
            self.planner.runs[number] = run
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
            unusable=self._look_for_unusable(standby),
            due=frozenset(self.planner.due()),
            rooms={w.id: w.capacity for w in self.scheduler.state.workers.values()},
        )

    def _store_wave(self, run: WaveRun) -> None:
        record = WaveRecord(sorted(run.begun), run.done, run.seen_wall)
        key = f"{PREFIX_WAVE}{run.wave.wave}"
        self.ledger_appender.post([(key, encode(record))])


def _load_of(worker: WorkerState) -> Load:
    """Return what runs on a worker; most of a large fleet's have nothing to count."""
    if not worker.tasks and not worker.born:
        return _IDLE
    lasting = sum(task.step.spec.long_running for task in worker.tasks.values())
    return Load(lasting, len(worker.tasks) - lasting, worker.born)
