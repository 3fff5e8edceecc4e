"""Run the real scheduler and dispatcher of an owner against model workers."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.fleet.models import MoveOrder
from mustardward.components.fleet.services import Fleet
from mustardward.components.ledger.models import OwnerRecord, Progress
from mustardward.components.ownership.takeover import (
    Takeover,
    hold_previous_runs,
    list_unanswered_starts,
)
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.models import Room, WorkerEntry
from mustardward.platform.workers import TaskName, WorkerReport

from .liveness_calls import ModelAdvice, ModelClient
from .liveness_fleet import build_fleet
from .liveness_virtual_time import LoopTimers
from .liveness_world import World

MAX_PLAN_INTERVAL_SECONDS = 0.1
MIN_PLAN_INTERVAL_SECONDS = 0.02
REOPEN_INTERVAL_SECONDS = 0.2
APPEND_SECONDS = 0.01
OTHER_POOL = "pool-z"
MAX_STORE_INTERVAL_SECONDS = 0.2


@dataclass
class Directory:
    """Hold the worker entries of the store, which outlive each owner.

    :param done: the tasks that an owner has read as done, or that the log holds so.
    """

    entries: dict[str, WorkerEntry] = field(default_factory=dict)
    done: set[TaskName] = field(default_factory=set)

    async def async_wait_loaded(self) -> None:
        """Return at once, since all entries are present from the start."""


class _Dispatcher(Dispatcher):
    """Connect sessions to model workers."""

    world: World

    def _open_session(
        self,
        worker_id: str,
        entry: WorkerEntry,
        started_at_ms: int,
        lease_ends_at: float,
    ) -> None:
        super()._open_session(worker_id, entry, started_at_ms, lease_ends_at)
        client: Any = ModelClient(self.world, worker_id, self.token)
        self.sessions[worker_id].client = client


class Owner:
    """Run one owner of the shard.

    :param epoch: the owner's fencing token.
    :param policies: the policy of each queue.
    """

    def __init__(
        self,
        world: World,
        directory: Directory,
        epoch: int,
        policies: dict[str, QueuePolicy],
    ) -> None:
        self.world = world
        self.directory = directory
        self.epoch = epoch
        self.scheduler = Scheduler(
            epoch,
            policies.get,
            quota_of=lambda name: world.quotas.get(name, Room()),
        )
        self._scope = anyio.CancelScope()
        self._wake = anyio.Event()
        self._dirty = anyio.Event()
        self.dispatcher: _Dispatcher | None = None
        self.fleet: Fleet | None = None
        self.list_available = True
        self.authorised = True
        self._fenced = False

    def wake(self) -> None:
        """Trigger the next plan and the next append of progress."""
        self._wake.set()
        self._dirty.set()

    def build_release(self) -> OwnerRecord:
        """Return the record that the owner leaves if it releases the shard now."""
        state = self.scheduler.state
        now = self.world.now
        lease_seconds = 0.0
        if self.dispatcher is not None:
            lease_seconds = self.dispatcher.remaining_lease_seconds(now)
        if self.fleet is not None:
            self.fleet.limit_unlisted_holds()
        return OwnerRecord(
            self.epoch,
            "",
            "",
            0,
            settled=state.is_takeover_complete(now),
            lease_seconds=lease_seconds,
            unanswered=list_unanswered_starts(state, now),
        )

    def end(self) -> None:
        """Stop the owner as if its process ended."""
        self._scope.cancel()

    async def async_run(self, previous: OwnerRecord) -> None:
        """Run until stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._begin(tasks, previous)
                tasks.start_soon(self._async_plan)
                tasks.start_soon(self._async_store)
                tasks.start_soon(self._async_reopen)

    def _begin(self, tasks: TaskGroup, previous: OwnerRecord) -> None:
        world = self.world
        timers: Any = LoopTimers()
        advice: Any = ModelAdvice(world)
        http: Any = None
        self.dispatcher = _Dispatcher(
            http,
            self.scheduler,
            timers,
            tasks,
            self.epoch,
            self._fail_on_fencing,
            self.wake,
            lambda: self.authorised,
            advice,
        )
        self.dispatcher.world = world
        self._track_done_tasks()
        hold_previous_runs(self.scheduler.state, previous, world.now)
        for job in sorted(world.jobs.values(), key=lambda j: j.record.accepted_at):
            self.scheduler.add_job(job, world.now, world.now)
        self.fleet = build_fleet(
            world,
            self.scheduler,
            self.dispatcher,
            timers,
            tasks,
            lambda: self.list_available,
            lambda: self.authorised,
        )
        tasks.start_soon(self.fleet.async_run)
        takeover = Takeover(
            self.epoch,
            self.scheduler.state,
            self.dispatcher,
            timers,
            self.wake,
            self.fleet,
        )
        directory: Any = self.directory
        for worker_id, entry in self.directory.entries.items():
            self.update_worker(worker_id, entry)
        tasks.start_soon(takeover.async_run, directory)

    def _track_done_tasks(self) -> None:
        """Record the tasks that the owner reads as done."""
        apply: Callable[..., None] = self.scheduler.apply_worker_report

        def apply_worker_report(
            worker_id: str, answer: WorkerReport, sent_at: float, now: float
        ) -> None:
            if worker_id in self.scheduler.state.workers:
                for end in answer.ended:
                    if end.how == "done":
                        self._add_done(end.task)
            apply(worker_id, answer, sent_at, now)

        scheduler: Any = self.scheduler
        scheduler.apply_worker_report = apply_worker_report

    def _add_done(self, name: TaskName) -> None:
        job = self.world.jobs.get(name.job)
        step = job.record.steps[name.step] if job is not None else None
        indices = range(step.count) if step and step.gang else (name.index,)
        for index in indices:
            self.directory.done.add(
                TaskName(name.job, name.occurrence, name.step, index)
            )

    def _fail_on_fencing(self) -> None:
        raise AssertionError("fenced without a later owner")

    def update_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        """Apply a worker's entry."""
        if self.dispatcher is not None:
            self.dispatcher.update_worker(worker_id, entry)
            self._wake.set()

    def mark_worker_missing(self, worker_id: str) -> None:
        """Apply the removal of a worker's entry."""
        self.scheduler.mark_worker_missing(worker_id, self.world.now)

    def set_cordoned(self, machine: str, worker_id: str, cordoned: bool) -> None:
        """Cordon a worker as if it was about to be moved, or uncordon it."""
        if self.fleet is None:
            return
        orders = self.fleet.pool_planner.orders
        orders.pop(machine, None)
        if cordoned:
            orders[machine] = MoveOrder(
                machine, OTHER_POOL, self.world.now, worker_id=worker_id
            )

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has been moved."""
        if self.dispatcher is not None:
            self.dispatcher.remove_worker(worker_id, LossCause.ORDERED)

    async def _async_plan(self) -> None:
        while self.dispatcher is not None:
            with anyio.move_on_after(MAX_PLAN_INTERVAL_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()
            now = self.world.now
            executor = self.dispatcher.executor
            if self.authorised:
                executor.execute(
                    self.scheduler.plan(now, now, executor.available_starts())
                )
            if self.scheduler.state.dirty:
                self._dirty.set()
            await anyio.sleep(MIN_PLAN_INTERVAL_SECONDS)

    async def _async_store(self) -> None:
        while self.dispatcher is not None:
            with anyio.move_on_after(MAX_STORE_INTERVAL_SECONDS):
                await self._dirty.wait()
            self._dirty = anyio.Event()
            now = self.world.now
            records = [
                (job_id, copy.deepcopy(progress))
                for job_id, progress in self.scheduler.take_dirty(now, now)
            ]
            sessions = self.dispatcher.sessions.values()
            upto = [(session, session.received_upto) for session in sessions]
            await anyio.sleep(self._store_seconds())
            self._write(records)
            await anyio.sleep(self._store_seconds())
            self.scheduler.mark_stored([job_id for job_id, _ in records])
            self._wake.set()
            for session, number in upto:
                session.acknowledge(number)

    def _store_seconds(self) -> float:
        rng = self.world.rng
        if self.world.faults_enabled and rng.random() < 0.08:
            return rng.uniform(0.1, 1.0)
        return APPEND_SECONDS

    def _write(self, records: list[tuple[str, Progress]]) -> None:
        for job_id, progress in records:
            self.world.jobs[job_id].progress = progress

    async def _async_reopen(self) -> None:
        """Reopen closed sessions to workers that may be reachable again."""
        while self.dispatcher is not None:
            for worker_id, entry in self.directory.entries.items():
                session = self.dispatcher.sessions.get(worker_id)
                if session is None or session.closed:
                    self.update_worker(worker_id, entry)
            await anyio.sleep(REOPEN_INTERVAL_SECONDS)
