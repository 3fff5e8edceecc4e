"""Do an owner's work: plan, store what ended, renew, until deposed."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import TaskGroup

from ...helpers.duty import Duty
from ...helpers.logging import get_logger
from ...platform.fleet import FleetClient
from ...platform.models import WorkerEntry
from ...platform.store import TOPIC_STATUS, TOPIC_WORKERS, Producer
from ..dispatch.dispatcher import Dispatcher
from ..fleet.budget import OrderBudget
from ..fleet.listing import ListReader
from ..fleet.ordering import Ordering
from ..fleet.pools import PoolPlanner
from ..fleet.services import Fleet
from ..fleet.telling import WaveTelling
from ..fleet.waves import WavePlanner
from ..ledger.append_watcher import AppendWatcher
from ..ledger.appender import GroupAppender, Record
from ..ledger.const import SHARD, TOPIC, UNIQUE_OWNER_PREFIXES
from ..ledger.follower import TopicFollower
from ..ledger.ledger import LedgerJob
from ..ledger.models import OwnerRecord
from ..scheduling.demand import log_loads
from ..scheduling.scheduler import Scheduler
from .authority import Authority
from .const import (
    CONFIRM_RETRY_SECONDS,
    LONGEST_PLAN_GAP_SECONDS,
    PLAN_GAP_SECONDS,
    PLAN_SECONDS,
    PLAN_SHARE,
    SWEEP_SECONDS,
    TELL_SECONDS,
    WATCH_OWN_SECONDS,
)
from .directory import WorkerDirectory
from .load import OwnerLoad
from .models import OwnerParts
from .renewals import Renewals, barred_until
from .storing import Storing
from .takeover import Takeover, hold

_LOGGER = get_logger(__name__)

_PLANNING: Final = Duty(PLAN_GAP_SECONDS, PLAN_SHARE, LONGEST_PLAN_GAP_SECONDS)

WORKERS_GAP_SECONDS = 0.1
"""Entries are renewed each heartbeat; a change may be seen this much later."""


class Owner:
    """Own the shard under one epoch.

    :param epoch: the fencing token of all orders and appends.
    :param claim: the claim that won.
    :param before: the newest record of the owner before.
    """

    def __init__(
        self, parts: OwnerParts, epoch: int, claim: str, before: OwnerRecord
    ) -> None:
        self._parts = parts
        self._before = before
        self._epoch = epoch
        self._claim = claim
        self._deposed = anyio.Event()
        self._wake = anyio.Event()
        self._authority = Authority()
        self.scheduler = Scheduler(
            epoch,
            parts.configuration.policy_of,
            quota_of=parts.configuration.quota_of,
            rate_of=parts.configuration.rate_of,
        )
        self.appender = GroupAppender(
            self._async_call_append, parts.timers, f"owner/{SHARD}", epoch, sequence=1
        )
        self._append_watcher = AppendWatcher(
            parts.follower.async_catch_up, UNIQUE_OWNER_PREFIXES
        )
        self.appender.sighting = self._append_watcher
        self._renewals = Renewals(
            epoch,
            claim,
            parts.node,
            parts.timers,
            self.appender,
            parts.bounds.lease_ms / 1000,
        )
        self._storing = Storing(
            parts,
            self.scheduler,
            self.appender,
            self._renewals,
            self._authority,
            self._wake_up,
            self.depose,
        )
        self.dispatcher: Dispatcher | None = None
        self._fleet: Fleet | None = None

    @property
    def epoch(self) -> int:
        """Return the fencing token."""
        return self._epoch

    def depose(self) -> None:
        """End this ownership; another entry has taken over."""
        self._deposed.set()

    def kick(self) -> None:
        """Plan and store soon."""
        self._wake.set()
        self._storing.kick()

    def _wake_up(self) -> None:
        """Plan soon."""
        self._wake.set()

    async def async_run(self) -> None:
        """Work until deposed."""
        parts = self._parts
        async with anyio.create_task_group() as tasks:
            dispatcher = Dispatcher(
                parts.http,
                self.scheduler,
                parts.timers,
                tasks,
                self._epoch,
                self.depose,
                self.kick,
                self._authority.holds,
                parts.advice,
                parts.bounds.hold_max_ms / 1000,
                self._authority.confirmed_seconds,
            )
            self.dispatcher = dispatcher
            directory = WorkerDirectory(
                self._see_worker, self._miss_worker, self.scheduler.mark_worker_absent
            )
            follower = TopicFollower(
                parts.store,
                parts.timers,
                TOPIC_WORKERS,
                directory.apply,
                directory.keys,
                WORKERS_GAP_SECONDS,
                node=parts.node,
            )
            self._take_over()
            tasks.start_soon(follower.async_run)
            tasks.start_soon(self.appender.async_run)
            tasks.start_soon(self._storing.async_run, dispatcher.sessions)
            tasks.start_soon(self._async_plan)
            orders = dispatcher.orders
            lines = self.scheduler.reports.run_logger
            load = OwnerLoad(parts.node, orders.lanes, orders.window, lines)
            tasks.start_soon(self._async_watch, directory, load)
            if parts.fleet is not None:
                self._start_fleet(parts.fleet, dispatcher, tasks)
            takeover = Takeover(
                self._epoch,
                self.scheduler.state,
                dispatcher,
                parts.timers,
                self._wake_up,
                self._fleet,
            )
            tasks.start_soon(takeover.async_run, follower)
            await self._deposed.wait()
            _LOGGER.warning("owner_deposed", epoch=self._epoch)
            self._unsubscribe()
            tasks.cancel_scope.cancel()

    async def async_release(self) -> None:
        """Give the shard up, so that another entry claims it at once."""
        state = self.scheduler.state
        settled = self._parts.timers.monotonic() >= state.takeover_hold_until
        await self._renewals.async_release(settled)
        self.depose()

    def _start_fleet(
        self, client: FleetClient, dispatcher: Dispatcher, tasks: TaskGroup
    ) -> None:
        parts = self._parts
        now = parts.timers.monotonic()
        lease = parts.bounds.lease_ms / 1000
        barred = barred_until(self._before, now, parts.timers.wall(), lease)
        status = GroupAppender(
            lambda records, producer: parts.store.async_append(
                TOPIC_STATUS, records, producer
            ),
            parts.timers,
            f"status/{SHARD}",
            self._epoch,
        )
        planner = WavePlanner(parts.bounds.maintenance_s)
        fleet = Fleet(
            ListReader(client, parts.timers, parts.fleet_limits.rate_per_s),
            Ordering(client, self._epoch, self._renewals.async_announce, self.depose),
            barred,
            parts.timers,
            self.scheduler,
            dispatcher,
            parts.configuration,
            parts.ledger,
            self.appender,
            planner,
            WaveTelling(status, planner),
            PoolPlanner(
                parts.bounds.move_s, OrderBudget(parts.fleet_limits.duty_per_s)
            ),
            self._authority.holds,
            tasks,
        )
        self._fleet = fleet
        tasks.start_soon(status.async_run)
        tasks.start_soon(fleet.async_run)

    def _take_over(self) -> None:
        parts = self._parts
        now = parts.timers.monotonic()
        wall = parts.timers.wall()
        state = self.scheduler.state
        hold(state, self._before, now)
        for job in sorted(
            parts.ledger.jobs.values(), key=lambda job: job.record.accepted_at
        ):
            self.scheduler.add_job(job, now, wall)
        parts.follower.record_listeners.append(self._append_watcher.observe)
        parts.ledger.on_job = self._add_job
        parts.ledger.on_cancel = lambda job: self._cancel_job(job.record.id)
        parts.ledger.on_told = lambda job: self._end_told(job.record.id)
        parts.unlogged.completed_at_owner = self.scheduler.is_job_done
        parts.configuration.on_change = self._configured
        _LOGGER.info(
            "owner_started", node=parts.node, epoch=self._epoch, jobs=len(state.jobs)
        )

    def _unsubscribe(self) -> None:
        self._parts.follower.record_listeners.remove(self._append_watcher.observe)
        self._parts.ledger.on_job = None
        self._parts.ledger.on_cancel = None
        self._parts.ledger.on_told = None
        self._parts.unlogged.completed_at_owner = None
        self._parts.configuration.on_change = None

    def _add_job(self, job: LedgerJob) -> None:
        timers = self._parts.timers
        self.scheduler.add_job(job, timers.monotonic(), timers.wall())
        self.kick()

    def _cancel_job(self, job_id: str) -> None:
        self.scheduler.cancel_job(job_id)
        self.kick()

    def _end_told(self, job_id: str) -> None:
        self.scheduler.end_reported_job(job_id)
        self.kick()

    def _configured(self) -> None:
        self.scheduler.update_policies()
        self._wake.set()

    def _see_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        if self.dispatcher is not None:
            self.dispatcher.update_worker(worker_id, entry)
            self._wake.set()

    def _miss_worker(self, worker_id: str) -> None:
        self.scheduler.mark_worker_missing(worker_id, self._parts.timers.monotonic())

    async def _async_plan(self) -> None:
        timers = self._parts.timers
        while True:
            with anyio.move_on_after(PLAN_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()
            began = timers.monotonic()
            if self._authority.holds() and self.dispatcher is not None:
                commands = self.scheduler.plan(
                    timers.monotonic(),
                    timers.wall(),
                    self.dispatcher.orders.start_room(),
                )
                self.dispatcher.orders.execute(commands)
                if self.scheduler.state.dirty:
                    self._storing.kick()
            spent = timers.monotonic() - began
            await timers.async_sleep(_PLANNING.pause(spent))

    async def _async_watch(self, directory: WorkerDirectory, load: OwnerLoad) -> None:
        """Notice a pause of the process, a newer owner, and lost sessions."""
        parts = self._parts
        swept_at = 0.0
        told_at = 0.0
        while True:
            lost = self._authority.paused_for()
            if lost:
                _LOGGER.warning("owner_paused", lost_seconds=lost)
                while not await parts.follower.async_catch_up():
                    await parts.timers.async_sleep(CONFIRM_RETRY_SECONDS)
            owner = parts.ledger.owner
            if owner.epoch > self._epoch or owner.claim != self._claim:
                self.depose()
                return
            self._authority.tick()
            now = parts.timers.monotonic()
            load.look(now)
            if now - told_at > TELL_SECONDS:
                told_at = now
                log_loads(self.scheduler.state, now)
                self.scheduler.wait_logger.log_due(now)
                load.tell(now)
            if now - swept_at > SWEEP_SECONDS:
                swept_at = now
                self._storing.drop_old_jobs()
            self._reopen_sessions(directory)
            await parts.timers.async_sleep(WATCH_OWN_SECONDS)

    def _reopen_sessions(self, directory: WorkerDirectory) -> None:
        """Talk again to workers that were silent and may be back."""
        if self.dispatcher is None:
            return
        for worker_id, entry in directory.entries.items():
            session = self.dispatcher.sessions.get(worker_id)
            if session is None or session.gone:
                self.dispatcher.update_worker(worker_id, entry)

    async def _async_call_append(
        self, records: list[Record], producer: Producer
    ) -> int:
        return await self._parts.store.async_append(TOPIC, records, producer)
