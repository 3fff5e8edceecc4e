"""Test run-time estimates with declared run times of several kinds of errors."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy
import pytest

from mustardward.components.ledger.models import RunTimesRecord
from mustardward.components.run_times.const import (
    MAX_ORGANISATIONS,
    MAX_QUEUES,
    MIN_STEPS,
)
from mustardward.components.run_times.estimates import Estimates
from mustardward.components.scheduling.models import Job, QueuePolicy, StepRun, Task
from mustardward.helpers.policies import switch_off
from tests.components.scheduling.builders import a_job, a_step

QUEUE = "host /a/"
LENGTH_SPREAD = 0.5
RUN_SPREAD = 0.15
SHIFT = math.exp(RUN_SPREAD**2 / 2)


@dataclass(slots=True)
class Queue:
    """Draw jobs of a queue and let the estimates learn from them.

    :param error: spread of the logarithm of actual to declared time, from job to job.
    :param step_error: the same from step to step.
    :param bias: mean of that logarithm.
    :param median: median run time in seconds.
    """

    error: float = 0.0
    step_error: float = 0.0
    bias: float = 0.0
    median: float = 0.7
    estimates: Estimates = field(default_factory=Estimates)
    chance: numpy.random.Generator = field(
        default_factory=lambda: numpy.random.default_rng(5)
    )

    def draw(self, steps: int = 2, **changes: object) -> tuple[Job, list[float]]:
        """Return a job, and the true median run time of each of its steps."""
        error = self.chance.normal(self.bias, self.error)
        true: list[float] = []
        specs = []
        for number in range(steps):
            length = self.median * self.chance.lognormal(0.0, LENGTH_SPREAD)
            factor = math.exp(error + self.chance.normal(0.0, self.step_error))
            after = [number - 1] if number else []
            specs.append(
                a_step(count=8, estimate_ms=1000 * length / factor, after=after)
            )
            true.append(length)
        job = Job(a_job(*specs, **changes).record, QueuePolicy("pool-a"), 0.0)
        for number, spec in enumerate(job.record.steps):
            step = StepRun(job, 0, number, spec)
            step.tasks = [Task(step, index) for index in range(spec.count)]
            job.steps[(0, number)] = step
        return job, true

    def run(self, job: Job, true: list[float], number: int, count: int = 8) -> None:
        """Complete some tasks of a step."""
        step = job.steps[(0, number)]
        for _ in range(count):
            seconds = true[number] * self.chance.lognormal(0.0, RUN_SPREAD)
            self.estimates.learn(step, seconds)
            step.done += 1
        if step.complete:
            self.estimates.learn_step(step)

    def complete(self, jobs: int) -> None:
        """Draw and complete some jobs."""
        for _ in range(jobs):
            job, true = self.draw()
            for number in range(len(true)):
                self.run(job, true, number)

    def measure(self, jobs: int = 200) -> tuple[float, float]:
        """Return the forecast's ratio to the true work, and the spread of estimates.

        The spread is that of the logarithm of estimated to actual median run times.
        """
        expected = actual = 0.0
        errors: list[float] = []
        for _ in range(jobs):
            job, true = self.draw()
            expected += self.estimates.remaining_work(job)
            actual += sum(8 * SHIFT * seconds for seconds in true)
            errors.extend(
                math.log(self.estimates.seconds(job.steps[(0, number)]) / seconds)
                for number, seconds in enumerate(true)
            )
            for number in range(len(true)):
                self.run(job, true, number)
        return expected / actual, float(numpy.sqrt(numpy.mean(numpy.square(errors))))


@pytest.fixture(autouse=True)
def _restore_policies() -> Iterator[None]:
    yield
    switch_off([])


@pytest.mark.parametrize("bias", [-0.7, 0.0, 0.7])
@pytest.mark.parametrize("error", [0.0, 0.5, 1.0, 1.5])
def test_declarations_are_weighted_by_their_reliability(
    error: float, bias: float
) -> None:
    """Guards against following wrong declarations, and against ignoring right ones.

    The best estimate of a length of spread t, declared with an error of spread s, has
    an error of spread t s / sqrt(t^2 + s^2).
    """
    queue = Queue(error=error, bias=bias)
    queue.complete(60)
    forecast, spread = queue.measure()
    best = LENGTH_SPREAD * error / math.hypot(LENGTH_SPREAD, error)
    assert abs(forecast - 1) < 0.1
    assert spread < best * 1.15 + 0.03


def test_exact_declarations_are_kept() -> None:
    """Guards against a worse service of queues that declare their run times exactly."""
    queue = Queue()
    queue.complete(60)
    job, true = queue.draw()
    step = job.steps[(0, 0)]
    assert queue.estimates.seconds(step) == pytest.approx(true[0], rel=0.05)
    queue.run(job, true, 0, count=2)
    assert queue.estimates.seconds(step) == pytest.approx(true[0], rel=0.05)
    assert queue.estimates.mean_seconds(step) == pytest.approx(true[0], rel=0.07)
    assert queue.estimates.confidence(step) > 0.9


def test_nothing_changes_before_enough_steps_are_complete() -> None:
    """Guards against conclusions from few runs, for example by a new owner."""
    queue = Queue(error=1.0)
    queue.complete(MIN_STEPS // 2 - 1)
    job, true = queue.draw()
    queue.run(job, true, 0, count=4)
    for number, spec in enumerate(job.record.steps):
        expected = spec.estimate_ms / 1000 * queue.estimates.ratio(QUEUE)
        step = job.steps[(0, number)]
        assert queue.estimates.seconds(step) == pytest.approx(expected)
        assert queue.estimates.mean_seconds(step) == pytest.approx(expected)
        assert queue.estimates.high_seconds(step) == pytest.approx(expected)


def test_policy_switched_off_keeps_the_ratio_of_the_queue() -> None:
    switch_off(["known-run-times"])
    queue = Queue(error=1.0)
    queue.complete(60)
    job, _ = queue.draw()
    declared = job.record.steps[0].estimate_ms / 1000
    expected = declared * queue.estimates.ratio(QUEUE)
    assert queue.estimates.seconds(job.steps[(0, 0)]) == pytest.approx(expected)


def test_ended_runs_correct_the_estimate_of_their_step() -> None:
    queue = Queue(error=1.0)
    queue.complete(60)
    ratios = []
    for _ in range(50):
        job, true = queue.draw()
        queue.run(job, true, 0, count=2)
        ratios.append(queue.estimates.seconds(job.steps[(0, 0)]) / true[0])
    assert numpy.sqrt(numpy.mean(numpy.square(numpy.log(ratios)))) < 0.15


def test_a_step_shows_the_length_of_later_steps_if_their_errors_are_alike() -> None:
    """Guards against learning a job's error anew in each of its steps."""
    alike, different = Queue(error=1.0), Queue(step_error=1.0)
    spreads = []
    for queue in (alike, different):
        queue.complete(120)
        errors = []
        for _ in range(100):
            job, true = queue.draw()
            queue.run(job, true, 0)
            second = queue.estimates.seconds(job.steps[(0, 1)])
            errors.append(math.log(second / true[1]))
        spreads.append(float(numpy.std(errors)))
    # Without the first step, both are off by 0.45.
    assert spreads[0] < 0.42
    assert spreads[1] < 0.5


def test_a_run_beyond_its_estimate_makes_its_siblings_longer_at_once() -> None:
    """Guards against planning siblings by an estimate that is known to be wrong."""
    queue = Queue(error=1.0)
    queue.complete(60)
    job, _ = queue.draw()
    step = job.steps[(0, 0)]
    first, other = step.tasks[:2]
    before = queue.estimates.seconds(step)
    assert not queue.estimates.observe_running(first, 0.9 * before)
    assert queue.estimates.observe_running(first, 4 * before)
    assert queue.estimates.seconds(step) > 3 * before
    assert queue.estimates.remaining_seconds(other, 0.0) > 3 * before
    assert not queue.estimates.observe_running(first, 4 * before + 0.001)


def test_a_run_beyond_an_exact_estimate_says_little_of_its_siblings() -> None:
    queue = Queue()
    queue.complete(60)
    job, true = queue.draw()
    step = job.steps[(0, 0)]
    queue.estimates.observe_running(step.tasks[0], 4 * true[0])
    assert queue.estimates.seconds(step) < 1.5 * true[0]


def test_a_queue_whose_jobs_become_longer_is_followed() -> None:
    """Guards against a mean that keeps to the jobs of an earlier time."""
    queue = Queue(error=1.0)
    queue.complete(100)
    queue.median = 2.8
    queue.complete(100)
    forecast, _ = queue.measure()
    assert abs(forecast - 1) < 0.1


def test_what_was_learned_is_restored() -> None:
    """Guards against a new owner that trusts declarations known to be wrong."""
    queue = Queue(error=1.0)
    queue.complete(60)
    restored = Estimates()
    for name, record in queue.estimates.export().items():
        restored.restore(name, record)
    job, _ = queue.draw()
    expected = queue.estimates.seconds(job.steps[(0, 0)])
    job.run_times.estimates = ()
    assert restored.seconds(job.steps[(0, 0)]) == pytest.approx(expected, rel=0.03)


@pytest.mark.parametrize(
    "figures",
    [
        (),
        (1.0,) * 3,
        (math.nan,) * 12,
        (math.inf,) * 12,
        (-5.0,) * 12,
        (64.0,) + (300.0,) * 11,
        (20.0, -0.3, -0.3, -0.000625, 0.3, 0.0, 0.1, 10.0, 0.02, 10.0, 0.0, -1e-6),
    ],
)
def test_unusable_figures_are_ignored(figures: tuple[float, ...]) -> None:
    """Guards against a takeover that fails because of a damaged record."""
    estimates = Estimates()
    estimates.restore(QUEUE, RunTimesRecord(figures))
    job, _ = Queue().draw()
    declared = job.record.steps[0].estimate_ms / 1000
    assert estimates.seconds(job.steps[(0, 0)]) == pytest.approx(declared)


def test_a_step_without_an_end_says_nothing_about_the_others() -> None:
    """Guards against objectives that shrink because a job has a long-running step."""
    queue = Queue(error=1.0)
    queue.complete(60)
    alone, _ = queue.draw(steps=1)
    spec = alone.record.steps[0]
    lasting = a_step(count=8, estimate_ms=600_000, long_running=True)
    both, _ = queue.draw(steps=1)
    both.record.steps[:] = [spec, lasting]
    both.steps[(0, 0)].spec = spec
    both.steps[(0, 1)] = StepRun(both, 0, 1, lasting)
    expected = queue.estimates.seconds(alone.steps[(0, 0)])
    assert queue.estimates.seconds(both.steps[(0, 0)]) == pytest.approx(expected)
    ratio = queue.estimates.ratio(QUEUE)
    assert queue.estimates.seconds(both.steps[(0, 1)]) == pytest.approx(600 * ratio)


def test_a_queue_whose_name_makes_no_key_is_not_exported() -> None:
    """Guards against an append that can't be encoded, which would end the owner."""
    queue = Queue(error=1.0)
    for _ in range(MIN_STEPS):
        job, true = queue.draw(queue="host /" + "a" * 250)
        queue.run(job, true, 0)
    assert queue.estimates.export() == {}


def test_figures_are_stored_again_only_after_a_noticeable_change() -> None:
    """Guards against an append for each completed step."""
    queue = Queue(error=1.0)
    queue.complete(100)
    stored = queue.estimates.export()
    assert queue.estimates.changed_since({}) == list(stored.items())
    assert queue.estimates.changed_since(stored) == []
    queue.median = 7.0
    queue.complete(10)
    assert queue.estimates.changed_since(stored) == list(
        queue.estimates.export().items()
    )


def test_an_organisations_own_error_is_learned() -> None:
    """Guards against distrust of all organisations because one declares wrong times."""
    queue = Queue(error=0.1)
    errors: dict[str, list[float]] = {"right": [], "wrong": []}
    for number in range(160):
        organisation = "wrong" if number % 4 == 0 else "right"
        queue.bias = 1.4 if organisation == "wrong" else 0.0
        job, true = queue.draw(organisation=organisation)
        if number >= 100:
            seconds = queue.estimates.seconds(job.steps[(0, 0)])
            errors[organisation].append(math.log(seconds / true[0]))
        for step in range(2):
            queue.run(job, true, step)
    for values in errors.values():
        assert numpy.sqrt(numpy.mean(numpy.square(values))) < 0.25


def test_an_organisation_alone_is_estimated_like_a_queue_without_any() -> None:
    queue = Queue(error=1.0, bias=0.7)
    for _ in range(60):
        job, true = queue.draw(organisation="alone")
        queue.run(job, true, 0)
        queue.run(job, true, 1)
    expected = actual = 0.0
    for _ in range(200):
        job, true = queue.draw(organisation="alone")
        expected += queue.estimates.remaining_work(job)
        actual += sum(8 * SHIFT * seconds for seconds in true)
    assert abs(expected / actual - 1) < 0.15


def test_learned_organisations_are_bounded_and_restored() -> None:
    """Guards against a record that grows with the number of organisations."""
    queue = Queue(error=0.1)
    for number in range(3 * MAX_ORGANISATIONS):
        queue.bias = 1.0 if number % 2 else 0.0
        job, true = queue.draw(organisation=f"o{number}")
        queue.run(job, true, 0)
    (record,) = queue.estimates.export().values()
    assert len(record.organisations) == MAX_ORGANISATIONS
    restored = Estimates()
    damaged = {**record.organisations, "o0": math.nan, "o1": 1e9}
    restored.restore(QUEUE, RunTimesRecord(record.figures, damaged))
    (again,) = restored.export().values()
    expected = dict(record.organisations)
    del expected["o0"], expected["o1"]
    assert again.organisations == expected


def test_export_is_bounded() -> None:
    queue = Queue(error=1.0)
    for number in range(MAX_QUEUES + 5):
        for _ in range(MIN_STEPS // 2):
            job, true = queue.draw(queue=f"host /{number}/")
            queue.run(job, true, 0)
            queue.run(job, true, 1)
    assert len(queue.estimates.export()) == MAX_QUEUES
