"""Inject random faults and load into a simulated owner and its workers."""

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
from .liveness_workers import (
    ENTRY_LAPSE_SECONDS,
    Slot,
    WorkerPoolModel,
    machine_of,
)
from .liveness_world import ModelWorker, World

EVENT_COUNT: Final = 45
MEAN_EVENT_INTERVAL_SECONDS: Final = 0.3
"""Mean time between two events, in seconds."""
MAX_JOBS: Final = 16
MAX_LONG_RUNNING: Final = 4
RELEASE_SHARE: Final = 0.6
PARTITION_SECONDS: Final = (0.5, 2.0, 4.5, 9.0)


class FaultInjector(WorkerPoolModel):
    """Apply random events to the owner and its workers.

    :param scarce: whether to draw long-running steps with more tasks than workers.
    """

    def __init__(
        self, world: World, scarce: bool, slots: list[Slot] | None = None
    ) -> None:
        super().__init__(world, slots)
        self._scarce = scarce
        self._epoch = 0

    async def _async_inject_faults(
        self, tasks: TaskGroup, count: int = EVENT_COUNT
    ) -> None:
        events = self._weighted_events(tasks)
        choices = [event for event, weight in events for _ in range(weight)]
        for _ in range(count):
            if self.world.workers:
                self._rng.choice(choices)()
            await anyio.sleep(self._rng.uniform(0, 2 * MEAN_EVENT_INTERVAL_SECONDS))

    def _weighted_events(
        self, tasks: TaskGroup
    ) -> list[tuple[Callable[[], None], int]]:
        return [
            (self._submit_ordinary, 30),
            (self._submit_long_running, 8),
            (self._cancel_job, 5),
            (self._crash_random_worker, 4),
            (self._partition_worker, 4),
            (self._partition_zone, 1),
            (self._drain_worker, 3),
            (self._resize_worker, 4),
            (self._cordon_worker, 4),
            (self._expire_entry, 3),
            (self._add_worker, 1),
            (lambda: self._take_over(tasks), 3),
            (self._hide_instance_list, 1),
            (self._revoke_authority, 2),
            (self._change_quota, 2),
        ]

    def _submit_ordinary(self) -> None:
        self._submit_kind(self._rng.choice(ORDINARY))

    def _submit_long_running(self) -> None:
        long_running = [
            job
            for job in self.world.jobs.values()
            if not job.state.final and job.record.steps[0].long_running
        ]
        if len(long_running) < MAX_LONG_RUNNING:
            kinds = LONG_RUNNING if self._scarce else LONG_RUNNING[:-1]
            self._submit_kind(self._rng.choice((*kinds, *kinds[:1])))

    def _submit_kind(self, kind: str) -> None:
        unfinished = [job for job in self.world.jobs.values() if not job.state.final]
        if len(unfinished) >= MAX_JOBS:
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

    def _cancel_job(self) -> None:
        unfinished = [j for j in self.world.jobs.values() if not j.state.final]
        if unfinished:
            job = self._rng.choice(unfinished)
            job.cancelled_at = self.world.now
            if self._owner is not None:
                self._owner.scheduler.cancel_job(job.record.id)
                self._owner.wake()

    def _crash_random_worker(self) -> None:
        self._crash(self._choose_worker())

    def _crash(self, worker: ModelWorker) -> None:
        """End an incarnation and start the next one under the same or another id."""
        self._count_crashes(worker)
        number = self._slot_of(worker)
        if self._writes_birth_times and self._rng.random() < 0.4:
            self._start_incarnation(number, worker.id)
            entry_delay = self._rng.choice((0.0, 0.3, 3.0))
            self._schedule(entry_delay, lambda: self._write_entry(worker.id))
            return
        self._end_worker(worker)
        self._schedule(
            self._rng.uniform(0.3, 2.5), lambda: self._start_listed_worker(number)
        )

    def _count_crashes(self, worker: ModelWorker) -> None:
        for name in worker.runs:
            self.world.crashes[name] = self.world.crashes.get(name, 0) + 1

    def _partition_worker(self) -> None:
        """Make a worker unreachable for a while."""
        self._partition(self._choose_worker(), self._rng.choice(PARTITION_SECONDS))

    def _partition_zone(self) -> None:
        """Make all workers of a data centre unreachable for a while."""
        seconds = self._rng.choice(PARTITION_SECONDS)
        zone = self._choose_worker().zone
        for worker in self.world.workers.values():
            if worker.zone == zone:
                self._partition(worker, seconds)

    def _partition(self, worker: ModelWorker, seconds: float) -> None:
        worker.unreachable = True
        if self._rng.random() < 0.4:
            self._schedule(ENTRY_LAPSE_SECONDS, lambda: self._remove_entry(worker.id))

        def reconnect() -> None:
            worker.unreachable = False
            self._write_entry(worker.id)

        self._schedule(seconds, reconnect)

    def _drain_worker(self) -> None:
        worker = self._choose_worker()
        if worker.draining:
            return
        number = self._slot_of(worker)
        seconds = self._rng.uniform(0.5, 2.5)
        worker.draining = True
        worker.dies_at = self.world.now + seconds
        self._write_entry(worker.id)

        def end() -> None:
            if self.world.workers.get(worker.id) is worker:
                self._end_worker(worker)
                self._schedule(0.5, lambda: self._start_listed_worker(number))

        self._schedule(seconds, end)

    def _resize_worker(self) -> None:
        worker = self._choose_worker()
        share = self._rng.choice((1, 1, 2, 4))
        room = self._slots[self._slot_of(worker)].capacity
        worker.capacity = Room(room.cpu // share, room.mem_mb // share, room.gpu)
        entry_delay = self._rng.choice((0.0, 1.0))
        self._schedule(entry_delay, lambda: self._write_entry(worker.id))

    def _cordon_worker(self) -> None:
        """Cordon a worker, and later either uncordon or remove it."""
        worker = self._choose_worker()
        self._set_cordoned(worker, True)
        if self._rng.random() < 0.6:
            self._schedule(
                self._rng.uniform(0.2, 3.0),
                lambda: self._set_cordoned(worker, False),
            )
            return

        def remove() -> None:
            if self._owner is not None:
                self._owner.set_cordoned(machine_of(worker.id), worker.id, False)
            if self.world.workers.get(worker.id) is worker and worker.cordoned:
                number = self._slot_of(worker)
                self._end_worker(worker)
                if self._owner is not None:
                    self._owner.remove_worker(worker.id)
                self._schedule(1.5, lambda: self._start_listed_worker(number))

        self._schedule(self._rng.uniform(0.2, 3.0), remove)

    def _expire_entry(self) -> None:
        """Remove the entry of a live worker, and write it again later."""
        worker_id = self._choose_worker().id
        self._remove_entry(worker_id)
        self._schedule(
            self._rng.uniform(0.2, 4.0), lambda: self._write_entry(worker_id)
        )

    def _add_worker(self) -> None:
        if len(self._slots) < 9:
            room = Room(8000, 8000)
            self._slots.append(Slot(POOL_A, "z3", "r3", room))
            self._start_listed_worker(len(self._slots) - 1)

    def _revoke_authority(self) -> None:
        """Stop the owner from sending commands for a while, as after slow renewals."""
        owner = self._owner
        if owner is not None:
            owner.authorised = False

            def restore() -> None:
                owner.authorised = True

            self._schedule(self._rng.choice((0.3, 1.0, 4.0)), restore)

    def _change_quota(self) -> None:
        """Set a quota to a random value."""
        name = self._rng.choice(list(QUOTAS))
        self.world.quotas[name] = self._rng.choice(list(QUOTAS.values()))

    def _hide_instance_list(self) -> None:
        owner = self._owner
        if owner is not None:
            owner.list_available = False

            def restore() -> None:
                owner.list_available = True

            self._schedule(3.0, restore)

    def _take_over(self, tasks: TaskGroup, planned: bool = False) -> None:
        """Replace the owner by another one, which starts after a pause.

        :param planned: whether the owner certainly releases the shard.
        """
        previous = OwnerRecord(self._epoch, "", "node", 0)
        if self._owner is not None:
            if planned or self._rng.random() < RELEASE_SHARE:
                previous = self._owner.build_release()
            self._owner.end()
        self._epoch += 1
        self._directory.done = self._stored_as_done()
        owner = Owner(self.world, self._directory, self._epoch, POLICIES)
        self._owner = owner
        tasks.start_soon(self._async_run_owner, owner, previous)
        for worker_id in list(self.world.workers):
            self._write_entry(worker_id)

    async def _async_run_owner(self, owner: Owner, previous: OwnerRecord) -> None:
        if self.world.faults_enabled and owner.epoch > 1:
            await anyio.sleep(self._rng.uniform(0.1, 2.0))
        if owner is self._owner:
            await owner.async_run(previous)

    def _stored_as_done(self) -> set[TaskName]:
        """Return the tasks that are done according to the log."""
        return {
            TaskName(job_id, mark.occurrence, mark.step, index)
            for job_id, job in self.world.jobs.items()
            if job.progress is not None
            for mark in job.progress.steps
            for index in unpack_indices(mark.done)
        }
