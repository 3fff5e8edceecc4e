"""Follow long tasks through a planned wave: which end, and which have to move; pure."""

from __future__ import annotations

from collections import defaultdict

from .plan_models import PlanInput, PlanInstance, Unit


class TaskTable:
    """Hold when each instance's tasks end, and where moved ones go.

    :param prefer_finished: whether a moved task goes to an instance that the wave will
        not take any more, so that it moves once.
    """

    def __init__(self, facts: PlanInput, prefer_finished: bool = True) -> None:
        self._prefer_finished = prefer_finished
        self._drain_seconds = facts.drain_seconds
        self._ends = {item.instance_id: list(item.tasks) for item in facts.instances}
        self._settled = {
            item.instance_id
            for item in facts.instances
            if item.instance_id not in facts.due
        }
        self._out: set[str] = {
            item.instance_id for item in facts.instances if not item.available
        }
        self._peers: dict[Unit, list[PlanInstance]] = defaultdict(list)
        for item in facts.instances:
            self._peers[item.unit].append(item)

    def outlasting(self, item: PlanInstance, now: float, patience: float) -> int:
        """Return how many tasks would have to move if the instance were taken now."""
        return sum(1 for end in self._ends[item.instance_id] if end - now > patience)

    def drain(
        self, item: PlanInstance, now: float, patience: float
    ) -> tuple[float, int]:
        """Empty an instance; return how long that takes and how many tasks move."""
        self._out.add(item.instance_id)
        running = [end - now for end in self._ends[item.instance_id] if end > now]
        self._ends[item.instance_id] = []
        leaving = [left for left in running if left > patience]
        staying = [left for left in running if left <= patience]
        for left in leaving:
            self._place(item.unit, now, now + left)
        # Tasks that have to move go when patience is over, not before.
        waited = patience if leaving else max(staying, default=0.0)
        return max(self._drain_seconds, waited), len(leaving)

    def finish(self, item: PlanInstance) -> None:
        """Note that an instance serves again and is not taken any more."""
        self._out.discard(item.instance_id)
        self._settled.add(item.instance_id)

    def _place(self, unit: Unit, now: float, end: float) -> None:
        candidates = [
            peer for peer in self._peers[unit] if peer.instance_id not in self._out
        ]
        if not candidates:
            return

        def rank(peer: PlanInstance) -> tuple[bool, bool, int, str]:
            running = sum(1 for one in self._ends[peer.instance_id] if one > now)
            due = self._prefer_finished and peer.instance_id not in self._settled
            return running >= peer.slots, due, running, peer.instance_id

        self._ends[min(candidates, key=rank).instance_id].append(end)
