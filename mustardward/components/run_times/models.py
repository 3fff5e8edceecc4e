"""Hold what the runs of one job show about its run times."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class StepRunTimes:
    """Hold the run times of one step; all sums are of logarithms of seconds.

    :param running: the longest time of a run in progress beyond its estimate.
    :param error: the mean minus the declared time and the queue's bias, once learned.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0
    running: float | None = None
    error: float | None = None

    def add(self, value: float) -> None:
        """Add a completed run."""
        self.count += 1
        self.total += value
        self.squares += value * value

    @property
    def mean(self) -> float:
        """Return the mean of the completed runs."""
        return self.total / self.count


@dataclass(frozen=True, slots=True)
class StepEstimate:
    """Hold the estimated run time of one task of a step, in seconds.

    :param confidence: share of the spread of run times that is due to the runs, not to
        the uncertain length of the step.
    """

    median: float
    mean: float
    high: float
    confidence: float = 1.0


@dataclass(slots=True)
class JobRunTimes:
    """Hold the run times of a job by step number, and the estimates that follow.

    Occurrences of a job run the same steps, so that their runs are counted together.

    :param estimates: one for each step, or empty if they have to be computed.
    :param version: version of the queue's figures that the estimates are based on, or
        minus the queue's ratio if they are based on that.
    """

    steps: dict[int, StepRunTimes] = field(default_factory=dict)
    estimates: tuple[StepEstimate, ...] = ()
    version: float = 0.0

    def step(self, number: int) -> StepRunTimes:
        """Return the run times of a step."""
        return self.steps.setdefault(number, StepRunTimes())
