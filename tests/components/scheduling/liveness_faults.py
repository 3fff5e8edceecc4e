"""Trouble an owner and its workers by events drawn from a seed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from mustardward.components.ledger.bitset import unpack_indices
from mustardward.components.ledger.models import OwnerRecord
from mustardward.platform.models import Room
from mustardward.platform.workers import TaskName

from .liveness_jobs import (
    LONG_RUNNING,
    ORDINARY,
    POLICIES,
    POOL_A,
    QUOTAS,
    draw_job,
    unplaceable_long_running,
)
from .liveness_owner import Owner
from .liveness_workers import ENTRY_LAPSE_SECONDS, Slot, WorkerPoolModel
from .liveness_world import ModelWorker, World

EVENTS: Final = 45
EVENT_SECONDS: Final = 0.3
"""Mean time between two events."""
MAX_JOBS: Final = 16
MAX_LONG_RUNNING: Final = 4
CUT_SECONDS: Final = (0.5, 2.0, 4.5, 9.0)


class FaultInjector(WorkerPoolModel):
    """Let events happen.

    :param scarce: whether lasting steps are drawn that no worker may be left for.
    """

    def __init__(self, world: World, scarce: bool) -> None:
        super().__init__(world)
        self._scarce = scarce
        self._epoch = 0

    async def _async_inject_faults(self, tasks: TaskGroup) -> None:
        events: list[tuple[Callable[[], None], int]] = [
            (self._submit, 30),
            (self._submit_long_running, 8),
            (self._cancel, 5),
            (self._crash_one, 4),
            (self._cut_off_worker, 4),
            (self._cut_off_zone, 1),
            (self._drain, 3),
            (self._resize, 4),
            (self._announce_leaving, 4),
            (self._expire_entry, 3),
            (self._join, 1),
            (lambda: self._take_over(tasks), 3),
            (self._hide_instance_list, 1),
            (self._revoke_authority, 2),
            (self._configure, 2),
        ]
        choices = [event for event, weight in events for _ in range(weight)]
        for _ in range(EVENTS):
            self._rng.choice(choices)()
            await anyio.sleep(self._rng.uniform(0, 2 * EVENT_SECONDS))

    def _submit(self) -> None:
        self._accept(self._rng.choice(ORDINARY))

    def _submit_long_running(self) -> None:
        long_running = [
            job
            for job in self.world.jobs.values()
            if not job.state.final and job.record.steps[0].long_running
        ]
        if len(long_running) < MAX_LONG_RUNNING:
            kinds = LONG_RUNNING if self._scarce else LONG_RUNNING[:-1]
            self._accept(self._rng.choice((*kinds, *kinds[:1])))

    def _accept(self, kind: str) -> None:
        alive = [job for job in self.world.jobs.values() if not job.state.final]
        if len(alive) >= MAX_JOBS:
            return
        scarce = self._scarce and kind == "lasting" and self._rng.random() < 0.5
        now = self.world.now
        job = (
            unplaceable_long_running(self._rng, self._jobs, now)
            if scarce
            else draw_job(self._rng, self._jobs, now, kind)
        )
        draw = self._rng.random()
        if draw < 0.1:
            self.world.crashing_tasks.add(TaskName(job.record.id, 0, 0, 0))
        elif draw < 0.2:
            self.world.failing.add(job.record.id)
        self._submit_job(job)

    def _cancel(self) -> None:
        alive = [j for j in self.world.jobs.values() if not j.state.final]
        if alive:
            job = self._rng.choice(alive)
            job.cancelled_at = self.world.now
            if self._owner is not None:
                self._owner.scheduler.cancel_job(job.record.id)
                self._owner.wake()

    def _crash_one(self) -> None:
        self._crash(self._choose_worker())

    def _crash(self, worker: ModelWorker) -> None:
        """End an incarnation; the next one has its id, or another."""
        for name in worker.runs:
            self.world.crashes[name] = self.world.crashes.get(name, 0) + 1
        number = self._number_of(worker)
        if self._writes_birth_times and self._rng.random() < 0.4:
            self._start_incarnation(number, worker.id)
            entry_delay = self._rng.choice((0.0, 0.3, 3.0))
            self._schedule(entry_delay, lambda: self._write_entry(worker.id))
            return
        self._end_worker(worker)
        self._schedule(
            self._rng.uniform(0.3, 2.5), lambda: self._start_listed_worker(number)
        )

    def _cut_off_worker(self) -> None:
        """Cut a worker off for a while."""
        self._cut_off(self._choose_worker(), self._rng.choice(CUT_SECONDS))

    def _cut_off_zone(self) -> None:
        """Cut a data centre off for a while."""
        seconds = self._rng.choice(CUT_SECONDS)
        zone = self._choose_worker().zone
        for worker in self.world.workers.values():
            if worker.zone == zone:
                self._cut_off(worker, seconds)

    def _cut_off(self, worker: ModelWorker, seconds: float) -> None:
        worker.silent = True
        if self._rng.random() < 0.4:
            self._schedule(ENTRY_LAPSE_SECONDS, lambda: self._remove_entry(worker.id))

        def end() -> None:
            worker.silent = False
            self._write_entry(worker.id)

        self._schedule(seconds, end)

    def _drain(self) -> None:
        worker = self._choose_worker()
        if worker.draining:
            return
        number = self._number_of(worker)
        seconds = self._rng.uniform(0.5, 2.5)
        worker.draining = True
        worker.dies_at = self.world.now + seconds
        self._write_entry(worker.id)

        def end() -> None:
            if self.world.workers.get(worker.id) is worker:
                self._end_worker(worker)
                self._schedule(0.5, lambda: self._start_listed_worker(number))

        self._schedule(seconds, end)

    def _resize(self) -> None:
        worker = self._choose_worker()
        share = self._rng.choice((1, 1, 2, 4))
        room = self._slots[self._number_of(worker)].capacity
        worker.capacity = Room(room.cpu // share, room.mem_mb // share, room.gpu)
        entry_delay = self._rng.choice((0.0, 1.0))
        self._schedule(entry_delay, lambda: self._write_entry(worker.id))

    def _announce_leaving(self) -> None:
        """Decide to take a worker; leave it after all, or take it."""
        worker = self._choose_worker()
        self._set_leaving(worker, True)
        if self._rng.random() < 0.6:
            self._schedule(
                self._rng.uniform(0.2, 3.0),
                lambda: self._set_leaving(worker, False),
            )
            return

        def remove() -> None:
            if self.world.workers.get(worker.id) is worker and worker.leaving:
                number = self._number_of(worker)
                self._end_worker(worker)
                if self._owner is not None:
                    self._owner.remove_worker(worker.id)
                self._schedule(1.5, lambda: self._start_listed_worker(number))

        self._schedule(self._rng.uniform(0.2, 3.0), remove)

    def _expire_entry(self) -> None:
        """Let an entry lapse though its worker lives, and come back."""
        worker_id = self._choose_worker().id
        self._remove_entry(worker_id)
        self._schedule(
            self._rng.uniform(0.2, 4.0), lambda: self._write_entry(worker_id)
        )

    def _join(self) -> None:
        if len(self._slots) < 9:
            room = Room(8000, 8000)
            self._slots.append(Slot(POOL_A, "z3", "r3", room))
            self._start_listed_worker(len(self._slots) - 1)

    def _revoke_authority(self) -> None:
        """Let the owner give no orders, since its renewals take long."""
        owner = self._owner
        if owner is not None:
            owner.authorised = False

            def end() -> None:
                owner.authorised = True

            self._schedule(self._rng.choice((0.3, 1.0, 4.0)), end)

    def _configure(self) -> None:
        """Raise or lower a quota."""
        name = self._rng.choice(list(QUOTAS))
        self.world.quotas[name] = self._rng.choice(list(QUOTAS.values()))

    def _hide_instance_list(self) -> None:
        owner = self._owner
        if owner is not None:
            owner.list_is_read = False

            def end() -> None:
                owner.list_is_read = True

            self._schedule(3.0, end)

    def _take_over(self, tasks: TaskGroup) -> None:
        """Let another owner begin, after none was there for a while."""
        before = OwnerRecord(self._epoch, "", "node", 0)
        if self._owner is not None:
            settled = self.world.now >= self._owner.scheduler.state.takeover_hold_until
            if self._rng.random() < 0.3:
                before = OwnerRecord(self._epoch, "", "", 0, settled=settled)
            self._owner.end()
        self._epoch += 1
        self._directory.done = self._stored_as_done()
        owner = Owner(self.world, self._directory, self._epoch, POLICIES)
        self._owner = owner
        tasks.start_soon(self._async_run_owner, owner, before)
        for worker_id in list(self.world.workers):
            self._write_entry(worker_id)

    async def _async_run_owner(self, owner: Owner, before: OwnerRecord) -> None:
        if self.world.faults_enabled and owner.epoch > 1:
            await anyio.sleep(self._rng.uniform(0.1, 2.0))
        if owner is self._owner:
            await owner.async_run(before)

    def _stored_as_done(self) -> set[TaskName]:
        """Return the tasks that the log shows as done."""
        return {
            TaskName(job_id, mark.occurrence, mark.step, index)
            for job_id, job in self.world.jobs.items()
            if job.progress is not None
            for mark in job.progress.steps
            for index in unpack_indices(mark.done)
        }
