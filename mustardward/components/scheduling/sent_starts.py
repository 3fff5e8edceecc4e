"""Remember under which renewal starts were sent, for log lines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...helpers.logging import get_logger, log_names
from ...platform.workers import TaskName, encode_task

_LOGGER = get_logger(__name__)


def _unset_clock() -> float:
    return 0.0


@dataclass(frozen=True, slots=True)
class SentStart:
    """Hold a start that was sent.

    :param renewal_age_seconds: age of the newest stored renewal at that time.
    """

    name: TaskName
    run: int
    worker: str
    renewal_age_seconds: float

    def __str__(self) -> str:
        """Return the start as log lines name it."""
        task = encode_task(self.name)
        return f"{task}:{self.run}@{self.worker}+{self.renewal_age_seconds:.2f}"


@dataclass(slots=True, eq=False)
class SentStarts:
    """Hold the starts that were not answered yet.

    :param renewed_at: when the newest stored renewal was sent, on the clock.
    """

    clock: Callable[[], float] = _unset_clock
    renewed_at: Callable[[], float] = _unset_clock
    _unanswered: dict[tuple[TaskName, int], SentStart] = field(default_factory=dict)
    _count: int = 0
    _counted_since: float | None = None

    def __len__(self) -> int:
        """Return the number of starts that were not answered yet."""
        return len(self._unanswered)

    def record(self, name: TaskName, run: int, worker: str) -> None:
        """Record that a start is being sent."""
        renewed_at = self.renewed_at()
        if renewed_at != self._counted_since:
            self._counted_since = renewed_at
            self._count = 0
        self._count += 1
        age_seconds = self.clock() - renewed_at
        self._unanswered[name, run] = SentStart(name, run, worker, age_seconds)

    def get(self, name: TaskName, run: int) -> SentStart | None:
        """Return a start that was sent, until it is forgotten."""
        return self._unanswered.get((name, run))

    def forget(self, name: TaskName, run: int) -> None:
        """Forget a start that was answered or whose call failed."""
        self._unanswered.pop((name, run), None)

    def count_since_renewal(self) -> int:
        """Return how many starts were sent since the newest renewal was stored."""
        return self._count if self._counted_since == self.renewed_at() else 0

    def log_unanswered(self, epoch: int) -> None:
        """Log the starts whose calls are in progress."""
        starts = [str(start) for start in self._unanswered.values()]
        log_names(_LOGGER.warning, "starts_unanswered", epoch, "starts", starts)
