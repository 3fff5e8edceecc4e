"""Read the fleet's list, and carry out what the planners decide."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec
from anyio.abc import TaskGroup

from ...helpers.instruments import FLEET_ORDERS
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.exceptions import CallRefusedError, CallUnknownError, FencedError
from ...platform.fleet import FleetClient
from ...platform.models import INSTANCE_UP, WAVE_DONE, WAVE_RUNNING, Instance
from ...platform.store import KEY_WAVE_PREFIX
from ..configuration.services import Configuration
from ..dispatch.dispatcher import Dispatcher
from ..ledger.appender import GroupAppender
from ..ledger.const import PREFIX_WAVE
from ..ledger.ledger import Ledger, encode
from ..ledger.models import WaveRecord
from ..scheduling.demand import measure
from ..scheduling.scheduler import Scheduler
from .const import (
    BUSY_LIST_SECONDS,
    LIST_SECONDS,
    NAMED_INSTANCES,
    TELL_SECONDS,
    TICK_SECONDS,
)
from .models import Empty, FleetView, Load, Maintain, Move, WaveRun
from .pools import PoolPlanner
from .waves import WavePlanner, take_up

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Fleet:
    """Do the fleet work of one ownership.

    :param token: the owner's fencing token, which all orders carry.
    :param barred: until when instances are left alone, in steady seconds, since the
        owner before ordered them: their holder must not change twice within a lease.
    :param announce: names an instance in the log before it is ordered.
    :param ledger_appender: stores which instances a wave has taken.
    :param status_appender: tells the operator how far waves are.
    """

    client: FleetClient
    token: int
    barred: dict[str, float]
    timers: TimerService
    scheduler: Scheduler
    dispatcher: Dispatcher
    configuration: Configuration
    ledger: Ledger
    ledger_appender: GroupAppender
    status_appender: GroupAppender
    planner: WavePlanner
    pools: PoolPlanner
    authorised: Callable[[], bool]
    on_fenced: Callable[[], None]
    announce: Callable[[str], Awaitable[bool]]
    tasks: TaskGroup
    _instances: dict[str, Instance] = field(default_factory=dict)
    _read_at: float = -1.0
    _told: dict[int, str] = field(default_factory=dict)
    _busy: set[str] = field(default_factory=set)
    _progress_told_at: float = 0.0

    async def async_run(self) -> None:
        """Work until cancelled."""
        while True:
            await self._async_tick()
            await self.timers.async_sleep(TICK_SECONDS)

    async def _async_tick(self) -> None:
        self._take_in_waves()
        now = self.timers.monotonic()
        active = any(not run.done for run in self.planner.runs.values())
        active = active or bool(self.pools.orders) or self.dispatcher.any_silent()
        interval = BUSY_LIST_SECONDS if active else LIST_SECONDS
        if now - self._read_at >= interval:
            await self._async_read()
        if self._read_at < 0 or not self.authorised():
            return
        barred = {machine for machine, until in self.barred.items() if until > now}
        view = self._view()
        now = self.timers.monotonic()
        taken = self.planner.taken() | barred
        for move in self.pools.decide(
            view, measure(self.scheduler.board, now), taken, now
        ):
            # At once: a task that were placed before the call is sent would end.
            self._set_leaving(self._worker_of(move.machine), True)
            self.tasks.start_soon(self._async_move, move)
        view = replace(
            view,
            moving=frozenset(barred | set(self.pools.orders)),
            barred=frozenset(barred),
        )
        for decision in self.planner.decide(view, now):
            if isinstance(decision, Empty):
                _LOGGER.info("instance_emptying", machine=decision.machine)
                self._set_leaving(decision.worker, True)
            elif isinstance(decision, Maintain):
                self.tasks.start_soon(self._async_maintain, decision)
        self.scheduler.board.coming = self._coming()
        self.scheduler.set_due({self._worker_of(machine) for machine in view.due})
        self._tell()
        if now - self._progress_told_at >= TELL_SECONDS:
            self._progress_told_at = now
            self._tell_progress(view)

    async def _async_read(self) -> None:
        sent_at = self.timers.monotonic()
        try:
            instances = await self.client.async_list()
        except CallRefusedError as error:
            _LOGGER.warning("list_unreadable", detail=error.detail)
            return
        self._instances = {instance.machine: instance for instance in instances}
        self._read_at = sent_at
        self._drop_gone(sent_at)

    def listed_workers(self) -> dict[str, str] | None:
        """Return the pools of the workers that the list names as up.

        :returns: None if the list was not read yet.
        """
        if self._read_at < 0:
            return None
        return {
            instance.id: instance.pool
            for instance in self._instances.values()
            if instance.id and instance.state == INSTANCE_UP
        }

    def _drop_gone(self, read_at: float) -> None:
        """Lose the silent workers whose incarnation the list shows as over.

        Their tasks would else wait for the end of their leases.
        """
        up = set(self.listed_workers() or ())
        for worker_id, session in list(self.dispatcher.sessions.items()):
            since = session.silent_since
            if session.gone or since is None or worker_id in up:
                continue
            if read_at > since:
                _LOGGER.info("silent_worker_gone", worker=worker_id)
                self.dispatcher.lose_worker(worker_id)

    async def _async_maintain(self, order: Maintain) -> None:
        if order.machine in self._busy:
            return
        self._busy.add(order.machine)
        try:
            if not await self.announce(order.machine):
                raise CallRefusedError("not announced")
            await self.client.async_maintain(order.machine, order.wave, self.token)
        except FencedError:
            self.on_fenced()
        except CallRefusedError as error:
            FLEET_ORDERS.labels("maintenance", "refused").inc()
            _LOGGER.warning(
                "maintenance_refused", machine=order.machine, detail=error.detail
            )
            self.planner.refused(order.wave, order.machine)
            self._set_leaving(self._worker_of(order.machine), False)
        except CallUnknownError as error:
            FLEET_ORDERS.labels("maintenance", "unknown").inc()
            _LOGGER.warning(
                "maintenance_unknown", machine=order.machine, detail=error.detail
            )
        else:
            self._begun(order)
        finally:
            self._busy.discard(order.machine)

    async def _async_move(self, order: Move) -> None:
        if order.machine in self._busy:
            return
        self._busy.add(order.machine)
        worker_id = self._worker_of(order.machine)
        try:
            if not await self.announce(order.machine):
                raise CallRefusedError("not announced")
            await self.client.async_move(order.machine, order.pool, self.token)
        except FencedError:
            self.on_fenced()
        except CallRefusedError as error:
            FLEET_ORDERS.labels("move", "refused").inc()
            _LOGGER.warning("move_refused", machine=order.machine, d=error.detail)
            self.pools.refused(order.machine)
            self._set_leaving(worker_id, False)
        except CallUnknownError as error:
            FLEET_ORDERS.labels("move", "unknown").inc()
            _LOGGER.warning("move_unknown", machine=order.machine, d=error.detail)
        else:
            FLEET_ORDERS.labels("move", "begun").inc()
            _LOGGER.info("move_begun", machine=order.machine, pool=order.pool)
            self.pools.accepted(order.machine, self.timers.monotonic())
            self.dispatcher.lose_worker(worker_id)
        finally:
            self._busy.discard(order.machine)

    def _begun(self, order: Maintain) -> None:
        FLEET_ORDERS.labels("maintenance", "begun").inc()
        _LOGGER.info("maintenance_begun", machine=order.machine, wave=order.wave)
        self.planner.accepted(order.wave, order.machine, self.timers.monotonic())
        self.dispatcher.lose_worker(self._worker_of(order.machine))
        self._store_wave(self.planner.runs[order.wave])

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

    def _set_leaving(self, worker_id: str, leaving: bool) -> None:
        self.scheduler.set_leaving(worker_id, leaving, self.timers.monotonic())

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
            worker.id: Load(
                sum(t.step.spec.long_running for t in worker.tasks.values()),
                sum(not t.step.spec.long_running for t in worker.tasks.values()),
            )
            for worker in self.scheduler.board.workers.values()
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
            due=frozenset(self.planner.due()),
        )

    def _tell(self) -> None:
        for number, run in self.planner.runs.items():
            state = WAVE_DONE if run.done else WAVE_RUNNING
            if self._told.get(number) == state:
                continue
            self._told[number] = state
            body = msgspec.json.encode({"state": state})
            self.status_appender.post([(f"{KEY_WAVE_PREFIX}{number}", body)])
            if run.done:
                _LOGGER.info("wave_done", wave=number)
                self._store_wave(run)

    def _tell_progress(self, view: FleetView) -> None:
        for number, run in self.planner.runs.items():
            if run.done:
                continue
            left = self.planner.left(run, view)
            waiting = [i for i in left if i.machine not in run.emptying]
            _LOGGER.info(
                "wave_progress",
                wave=number,
                left=len(left),
                emptying=len(run.emptying),
                ordered=len(run.orders),
                waiting=",".join(_describe(i, view) for i in waiting[:NAMED_INSTANCES]),
            )

    def _store_wave(self, run: WaveRun) -> None:
        record = WaveRecord(sorted(run.begun), run.done, run.seen_wall)
        key = f"{PREFIX_WAVE}{run.wave.wave}"
        self.ledger_appender.post([(key, encode(record))])


def _describe(instance: Instance, view: FleetView) -> str:
    """Return why a wave may not take an instance yet."""
    load = view.loads.get(instance.id or "")
    tasks = f"{load.lasting}+{load.others}" if load is not None else "unknown"
    moving = ":moving" if instance.machine in view.moving else ""
    return f"{instance.machine}:{instance.pool}:{instance.state}:{tasks}{moving}"
