"""Walk an owner and model workers through events drawn from a seed, then calm."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, latest_lease_end
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.scheduling.advice import ADVICE_SECONDS
from mustardward.components.scheduling.const import (
    APART_WAIT_SECONDS,
    MISSING_GRACE_SECONDS,
    QUARANTINE_SECONDS,
    SOUND_SECONDS,
    STUCK_FACTOR,
    STUCK_SECONDS,
)
from mustardward.components.scheduling.models import Job
from mustardward.platform.workers import TaskName, encode_task

from .liveness_jobs import (
    AFTERWARDS,
    LONGEST_SECONDS,
    POOL_A,
    POOL_B,
    PROBES,
    probes,
)
from .liveness_loop import DrivenLoop
from .liveness_rule import Owed
from .liveness_troubles import Troubles
from .liveness_world import World

TICK_SECONDS: Final = 0.05
LOOK_SECONDS: Final = 0.25
QUIET_SECONDS: Final = 1.0

BOUND_SECONDS: Final = (
    latest_lease_end(0.0)
    + AUTHORITY_SECONDS
    + MISSING_GRACE_SECONDS
    + QUARANTINE_SECONDS
    + ADVICE_SECONDS
    + APART_WAIT_SECONDS
    + SOUND_SECONDS
    + max(STUCK_SECONDS, 2 * STUCK_FACTOR * LONGEST_SECONDS)
)
"""Each limit that may hold a task back once, one after the other: leases and authority
after a takeover, an entry that lapsed, a quarantine, advice without an answer, the wait
for an empty worker, a suspect that is cleared, and a run that stands still."""


class LivenessWalk(Troubles):
    """Drive one walk, and say what could run in its calm and did not.

    :param scarce: whether lasting steps are drawn that no worker may be left for.
    """

    def __init__(self, seed: int, scarce: bool) -> None:
        super().__init__(World(seed), scarce)
        self._since: dict[tuple[bool, TaskName], float] = {}
        self.longest = 0.0

    def walk(self) -> str:
        """Walk; return what broke a rule, or nothing."""
        with asyncio.Runner(loop_factory=DrivenLoop) as runner:
            return runner.run(self._async_walk())

    async def _async_walk(self) -> str:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._async_tick)
            for number in range(len(self._slots)):
                self._boot(number)
            self._take_over(tasks)
            await self._async_trouble(tasks)
            self._mend()
            found = await self._async_calm()
            tasks.cancel_scope.cancel()
        return found

    async def _async_tick(self) -> None:
        while True:
            self._do_pending()
            self.world.advance()
            for worker in self.world.crash_victims():
                self._crash(worker)
            await anyio.sleep(TICK_SECONDS)

    async def _async_calm(self) -> str:
        """Hand in what any hold would keep from running; return what does not run."""
        first = self._chance.choice(PROBES)
        for kind in (first, *(other for other in AFTERWARDS if other != first)):
            for service in (POOL_A, POOL_B):
                workers = sum(slot.service == service for slot in self._slots)
                for job in self._probes(kind, service, workers):
                    self._hand_in(job)
            found = await self._async_settle()
            if found:
                return found
        return ""

    def _probes(self, kind: str, service: str, workers: int) -> list[LedgerJob]:
        quotas = self.world.quotas
        return probes(kind, service, workers, quotas, self._jobs, self.world.now)

    async def _async_settle(self) -> str:
        """Wait until nothing is owed; return what stayed owed for too long."""
        until = self.world.now + 3 * BOUND_SECONDS
        quiet_since = self.world.now
        while self.world.now - quiet_since < QUIET_SECONDS:
            await anyio.sleep(LOOK_SECONDS)
            now = self.world.now
            owed = {
                (twice, name)
                for twice in (True, False)
                for name in Owed(self.world, self._directory.done, twice).tasks()
            }
            self._since = {key: self._since.get(key, now) for key in owed}
            if owed or self._is_busy():
                quiet_since = now
            for key, since in sorted(self._since.items(), key=_twice_first):
                self.longest = max(self.longest, now - since)
                if now - since > BOUND_SECONDS or now > until:
                    return self._describe(key)
            if now > until:
                return "what runs does not end"
        return ""

    def _is_busy(self) -> bool:
        """Return whether work runs that is to end."""
        return any(not run.step.long_running for _, run in self.world.all_runs())

    def _describe(self, key: tuple[bool, TaskName]) -> str:
        twice, name = key
        rule = "room is there twice over" if twice else "room is there"
        owner = self._owner
        assert owner is not None
        board = owner.scheduler.board
        job = board.jobs.get(name.job)
        lines = [f"{encode_task(name)} could run and does not: {rule}"]
        lines += [f"  record {self.world.jobs[name.job].record.steps[name.step]}"]
        lines += _job_lines(job) if job is not None else ["  not known to the owner"]
        lines += [
            f"  worker {w.id} {w.service} {w.zone} free={w.free_cpu}/{w.free_mem} "
            f"stale={w.stale} absent={w.absent} leaving={w.leaving} "
            f"draining={w.draining} confirmed={w.confirmed} "
            f"unknown={w.unknown_runs} strays={len(w.strays)} "
            f"quarantine={w.quarantined_until:.1f} described={w.described} "
            f"tasks={[encode_task(t) for t in w.tasks]}"
            for w in board.workers.values()
        ]
        lines += [
            f"  truly {w.id} runs={[encode_task(n) for n in w.runs]}"
            for w in self.world.workers.values()
        ]
        lines += [f"  now={self.world.now:.1f} held_until={board.held_until:.1f}"]
        lines += [
            f"  waits {step.job.record.id}.{step.number} {len(step.waiting)} "
            f"lasting={step.spec.long_running} most={step.spec.max_per_server}"
            for step in board.ready.values()
        ]
        return "\n".join(lines)


def _twice_first(item: tuple[tuple[bool, TaskName], float]) -> tuple[bool, str]:
    twice, name = item[0]
    return not twice, encode_task(name)


def _job_lines(job: Job) -> list[str]:
    lines = [
        f"  job state={job.state.name} stored={job.stored} held={job.held} "
        f"zones={job.zones} open={job.open_zones} sent={job.sent_zones} "
        f"suspicion={job.suspicion} organisation={job.organisation}"
    ]
    for step in job.steps.values():
        lines.append(
            f"  step {step.occurrence}.{step.number} open={step.open} "
            f"waiting={len(step.waiting)} done={step.done} active={step.active} "
            f"tickets={step.tickets} asked_until={step.asked_until:.1f} "
            + " ".join(
                f"{t.phase.value}@{t.worker and t.worker.id}" for t in step.tasks
            )
        )
    return lines
