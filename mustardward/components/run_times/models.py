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
        minus the number of its runs if they are based on its ratio.
    :param changes: number of changes of these run times since they were computed.
    :param critical_path: the job's critical path by these estimates, in seconds, or
        None if it has to be computed.
    """

    steps: dict[int, StepRunTimes] = field(default_factory=dict)
    estimates: tuple[StepEstimate, ...] = ()
    version: int = 0
    changes: int = 0
    critical_path: float | None = None

    def step(self, number: int) -> StepRunTimes:
        """Return the run times of a step."""
        return self.steps.setdefault(number, StepRunTimes())

    def set_estimates(self, estimates: tuple[StepEstimate, ...], version: int) -> None:
        """Set estimates that were computed from all present run times."""
        self.estimates = estimates
        self.version = version
        self.changes = 0
        self.critical_path = None
