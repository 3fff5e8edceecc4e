"""Simulate the advice service and the owner that asks it, in driven time."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mustardward.components.scheduling.commands import Command, RequestAdvice, Start
from mustardward.platform.models import ENDED_DONE, QueueAdvice
from mustardward.platform.workers import EndedTask

from .builders import SchedulerBench, a_row

MAX_WAITING = 32
MAX_CONNECTIONS = 8
STEP_SECONDS = 0.02


def three_of_four(step: str, worker: str) -> bool:
    """Return whether a policy that allows three of four workers allows this one."""
    return zlib.crc32(f"{step} {worker}".encode()) % 4 != 0


@dataclass(slots=True, eq=False)
class AdviceService:
    """Handle one call at a time, also those whose caller has given up.

    :param slowdown: factor of the time that each call takes.
    :param silent: whether calls are lost.
    :param refuses: the job for which calls are refused.
    :param names: number of workers named in all calls.
    :param given_up: number of calls that were answered to nobody.
    """

    advice: QueueAdvice
    allows: Callable[[str, str], bool] = three_of_four
    slowdown: float = 1.0
    silent: bool = False
    refuses: str = ""
    calls: int = 0
    names: int = 0
    given_up: int = 0
    refused: int = 0
    tickets: dict[tuple[str, str], float] = field(default_factory=dict)
    _queue: deque[RequestAdvice] = field(default_factory=deque)
    _free_at: float | None = None

    def call(self, request: RequestAdvice, now: float) -> bool:
        """Take a call; return whether it was not refused."""
        self.calls += 1
        self.names += len(request.workers)
        if self.silent:
            return True
        if request.step.job.record.id == self.refuses:
            return False
        if len(self._queue) > MAX_WAITING:
            self.refused += 1
            return False
        self._queue.append(request)
        if len(self._queue) == 1:
            self._free_at = now + self._seconds(request)
        return True

    def answers(self, now: float) -> list[RequestAdvice]:
        """Return the calls that have been worked off."""
        done = []
        while self._queue and self._free_at is not None and now >= self._free_at:
            done.append(self._queue.popleft())
            if self._queue:
                self._free_at += self._seconds(self._queue[0])
        return done

    def _seconds(self, request: RequestAdvice) -> float:
        per_name = self.advice.period_ms * len(request.workers)
        return self.slowdown * (self.advice.decide_ms + per_name) / 1000


@dataclass(slots=True, eq=False)
class AdvisedOwner:
    """Drive a scheduler whose queue needs advice, with workers and the service.

    A call waits for one of a few connections, for no longer than its timeout.

    :param run_seconds: time that each task runs.
    :param first_starts: when the first task of each job started, by job id.
    :param ticket_rejections: number of starts with an expired ticket or none.
    """

    bench: SchedulerBench
    service: AdviceService
    run_seconds: float = 0.64
    first_starts: dict[str, float] = field(default_factory=dict)
    done: int = 0
    ticket_rejections: int = 0
    _pending: list[tuple[float, RequestAdvice]] = field(default_factory=list)
    _open: list[tuple[float, RequestAdvice]] = field(default_factory=list)
    _ends: list[tuple[float, Start]] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Advance the time in small steps, and plan in each."""
        until = self.bench.now + seconds
        while self.bench.now < until:
            self._answer()
            self._end_runs()
            for command in self.bench.plan():
                self._execute(command)
            self.bench.store()
            self.bench.now += STEP_SECONDS

    def _execute(self, command: Command) -> None:
        if isinstance(command, RequestAdvice):
            self._pending.append((self.bench.now, command))
            self._connect()
        elif isinstance(command, Start):
            self._start(command)

    def _connect(self) -> None:
        """Send the calls that get a connection in time."""
        now = self.bench.now
        advice = self.bench.scheduler.advice
        for pending in list(self._pending):
            since, request = pending
            if now - since >= request.timeout_seconds:
                self._pending.remove(pending)
                advice.failed(request, "no connection free", now)
            elif len(self._open) < MAX_CONNECTIONS:
                self._pending.remove(pending)
                if self.service.call(request, now):
                    self._open.append((now, request))
                else:
                    advice.failed(request, "refused", now)

    def _start(self, start: Start) -> None:
        now = self.bench.now
        step = start.task.step
        name = f"{step.job.record.id}.{step.occurrence}.{step.number}"
        if now > self.service.tickets.get((name, start.worker), 0.0):
            self.ticket_rejections += 1
        self.bench.accept(start)
        self.first_starts.setdefault(step.job.record.id, now)
        self._ends.append((now + self.run_seconds, start))

    def _answer(self) -> None:
        now = self.bench.now
        requests = self.bench.scheduler.advice
        for request in self.service.answers(now):
            call = next((c for c in self._open if c[1] is request), None)
            if call is None:
                self.service.given_up += 1
                continue
            self._open.remove(call)
            step = request.step
            name = f"{step.job.record.id}.{step.occurrence}.{step.number}"
            allowed = [w for w in request.workers if self.service.allows(name, w)]
            valid_seconds = self.service.advice.valid_ms / 1000
            for worker in allowed:
                self.service.tickets[name, worker] = now + valid_seconds
            tickets = dict.fromkeys(allowed, "t")
            requests.answered(request, tickets, valid_seconds, now)
        for call in list(self._open):
            since, request = call
            if now - since >= request.timeout_seconds:
                self._open.remove(call)
                requests.failed(request, "timeout", now)
        self._connect()

    def _end_runs(self) -> None:
        now = self.bench.now
        due = [start for at, start in self._ends if at <= now]
        self._ends = [(at, start) for at, start in self._ends if at > now]
        for number, start in enumerate(due):
            worker = start.task.worker
            if worker is None:
                continue
            rows = [a_row(t, 50.0) for t in worker.tasks.values() if t not in due]
            rows = [row for row in rows if row.task != start.task.name]
            ended = EndedTask(number + 1, start.task.name, start.run, ENDED_DONE, "")
            self.bench.hold(worker.id, running=rows, ended=[ended])
            self.done += 1
