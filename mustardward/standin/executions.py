"""Record the executions of a stand-in worker, for checks of histories."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

MAX_EXECUTIONS: Final = 200_000


@dataclass(slots=True, eq=False)
class Execution:
    """One request that ran; times are in monotonic seconds.

    ``end`` is 0 while the request runs. ``cut`` is set if a reboot interrupted it,
    ``leaving`` if it started on a draining worker.
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


class ExecutionLog:
    """Latest executions, including those in progress."""

    def __init__(self) -> None:
        self._executions: deque[Execution] = deque(maxlen=MAX_EXECUTIONS)
        self._running: set[Execution] = set()
        self._refusals: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return len(self._running)

    @property
    def refusals(self) -> dict[str, int]:
        """Return the number of refused requests by cause."""
        return self._refusals

    def record_start(self, execution: Execution) -> None:
        """Record the start of a request."""
        self._executions.append(execution)
        self._running.add(execution)

    def record_end(self, execution: Execution, now: float, status: int) -> None:
        """Record the end of a request."""
        if execution in self._running:
            self._running.discard(execution)
            execution.end = now
            execution.status = status

    def interrupt_all(self, now: float) -> None:
        """Mark all requests in progress as interrupted by a reboot."""
        for execution in self._running:
            execution.cut = True
            execution.end = now
        self._running.clear()

    def record_refusal(self, cause: str) -> None:
        """Count a refused request."""
        self._refusals[cause] = self._refusals.get(cause, 0) + 1

    def list_executions(self) -> list[Execution]:
        """Return the recorded executions, oldest first."""
        return list(self._executions)

    def clear(self) -> None:
        """Drop the finished executions and the refusal counts."""
        self._executions = deque(self._running, maxlen=MAX_EXECUTIONS)
        self._refusals = {}
