"""Run walks of groups of faults with calm between them, and maintenance waves."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from mustardward.platform.models import MaintenanceWave, Room
from mustardward.platform.workers import TaskName

from .liveness_calm_rule import MAX_WAIT_SECONDS, LongRunningRule
from .liveness_jobs import POOL_A, POOL_B, full_long_running
from .liveness_runnable import SUSPECT_CRASHES, RunnableTasks
from .liveness_walk import LivenessWalk
from .liveness_workers import Slot, machine_name

GROUPS: Final = 4
EVENTS_PER_GROUP: Final = 10
CALM_SECONDS: Final = 13.0
FINISH_SECONDS: Final = 14.0
"""Time after the end of traffic from which short jobs must run too."""
CHECK_SECONDS: Final = 0.1
WAVE_SHARE: Final = 0.7
HANDOVER_SHARE: Final = 0.5
HANDOVERS: Final = 3


def _small_pools() -> list[Slot]:
    """Return a pool of three workers and one of two."""
    room = Room(8000, 8000, 1)
    return [
        Slot(POOL_A, "z1", "r1", room),
        Slot(POOL_A, "z1", "r2", room),
        Slot(POOL_A, "z2", "r1", room),
        Slot(POOL_B, "z1", "r1", room),
        Slot(POOL_B, "z2", "r2", room),
    ]


class CalmWalk(LivenessWalk):
    """Run one walk, and find tasks that wait in the calm between faults.

    :param suspects: whether to check the tasks under which workers crashed repeatedly;
        otherwise all others are checked.
    :param handovers: whether owners leave of themselves in the calm too.
    """

    def __init__(
        self, seed: int, suspects: bool = False, handovers: bool = False
    ) -> None:
        super().__init__(seed, scarce=False, slots=_small_pools())
        self._rule = LongRunningRule(self.world)
        self._suspects = suspects
        self._handovers = handovers
        self._short_since: dict[TaskName, float] = {}
        self.calm_seconds = 0.0

    @property
    def longest_wait(self) -> float:
        """Return the longest wait of a long-running task that counts."""
        return self._rule.longest_wait

    async def _async_walk(self) -> str:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._async_tick)
            for number in range(len(self._slots)):
                self._start_worker(number)
            self._take_over(tasks)
            found = ""
            for group in range(GROUPS):
                is_last = group == GROUPS - 1
                found = found or await self._async_group(tasks, is_last)
            tasks.cancel_scope.cancel()
        return found

    async def _async_group(self, tasks: TaskGroup, is_last: bool) -> str:
        """Inject faults, and check the calm after them."""
        self.world.faults_enabled = True
        if self._rng.random() < WAVE_SHARE:
            self._publish_wave()
        await self._async_inject_faults(tasks, EVENTS_PER_GROUP)
        self.world.faults_enabled = False
        calm_since = math.inf
        while (
            not self.world.now - calm_since >= CALM_SECONDS + is_last * FINISH_SECONDS
        ):
            await anyio.sleep(CHECK_SECONDS)
            now = self.world.now
            if self._is_fault_acting():
                calm_since = math.inf
            elif math.isinf(calm_since):
                calm_since = now
                self._write_all_entries()
                self._plan_handovers(tasks)
            for name in self._rule.find_violations(self._directory.done, calm_since):
                crashes = self.world.crashes.get(name, 0)
                if (crashes >= SUSPECT_CRASHES) is not self._suspects:
                    continue
                return self._describe_waiting(
                    name, f"calm for {now - calm_since:.1f} s"
                )
            finishes_at = calm_since + FINISH_SECONDS if is_last else math.inf
            for name in self._find_waiting_short(finishes_at):
                return self._describe_waiting(name, "at the end")
        self.calm_seconds += CALM_SECONDS + is_last * FINISH_SECONDS
        return ""

    def _plan_handovers(self, tasks: TaskGroup) -> None:
        """Let owners leave of themselves in the calm, which is planned work."""
        if not self._handovers or self._rng.random() >= HANDOVER_SHARE:
            return
        for number in range(1, HANDOVERS + 1):
            at = self.world.now + number * self._rng.uniform(2.0, 4.0)
            self._planned.append((at, lambda: self._take_over(tasks, planned=True)))

    def _is_fault_acting(self) -> bool:
        owner = self._owner
        return (
            bool(self._pending)
            or bool(self.world.delayed_calls)
            or owner is None
            or owner.dispatcher is None
        )

    def _find_waiting_short(self, finishes_at: float) -> list[TaskName]:
        """Return the tasks of short jobs that could have run for too long."""
        now = self.world.now
        if now < finishes_at:
            return []
        waiting = RunnableTasks(self.world, self._directory.done, double_room=True)
        self._short_since = {
            name: self._short_since.get(name, now)
            for name in waiting.tasks()
            if not self.world.jobs[name.job].record.steps[name.step].long_running
        }
        return [
            name
            for name, since in self._short_since.items()
            if now - since >= MAX_WAIT_SECONDS
        ]

    def _write_all_entries(self) -> None:
        """Write the entries of all live workers, as their heartbeats do."""
        for worker_id in self.world.workers:
            self._write_entry(worker_id)

    def _weighted_events(
        self, tasks: TaskGroup
    ) -> list[tuple[Callable[[], None], int]]:
        return [
            *super()._weighted_events(tasks),
            (self._submit_long_running, 6),
            (self._submit_full, 6),
            (self._crash_random_worker, 3),
            (lambda: self._take_over(tasks), 6),
            (self._ignore_starts, 10),
            (lambda: self._lose_worker_at_handover(tasks), 10),
        ]

    def _ignore_starts(self) -> None:
        """Let a worker answer everything but starts for a while."""
        worker = self._choose_worker()
        worker.ignores_starts = True

        def answer() -> None:
            worker.ignores_starts = False

        self._schedule(self._rng.uniform(0.3, 4.0), answer)

    def _lose_worker_at_handover(self, tasks: TaskGroup) -> None:
        """Lose a worker that ignored starts before the next owner reads its entry."""
        worker = self._choose_worker()
        number = self._slot_of(worker)
        worker.ignores_starts = True

        def lose() -> None:
            if self.world.workers.get(worker.id) is not worker:
                return
            self._count_crashes(worker)
            self._end_worker(worker)
            self._remove_entry(worker.id)
            self._take_over(tasks)
            self._schedule(
                self._rng.uniform(0.5, 3.0), lambda: self._start_listed_worker(number)
            )
            if self._rng.random() < 0.5:
                self._schedule(
                    self._rng.uniform(2.0, 6.0), lambda: self._take_over(tasks)
                )

        self._schedule(self._rng.uniform(0.3, 2.0), lose)

    def _submit_full(self) -> None:
        """Submit a job that fills the pool of two workers."""
        if self._rng.random() < 0.5 or not self._has_full():
            job = full_long_running(self._rng, self._jobs, self.world.now)
            self._submit_job(job)

    def _has_full(self) -> bool:
        return any(
            not job.state.final
            and job.record.queue == "other"
            and job.record.steps[0].long_running
            for job in self.world.jobs.values()
        )

    def _publish_wave(self) -> None:
        """Publish a wave, unless an earlier one still has machines to maintain."""
        for number, wave in self.world.waves.items():
            record = self.world.wave_records.get(str(number))
            if record is None or not set(wave.machines) <= set(record.machines):
                return
        machines = [machine_name(number) for number in range(len(self._slots))]
        self._rng.shuffle(machines)
        number = len(self.world.waves) + 1
        self.world.waves[number] = MaintenanceWave(
            number,
            machines[: self._rng.randint(2, len(machines))],
            self._rng.uniform(8.0, 20.0),
            self._rng.randint(1, 2),
        )
