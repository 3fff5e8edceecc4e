"""Play one pool on a day's jobs, with all its instances or by a threshold; pure."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from .replayed import Piece, Work
from .stories import Amount

COMING_SECONDS: Final = 1.9
"""From an order until an instance takes its first task."""

THRESHOLD: Final = 0.85
IDLE_SECONDS: Final = 2.5


@dataclass(slots=True)
class _Begun:
    """Hold how far a job is: the tasks left of each step, and which steps are open."""

    left: list[int]
    open: set[int] = field(default_factory=set)

    def opens(self, pieces: Sequence[Piece]) -> list[int]:
        """Return the steps whose turn has just come, and note them as open."""
        ready = [
            number
            for number, piece in enumerate(pieces)
            if number not in self.open and not any(self.left[n] for n in piece.after)
        ]
        self.open.update(ready)
        return ready


@dataclass(frozen=True, slots=True, order=True)
class _Task:
    """Hold one task that waits or runs."""

    job: int
    number: int
    seconds: float
    room: Amount = field(compare=False)


@dataclass(slots=True)
class PlayedPool:
    """Play one pool that gives room in the order of arrival.

    :param size: the room of one instance.
    """

    works: Sequence[Work]
    size: Amount
    on: int
    adapts: bool
    in_time: int = 0
    moves: int = 0
    _next: int = 0
    _used: Amount = field(default_factory=Amount)
    _waiting: deque[_Task] = field(default_factory=deque)
    _running: list[tuple[float, _Task]] = field(default_factory=list)
    _begun: dict[int, _Begun] = field(default_factory=dict)
    _coming: deque[float] = field(default_factory=deque)
    _idle_since: float | None = None

    def step(self, now: float, lasting: Amount) -> int:
        """Let time pass until now, and return how many instances stand."""
        while self._coming and self._coming[0] <= now:
            self._coming.popleft()
            self.on += 1
        while self._running and self._running[0][0] <= now:
            end, task = heapq.heappop(self._running)
            self._used -= task.room
            self._ended(task, end)
        while self._next < len(self.works):
            work = self.works[self._next]
            if work.submitted_at > now:
                break
            self._begun[self._next] = _Begun([len(p.seconds) for p in work.pieces])
            self._open(self._next)
            self._next += 1
        room = self.size * self.on - lasting
        while self._waiting and (self._used + self._waiting[0].room).fits(room):
            task = self._waiting.popleft()
            self._used += task.room
            heapq.heappush(self._running, (now + task.seconds, task))
        if self.adapts:
            self._adapt(now, lasting)
        return self.on

    def _open(self, job: int) -> None:
        pieces = self.works[job].pieces
        for number in self._begun[job].opens(pieces):
            piece = pieces[number]
            for seconds in piece.seconds:
                self._waiting.append(_Task(job, number, seconds, piece.room))

    def _ended(self, task: _Task, end: float) -> None:
        work = self.works[task.job]
        begun = self._begun[task.job]
        begun.left[task.number] -= 1
        if not begun.left[task.number]:
            self._open(task.job)
        if not any(begun.left):
            self.in_time += end - work.submitted_at <= work.objective

    def _adapt(self, now: float, lasting: Amount) -> None:
        waiting = sum((task.room for task in self._waiting), Amount())
        asked = (lasting + self._used + waiting).share_of(self.size)
        wanted = math.ceil(asked / THRESHOLD)
        missing = wanted - self.on - len(self._coming)
        for _ in range(missing):
            self._coming.append(now + COMING_SECONDS)
            self.moves += 1
        if asked > (self.on - 1) * THRESHOLD or self.on <= 1:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= IDLE_SECONDS:
            self.on -= 1
            self.moves += 1
