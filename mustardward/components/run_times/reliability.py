"""Learn how reliable the declared run times of a queue's jobs are."""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass, fields
from typing import Final

from .const import (
    HIGH_DEVIATIONS,
    MAX_LOG_ERROR,
    MEMORY_STEPS,
    MIN_CHANGE,
    MIN_DECLARED_VARIANCE,
    MIN_STEPS,
    PRIOR_STEPS,
)
from .models import JobRunTimes, StepEstimate, StepRunTimes

_LEAST: Final = 1e-9


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


FIGURES_COUNT: Final = len(fields(Figures))


@dataclass(frozen=True, slots=True)
class Reliability:
    """Predict run times by regression on declared ones; all values are of logarithms.

    If declarations have errors of spread s and jobs have lengths of spread t, the slope
    is t^2 / (t^2 + s^2): the weight that a declaration keeps, while the mean of the
    queue has the rest.

    :param job_variance: variance of the error that all steps of a job share.
    :param step_variance: variance of the error of each step.
    :param run_variance: variance of the runs within a step.
    """

    declared: float
    actual: float
    slope: float
    job_variance: float
    step_variance: float
    run_variance: float

    def expect(self, declared: float) -> float:
        """Return the expected logarithm of a declared time."""
        return self.actual + self.slope * (declared - self.declared)

    def differs_from(self, other: Reliability) -> bool:
        """Return whether estimates change noticeably."""
        return any(
            abs(mine - old) > MIN_CHANGE
            for mine, old in zip(
                (self.expect(0.0), *astuple(self)[1:]),
                (other.expect(0.0), *astuple(other)[1:]),
                strict=True,
            )
        )

    def estimate(
        self, declared: list[float], runs: JobRunTimes
    ) -> tuple[StepEstimate, ...]:
        """Return the estimates of a job's steps.

        :param declared: logarithms of the declared times.
        """
        expected = [self.expect(value) for value in declared]
        shift, shift_variance = self._job_error(expected, runs)
        return tuple(
            self._estimate_step(value + shift, shift_variance, runs.steps.get(number))
            for number, value in enumerate(expected)
        )

    def _job_error(
        self, expected: list[float], runs: JobRunTimes
    ) -> tuple[float, float]:
        """Return a job's error as far as its runs show it, and its variance."""
        if self.job_variance < _LEAST:
            return 0.0, 0.0
        precision = 1 / self.job_variance
        total = 0.0
        for number, step in runs.steps.items():
            if step.count:
                noise = self.step_variance + self.run_variance / step.count + _LEAST
                precision += 1 / noise
                total += (step.mean - expected[number]) / noise
        return total / precision, 1 / precision

    def _estimate_step(
        self, expected: float, shift_variance: float, runs: StepRunTimes | None
    ) -> StepEstimate:
        variance = self.step_variance + shift_variance
        if runs is not None and runs.count:
            noise = self.run_variance / runs.count + _LEAST
            share = variance / (variance + noise)
            expected += share * (runs.mean - expected)
            variance *= 1 - share
        if runs is not None and runs.running is not None:
            expected += variance * _excess(
                runs.running - expected, variance + self.run_variance
            )
        return make_estimate(expected, variance, self.run_variance)


def make_estimate(
    expected: float, variance: float, run_variance: float
) -> StepEstimate:
    """Return the estimate for a lognormal distribution."""
    total = variance + run_variance
    return StepEstimate(
        math.exp(expected),
        math.exp(expected + total / 2),
        math.exp(expected + HIGH_DEVIATIONS * math.sqrt(total)),
        (run_variance + _LEAST) / (total + _LEAST),
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


@dataclass(slots=True)
class QueueReliability:
    """Learn the reliability of one queue's declared run times.

    :param version: increases with each noticeable change of ``known``.
    :param known: None until enough steps are complete.
    """

    figures: Figures
    version: int = 0
    known: Reliability | None = None

    def learn(self, declared: float, runs: StepRunTimes, job: JobRunTimes) -> None:
        """Learn from a completed step of a job."""
        figures = self.figures
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
        self.update()

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
        if self.known is None:
            return
        runs.residual = residual = actual - self.known.expect(declared)
        earlier = [
            step.residual
            for step in job.steps.values()
            if step is not runs and step.residual is not None
        ]
        if not earlier:
            return
        figures = self.figures
        figures.pairs = min(MEMORY_STEPS, figures.pairs + 1)
        gain = 1 / figures.pairs
        product = residual * earlier[-1]
        variance = (residual**2 + earlier[-1] ** 2) / 2
        figures.pair_product += gain * (product - figures.pair_product)
        figures.pair_variance += gain * (variance - figures.pair_variance)

    def update(self) -> None:
        """Compute the reliability from the figures."""
        figures = self.figures
        if figures.steps < MIN_STEPS:
            return
        prior = PRIOR_STEPS / figures.steps * MIN_DECLARED_VARIANCE
        slope = (figures.covariance + prior) / (figures.declared_variance + prior)
        slope = max(0.0, min(1.0, slope))
        variance = (
            figures.actual_variance
            - 2 * slope * figures.covariance
            + slope**2 * figures.declared_variance
        )
        variance = max(0.0, variance - figures.run_variance * figures.inverse_runs)
        alike = figures.pair_product / (figures.pair_variance + _LEAST)
        alike *= figures.pairs / (figures.pairs + PRIOR_STEPS)
        alike = max(0.0, min(1.0, alike))
        new = Reliability(
            figures.declared,
            figures.actual,
            slope,
            alike * variance,
            (1 - alike) * variance,
            figures.run_variance,
        )
        if self.known is None or new.differs_from(self.known):
            self.known = new
            self.version += 1
