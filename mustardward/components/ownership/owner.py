"""Do an owner's work: plan, store progress and renew the ownership until deposed."""

from __future__ import annotations

from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ...helpers.duty_cycle import DutyCycle
from ...helpers.logging import get_logger
from ...platform.fleet import FleetClient
from ...platform.models import WorkerEntry
from ...platform.store import TOPIC_STATUS, TOPIC_WORKERS
from ..dispatch.dispatcher import Dispatcher
from ..fleet.instance_list import InstanceListReader
from ..fleet.order_budget import OrderBudget
from ..fleet.order_executor import OrderExecutor
from ..fleet.pool_planner import PoolPlanner
from ..fleet.services import Fleet
from ..fleet.wave_planner import WavePlanner
from ..fleet.wave_reporter import WaveReporter
from ..ledger.append_watcher import AppendWatcher
from ..ledger.appender import GroupAppender
from ..ledger.const import SHARD, TOPIC, UNIQUE_OWNER_PREFIXES
from ..ledger.follower import TopicFollower
from ..ledger.ledger import LedgerJob
from ..ledger.models import OwnerRecord
from ..scheduling.demand import log_loads
from ..scheduling.organisation_limits import OrganisationLimits
from ..scheduling.scheduler import Scheduler
from .authority import Authority
from .const import (
    IDLE_PLAN_INTERVAL_SECONDS,
    JOB_CLEANUP_INTERVAL_SECONDS,
    LOAD_LOG_INTERVAL_SECONDS,
    MAX_PLAN_DELAY_SECONDS,
    MAX_PLAN_SHARE,
    MIN_PLAN_INTERVAL_SECONDS,
    RELEASE_CHECK_SECONDS,
    RELEASE_WAIT_SECONDS,
    SELF_CHECK_SECONDS,
)
from .deposition import DeposedBy, make_deposition_logger
from .directory import WorkerDirectory
from .load import OwnerLoad
from .models import OwnerDependencies
from .owner_check import OwnerCheck, async_tick
from .owner_query import OwnerStatus
from .progress_writer import ProgressWriter
from .renewals import Renewals, blocked_until
from .takeover import Takeover, hold_previous_runs, list_unanswered_starts

_LOGGER = get_logger(__name__)

_PLANNING: Final = DutyCycle(
    MIN_PLAN_INTERVAL_SECONDS, MAX_PLAN_SHARE, MAX_PLAN_DELAY_SECONDS
)

WORKERS_POLL_SECONDS = 0.1
"""Workers renew their entries with each heartbeat; changes are read this much later."""


class Owner:
    """Own the shard under one epoch.

    :param epoch: the fencing token of all commands and appends.
    :param claim: the id of the claim that won.
    :param previous: the newest record of the previous owner.
    :param authority: ticked since the claim was sent.
    :param previous_read_at: when that newest record was read here, in monotonic
        seconds; None if it was there at the first read.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        epoch: int,
        claim: str,
        previous: OwnerRecord,
        authority: Authority,
        previous_read_at: float | None = None,
    ) -> None:
        self._dependencies = dependencies
        self._previous = previous
        self._previous_read_at = previous_read_at
        self._epoch = epoch
        self._deposed = anyio.Event()
        self._plan_requested = anyio.Event()
        self._authority = authority
        self._check = OwnerCheck(
            epoch,
            claim,
            self._authority,
            dependencies.ledger,
            dependencies.follower,
            dependencies.timers,
            partial(self.depose, DeposedBy.NEWER_OWNER_READ),
        )
        limits = OrganisationLimits(dependencies.configuration.limits_of)
        self.scheduler = Scheduler(
            epoch,
            dependencies.configuration.policy_of,
            quota_of=limits.quota_of,
            rate_of=limits.rate_of,
            is_configured=lambda: dependencies.configuration.is_loaded,
            limits=limits,
        )
        self.scheduler.state.confirmed_until = lambda: (
            dependencies.timers.monotonic() - authority.renewal_age_seconds()
        )
        self.scheduler.state.max_lease_seconds = dependencies.bounds.hold_max_ms / 1000
        self.scheduler.state.stop_grace_seconds = (
            dependencies.bounds.stop_grace_ms / 1000
        )
        self._deposition_logger = make_deposition_logger(
            epoch, authority, dependencies.ledger, self.scheduler.reports
        )
        self.appender = GroupAppender(
            lambda records, producer: dependencies.store.async_append(
                TOPIC, records, producer
            ),
            dependencies.timers,
            f"owner/{SHARD}",
            epoch,
            sequence=1,
            latency=dependencies.latency,
            limits=dependencies.append_limits,
        )
        self._append_watcher = AppendWatcher(
            dependencies.follower.async_catch_up, UNIQUE_OWNER_PREFIXES
        )
        self.appender.sighting = self._append_watcher
        self._renewals = Renewals(
            epoch,
            claim,
            dependencies.node,
            dependencies.timers,
            self.appender,
            dependencies.bounds.lease_ms / 1000,
        )
        self._renewals.carry_over(previous)
        self._progress_writer = ProgressWriter(
            dependencies,
            self.scheduler,
            self.appender,
            self._renewals,
            self._authority,
            self._request_plan,
            partial(self.depose, DeposedBy.REJECTED_APPEND),
        )
        self.dispatcher: Dispatcher | None = None
        self._fleet: Fleet | None = None

    @property
    def claim(self) -> str:
        """Return the id of the claim that won."""
        return self._check.claim

    @property
    def epoch(self) -> int:
        """Return the fencing token."""
        return self._epoch

    def status(self) -> OwnerStatus:
        """Return what an entry is told that asks about this ownership."""
        authority = self._authority
        return OwnerStatus(
            self._epoch, authority.is_valid(), authority.renewal_age_seconds()
        )

    def depose(self, cause: DeposedBy, worker: str = "") -> None:
        """End this ownership; another entry has taken over.

        :param worker: the worker that rejected a command.
        """
        self._authority.revoke()
        self._deposition_logger.record(cause, worker)
        self._deposed.set()

    def request_work(self) -> None:
        """Request a plan and a write of progress."""
        self._request_plan()
        self._progress_writer.request_write()

    def _request_plan(self) -> None:
        """Request a plan."""
        self._plan_requested.set()

    async def async_run(self) -> None:
        """Run the owner's tasks until deposed."""
        dependencies = self._dependencies
        async with anyio.create_task_group() as tasks:
            dispatcher = Dispatcher(
                dependencies.http,
                self.scheduler,
                dependencies.timers,
                tasks,
                self._epoch,
                partial(self.depose, DeposedBy.REJECTED_COMMAND),
                self.request_work,
                self._authority.is_valid,
                dependencies.advice,
                dependencies.bounds.hold_max_ms / 1000,
                self._authority.renewal_age_seconds,
            )
            self.dispatcher = dispatcher
            directory = WorkerDirectory(
                self._update_worker,
                self._mark_worker_missing,
                self.scheduler.mark_worker_absent,
            )
            follower = TopicFollower(
                dependencies.store,
                dependencies.timers,
                TOPIC_WORKERS,
                directory.apply,
                directory.keys,
                WORKERS_POLL_SECONDS,
                node=dependencies.node,
            )
            self._take_over()
            tasks.start_soon(follower.async_run)
            tasks.start_soon(self.appender.async_run)
            tasks.start_soon(self._progress_writer.async_run, dispatcher.sessions)
            tasks.start_soon(self._async_plan)
            executor = dispatcher.executor
            run_logger = self.scheduler.reports.run_logger
            load = OwnerLoad(
                dependencies.node, executor.calls, executor.window, run_logger
            )
            tasks.start_soon(
                async_tick, self._authority, self._epoch, dependencies.timers
            )
            tasks.start_soon(self._async_monitor, directory, load)
            if dependencies.fleet is not None:
                self._start_fleet(dependencies.fleet, dispatcher, tasks)
            takeover = Takeover(
                self._epoch,
                self.scheduler.state,
                dispatcher,
                dependencies.timers,
                self._request_plan,
                self._fleet,
            )
            tasks.start_soon(takeover.async_run, follower)
            await self._deposed.wait()
            self._deposition_logger.log()
            dispatcher.acknowledgements.flush()
            self._unsubscribe()
            tasks.cancel_scope.cancel()

    async def async_release(self) -> None:
        """Release the shard, so that another entry claims it at once.

        The response may be lost while the next owner has read the release already, and
        waits only for the leases that were sent before it.
        """
        timers = self._dependencies.timers
        state = self.scheduler.state
        settled = state.is_takeover_complete(timers.monotonic())
        self._authority.revoke()
        # The next owner may be read before the response to the release.
        self._deposition_logger.record(DeposedBy.RELEASED)
        await self._async_wait_for_responses()
        lease_seconds = 0.0
        if self.dispatcher is not None:
            lease_seconds = self.dispatcher.remaining_lease_seconds(timers.monotonic())
        if self._fleet is not None:
            self._fleet.limit_unlisted_holds()
        unanswered = list_unanswered_starts(state, timers.monotonic())
        await self._renewals.async_release(settled, lease_seconds, unanswered)
        self.depose(DeposedBy.RELEASED)

    async def _async_wait_for_responses(self) -> None:
        """Wait a moment for responses to the starts on their way."""
        timers = self._dependencies.timers
        deadline = timers.monotonic() + RELEASE_WAIT_SECONDS
        while self.scheduler.reports.sent_starts and timers.monotonic() < deadline:
            await timers.async_sleep(RELEASE_CHECK_SECONDS)

    def _start_fleet(
        self, client: FleetClient, dispatcher: Dispatcher, tasks: TaskGroup
    ) -> None:
        dependencies = self._dependencies
        now = dependencies.timers.monotonic()
        lease = dependencies.bounds.lease_ms / 1000
        wall = dependencies.timers.wall()
        blocked = blocked_until(
            self._previous, now, wall, lease, self._previous_read_at
        )
        status = GroupAppender(
            lambda records, producer: dependencies.store.async_append(
                TOPIC_STATUS, records, producer
            ),
            dependencies.timers,
            f"status/{SHARD}",
            self._epoch,
            limits=dependencies.append_limits,
        )
        planner = WavePlanner(dependencies.bounds.maintenance_s)
        fleet = Fleet(
            InstanceListReader(
                client, dependencies.timers, dependencies.fleet_limits.rate_per_s
            ),
            OrderExecutor(
                client,
                self._epoch,
                self._renewals.async_announce,
                partial(self.depose, DeposedBy.REJECTED_ORDER),
                self._authority.is_valid,
            ),
            blocked,
            dependencies.timers,
            self.scheduler,
            dispatcher,
            dependencies.configuration,
            dependencies.ledger,
            self.appender,
            planner,
            WaveReporter(status, planner),
            PoolPlanner(
                dependencies.bounds.move_s,
                OrderBudget(dependencies.fleet_limits.duty_per_s),
            ),
            self._authority.is_valid,
            tasks,
        )
        self._fleet = fleet
        tasks.start_soon(status.async_run)
        tasks.start_soon(fleet.async_run)

    def _take_over(self) -> None:
        dependencies = self._dependencies
        now = dependencies.timers.monotonic()
        wall = dependencies.timers.wall()
        state = self.scheduler.state
        hold_previous_runs(state, self._previous, now, self._previous_read_at)
        for queue, record in dependencies.ledger.run_times.items():
            state.estimates.restore(queue, record)
        for job in sorted(
            dependencies.ledger.jobs.values(), key=lambda job: job.record.accepted_at
        ):
            self.scheduler.add_job(job, now, wall)
        dependencies.follower.record_listeners.append(self._append_watcher.observe)
        dependencies.ledger.on_job = self._add_job
        dependencies.ledger.on_cancel = lambda job: self._cancel_job(job.record.id)
        dependencies.ledger.on_told = lambda job: self._end_reported_job(job.record.id)
        dependencies.configuration.on_change = self._apply_configuration
        _LOGGER.info(
            "owner_started",
            node=dependencies.node,
            epoch=self._epoch,
            jobs=len(state.jobs),
        )
        # The first append holds the first renewal and the admission of all new jobs.
        # With a slow store, both would otherwise wait for the one before them.
        self.request_work()

    def _unsubscribe(self) -> None:
        self._dependencies.follower.record_listeners.remove(
            self._append_watcher.observe
        )
        self._dependencies.ledger.on_job = None
        self._dependencies.ledger.on_cancel = None
        self._dependencies.ledger.on_told = None
        self._dependencies.configuration.on_change = None

    def _add_job(self, job: LedgerJob) -> None:
        timers = self._dependencies.timers
        self.scheduler.add_job(job, timers.monotonic(), timers.wall())
        self.request_work()

    def _cancel_job(self, job_id: str) -> None:
        self.scheduler.cancel_job(job_id)
        self.request_work()

    def _end_reported_job(self, job_id: str) -> None:
        self.scheduler.end_reported_job(job_id)
        self.request_work()

    def _apply_configuration(self) -> None:
        self.scheduler.update_policies()
        self._request_plan()

    def _update_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        if self.dispatcher is not None:
            self.dispatcher.update_worker(worker_id, entry)
            self._request_plan()

    def _mark_worker_missing(self, worker_id: str) -> None:
        self.scheduler.mark_worker_missing(
            worker_id, self._dependencies.timers.monotonic()
        )

    async def _async_plan(self) -> None:
        timers = self._dependencies.timers
        while True:
            with anyio.move_on_after(IDLE_PLAN_INTERVAL_SECONDS):
                await self._plan_requested.wait()
            self._plan_requested = anyio.Event()
            started_at = timers.monotonic()
            if self._authority.is_valid() and self.dispatcher is not None:
                commands = self.scheduler.plan(
                    timers.monotonic(),
                    timers.wall(),
                    self.dispatcher.executor.available_starts(),
                )
                self.dispatcher.executor.execute(commands)
                if self.scheduler.state.dirty:
                    self._progress_writer.request_write()
            elapsed = timers.monotonic() - started_at
            await timers.async_sleep(_PLANNING.pause(elapsed))

    async def _async_monitor(self, directory: WorkerDirectory, load: OwnerLoad) -> None:
        """Detect a newer owner and closed sessions."""
        dependencies = self._dependencies
        cleaned_up_at = 0.0
        logged_at = 0.0
        while True:
            if not await self._check.async_is_owner():
                return
            now = dependencies.timers.monotonic()
            load.sample(now)
            if now - logged_at > LOAD_LOG_INTERVAL_SECONDS:
                logged_at = now
                log_loads(self.scheduler.state, now)
                self.scheduler.wait_logger.log_due(now)
                load.log(now)
            if now - cleaned_up_at > JOB_CLEANUP_INTERVAL_SECONDS:
                cleaned_up_at = now
                self._progress_writer.remove_expired_jobs()
            if self.dispatcher is not None:
                self.dispatcher.reopen_sessions(directory.entries)
                self.dispatcher.acknowledgements.log_due(now)
            await dependencies.timers.async_sleep(SELF_CHECK_SECONDS)
