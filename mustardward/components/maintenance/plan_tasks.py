"""Follow long tasks through a planned wave: which end, and which have to move; pure."""

from __future__ import annotations

from collections import defaultdict

from .plan_models import PlanInput, PlanInstance, PlanTask, PoolUnit


class TaskSimulation:
    """Hold each instance's own tasks, and when those moved to it end.

    :param prefer_finished: whether a moved task goes to an instance that the wave will
        not take any more, so that it moves once.
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
        """Return how many tasks would have to move if the instance were taken now."""
        return sum(
            1 for remaining in self._running(item, now) if remaining > grace_seconds
        )

    def drain(
        self, item: PlanInstance, now: float, grace_seconds: float
    ) -> tuple[float, int]:
        """Empty an instance; return how long that takes and how many tasks move."""
        running = self._running(item, now)
        self._unavailable.add(item.instance_id)
        self._initial_tasks[item.instance_id] = ()
        self._moved_task_ends.pop(item.instance_id, None)
        moving = [remaining for remaining in running if remaining > grace_seconds]
        ending = [remaining for remaining in running if remaining <= grace_seconds]
        # Tasks that have to move go when patience is over, not before.
        drain_wait = grace_seconds if moving else max(ending, default=0.0)
        for remaining in moving:
            self._move_task(item.unit, now + drain_wait, now + remaining)
        return max(self._drain_seconds, drain_wait), len(moving)

    def finish(self, item: PlanInstance) -> None:
        """Note that an instance serves again and is not taken any more."""
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
            # The busiest go last, so a task on one of these has the most time to end.
            order = -running if due else running
            return running >= peer.slots, due, order, peer.instance_id

        self._moved_task_ends[min(candidates, key=rank).instance_id].append(end)
