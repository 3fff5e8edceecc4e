"""Stand in for a worker: slots, connections, refusals, power and faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..helpers.timer import TimerService
from .executions import Execution, ExecutionRecord
from .faults import FaultSwitch, WorkerFaults
from .protocol.models import WorkerUsage
from .serving import Connections
from .tasks import TaskTable
from .usage import UsageHistory

FREEZE_POLL_SECONDS: Final = 0.02


class WorkerPower(StrEnum):
    """Say whether the worker serves."""

    SERVING = "serving"
    DRAINING = "draining"
    DOWN = "down"


class Refusal(StrEnum):
    """Name why a worker did not run a request."""

    BUSY = "busy"
    DRAINING = "draining"
    STALE_GENERATION = "stale-generation"


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Size one stand-in worker."""

    instance_id: str = "worker-1"
    data_centre: str = "dc-1"
    rack: str = "rack-1"
    slots: int = 8
    connections: int = 64


class StandInWorker:
    """Hold what one worker runs and what it may still take."""

    def __init__(self, timers: TimerService, options: WorkerOptions) -> None:
        self.options = options
        self.timers = timers
        self.faults = FaultSwitch(WorkerFaults())
        self.connections = Connections()
        self.executions = ExecutionRecord()
        self.tasks = TaskTable()
        self.power = WorkerPower.SERVING
        self.boot = 1
        self._usage = UsageHistory()
        self._pool_generation = 0
        self._reserved = 0
        self._admitted = 0

    @property
    def busy_slots(self) -> int:
        """Return how many slots requests and tasks hold."""
        return self._reserved + self.tasks.running(self.timers.monotonic())

    @property
    def in_progress(self) -> int:
        """Return how many requests and tasks are not at their end."""
        return self._reserved + self.tasks.active(self.timers.monotonic())

    @property
    def reachable(self) -> bool:
        """Tell whether connections get any answer at all."""
        return self.power is not WorkerPower.DOWN and not self.faults.now.down

    def admit(self, pool_generation: int | None) -> Refusal | None:
        """Take a slot, or say why not."""
        refusal = self.refusal(pool_generation)
        if refusal is not None:
            self.executions.refuse(refusal)
            return refusal
        self._reserved += 1
        self._admitted += 1
        self.note_usage()
        return None

    def release(self) -> None:
        """Give a slot back."""
        self._reserved -= 1
        self.note_usage()

    def refusal(self, pool_generation: int | None) -> Refusal | None:
        """Say why new work would not be run now."""
        faults = self.faults.now
        if self.power is WorkerPower.DRAINING and not faults.ignore_drain:
            return Refusal.DRAINING
        if pool_generation is not None:
            # Two entries may believe in different owners of this worker. The newest
            # generation it saw decides; without this an old owner's work would run
            # in a pool that no longer has the worker.
            if pool_generation < self._pool_generation:
                return Refusal.STALE_GENERATION
            self._pool_generation = pool_generation
        if faults.busy or self.busy_slots >= self.options.slots:
            return Refusal.BUSY
        if len(self.connections) > self.options.connections:
            return Refusal.BUSY
        return None

    def struck(self) -> bool:
        """Tell whether faults strike the request admitted last."""
        return self._admitted % self.faults.now.every == 0

    async def async_thaw(self) -> None:
        """Wait while the worker is frozen."""
        while self.faults.now.freeze:
            await self.timers.async_sleep(FREEZE_POLL_SECONDS)

    def change_power(self, action: str, boot: int) -> None:
        """Follow the platform's pool service."""
        if action == "drain" and self.power is WorkerPower.SERVING:
            self.power = WorkerPower.DRAINING
        elif action == "return" and self.power is WorkerPower.DRAINING:
            self.power = WorkerPower.SERVING
        elif action == "reboot":
            self._cut()
        elif action == "up":
            self.power = WorkerPower.SERVING
            self.boot = boot

    def _cut(self) -> None:
        now = self.timers.monotonic()
        self.power = WorkerPower.DOWN
        self.executions.cut_all(now)
        self.tasks.reboot(now)
        self.connections.abort_all()

    def begin(self, execution: Execution) -> None:
        """Note that an admitted request starts to run."""
        self.executions.begin(execution)

    def note_usage(self) -> None:
        """Remember the present usage for the lagging report."""
        self._usage.note(
            self.timers.monotonic(), self.busy_slots, len(self.connections)
        )

    def usage(self) -> WorkerUsage:
        """Return the usage as it was some seconds ago."""
        self.note_usage()
        now = self.timers.monotonic()
        sample = self._usage.at(now - self.faults.now.usage_lag_seconds)
        return WorkerUsage(
            instance_id=self.options.instance_id,
            slots_busy=sample.slots_busy,
            connections_open=sample.connections_open,
            age_seconds=self.faults.now.usage_lag_seconds,
        )
