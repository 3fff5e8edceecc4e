"""Tell why steps wait though their pool has room, in a bounded number of lines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ...helpers.instruments import OLDEST_WAIT_SECONDS, TASK_WAITS
from ...helpers.logging import LogValue, get_logger
from ...platform.models import Room
from ...platform.workers import encode_task
from .models import Job, Phase, StepRun, Task
from .scheduler_state import SchedulerState
from .wait_inputs import inputs_of, phases_of
from .wait_views import Wait, settle
from .waits import Held, Reason, Waits
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

WAIT_TOLD_SECONDS: Final = 3.0
"""A wait, or an order without an end, that is longer than this is told."""

TELL_AGAIN_SECONDS: Final = 5.0
"""Shortest time between two lines of a step."""

MOST_LINES: Final = 20
"""Lines of one look; the oldest waits come first, the others are counted."""

MOST_WORKERS: Final = 4000
"""Workers that one look goes over for its lines: it is to hold the owner up for some
milliseconds at most, also where a pool has thousands."""

PLAN_MISSING_SECONDS: Final = 1.0
"""Plans are made some times a second; without one for so long nothing starts."""


@dataclass(frozen=True, slots=True)
class _Order:
    """Hold a task whose run is neither surely on nor surely over, and since when."""

    task: Task
    since: float


@dataclass(frozen=True, slots=True)
class _Found:
    """Hold a step that is to be told.

    :param reason: why it waits, as far as that is known without a look at its pool.
    :param seconds: for how long it has waited, or its order has not ended.
    """

    step: StepRun
    reason: Reason
    seconds: float
    held: Held | None
    order: _Order | None


@dataclass(frozen=True, slots=True)
class _Told:
    """Hold when a step was told, the reason that its plan gave and the one told."""

    at: float
    reason: Reason
    settled: Reason


@dataclass(slots=True, eq=False)
class WaitLines:
    """Look at all steps once in a while."""

    state: SchedulerState
    waits: Waits
    _sent: dict[str, float] = field(default_factory=dict)
    _told: dict[StepRun, _Told] = field(default_factory=dict)
    _since: dict[Task, tuple[Phase, int, float]] = field(default_factory=dict)

    def sent(self, job_id: str, now: float) -> None:
        """Take in that a job's record leaves for the log."""
        self._sent[job_id] = now

    def tell(self, now: float) -> None:
        """Write the lines that are due, and bring counter and gauge up to date."""
        self.waits.forget()
        self._sent = {k: at for k, at in self._sent.items() if k in self.state.jobs}
        self._told = {
            step: told
            for step, told in self._told.items()
            if now - told.at < TELL_AGAIN_SECONDS
        }
        found = sorted(self._find(now), key=lambda item: -item.seconds)
        due = [item for item in found if item.step not in self._told]
        written = self._write_some(due, now)
        if written < len(due):
            _LOGGER.info("task_waits_untold", count=len(due) - written)
        for item in found:
            TASK_WAITS.labels(self._settled(item).value).inc()
        OLDEST_WAIT_SECONDS.set(found[0].seconds if found else 0.0)

    def _write_some(self, due: list[_Found], now: float) -> int:
        """Write the first lines; return how many."""
        looked_at = 0
        for number, item in enumerate(due[:MOST_LINES]):
            if looked_at >= MOST_WORKERS:
                return number
            looked_at += self._write(item, now)
        return min(len(due), MOST_LINES)

    def _settled(self, item: _Found) -> Reason:
        told = self._told.get(item.step)
        if told is None or told.reason is not item.reason:
            return item.reason
        return told.settled

    def _find(self, now: float) -> Iterator[_Found]:
        pools = self._pools()
        orders = self._orders(now)
        for job in self.state.jobs.values():
            for step in job.steps.values():
                order = orders.get(step)
                if order is None and not (step.open and _has_room(pools, step)):
                    continue
                waited = _waited(job, step, now)
                if waited > WAIT_TOLD_SECONDS and _has_room(pools, step):
                    held = self.waits.of(step)
                    reason = self._reason(step, held, now)
                    yield _Found(step, reason, waited, held, order)
                elif order is not None:
                    seconds = now - order.since
                    yield _Found(step, Reason.UNFINISHED_ORDER, seconds, None, order)

    def _reason(self, step: StepRun, held: Held | None, now: float) -> Reason:
        if not step.waiting:
            return Reason.OFF_QUEUE
        if now - self.waits.planned_at > PLAN_MISSING_SECONDS:
            return Reason.NOT_PLANNED
        if held is not None:
            return held.reason
        if id(step) not in self.state.ready:
            return Reason.NOT_READY
        return Reason.NOT_NOTED

    def _pools(self) -> dict[str, list[Room]]:
        """Return the largest rooms of each pool's workers that are listed."""
        pools: dict[str, list[WorkerState]] = {}
        for worker in self.state.workers.values():
            if worker.missing_since is None:
                pools.setdefault(worker.service, []).append(worker)
        return {service: _largest(workers) for service, workers in pools.items()}

    def _orders(self, now: float) -> dict[StepRun, _Order]:
        """Return each step's task whose order has not ended for too long."""
        before = self._since
        self._since = {}
        oldest: dict[StepRun, _Order] = {}
        for task in self._between():
            phase, run, since = before.get(task, (None, 0, 0.0))
            if phase is not task.phase or run != task.run:
                since = task.started_at if task.phase is Phase.STARTING else now
            self._since[task] = (task.phase, task.run, since)
            if now - since <= WAIT_TOLD_SECONDS:
                continue
            known = oldest.get(task.step)
            if known is None or since < known.since:
                oldest[task.step] = _Order(task, since)
        return oldest

    def _between(self) -> Iterator[Task]:
        """Yield the tasks that are being started or stopped."""
        for job in self.state.jobs.values():
            for step in job.steps.values():
                if not step.active:
                    continue
                for task in step.tasks:
                    phase = task.phase
                    if (
                        phase is Phase.STARTING
                        or phase is Phase.STOPPING
                        or phase is Phase.UNCERTAIN
                    ):
                        yield task

    def _write(self, item: _Found, now: float) -> int:
        """Write a line; return how many workers were looked at for it."""
        step = item.step
        job = step.job
        workers = self.state.workers.values()
        service = job.policy.service
        wait = Wait(
            step,
            item.held,
            self.state,
            self.waits,
            [worker for worker in workers if worker.service == service],
            self._sent.get(job.record.id),
            now,
        )
        reason = settle(wait, item.reason)
        self._told[step] = _Told(now, item.reason, reason)
        _LOGGER.info(
            "task_waiting",
            job=job.record.id,
            step=f"{step.occurrence}.{step.number}",
            service=service,
            reason=reason.value,
            seconds=item.seconds,
            **phases_of(step),
            reason_seconds=now - item.held.since if item.held is not None else None,
            plan_seconds=now - self.waits.planned_at,
            cpu=step.room.cpu,
            mem_mb=step.room.mem_mb,
            gpu=step.room.gpu,
            workers=len(wait.workers),
            with_room=len(wait.with_room),
            able=len(wait.able),
            allowed=len(wait.allowed),
            **inputs_of(wait, reason),
            **_order_pairs(item.order, now),
        )
        return len(wait.workers)


def _waited(job: Job, step: StepRun, now: float) -> float:
    """Return for how long a step's oldest task has waited; 0 if none does."""
    if not step.open or job.state.final:
        return 0.0
    tasks: Iterable[Task] = step.waiting
    if len(step.tasks) - step.done - step.active != len(step.waiting):
        tasks = [task for task in step.tasks if task.phase is Phase.WAITING]
    return now - min((task.ready_since for task in tasks), default=now)


def _largest(workers: Iterable[WorkerState]) -> list[Room]:
    """Return the free rooms that lie within no other one."""
    free = {(w.free_cpu, w.free_mem, w.free_gpu) for w in workers}
    largest: list[Room] = []
    for cpu, mem_mb, gpu in sorted(free, reverse=True):
        if not any(room.mem_mb >= mem_mb and room.gpu >= gpu for room in largest):
            largest.append(Room(cpu, mem_mb, gpu))
    return largest


def _has_room(pools: dict[str, list[Room]], step: StepRun) -> bool:
    """Return whether one listed worker of a step's pool has room for a task of it."""
    need = step.room
    return any(
        room.cpu >= need.cpu and room.mem_mb >= need.mem_mb and room.gpu >= need.gpu
        for room in pools.get(step.job.policy.service, ())
    )


def _order_pairs(order: _Order | None, now: float) -> dict[str, LogValue]:
    """Return what is known of the order that has not ended for longest."""
    if order is None:
        return {}
    task = order.task
    worker = task.worker
    stopped_at = task.stop_acknowledged_at
    return {
        "order_task": encode_task(task.name),
        "order_phase": task.phase.value,
        "order_seconds": now - order.since,
        "order_run": task.run,
        "order_worker": worker.id if worker is not None else None,
        "order_sent": task.sent,
        "stop_acknowledged": stopped_at is not None,
        "acknowledged_seconds": now - stopped_at if stopped_at is not None else None,
        "worker_heard_seconds": now - worker.reported_at
        if worker is not None
        else None,
    }
