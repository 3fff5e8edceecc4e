"""Play a worker that runs tasks under leases and fencing tokens; pure."""

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

LONGEST_LEASE_MS: Final = 10_000
STOP_MS: Final = 200
START_UP_MS: Final = 150
"""A lasting task is at work after this."""

ENDED_STOPPED: Final = "stopped"
ENDED_LAPSED: Final = "lapsed"


@dataclass(frozen=True, slots=True)
class Work:
    """Hold what a task asks for and how it behaves.

    :param seconds: how long a run takes; one that lasts never ends by itself.
    :param crashes: whether its start ends the worker, and all that runs there.
    """

    room: Room
    seconds: float
    lasts: bool = False
    fails: bool = False
    crashes: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """Hold one run."""

    task: str
    number: int
    work: Work
    started_ms: float
    stops_at_ms: float | None = None


@dataclass(slots=True, eq=False)
class MemoryWorker:
    """Play one incarnation of a worker.

    :param work_of: what a task is, as the platform knows from its job.
    :param silent: whether calls get no answer, though what runs goes on.
    :param born: when it started, in milliseconds since 1970.
    :param clock_zero_ms: where its own clock began, on the platform's.
    :param crashing: whether something was started that ends it.
    :param guards: whether it refuses what its room does not hold.
    :param overfull: starts that its room did not hold.
    """

    id: str
    machine: str
    pool: str
    room: Room
    work_of: dict[str, Work]
    silent: bool = False
    born: int = 0
    clock_zero_ms: float = 0.0
    crashing: bool = False
    guards: bool = True
    overfull: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    starts: list[tuple[str, int]] = field(default_factory=list)
    _ended: list[list[object]] = field(default_factory=list)
    _highest_token: int = 0
    _lease_ms: float = 0.0
    _last_number: int = 0
    _closed: dict[str, int] = field(default_factory=dict)

    def start(self, order: StartBody, now_ms: float) -> str:
        """Start a task; return the reason of a refusal, or nothing."""
        self.advance(now_ms)
        if not self._accepts(order.fence):
            return REASON_FENCE
        running = self.runs.get(order.task)
        if running is not None and running.number == order.run:
            return ""
        if order.run <= self._closed.get(order.task, 0):
            return REFUSED_OLD
        if order.deadline_ms <= now_ms:
            return REFUSED_LATE
        work = self._work(order.task)
        if not self._has_room(work.room):
            if self.guards:
                return REFUSED_ROOM
            self.overfull += 1
        self._extend(order.deadline_ms, now_ms)
        self.runs[order.task] = Run(order.task, order.run, work, now_ms)
        self.starts.append((order.task, order.run))
        self.crashing = self.crashing or work.crashes
        return ""

    def stop(self, task: str, run: int, token: int, now_ms: float) -> str:
        """Stop a run; return the reason of a refusal, or nothing."""
        self.advance(now_ms)
        if not self._accepts(token):
            return REASON_FENCE
        running = self.runs.get(task)
        if running is not None and running.number == run:
            if running.stops_at_ms is None:
                running.stops_at_ms = now_ms + STOP_MS
        else:
            self._closed[task] = max(run, self._closed.get(task, 0))
        return ""

    def hold(
        self, token: int, seen_upto: int, deadline_ms: int | None, now_ms: float
    ) -> HoldAnswerBody | None:
        """Renew the lease and return both lists, or None for a lower token."""
        self.advance(now_ms)
        if not self._accepts(token):
            return None
        if deadline_ms is not None:
            self._extend(deadline_ms, now_ms)
        self._ended = [row for row in self._ended if int(str(row[0])) > seen_upto]
        running: list[list[object]] = [
            [run.task, run.number, "", self._percent(run, now_ms), 0.0]
            for run in self.runs.values()
        ]
        return HoldAnswerBody(now_ms, running, list(self._ended), self.born)

    def advance(self, now_ms: float) -> None:
        """Let time pass until now."""
        if self.runs and now_ms > self._lease_ms:
            for run in list(self.runs.values()):
                self._end(run, ENDED_LAPSED)
        for run in list(self.runs.values()):
            if run.stops_at_ms is not None and now_ms >= run.stops_at_ms:
                self._end(run, ENDED_STOPPED)
            elif not run.work.lasts and self._percent(run, now_ms) >= 100:
                self._end(run, ENDED_FAILED if run.work.fails else ENDED_DONE)

    def has_news(self, seen_upto: int) -> bool:
        """Return whether an end was listed that was not acknowledged."""
        return any(int(str(row[0])) > seen_upto for row in self._ended)

    def _percent(self, run: Run, now_ms: float) -> float:
        passed = now_ms - run.started_ms
        if run.work.lasts:
            return 100.0 if passed >= START_UP_MS else 0.0
        return min(100.0, 100.0 * passed / (1000 * run.work.seconds))

    def _accepts(self, token: int) -> bool:
        self._highest_token = max(self._highest_token, token)
        return token >= self._highest_token

    def _extend(self, deadline_ms: float, now_ms: float) -> None:
        bounded = min(deadline_ms, now_ms + LONGEST_LEASE_MS)
        self._lease_ms = max(self._lease_ms, bounded)

    def _has_room(self, room: Room) -> bool:
        cpu = sum(run.work.room.cpu for run in self.runs.values())
        mem = sum(run.work.room.mem_mb for run in self.runs.values())
        return cpu + room.cpu <= self.room.cpu and mem + room.mem_mb <= self.room.mem_mb

    def _work(self, task: str) -> Work:
        name: TaskName = decode_task(task)
        return self.work_of.get(f"{name.job}.{name.step}", Work(Room(), 0.1))

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._last_number += 1
        self._ended.append([self._last_number, run.task, run.number, how, ""])


def draw_seconds(random_source: random.Random, estimate_ms: float) -> float:
    """Return how long a run takes that was declared to take ``estimate_ms``."""
    return max(0.02, estimate_ms / 1000 * random_source.lognormvariate(0.0, 0.2))
