"""Simulate a worker that runs tasks under leases and fencing tokens.

Reads no clock: callers pass the time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from ...platform.bodies import HoldAnswerBody, StartBody
from ...platform.models import ENDED_DONE, ENDED_FAILED, Room
from ...platform.names import REASON_FENCE
from ...platform.workers import (
    REFUSED_LATE,
    REFUSED_OLD,
    REFUSED_ROOM,
    TaskName,
    decode_task,
)

MAX_LEASE_MS: Final = 10_000
STOP_DURATION_MS: Final = 200
MAX_LISTED_ENDS: Final = 500
START_UP_MS: Final = 150
"""Start-up time of a long-running task."""

ENDED_STOPPED: Final = "stopped"
ENDED_LAPSED: Final = "lapsed"


@dataclass(frozen=True, slots=True)
class Workload:
    """Resource request and behaviour of a task.

    :param seconds: duration of a run; ignored for a long-running task.
    :param crashes: whether its start crashes the worker with all its runs.
    """

    resources: Room
    seconds: float
    long_running: bool = False
    fails: bool = False
    crashes: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """A run of a task."""

    task: str
    number: int
    workload: Workload
    started_ms: float
    stops_at_ms: float | None = None


@dataclass(slots=True, eq=False)
class MemoryWorker:
    """One incarnation of a simulated worker.

    :param workloads: workload by job and step.
    :param unresponsive: whether calls get no response while tasks continue to run.
    :param loses_answers: whether calls are executed and get no response.
    :param delay_seconds: delay of the execution of calls, which get no response then.
    :param started_at_ms: start time in milliseconds since 1970.
    :param clock_zero_ms: zero of the worker's clock in platform time.
    :param crashing: whether a task was started that crashes the worker.
    :param enforces_capacity: whether it refuses tasks beyond its capacity.
    :param overcommitted_starts: number of starts beyond its capacity.
    :param max_listed_ends: most ended runs in one answer.
    """

    id: str
    machine: str
    pool: str
    capacity: Room
    workloads: dict[str, Workload]
    unresponsive: bool = False
    loses_answers: bool = False
    delay_seconds: float = 0.0
    started_at_ms: int = 0
    clock_zero_ms: float = 0.0
    crashing: bool = False
    enforces_capacity: bool = True
    overcommitted_starts: int = 0
    max_listed_ends: int = MAX_LISTED_ENDS
    runs: dict[str, Run] = field(default_factory=dict)
    starts: list[tuple[str, int]] = field(default_factory=list)
    _unacknowledged_ends: list[list[object]] = field(default_factory=list)
    _highest_token: int = 0
    _lease_end_ms: float = 0.0
    _last_end_number: int = 0
    _highest_ended: dict[str, int] = field(default_factory=dict)

    def start(self, order: StartBody, now_ms: float) -> str:
        """Start a task; return the reason of a refusal or an empty string."""
        self.advance(now_ms)
        if not self._accept_token(order.fence):
            return REASON_FENCE
        running = self.runs.get(order.task)
        if running is not None and running.number == order.run:
            return ""
        if order.run <= self._highest_ended.get(order.task, 0):
            self._extend_lease(order.deadline_ms, now_ms)
            return REFUSED_OLD
        if order.deadline_ms <= now_ms:
            return REFUSED_LATE
        workload = self._get_workload(order.task)
        if not self._fits(workload.resources):
            if self.enforces_capacity:
                self._extend_lease(order.deadline_ms, now_ms)
                return REFUSED_ROOM
            self.overcommitted_starts += 1
        self._extend_lease(order.deadline_ms, now_ms)
        self.runs[order.task] = Run(order.task, order.run, workload, now_ms)
        self.starts.append((order.task, order.run))
        self.crashing = self.crashing or workload.crashes
        return ""

    def stop(self, task: str, run: int, token: int, now_ms: float) -> str:
        """Stop a run; return the reason of a refusal or an empty string."""
        self.advance(now_ms)
        if not self._accept_token(token):
            return REASON_FENCE
        running = self.runs.get(task)
        if running is not None and running.number == run:
            if running.stops_at_ms is None:
                running.stops_at_ms = now_ms + STOP_DURATION_MS
        else:
            self._highest_ended[task] = max(run, self._highest_ended.get(task, 0))
        return ""

    def poll(
        self, token: int, received_upto: int, deadline_ms: int | None, now_ms: float
    ) -> HoldAnswerBody | None:
        """Renew the lease and return the running and ended runs.

        Returns None if the fencing token is outdated.
        """
        self.advance(now_ms)
        if not self._accept_token(token):
            return None
        if deadline_ms is not None:
            self._extend_lease(deadline_ms, now_ms)
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if int(str(row[0])) > received_upto
        ]
        running: list[list[object]] = [
            [run.task, run.number, "", self._percent(run, now_ms), 0.0]
            for run in self.runs.values()
        ]
        ended = self._unacknowledged_ends[: self.max_listed_ends]
        return HoldAnswerBody(now_ms, running, ended, self.started_at_ms)

    def advance(self, now_ms: float) -> None:
        """Advance the simulation to ``now_ms``."""
        if self.runs and now_ms > self._lease_end_ms:
            for run in list(self.runs.values()):
                self._end(run, ENDED_LAPSED)
        for run in list(self.runs.values()):
            if run.stops_at_ms is not None and now_ms >= run.stops_at_ms:
                self._end(run, ENDED_STOPPED)
            elif not run.workload.long_running and self._percent(run, now_ms) >= 100:
                self._end(run, ENDED_FAILED if run.workload.fails else ENDED_DONE)

    def has_unacknowledged_ends(self, received_upto: int) -> bool:
        """Return whether there are ended runs after ``received_upto``."""
        return any(
            int(str(row[0])) > received_upto for row in self._unacknowledged_ends
        )

    def _percent(self, run: Run, now_ms: float) -> float:
        elapsed_ms = now_ms - run.started_ms
        if run.workload.long_running:
            return 100.0 if elapsed_ms >= START_UP_MS else 0.0
        return min(100.0, 100.0 * elapsed_ms / (1000 * run.workload.seconds))

    def _accept_token(self, token: int) -> bool:
        self._highest_token = max(self._highest_token, token)
        return token >= self._highest_token

    def _extend_lease(self, deadline_ms: float, now_ms: float) -> None:
        bounded = min(deadline_ms, now_ms + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, bounded)

    def _fits(self, resources: Room) -> bool:
        cpu = sum(run.workload.resources.cpu for run in self.runs.values())
        memory_mb = sum(run.workload.resources.mem_mb for run in self.runs.values())
        return (
            cpu + resources.cpu <= self.capacity.cpu
            and memory_mb + resources.mem_mb <= self.capacity.mem_mb
        )

    def _get_workload(self, task: str) -> Workload:
        name: TaskName = decode_task(task)
        return self.workloads.get(f"{name.job}.{name.step}", Workload(Room(), 0.1))

    def _end(self, run: Run, outcome: str) -> None:
        del self.runs[run.task]
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        self._last_end_number += 1
        self._unacknowledged_ends.append(
            [self._last_end_number, run.task, run.number, outcome, ""]
        )


def sample_run_seconds(rng: random.Random, estimate_ms: float) -> float:
    """Return a random run duration around ``estimate_ms``."""
    return max(0.02, estimate_ms / 1000 * rng.lognormvariate(0.0, 0.2))
