"""Test in which data centres a job may start, in operation and after a takeover."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.worker_state import WorkerState
from mustardward.platform.models import ENDED_DONE

from .builders import JOB, SchedulerBench, a_job, a_step

ZONES = ("z1", "z2", "z3")


def a_bench(workers: int = 1, **changes: object) -> SchedulerBench:
    """Return a bench with three data centres of equally many workers."""
    bench = SchedulerBench(**changes)  # type: ignore[arg-type]
    for zone in ZONES:
        for number in range(workers):
            bench.worker(f"{zone}-{number}", zone=zone)
    return bench


def store(bench: SchedulerBench) -> dict[str, Progress]:
    """Store the progress that is due, and return it."""
    records = dict(bench.scheduler.take_dirty(bench.now, bench.now))
    bench.scheduler.mark_stored(records)
    return records


def zones_of(bench: SchedulerBench, starts: list[Start]) -> set[str]:
    return {bench.scheduler.state.workers[start.worker].zone for start in starts}


def stored_job(*zones: str, job: str = JOB) -> LedgerJob:
    """Return a job that the previous owner may have started in these data centres."""
    found = a_job(job=job)
    found.progress = Progress(JobState.RUNNING, zones=list(zones))
    return found


def test_a_job_starts_in_the_data_centre_that_its_record_names() -> None:
    bench = a_bench()
    bench.add(a_job(a_step(count=4)), stored=False)
    assert bench.plan_starts() == []
    records = store(bench)
    (zone,) = records[JOB].zones
    starts = bench.plan_starts()
    assert (len(starts), zones_of(bench, starts)) == (4, {zone})


def test_job_starts_in_another_data_centre_only_once_that_is_stored() -> None:
    """Otherwise the next owner may start it again while it runs there."""
    bench = a_bench()
    bench.add(a_job(a_step(count=12)), stored=False)
    first = store(bench)[JOB].zones
    starts = bench.plan_starts()
    assert len(starts) == 8
    assert bench.plan_starts() == []
    due = bench.scheduler.take_dirty(bench.now, bench.now)
    ((_, progress),) = due
    assert set(first) < set(progress.zones) and len(progress.zones) == 2
    assert bench.plan_starts() == []
    bench.scheduler.mark_stored([JOB])
    more = bench.plan_starts()
    assert zones_of(bench, more) == set(progress.zones) - set(first)
    assert len(more) == 4


def test_simultaneous_jobs_are_spread_over_the_data_centres() -> None:
    bench = a_bench(workers=2)
    for number in range(6):
        bench.add(a_job(a_step(count=4), job=f"{number:016x}"), stored=False)
    zones = [zone for record in store(bench).values() for zone in record.zones]
    assert sorted(zones) == sorted(ZONES * 2)


def test_a_job_is_assigned_to_a_data_centre_with_usable_workers() -> None:
    """Guards against jobs that wait for a data centre whose workers are unusable."""
    bench = a_bench()
    bench.scheduler.state.unusable_workers = frozenset({"z1-0", "z2-0"})
    for number in range(3):
        bench.add(a_job(a_step(), job=f"{number:016x}"), stored=False)
    assert {tuple(record.zones) for record in store(bench).values()} == {("z3",)}


def test_a_job_is_assigned_to_the_data_centre_of_its_data() -> None:
    bench = SchedulerBench()
    for zone, rack in (("z1", "r1"), ("z2", "r2")):
        bench.worker(zone, zone=zone, labels=["a", rack])
    for number in range(3):
        bench.add(a_job(a_step(data_rack="r2"), job=f"{number:016x}"), stored=False)
    assert {tuple(record.zones) for record in store(bench).values()} == {("z2",)}


def test_long_running_tasks_and_gangs_may_start_anywhere() -> None:
    bench = a_bench()
    for number, step in enumerate((a_step(long_running=True), a_step(gang=True))):
        bench.add(a_job(step, job=f"{number:016x}"), stored=False)
    assert all(record.zones == [] for record in store(bench).values())
    assert len(bench.plan_starts()) == 4


def test_a_partitioned_data_centre_delays_only_its_own_jobs() -> None:
    """Guards against a takeover after which no job starts for 5 s.

    A network partition separates the data centre of the previous owner. The new owner
    gets reports of all other workers at once, but none from there. Starts are not
    stored, so without stored data centres each of the previous owner's jobs (201 in one
    case) might still run in the partitioned one.
    """
    bench = SchedulerBench(epoch=2)
    state = bench.scheduler.state
    state.taken_over_at = bench.now
    state.takeover_hold_until = bench.now + 8.0
    bench.worker("z1-0", zone="z1")
    bench.worker("z2-0", zone="z2")
    for number, zones in enumerate((["z1"], ["z3"], ["z1", "z3"], [])):
        bench.add(stored_job(*zones, job=f"{number:016x}"))
    assert bench.plan_starts() == []
    state.reconciled_zones = frozenset({"z1", "z2"})
    starts = bench.plan_starts()
    assert {start.task.step.job.record.id for start in starts} == {f"{0:016x}"}
    bench.now += 9.0
    starts = bench.plan_starts()
    assert {start.task.step.job.record.id for start in starts} >= {f"{2:016x}"}


def test_job_of_an_unusable_data_centre_starts_elsewhere_once_that_is_stored() -> None:
    bench = a_bench()
    bench.add(a_job(), stored=False)
    (zone,) = store(bench)[JOB].zones
    worker = bench.scheduler.state.workers[f"{zone}-0"]
    worker.stale = True
    assert bench.plan_starts() == []
    assert len(store(bench)[JOB].zones) == 2
    assert len(bench.plan_starts()) == 2


def test_room_for_one_task_is_not_assigned_to_every_waiting_job() -> None:
    """Each further data centre of a job is another whose partition would delay it."""
    bench = a_bench()
    for worker in bench.scheduler.state.workers.values():
        worker.free_cpu = 0
    for number in range(9):
        bench.add(a_job(a_step(count=1), job=f"{number:016x}"), stored=False)
    first = {job: record.zones for job, record in store(bench).items()}
    bench.plan()
    bench.scheduler.state.workers["z1-0"].free_cpu = 1000
    bench.plan()
    widened = [
        job for job, record in store(bench).items() if record.zones != first[job]
    ]
    assert len(widened) <= 1


def _busy(workers: list[WorkerState]) -> list[WorkerState]:
    return [worker for worker in workers if worker.tasks]


@given(st.integers(0, 10_000))
def test_nothing_starts_in_a_data_centre_that_is_not_stored(seed: int) -> None:
    """In any order of events, the stored record names a data centre before a start."""
    rng = random.Random(seed)
    bench = a_bench(workers=rng.randint(1, 2))
    log: dict[str, set[str]] = {}
    appending: dict[str, Progress] = {}
    for number in range(40):
        event = rng.randrange(5)
        if event == 0:
            step = a_step(count=rng.randint(1, 9), cpu=rng.choice([1000, 3000]))
            bench.add(a_job(step, job=f"{number:016x}"), stored=False)
        elif event == 1 and not appending:
            appending = dict(bench.scheduler.take_dirty(bench.now, bench.now))
        elif event == 2:
            for job, record in appending.items():
                log[job] = set(record.zones)
            bench.scheduler.mark_stored(appending)
            appending = {}
        elif event == 3:
            for worker in _busy(list(bench.scheduler.state.workers.values()))[:1]:
                bench.end(next(iter(worker.tasks.values())), ENDED_DONE)
        else:
            worker = rng.choice(list(bench.scheduler.state.workers.values()))
            worker.stale = not worker.stale
        bench.now += 0.01
        for start in bench.plan_starts():
            zone = bench.scheduler.state.workers[start.worker].zone
            assert zone in log[start.task.step.job.record.id]


def test_ended_job_has_no_assigned_work() -> None:
    """Otherwise jobs go to the data centre with the least work since the start."""
    bench = a_bench()
    zone_chooser = bench.scheduler.intake.zone_chooser
    for number in range(5):
        bench.add(a_job(a_step(count=2), job=f"{number:016x}"), stored=False)
    store(bench)
    assert sum(zone_chooser._assigned_work.values()) > 0
    for start in bench.plan_starts():
        bench.end(start.task, ENDED_DONE)
    store(bench)
    assert round(sum(zone_chooser._assigned_work.values()), 6) == 0
    assert zone_chooser._work_by_job == {}


def test_a_filling_step_may_start_on_a_full_worker_of_another_data_centre() -> None:
    """A filling task reserves no processors, so a full worker has room for it."""
    bench = a_bench()
    bench.add(a_job(a_step(fills=True)), stored=False)
    (zone,) = store(bench)[JOB].zones
    for worker in bench.scheduler.state.workers.values():
        worker.free_cpu = 0
    bench.scheduler.state.workers[f"{zone}-0"].stale = True
    bench.plan()
    assert len(store(bench)[JOB].zones) == 2
    assert len(bench.plan_starts()) == 2


def test_huge_job_leaves_the_assigned_work_of_others() -> None:
    """Guard against data centres whose assigned work is lost by rounding."""
    bench = a_bench()
    bench.add(a_job(a_step(count=4)), stored=False)
    work = dict(bench.scheduler._zone_chooser._assigned_work)
    huge = "00000000000000ff"
    bench.add(a_job(a_step(count=100_000, cpu=2**53), job=huge), stored=False)
    bench.scheduler.cancel_job(huge)
    bench.store()
    left = bench.scheduler._zone_chooser._assigned_work
    assert {key: left[key] for key in work} == pytest.approx(work)
