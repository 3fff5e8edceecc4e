"""Record what a stand-in worker ran, for checking histories."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

KEPT_EXECUTIONS: Final = 200_000


@dataclass(slots=True, eq=False)
class Execution:
    """Record one request that ran; times are in monotonic seconds, ``end`` 0 if open.

    ``cut`` tells that a reboot interrupted it, ``leaving`` that it began on a worker
    that was draining.
    """

    request_id: str
    attempt_id: str
    organisation: str
    idempotency_key: str
    method: str
    path: str
    pool_generation: int
    boot: int
    leaving: bool
    start: float
    end: float = 0.0
    status: int = 0
    cut: bool = False


class ExecutionRecord:
    """Keep the latest executions and those in progress."""

    def __init__(self) -> None:
        self._kept: deque[Execution] = deque(maxlen=KEPT_EXECUTIONS)
        self._running: set[Execution] = set()
        self._refusals: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Return how many requests are in progress."""
        return len(self._running)

    @property
    def refusals(self) -> dict[str, int]:
        """Return how many requests were refused, by cause."""
        return self._refusals

    def begin(self, execution: Execution) -> None:
        """Note that a request starts to run."""
        self._kept.append(execution)
        self._running.add(execution)

    def end(self, execution: Execution, now: float, status: int) -> None:
        """Note that a request ran to its end."""
        if execution in self._running:
            self._running.discard(execution)
            execution.end = now
            execution.status = status

    def cut_all(self, now: float) -> None:
        """Note that a reboot interrupted all that was in progress."""
        for execution in self._running:
            execution.cut = True
            execution.end = now
        self._running.clear()

    def refuse(self, cause: str) -> None:
        """Count a request that was not run."""
        self._refusals[cause] = self._refusals.get(cause, 0) + 1

    def all(self) -> list[Execution]:
        """Return the executions kept, oldest first."""
        return list(self._kept)

    def clear(self) -> None:
        """Forget the executions that are at their end."""
        self._kept = deque(self._running, maxlen=KEPT_EXECUTIONS)
        self._refusals = {}
