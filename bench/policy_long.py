"""Model long work that fills a pool and gives slots back, by the rules of jobs."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from bench.policy_model import Fleet, Worker

CHECKPOINT_SECONDS = (0.1, 0.8)
CHECKPOINT_FAILS = 0.2
GIVE_BACK_SECONDS = 0.8
THROTTLE_SECONDS = 0.05
FOLD_SECONDS = 0.3
SETTLE_SECONDS = 0.5
HOLD_SECONDS = 10.0
TICK_SECONDS = 1.0
TASK_SECONDS = 600.0


class LongWork:
    """Fill a share of the slots with tasks that never run out.

    ``folded`` counts tasks by worker as the log tells the entries, some time later.
    """

    def __init__(self, fleet: Fleet, share: float) -> None:
        self._fleet = fleet
        self._random = Random(f"{fleet.seed}/long")
        self._allowed = math.floor(fleet.slots * share)
        self._held_back: list[float] = []
        self._settled_at: dict[str, float] = {}
        self.folded: dict[str, int] = {}
        self.listeners: list[Callable[[str], None]] = []
        self.slot_seconds = 0.0
        self.preempted = 0
        fleet.clock.after(0.0, self._fill)
        fleet.clock.every(TICK_SECONDS, self._fill)

    def wanted(self, entry: str, slots: int) -> None:
        """Take slots back for an entry, not more often than they can be used."""
        clock = self._fleet.clock
        if clock.now < self._settled_at.get(entry, 0.0):
            return
        running = [
            worker for worker in self._workers() for _ in range(worker.long_tasks)
        ]
        victims = self._random.sample(running, min(slots, len(running)))
        longest = max((self._give_back(worker) for worker in victims), default=0.0)
        self._settled_at[entry] = clock.now + longest + SETTLE_SECONDS

    def _workers(self) -> list[Worker]:
        return list(self._fleet.workers.values())

    def _fill(self) -> None:
        now = self._fleet.clock.now
        self._held_back = [at for at in self._held_back if at > now - HOLD_SECONDS]
        running = sum(worker.long_tasks for worker in self._workers())
        self.slot_seconds += running * TICK_SECONDS
        for _ in range(self._allowed - running - len(self._held_back)):
            worker = max(self._workers(), key=lambda item: item.free)
            if worker.free <= 0:
                return
            worker.long_tasks += 1
            self._fold(worker, 1)

    def _give_back(self, worker: Worker) -> float:
        if self._random.random() < CHECKPOINT_FAILS:
            seconds = GIVE_BACK_SECONDS + THROTTLE_SECONDS
        else:
            seconds = self._random.uniform(*CHECKPOINT_SECONDS)
        self._fleet.clock.after(seconds, self._freed, worker)
        return seconds

    def _freed(self, worker: Worker) -> None:
        if not worker.long_tasks:
            return
        worker.long_tasks -= 1
        self.preempted += 1
        self._held_back.append(self._fleet.clock.now)
        self._fold(worker, -1)

    def _fold(self, worker: Worker, change: int) -> None:
        self._fleet.clock.after(FOLD_SECONDS, self._folded, worker, change)

    def _folded(self, worker: Worker, change: int) -> None:
        name = worker.instance.instance_id
        self.folded[name] = self.folded.get(name, 0) + change
        for listener in self.listeners:
            listener(name)
