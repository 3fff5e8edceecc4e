"""Carry calls to workers, a few at a time to each and in all.

Load pattern: a turn begins, and hundreds of starts are due within one plan. Begun all
at once, each call waits for all others inside this process while its own limit of time
runs; calls that workers had long answered were given up.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from anyio.abc import TaskGroup

MOST_A_WORKER: Final = 4
"""Calls under way to one worker. Its poll takes a connection more, and a worker that
answers in 3 ms still takes a thousand calls a second."""

MOST: Final = 128
"""Calls under way in all: at 3 ms an answer, ten times what one owner can send. What
waits here can still be withdrawn, what is under way can't."""

Call = Callable[[], Awaitable[None]]


@dataclass(slots=True, eq=False)
class Lanes:
    """Hold the calls that wait, by worker, in the order in which they came."""

    tasks: TaskGroup
    _waiting: dict[str, deque[Call]] = field(default_factory=dict)
    _free: deque[str] = field(default_factory=deque)
    _under_way: Counter[str] = field(default_factory=Counter)
    _carriers: int = 0

    @property
    def under_way(self) -> int:
        """Return how many calls are under way."""
        return self._under_way.total()

    @property
    def waiting(self) -> int:
        """Return how many calls have not left."""
        return sum(len(calls) for calls in self._waiting.values())

    def waiting_for(self, counts: Callable[[str], bool]) -> int:
        """Return how many calls have not left to workers that count."""
        return sum(
            len(calls) for worker, calls in self._waiting.items() if counts(worker)
        )

    def put(self, worker: str, call: Call) -> None:
        """Make a call as soon as its worker and this process have room for it."""
        calls = self._waiting.get(worker)
        if calls is None:
            calls = self._waiting[worker] = deque()
        calls.append(call)
        if self._under_way[worker] < MOST_A_WORKER:
            self._free.append(worker)
        if self._free and self._carriers < MOST:
            self._carriers += 1
            self.tasks.start_soon(self._async_carry)

    async def _async_carry(self) -> None:
        """Make one call after the other until none may leave."""
        try:
            while (worker := self._next()) is not None:
                call = self._waiting[worker].popleft()
                self._under_way[worker] += 1
                try:
                    await call()
                finally:
                    self._done(worker)
        finally:
            self._carriers -= 1

    def _next(self) -> str | None:
        """Return a worker that a call waits for and that has room for it."""
        while self._free:
            worker = self._free.popleft()
            if self._waiting.get(worker) and self._under_way[worker] < MOST_A_WORKER:
                return worker
        return None

    def _done(self, worker: str) -> None:
        self._under_way[worker] -= 1
        if self._waiting.get(worker):
            self._free.append(worker)
            return
        self._waiting.pop(worker, None)
        if not self._under_way[worker]:
            del self._under_way[worker]
