"""Simulate which long-running tasks end or move during a planned wave; pure."""

from __future__ import annotations

from collections import defaultdict

from .plan_models import PlanInput, PlanInstance, PlanTask, PoolUnit


class TaskSimulation:
    """Track the initial tasks of each instance and the ends of tasks moved to it.

    :param prefer_finished: whether moved tasks prefer instances whose maintenance is
        done or not due, so that each task moves only once.
    """

    def __init__(self, plan_input: PlanInput, prefer_finished: bool = True) -> None:
        self._prefer_finished = prefer_finished
        self._drain_seconds = plan_input.drain_seconds
        self._initial_tasks: dict[str, tuple[PlanTask, ...]] = {
            item.instance_id: item.tasks for item in plan_input.instances
        }
        self._moved_task_ends: dict[str, list[float]] = defaultdict(list)
        self._finished = {
            item.instance_id for item in plan_input.instances
        } - plan_input.due
        self._unavailable = {
            item.instance_id for item in plan_input.instances if not item.available
        }
        self._peers: dict[PoolUnit, list[PlanInstance]] = defaultdict(list)
        for item in plan_input.instances:
            self._peers[item.unit].append(item)

    def count_moves(self, item: PlanInstance, now: float, grace_seconds: float) -> int:
        """Return how many tasks would have to move if the instance were drained."""
        return sum(
            1 for remaining in self._running(item, now) if remaining > grace_seconds
        )

    def drain(
        self, item: PlanInstance, now: float, grace_seconds: float
    ) -> tuple[float, int]:
        """Drain an instance; return the seconds taken and the number of moved tasks."""
        running = self._running(item, now)
        self._unavailable.add(item.instance_id)
        self._initial_tasks[item.instance_id] = ()
        self._moved_task_ends.pop(item.instance_id, None)
        moving = [remaining for remaining in running if remaining > grace_seconds]
        ending = [remaining for remaining in running if remaining <= grace_seconds]
        # Tasks move only at the end of the grace period.
        drain_wait = grace_seconds if moving else max(ending, default=0.0)
        for remaining in moving:
            self._move_task(item.unit, now + drain_wait, now + remaining)
        return max(self._drain_seconds, drain_wait), len(moving)

    def finish(self, item: PlanInstance) -> None:
        """Mark the maintenance of an instance as finished."""
        self._unavailable.discard(item.instance_id)
        self._finished.add(item.instance_id)

    def _running(self, item: PlanInstance, now: float) -> list[float]:
        moved_ends = self._moved_task_ends.get(item.instance_id, ())
        return [
            *(task.remaining_at(now) for task in self._initial_tasks[item.instance_id]),
            *(end - now for end in moved_ends if end > now),
        ]

    def _move_task(self, unit: PoolUnit, now: float, end: float) -> None:
        candidates = [
            peer
            for peer in self._peers[unit]
            if peer.instance_id not in self._unavailable
        ]
        if not candidates:
            return

        def rank(peer: PlanInstance) -> tuple[bool, bool, int, str]:
            running = len(self._running(peer, now))
            due = self._prefer_finished and peer.instance_id not in self._finished
            # The busiest instances are drained last, so tasks there have time to end.
            order = -running if due else running
            return running >= peer.slots, due, order, peer.instance_id

        self._moved_task_ends[min(candidates, key=rank).instance_id].append(end)
