"""Build from a day's logs the workload that planners are compared on; pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Final, TypeVar

from .day_models import Day, JobRecord, Resources

GRID_SECONDS: Final = 0.1

JobShape = tuple["StepSpec", ...]
Samples = list[tuple[float, int]]
ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Hold a step as it was submitted; ``resources`` are those of one task."""

    count: int
    resources: Resources
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class StepTrace:
    """Hold one step of a job; times in seconds.

    :param seconds: run times of its tasks on a healthy worker.
    """

    resources: Resources
    seconds: tuple[float, ...]
    after: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class JobTrace:
    """Hold one completed job."""

    service: str
    submitted_at: float
    objective_seconds: float
    steps: tuple[StepTrace, ...]


def parse_job_shape(text: str) -> JobShape:
    """Parse the shape of a ``job_submitted`` line, such as ``8x9x512;8x2.5x64<0``."""
    steps = []
    for part in filter(None, text.split(";")):
        head, _, after = part.partition("<")
        count, cores, memory = head.split("x")
        earlier = tuple(int(number) for number in after.split(",") if number)
        resources = Resources(float(cores), float(memory))
        steps.append(StepSpec(int(count), resources, earlier))
    return tuple(steps)


@dataclass(slots=True)
class Workload:
    """Hold the jobs and pools of a day; times in seconds from the first sample.

    :param sizes: sampled instance counts of each pool.
    :param long_running: sampled resources that long-running tasks used in each pool.
    :param min_workers: sampled number of workers that a step needs because of its
        limit of tasks per worker.
    :param resources: resources of one instance of each pool.
    """

    jobs: list[JobTrace] = field(default_factory=list)
    sizes: dict[str, Samples] = field(default_factory=dict)
    long_running: dict[str, list[tuple[float, Resources]]] = field(default_factory=dict)
    min_workers: dict[str, Samples] = field(default_factory=dict)
    resources: dict[str, Resources] = field(default_factory=dict)
    moves: int = 0
    actual_in_time: int = 0

    @property
    def cell_count(self) -> int:
        """Return the number of grid cells."""
        last = max((samples[-1][0] for samples in self.sizes.values()), default=0.0)
        return find_cell(last) + 1


def build_workload(day: Day) -> Workload:
    """Return a day's completed jobs and its pools."""
    first = min((samples[0].at for samples in day.pools.values()), default=0.0)
    workload = Workload(moves=day.moves)
    for service, samples in day.pools.items():
        workload.sizes[service] = [(item.at - first, item.workers) for item in samples]
        workload.long_running[service] = [
            (item.at - first, item.long_running) for item in samples
        ]
        workload.min_workers[service] = [
            (item.at - first, item.min_workers) for item in samples
        ]
        sizes = [item.capacity * (1 / item.workers) for item in samples if item.workers]
        workload.resources[service] = sizes[-1] if sizes else Resources(1.0)
    for record in day.jobs.values():
        if record.state != "done" or record.submitted_at is None or not record.shape:
            continue
        at = record.submitted_at - first
        job = JobTrace(
            record.service, at, record.objective_seconds, _build_step_traces(record)
        )
        workload.jobs.append(job)
        workload.actual_in_time += not record.late
    workload.jobs.sort(key=lambda job: job.submitted_at)
    return workload


def _build_step_traces(record: JobRecord) -> tuple[StepTrace, ...]:
    """Return a job's steps, with run times limited to the median of the step.

    This excludes the effect of slow workers.
    """
    done: dict[int, list[float]] = defaultdict(list)
    for run in record.runs.values():
        if run.outcome == "done":
            done[run.position[1]].append(run.seconds)
    steps = []
    for number, step in enumerate(parse_job_shape(record.shape)):
        median_seconds = median(done[number]) if done[number] else 0.0
        seconds = [min(length, median_seconds) for length in done[number]]
        seconds += [median_seconds] * (step.count - len(seconds))
        steps.append(StepTrace(step.resources, tuple(seconds), step.after))
    return tuple(steps)


def find_cell(at: float) -> int:
    """Return the index of the grid cell of a time."""
    return max(0, int(at / GRID_SECONDS))


def sample(
    samples: Sequence[tuple[float, ValueT]], cell_count: int, first: ValueT
) -> list[ValueT]:
    """Return the latest sampled value at the start of each grid cell."""
    sampled: list[ValueT] = []
    index = 0
    value = first
    for cell in range(cell_count):
        while index < len(samples) and samples[index][0] <= cell * GRID_SECONDS:
            value = samples[index][1]
            index += 1
        sampled.append(value)
    return sampled
