"""Send calls to workers with a concurrency limit per worker and in total.

A demand peak makes hundreds of starts due within one plan. If all calls begin at once,
each waits for the others inside this process while its timeout runs, and calls that
workers have long answered are given up.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from anyio.abc import TaskGroup

MAX_CALLS_PER_WORKER: Final = 4
"""Concurrent calls to one worker. Its poll uses another connection, and a worker that
answers in 3 ms still handles a thousand calls per second."""

MAX_CALLS: Final = 128
"""Concurrent calls to all workers: with 3 ms per answer, ten times what one owner can
send. Waiting calls can still be withdrawn, calls in progress can't."""

Call = Callable[[], Awaitable[None]]


@dataclass(slots=True, eq=False)
class CallQueue:
    """Hold waiting calls by worker in first-in, first-out order."""

    tasks: TaskGroup
    _waiting: dict[str, deque[Call]] = field(default_factory=dict)
    _ready: deque[str] = field(default_factory=deque)
    _in_progress: Counter[str] = field(default_factory=Counter)
    _senders: int = 0

    @property
    def in_progress(self) -> int:
        """Return how many calls are in progress."""
        return self._in_progress.total()

    @property
    def waiting(self) -> int:
        """Return how many calls were not sent yet."""
        return sum(len(calls) for calls in self._waiting.values())

    def count_waiting(self, includes: Callable[[str], bool]) -> int:
        """Return how many calls were not sent yet to the workers included."""
        return sum(
            len(calls) for worker, calls in self._waiting.items() if includes(worker)
        )

    def enqueue(self, worker: str, call: Call) -> None:
        """Make a call as soon as both concurrency limits allow it."""
        calls = self._waiting.get(worker)
        if calls is None:
            calls = self._waiting[worker] = deque()
        calls.append(call)
        if self._in_progress[worker] < MAX_CALLS_PER_WORKER:
            self._ready.append(worker)
        if self._ready and self._senders < MAX_CALLS:
            self._senders += 1
            self.tasks.start_soon(self._async_send)

    async def _async_send(self) -> None:
        """Make one call after the other until none may be sent."""
        try:
            while (worker := self._next_worker()) is not None:
                call = self._waiting[worker].popleft()
                self._in_progress[worker] += 1
                try:
                    await call()
                finally:
                    self._finish_call(worker)
        finally:
            self._senders -= 1

    def _next_worker(self) -> str | None:
        """Return a worker below its limit that has a waiting call."""
        while self._ready:
            worker = self._ready.popleft()
            if (
                self._waiting.get(worker)
                and self._in_progress[worker] < MAX_CALLS_PER_WORKER
            ):
                return worker
        return None

    def _finish_call(self, worker: str) -> None:
        self._in_progress[worker] -= 1
        if self._waiting.get(worker):
            self._ready.append(worker)
            return
        self._waiting.pop(worker, None)
        if not self._in_progress[worker]:
            del self._in_progress[worker]
