"""Follow long tasks through a planned wave: which end, and which have to move; pure."""

from __future__ import annotations

from collections import defaultdict

from .plan_models import PlanInput, PlanInstance, PlanTask, Unit


class TaskTable:
    """Hold each instance's own tasks, and when those moved to it end.

    :param prefer_finished: whether a moved task goes to an instance that the wave will
        not take any more, so that it moves once.
    """

    def __init__(self, facts: PlanInput, prefer_finished: bool = True) -> None:
        self._prefer_finished = prefer_finished
        self._drain_seconds = facts.drain_seconds
        self._own: dict[str, tuple[PlanTask, ...]] = {
            item.instance_id: item.tasks for item in facts.instances
        }
        self._guests: dict[str, list[float]] = defaultdict(list)
        self._settled = {item.instance_id for item in facts.instances} - facts.due
        self._out = {item.instance_id for item in facts.instances if not item.available}
        self._peers: dict[Unit, list[PlanInstance]] = defaultdict(list)
        for item in facts.instances:
            self._peers[item.unit].append(item)

    def outlasting(self, item: PlanInstance, now: float, patience: float) -> int:
        """Return how many tasks would have to move if the instance were taken now."""
        return sum(1 for left in self._running(item, now) if left > patience)

    def drain(
        self, item: PlanInstance, now: float, patience: float
    ) -> tuple[float, int]:
        """Empty an instance; return how long that takes and how many tasks move."""
        running = self._running(item, now)
        self._out.add(item.instance_id)
        self._own[item.instance_id] = ()
        self._guests.pop(item.instance_id, None)
        leaving = [left for left in running if left > patience]
        staying = [left for left in running if left <= patience]
        # Tasks that have to move go when patience is over, not before.
        waited = patience if leaving else max(staying, default=0.0)
        for left in leaving:
            self._place(item.unit, now + waited, now + left)
        return max(self._drain_seconds, waited), len(leaving)

    def finish(self, item: PlanInstance) -> None:
        """Note that an instance serves again and is not taken any more."""
        self._out.discard(item.instance_id)
        self._settled.add(item.instance_id)

    def _running(self, item: PlanInstance, now: float) -> list[float]:
        guests = self._guests.get(item.instance_id, ())
        return [
            *(task.left_at(now) for task in self._own[item.instance_id]),
            *(end - now for end in guests if end > now),
        ]

    def _place(self, unit: Unit, now: float, end: float) -> None:
        candidates = [
            peer for peer in self._peers[unit] if peer.instance_id not in self._out
        ]
        if not candidates:
            return

        def rank(peer: PlanInstance) -> tuple[bool, bool, int, str]:
            running = len(self._running(peer, now))
            due = self._prefer_finished and peer.instance_id not in self._settled
            # The busiest go last, so a task on one of these has the most time to end.
            order = -running if due else running
            return running >= peer.slots, due, order, peer.instance_id

        self._guests[min(candidates, key=rank).instance_id].append(end)
