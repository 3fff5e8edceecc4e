"""Find the workers that tasks could not leave for another one; pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Set
from typing import Final

from .crashes import all_isolation_workers
from .models import Phase, StepRun
from .placement import (
    RoomOf,
    fits,
    free_room,
    is_operational,
    meets_constraints,
    room_after_short_tasks,
    tasks_that_fit,
)
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

WAIT_SECONDS: Final = 1.0
"""Time for which a task waits for other workers before one that is being drained is
needed for it."""

SHORT_TASKS_SECONDS: Final = 3.0
"""The same where other workers have room once their short tasks have ended."""


class _Places:
    """Count the places that workers have for a step's tasks; look at each one once."""

    __slots__ = ("_found", "_room_of", "_workers", "missing", "step")

    def __init__(
        self, step: StepRun, workers: Iterable[WorkerState], room_of: RoomOf
    ) -> None:
        self.step = step
        self._room_of = room_of
        self.missing = len(step.waiting) + sum(
            task.phase is Phase.STOPPING for task in step.tasks.known()
        )
        self._workers = iter(workers)
        self._found = 0

    def suffice(self, count: int) -> bool:
        """Return whether the workers have room for a number of tasks."""
        while self._found < count:
            worker = next(self._workers, None)
            if worker is None:
                return False
            if worker.id not in self.step.denied_at:
                self._found += tasks_that_fit(worker, self.step, self._room_of)
        return True


def find_needed_hosts(
    state: SchedulerState, draining: Set[str], now: float
) -> frozenset[str]:
    """Return the workers to be drained that tasks could not leave, or wait for.

    If such a worker were drained, a long-running task would be stopped that may start
    on no other worker, because of its step's limit per worker or for want of room.

    :param draining: ids of the workers that are to be drained.
    """
    hosts = [w for w in state.workers.values() if w.id in draining]
    if not hosts:
        return frozenset()
    steps = {host.id: _long_running_steps(host) for host in hosts}
    services = {host.service for host in hosts}
    services.update(_service(step) for found in steps.values() for step in found)
    others = _other_workers(state, draining, services, now)
    places: dict[StepRun, _Places] = {}

    def places_of(step: StepRun) -> _Places:
        if step not in places:
            workers = others[_service(step)]
            places[step] = _Places(step, workers, room_after_short_tasks)
        return places[step]

    def has_place(step: StepRun) -> bool:
        if not places_of(step).suffice(1):
            return False
        if _waiting_seconds(step, now) < SHORT_TASKS_SECONDS:
            return True
        return _Places(step, others[_service(step)], free_room).suffice(1)

    needed = {
        host.id
        for host in hosts
        if any(_is_needed(host, places_of(step)) for step in steps[host.id])
    }
    for step in _overdue_steps(state, others, now):
        service = _service(step)
        if not has_place(step):
            needed.update(
                host.id
                for host in hosts
                if host.service == service
                and fits(host, step.room)
                and meets_constraints(host, step)
            )
    return frozenset(needed)


def _other_workers(
    state: SchedulerState, draining: Set[str], services: Set[str], now: float
) -> dict[str, list[WorkerState]]:
    """Return the workers of some pools that stay and may get tasks.

    Those on which suspected tasks run alone may not.
    """
    isolation_ids = all_isolation_workers(state.suspects.values())
    found: dict[str, list[WorkerState]] = defaultdict(list)
    found.update({service: [] for service in services})
    for worker in state.workers.values():
        if (
            worker.service in services
            and worker.id not in draining
            and worker.id not in isolation_ids
            and is_operational(worker)
            and not worker.cordoned
            and worker.quarantined_until <= now
        ):
            found[worker.service].append(worker)
    return found


def _service(step: StepRun) -> str:
    return step.job.policy.service


def _long_running_steps(host: WorkerState) -> set[StepRun]:
    return {
        task.step
        for task in host.tasks.values()
        if task.step.spec.long_running and task.phase is not Phase.STOPPING
    }


def _is_needed(host: WorkerState, places: _Places) -> bool:
    """Return whether a step's tasks have to move one after the other, and can't.

    As many tasks of a step as may be missing are stopped together. If these are all of
    its tasks on the worker, it is drained at once, and they may return to it. Otherwise
    the others can't be stopped before the first ones run again.
    """
    step = places.step
    may_stop = max(1, step.spec.may_miss) - places.missing
    if step.on_worker[host.id] <= may_stop:
        return False
    return not places.suffice(places.missing + max(0, may_stop))


def _waiting_seconds(step: StepRun, now: float) -> float:
    return now - step.waiting.first().ready_since


def _overdue_steps(
    state: SchedulerState, others: dict[str, list[WorkerState]], now: float
) -> Iterator[StepRun]:
    """Yield the steps that may have waited for too long for other workers.

    Short tasks wait in a full pool, too, but not for long, unless it has no workers.
    """
    for step in state.ready.values():
        workers = others.get(step.job.policy.service)
        if workers is None or not step.waiting:
            continue
        if workers and not step.spec.long_running:
            continue
        if _waiting_seconds(step, now) >= WAIT_SECONDS:
            yield step
