"""Simulate a worker: slots, connections, refusals, power and faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..helpers.timer import TimerService
from .executions import Execution, ExecutionLog
from .faults import FaultSwitch, WorkerFaults
from .protocol.models import WorkerUsage
from .serving import Connections
from .tasks import TaskTable
from .usage import UsageHistory

FREEZE_POLL_SECONDS: Final = 0.02


class WorkerPower(StrEnum):
    """Power state of a worker."""

    SERVING = "serving"
    DRAINING = "draining"
    DOWN = "down"


class Refusal(StrEnum):
    """Reason why a worker refused a request."""

    BUSY = "busy"
    DRAINING = "draining"
    STALE_GENERATION = "stale-generation"


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Identity and size of a simulated worker."""

    instance_id: str = "worker-1"
    data_centre: str = "dc-1"
    rack: str = "rack-1"
    slots: int = 8
    connections: int = 64


class StandInWorker:
    """State of a worker: its power, executions, tasks and free slots."""

    def __init__(self, timers: TimerService, options: WorkerOptions) -> None:
        self.options = options
        self.timers = timers
        self.faults = FaultSwitch(WorkerFaults())
        self.connections = Connections()
        self.executions = ExecutionLog()
        self.tasks = TaskTable()
        self.power = WorkerPower.SERVING
        self.boot = 1
        self._usage = UsageHistory()
        self._pool_generation = 0
        self._reserved = 0
        self._admitted = 0

    @property
    def busy_slots(self) -> int:
        """Return the number of slots that requests and tasks occupy."""
        return self._reserved + self.tasks.running(self.timers.monotonic())

    @property
    def in_progress(self) -> int:
        """Return the number of unfinished requests and tasks."""
        return self._reserved + self.tasks.active(self.timers.monotonic())

    @property
    def reachable(self) -> bool:
        """Return whether the worker responds to connections."""
        return self.power is not WorkerPower.DOWN and not self.faults.active.down

    def admit(self, pool_generation: int | None) -> Refusal | None:
        """Reserve a slot, or return the reason for refusal."""
        refusal = self.check_admission(pool_generation)
        if refusal is not None:
            self.executions.record_refusal(refusal)
            return refusal
        self._reserved += 1
        self._admitted += 1
        self.record_usage()
        return None

    def release(self) -> None:
        """Release a slot."""
        self._reserved -= 1
        self.record_usage()

    def check_admission(self, pool_generation: int | None) -> Refusal | None:
        """Return why new work is refused, or None if it is accepted."""
        faults = self.faults.active
        if self.power is WorkerPower.DRAINING and not faults.ignore_drain:
            return Refusal.DRAINING
        if pool_generation is not None:
            # Entries may disagree about the pool that owns this worker. Only the
            # newest known generation is accepted; otherwise work of the previous
            # owner would run in a pool that no longer has the worker.
            if pool_generation < self._pool_generation:
                return Refusal.STALE_GENERATION
            self._pool_generation = pool_generation
        if faults.busy or self.busy_slots >= self.options.slots:
            return Refusal.BUSY
        if len(self.connections) > self.options.connections:
            return Refusal.BUSY
        return None

    def is_fault_due(self) -> bool:
        """Return whether faults apply to the most recently admitted request."""
        return self._admitted % self.faults.active.every == 0

    async def async_wait_unfrozen(self) -> None:
        """Wait until the worker is not frozen."""
        while self.faults.active.freeze:
            await self.timers.async_sleep(FREEZE_POLL_SECONDS)

    def change_power(self, action: str, boot: int) -> None:
        """Apply an action of the platform's power service."""
        if action == "drain" and self.power is WorkerPower.SERVING:
            self.power = WorkerPower.DRAINING
        elif action == "return" and self.power is WorkerPower.DRAINING:
            self.power = WorkerPower.SERVING
        elif action == "reboot":
            self._interrupt()
        elif action == "up":
            self.power = WorkerPower.SERVING
            self.boot = boot

    def _interrupt(self) -> None:
        now = self.timers.monotonic()
        self.power = WorkerPower.DOWN
        self.executions.interrupt_all(now)
        self.tasks.reboot(now)
        self.connections.abort_all()

    def record_start(self, execution: Execution) -> None:
        """Record the start of an admitted request."""
        self.executions.record_start(execution)

    def record_usage(self) -> None:
        """Record the current usage for the delayed report."""
        self._usage.record(
            self.timers.monotonic(), self.busy_slots, len(self.connections)
        )

    def usage(self) -> WorkerUsage:
        """Return the usage, delayed by the configured lag."""
        self.record_usage()
        now = self.timers.monotonic()
        sample = self._usage.at(now - self.faults.active.usage_lag_seconds)
        return WorkerUsage(
            instance_id=self.options.instance_id,
            slots_busy=sample.slots_busy,
            connections_open=sample.connections_open,
            age_seconds=self.faults.active.usage_lag_seconds,
        )
