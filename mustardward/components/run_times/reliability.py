"""Learn how reliable the declared run times of a queue's jobs are."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import astuple, dataclass, field, fields
from typing import Final

from ...helpers.policies import switchable
from .const import (
    HIGH_DEVIATIONS,
    MAX_FIGURE,
    MAX_LOG_ERROR,
    MAX_ORGANISATIONS,
    MEMORY_STEPS,
    MIN_CHANGE,
    MIN_DECLARED_VARIANCE,
    MIN_SLOPE,
    MIN_STEPS,
    PRIOR_STEPS,
)
from .models import JobRunTimes, StepEstimate, StepRunTimes

_LEAST: Final = 1e-6
_LEAST_SHARE: Final = 1e-3
"""Smallest variance and share; both are divided by."""


@dataclass(slots=True)
class Figures:
    """Hold moving averages over a queue's completed steps; times as logarithms.

    :param steps: number of steps, up to the length of the memory.
    :param declared: mean of the declared times.
    :param actual: mean of the actual times.
    :param covariance: covariance of both.
    :param inverse_runs: mean of one divided by a step's number of runs.
    :param run_steps: number of steps of which several runs were compared.
    :param run_variance: variance of the runs within a step.
    :param pairs: number of pairs of steps of one job.
    :param pair_product: mean product of the errors of such a pair.
    :param pair_variance: variance of these errors.
    """

    steps: float = 0.0
    declared: float = 0.0
    actual: float = 0.0
    declared_variance: float = 0.0
    actual_variance: float = 0.0
    covariance: float = 0.0
    inverse_runs: float = 1.0
    run_steps: float = 0.0
    run_variance: float = 0.0
    pairs: float = 0.0
    pair_product: float = 0.0
    pair_variance: float = 0.0

    def are_plausible(self) -> bool:
        """Return whether estimates can be computed from the figures."""
        counts = (self.steps, self.run_steps, self.pairs)
        variances = (
            self.declared_variance,
            self.actual_variance,
            self.run_variance,
            self.pair_variance,
            self.inverse_runs,
        )
        return (
            all(0 <= count <= MEMORY_STEPS for count in counts)
            and all(0 <= variance <= MAX_FIGURE for variance in variances)
            and all(
                abs(value) <= MAX_FIGURE
                for value in astuple(self)
                if value not in counts
            )
        )


FIGURES_COUNT: Final = len(fields(Figures))


@dataclass(frozen=True, slots=True)
class Reliability:
    """Estimate run times from declared ones and runs; all values are of logarithms.

    If declarations have errors of spread s and jobs have lengths of spread t, the slope
    is t^2 / (t^2 + s^2): the weight that a declaration keeps, while the mean of the
    queue has the rest.

    :param bias: mean of the actual minus the declared time.
    :param actual: mean of the actual times.
    :param slope: slope of the regression of actual on declared times.
    :param residual: standard deviation from that regression.
    :param alike: share of the errors' variance that all steps of a job have in common.
    :param run_spread: standard deviation of the runs within a step.
    """

    bias: float
    actual: float
    slope: float
    residual: float
    alike: float
    run_spread: float

    def differs_from(self, other: Reliability) -> bool:
        """Return whether estimates change noticeably."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return any(abs(mine - old) > MIN_CHANGE for mine, old in pairs)

    def estimate(
        self, declared: list[float | None], runs: JobRunTimes
    ) -> tuple[StepEstimate, ...]:
        """Return the estimates of a job's steps.

        The steps' lengths and the error that they share are normally distributed, so
        that the estimates are sums weighted by precision.

        :param declared: logarithms of the declared times; None for a step that declares
            none or has no end, which shows nothing of the job's error.
        """
        variance = self.residual**2 + _LEAST
        error = variance / self.slope
        own_error = (1 - self.alike) * error
        lengths = [self._length(runs.steps.get(n)) for n in range(len(declared))]
        noises = [own_error + length.variance for length in lengths]
        precision = 1 / (self.alike * error + _LEAST)
        total = precision * self.bias
        for value, length, noise in zip(declared, lengths, noises, strict=True):
            if value is not None:
                precision += 1 / noise
                total += (length.mean - value) / noise
        estimates: list[StepEstimate] = []
        for number, (value, length, noise) in enumerate(
            zip(declared, lengths, noises, strict=True)
        ):
            if value is None:
                estimates.append(self._make(length, runs.steps.get(number)))
                continue
            # What the other steps show of the error; the step's own runs count once.
            others = precision - 1 / noise
            shared = (total - (length.mean - value) / noise) / others
            by_declaration = _Normal(value + shared, own_error + 1 / others)
            estimates.append(
                self._make(by_declaration.combine(length), runs.steps.get(number))
            )
        return tuple(estimates)

    def _length(self, runs: StepRunTimes | None) -> _Normal:
        """Return what is known of a step's length apart from its declaration."""
        variance = self.residual**2 + _LEAST
        length = _Normal(self.actual, variance / (1 - self.slope + _LEAST_SHARE))
        if runs is None or not runs.count:
            return length
        run_variance = self.run_spread**2 + _LEAST
        return length.combine(_Normal(runs.mean, run_variance / runs.count))

    def _make(self, step: _Normal, runs: StepRunTimes | None) -> StepEstimate:
        run_variance = self.run_spread**2
        variance = step.variance
        total = variance + run_variance
        mean = step.mean
        if runs is not None and runs.running is not None:
            mean += variance * _excess(runs.running - mean, total)
        return StepEstimate(
            math.exp(mean),
            math.exp(mean + total / 2),
            math.exp(mean + HIGH_DEVIATIONS * math.sqrt(total)),
            (run_variance + _LEAST) / (total + _LEAST),
        )


@dataclass(frozen=True, slots=True)
class _Normal:
    """Hold a normal distribution."""

    mean: float
    variance: float

    def combine(self, other: _Normal) -> _Normal:
        """Return the distribution that follows from two independent observations."""
        share = self.variance / (self.variance + other.variance)
        return _Normal(
            self.mean + share * (other.mean - self.mean), share * other.variance
        )


def _excess(beyond: float, variance: float) -> float:
    """Return by how much a normal value's mean rises if it exceeds a bound.

    :param beyond: the bound, relative to the mean.
    :returns: the rise as a multiple of the variance.
    """
    deviation = math.sqrt(variance + _LEAST)
    z = beyond / deviation
    if z > 5:
        return beyond / (variance + _LEAST)
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    return density / (0.5 * math.erfc(z / math.sqrt(2))) / deviation


def _rely_on_ratio(queue: QueueReliability, /) -> None:
    """Assume that all declared run times of a queue are off by the same factor."""


@dataclass(slots=True)
class QueueReliability:
    """Learn the reliability of one queue's declared run times.

    Each organisation's declared times are first corrected by its own mean error, so
    that the remaining errors are those of its jobs.

    :param offsets: that mean error by organisation, as a logarithm.
    :param version: increases with each noticeable change of ``known``.
    :param known: None until enough steps are complete.
    """

    figures: Figures
    version: int = 0
    known: Reliability | None = None
    offsets: dict[str, float] = field(default_factory=dict)
    _learned: Counter[str] = field(default_factory=Counter)

    def learn(
        self, declared: float, runs: StepRunTimes, job: JobRunTimes, organisation: str
    ) -> None:
        """Learn from a completed step of a job."""
        figures = self.figures
        declared += self.offsets.get(organisation, 0.0)
        error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, runs.mean - declared))
        actual = declared + error
        figures.steps = min(MEMORY_STEPS, figures.steps + 1)
        gain = 1 / figures.steps
        beyond_declared = declared - figures.declared
        beyond_actual = actual - figures.actual
        figures.declared += gain * beyond_declared
        figures.actual += gain * beyond_actual
        keep = 1 - gain
        figures.declared_variance = keep * (
            figures.declared_variance + gain * beyond_declared**2
        )
        figures.actual_variance = keep * (
            figures.actual_variance + gain * beyond_actual**2
        )
        figures.covariance = keep * (
            figures.covariance + gain * beyond_declared * beyond_actual
        )
        figures.inverse_runs += gain * (1 / runs.count - figures.inverse_runs)
        self._learn_run_variance(runs)
        self._learn_pair(declared, actual, runs, job)
        self._learn_offset(organisation, actual - declared)
        self.update()

    def _learn_offset(self, organisation: str, error: float) -> None:
        """Learn an organisation's mean error relative to the queue's."""
        is_new = organisation not in self.offsets
        if not organisation or (is_new and len(self.offsets) >= MAX_ORGANISATIONS):
            return
        self._learned[organisation] += 1
        steps = min(MEMORY_STEPS, self._learned[organisation])
        change = error - (self.figures.actual - self.figures.declared)
        offset = self.offsets.get(organisation, 0.0)
        self.offsets[organisation] = offset + change / (steps + PRIOR_STEPS)

    def restore_offsets(self, offsets: Mapping[str, float]) -> None:
        """Restore plausible offsets, each as that of a well-known organisation."""
        for organisation, offset in list(offsets.items())[:MAX_ORGANISATIONS]:
            if abs(offset) <= MAX_LOG_ERROR:
                self.offsets[organisation] = offset
                self._learned[organisation] = MEMORY_STEPS // 2

    def _learn_run_variance(self, runs: StepRunTimes) -> None:
        if runs.count < 2:
            return
        figures = self.figures
        observed = (runs.squares - runs.total * runs.mean) / (runs.count - 1)
        figures.run_steps = min(MEMORY_STEPS, figures.run_steps + 1)
        figures.run_variance += (
            max(0.0, observed) - figures.run_variance
        ) / figures.run_steps

    def _learn_pair(
        self, declared: float, actual: float, runs: StepRunTimes, job: JobRunTimes
    ) -> None:
        """Learn from two steps of a job whether their errors are alike."""
        figures = self.figures
        bias = figures.actual - figures.declared
        earlier = next(
            (
                step.error
                for step in reversed(job.steps.values())
                if step is not runs and step.error is not None
            ),
            None,
        )
        runs.error = error = actual - declared - bias
        if earlier is None:
            return
        figures.pairs = min(MEMORY_STEPS, figures.pairs + 1)
        gain = 1 / figures.pairs
        product = error * earlier
        variance = (error**2 + earlier**2) / 2
        figures.pair_product += gain * (product - figures.pair_product)
        figures.pair_variance += gain * (variance - figures.pair_variance)

    @switchable(
        "known-run-times",
        "wrong declarations are recognised, and a job's runs correct its estimates",
        without=_rely_on_ratio,
    )
    def update(self) -> None:
        """Compute the reliability from the figures."""
        figures = self.figures
        if figures.steps < MIN_STEPS:
            return
        prior = PRIOR_STEPS / figures.steps * MIN_DECLARED_VARIANCE
        slope = (figures.covariance + prior) / (figures.declared_variance + prior)
        slope = max(MIN_SLOPE, min(1.0, slope))
        variance = (
            figures.actual_variance
            - 2 * slope * figures.covariance
            + slope**2 * figures.declared_variance
        )
        variance -= figures.run_variance * figures.inverse_runs
        alike = figures.pair_product / (figures.pair_variance + _LEAST)
        alike *= figures.pairs / (figures.pairs + PRIOR_STEPS)
        new = Reliability(
            figures.actual - figures.declared,
            figures.actual,
            slope,
            math.sqrt(max(0.0, variance)),
            max(0.0, min(1.0, alike)),
            math.sqrt(max(0.0, figures.run_variance)),
        )
        if self.known is None or new.differs_from(self.known):
            self.known = new
            self.version += 1
