"""Run random walks of an owner and model workers: first with faults, then without."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, latest_lease_end
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.scheduling.const import (
    CLEARED_AFTER_SECONDS,
    ISOLATION_WAIT_SECONDS,
    MISSING_GRACE_SECONDS,
    QUARANTINE_SECONDS,
    STUCK_FACTOR,
    STUCK_SECONDS,
)
from mustardward.components.scheduling.models import Job
from mustardward.platform.workers import TaskName, encode_task

from .liveness_faults import FaultInjector
from .liveness_jobs import (
    FOLLOWING_PROBES,
    MAX_ESTIMATE_SECONDS,
    POOL_A,
    POOL_B,
    PROBES,
    probes,
)
from .liveness_runnable import RunnableTasks
from .liveness_virtual_time import VirtualTimeLoop
from .liveness_workers import Slot
from .liveness_world import World

TICK_SECONDS: Final = 0.05
CHECK_SECONDS: Final = 0.25
QUIET_SECONDS: Final = 1.0
ADVICE_WAIT_SECONDS: Final = 2.0

BOUND_SECONDS: Final = (
    latest_lease_end(0.0)
    + AUTHORITY_SECONDS
    + MISSING_GRACE_SECONDS
    + QUARANTINE_SECONDS
    + ADVICE_WAIT_SECONDS
    + ISOLATION_WAIT_SECONDS
    + CLEARED_AFTER_SECONDS
    + max(STUCK_SECONDS, 2 * STUCK_FACTOR * MAX_ESTIMATE_SECONDS)
)
"""Longest delay of a runnable task: the sum of all limits that may each delay it once.
These are leases and authority after a takeover, an expired worker entry, a quarantine,
a wait for advice, the wait for an empty worker, the clearing of a suspect, and a run
without progress."""


class LivenessWalk(FaultInjector):
    """Run one walk, and find tasks that could run after the faults but did not.

    :param scarce: whether to draw long-running steps with more tasks than workers.
    """

    def __init__(
        self, seed: int, scarce: bool, slots: list[Slot] | None = None
    ) -> None:
        super().__init__(World(seed), scarce, slots)
        self._runnable_since: dict[tuple[bool, TaskName], float] = {}
        self.max_delay = 0.0

    def walk(self) -> str:
        """Run the walk; return a description of a violation, or an empty string."""
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            return runner.run(self._async_walk())

    async def _async_walk(self) -> str:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._async_tick)
            for number in range(len(self._slots)):
                self._start_worker(number)
            self._take_over(tasks)
            await self._async_inject_faults(tasks)
            self._stop_faults()
            found = await self._async_check_recovery()
            tasks.cancel_scope.cancel()
        return found

    async def _async_tick(self) -> None:
        while True:
            self._run_pending()
            self.world.advance()
            for worker in self.world.crash_victims():
                self._crash(worker)
            await anyio.sleep(TICK_SECONDS)

    async def _async_check_recovery(self) -> str:
        """Submit jobs that need all room and quotas; return a violation if any waits.

        Such jobs reveal any room, quota or worker that is still withheld.
        """
        first = self._rng.choice(PROBES)
        for kind in (first, *(other for other in FOLLOWING_PROBES if other != first)):
            for service in (POOL_A, POOL_B):
                workers = sum(slot.service == service for slot in self._slots)
                for job in self._probes(kind, service, workers):
                    self._submit_job(job)
            found = await self._async_wait_until_settled()
            if found:
                return found
        return ""

    def _probes(self, kind: str, service: str, workers: int) -> list[LedgerJob]:
        quotas = self.world.quotas
        return probes(kind, service, workers, quotas, self._jobs, self.world.now)

    async def _async_wait_until_settled(self) -> str:
        """Wait until no runnable task waits; return a violation after too long."""
        until = self.world.now + 3 * BOUND_SECONDS
        quiet_since = self.world.now
        while self.world.now - quiet_since < QUIET_SECONDS:
            await anyio.sleep(CHECK_SECONDS)
            now = self.world.now
            runnable = {
                (double_room, name)
                for double_room in (True, False)
                for name in RunnableTasks(
                    self.world, self._directory.done, double_room
                ).tasks()
            }
            self._runnable_since = {
                key: self._runnable_since.get(key, now) for key in runnable
            }
            if runnable or self._is_busy():
                quiet_since = now
            for key, since in sorted(
                self._runnable_since.items(), key=_double_room_sort_key
            ):
                self.max_delay = max(self.max_delay, now - since)
                if now - since > BOUND_SECONDS or now > until:
                    return self._describe_violation(key)
            if now > until:
                return "runs do not end"
        return ""

    def _is_busy(self) -> bool:
        """Return whether any run is of a step that is not long-running."""
        return any(not run.step.long_running for _, run in self.world.all_runs())

    def _describe_violation(self, key: tuple[bool, TaskName]) -> str:
        double_room, name = key
        rule = "double room is free" if double_room else "room is free"
        return self._describe_waiting(name, rule)

    def _describe_waiting(self, name: TaskName, rule: str) -> str:
        owner = self._owner
        assert owner is not None
        state = owner.scheduler.state
        job = state.jobs.get(name.job)
        lines = [f"{encode_task(name)} could run but does not: {rule}"]
        lines += [f"  record {self.world.jobs[name.job].record.steps[name.step]}"]
        lines += _job_lines(job) if job is not None else ["  unknown to the owner"]
        lines += [
            f"  worker {w.id} {w.service} {w.zone} free={w.free_cpu}/{w.free_mem} "
            f"stale={w.stale} absent={w.absent} cordoned={w.cordoned} "
            f"draining={w.draining} confirmed={w.confirmed} "
            f"unknown={w.unknown_runs} orphans={len(w.orphan_steps)} "
            f"quarantine={w.quarantined_until:.1f} described={w.described} "
            f"tasks={[encode_task(t) for t in w.tasks]}"
            for w in state.workers.values()
        ]
        lines += [
            f"  model {w.id} runs={[encode_task(n) for n in w.runs]}"
            for w in self.world.workers.values()
        ]
        lines += [
            f"  now={self.world.now:.1f} "
            f"takeover_hold_until={state.takeover_hold_until:.1f}"
        ]
        lines += [
            f"  held {encode_task(task)} on {start.worker} "
            f"until={start.until:.1f} elsewhere_at={start.elsewhere_at:.1f}"
            for task, start in state.held_starts.items()
        ]
        lines += [
            f"  waiting {step.job.record.id}.{step.number} {len(step.waiting)} "
            f"long_running={step.spec.long_running} "
            f"max_per_server={step.spec.max_per_server}"
            for step in state.ready.values()
        ]
        return "\n".join(lines)


def _double_room_sort_key(
    item: tuple[tuple[bool, TaskName], float],
) -> tuple[bool, str]:
    double_room, name = item[0]
    return not double_room, encode_task(name)


def _job_lines(job: Job) -> list[str]:
    lines = [
        f"  job state={job.state.name} stored={job.stored} "
        f"from_previous_owner={job.from_previous_owner} zones={job.zones} "
        f"stored_zones={job.stored_zones} pending_zones={job.pending_zones} "
        f"suspicion={job.suspicion} organisation={job.organisation}"
    ]
    for step in job.steps.values():
        lines.append(
            f"  step {step.occurrence}.{step.number} open={step.open} "
            f"waiting={len(step.waiting)} done={step.done} active={step.active} "
            f"tickets={step.tickets} "
            f"denied={sorted(step.denied_at)} "
            f"advice_retry_at={step.advice_retry_at:.1f} "
            + " ".join(
                f"{t.phase.value}@{t.worker and t.worker.id}" for t in step.tasks
            )
        )
    return lines
