"""Test that no work waits longer than the reason for its wait lasts."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import pytest

from mustardward.components.ledger.bitset import pack_indices
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import (
    JobState,
    Progress,
    StepProgress,
    TaskProgress,
)
from mustardward.components.scheduling.advice import add_tickets
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.const import MAX_CRASHES
from mustardward.components.scheduling.models import Phase, QueuePolicy, Task
from mustardward.platform.models import ENDED_DONE, Room
from mustardward.platform.workers import EndedTask, RunningTask, TaskName

from .builders import ADVICE, JOB, POOL, SchedulerBench, a_job, a_row, a_step

OTHER = "00000000000000bb"
THIRD = "00000000000000cc"
TICK_SECONDS = 0.1
RECOVERY_SECONDS = 10.0

MAX_WAIT_SECONDS = 6.0
"""Time after its last run by which a long-running task has to run if there is room."""


@dataclass(slots=True)
class Simulation:
    """Advance a bench in time: workers run tasks and report, and all is stored.

    :param seconds: how long each job's tasks run; others run forever.
    """

    bench: SchedulerBench
    seconds: dict[str, float] = field(default_factory=dict)
    started: list[Start] = field(default_factory=list)

    def run(self, seconds: float) -> list[str]:
        """Simulate some seconds; return the job of each start."""
        before = len(self.started)
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()
        return [start.task.name.job for start in self.started[before:]]

    def tick(self) -> None:
        """Plan, and advance by a tenth of a second."""
        bench = self.bench
        bench.store()
        self.started += bench.plan_starts()
        bench.now += TICK_SECONDS
        bench.clock_ms += 1000 * TICK_SECONDS
        for worker in bench.scheduler.state.workers.values():
            running = [t for t in worker.tasks.values() if not self._has_ended(t)]
            ended = [t for t in worker.tasks.values() if self._has_ended(t)]
            bench.hold(
                worker.id,
                [a_row(t, self._percent(t)) for t in running],
                [EndedTask(1, t.name, t.run, self._outcome(t), "") for t in ended],
            )

    def _has_ended(self, task: Task) -> bool:
        if task.phase is Phase.STOPPING:
            return True
        run_seconds = self.seconds.get(task.name.job, 1e9)
        return self.bench.now - task.started_at >= run_seconds

    def _outcome(self, task: Task) -> str:
        return "stopped" if task.phase is Phase.STOPPING else ENDED_DONE

    def _percent(self, task: Task) -> float:
        if task.step.spec.long_running:
            return 100.0
        return min(99.0, self.bench.now - task.started_at)


def run_beside_short_tasks(
    simulation: Simulation, job: LedgerJob, seconds: float = 20.0, every: int = 3
) -> set[str]:
    """Submit a job while a short task arrives every ``every`` ticks.

    :returns: the jobs of which a task started.
    """
    for number in range(round(seconds / TICK_SECONDS)):
        if number == 20:
            simulation.bench.add(job)
        if number % every == 0:
            name = f"f{number:015x}"
            simulation.seconds[name] = 1.0
            simulation.bench.add(a_job(a_step(count=1), job=name))
        simulation.tick()
    return {start.task.name.job for start in simulation.started}


def suspected_job(crashes: int = 2, job: str = JOB, **changes: object) -> LedgerJob:
    """Return a job under whose first task workers have crashed."""
    found = a_job(a_step(**{"count": 1, **changes}), job=job)
    marks = tuple(f"old-{number}" for number in range(crashes))
    task = TaskProgress(0, 0, 0, (), "", marks)
    found.progress = Progress(JobState.RUNNING, tasks=[task])
    return found


def test_a_long_running_task_that_waits_for_its_quota_reserves_no_worker() -> None:
    """Guards against a pool that is blocked by an organisation's quota."""
    bench = SchedulerBench(quotas={"team": Room(cpu=1000)})
    bench.worker("w1")
    long_running = a_step(count=3, long_running=True)
    bench.add(a_job(long_running, job=OTHER, organisation="team"))
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [OTHER, JOB, JOB]


def test_a_long_running_task_that_waits_for_advice_reserves_no_worker() -> None:
    """Guards against a pool that is blocked until advice arrives."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True), job=OTHER))
    job = bench.scheduler.state.jobs[OTHER]
    job.policy = QueuePolicy(service=POOL, advice=ADVICE)
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [JOB, JOB]


def test_a_long_running_task_whose_data_is_elsewhere_runs_where_room_is() -> None:
    """Guards against a task that waits for room near its data."""
    bench = SchedulerBench()
    bench.worker("w1", labels=["a", "r1"])
    bench.add(a_job(a_step(count=1, long_running=True, data_rack="r2"), job=OTHER))
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [OTHER, JOB, JOB]


def test_a_long_running_gang_that_finds_no_room_reserves_no_worker() -> None:
    """Guards against a pool that is blocked by a gang that is too large for it."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=9, gang=True, long_running=True), job=OTHER))
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [JOB, JOB]


def a_timed_job(*marks: StepProgress) -> LedgerJob:
    """Return a job that is due each second from 990 s on, with stored progress."""
    job = a_job(times=3, start_at_ms=990_000.0, interval_ms=1000.0)
    job.progress = Progress(JobState.RUNNING, list(marks))
    return job


KINDS = ({}, {"long_running": True}, {"gang": True, "count": 2})


@pytest.mark.parametrize("crashes", [1, 2, 3])
@pytest.mark.parametrize("kind", KINDS)
def test_a_suspected_job_starts_under_the_next_owner(
    kind: dict[str, object], crashes: int
) -> None:
    """Guards against an evaluation that only the previous owner could complete."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.worker("w2")
    bench.add(suspected_job(crashes, **kind))
    assert set(Simulation(bench).run(1.0)) == {JOB}


@pytest.mark.parametrize("kind", KINDS)
def test_a_job_with_too_many_crashes_is_given_up_by_the_next_owner(
    kind: dict[str, object],
) -> None:
    """Guards against a job that starts nothing and is not given up either."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.add(suspected_job(MAX_CRASHES, **kind))
    assert Simulation(bench).run(1.0) == []
    assert bench.stored[JOB].state is JobState.FAILED


UNSATISFIABLE = {
    "label": {"required_label": "nowhere"},
    "processor": {"cpu": 9000},
    "memory": {"mem_mb": 9000},
}


@pytest.mark.parametrize("reason", UNSATISFIABLE)
def test_a_long_running_task_that_no_worker_can_run_reserves_none(reason: str) -> None:
    """Guards against a pool that is blocked by a task that it can never run."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(
        a_job(a_step(count=1, long_running=True, **UNSATISFIABLE[reason]), job=OTHER)
    )
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [JOB, JOB]


def test_a_long_running_task_does_not_reserve_a_worker_that_advice_forbids() -> None:
    """Guards against a worker that is idle for a task that advice forbids there."""
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.worker("w2")
    long_running = a_step(count=2, long_running=True)
    bench.add(a_job(long_running, job=OTHER))
    job = bench.scheduler.state.jobs[OTHER]
    job.policy = QueuePolicy(service=POOL, advice=ADVICE)
    step = job.steps[(0, 0)]
    add_tickets(step, {"w1": "t"}, bench.now + 100.0)
    assert [start.worker for start in bench.plan_starts()] == ["w1"]
    bench.add(a_job())
    assert Simulation(bench).run(RECOVERY_SECONDS) == [JOB, JOB]


def test_long_running_task_reserves_a_worker_that_will_have_its_memory() -> None:
    """Guards against short tasks that fill each gap a long-running one waits for.

    The worker with the most free processors will not have enough memory for it.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    long_running = a_step(count=1, cpu=100, mem_mb=7000, long_running=True)
    bench.add(a_job(long_running))
    simulation = Simulation(bench)
    simulation.run(1.0)
    bench.worker("w2", capacity=Room(cpu=4000, mem_mb=8000))
    for number in range(200):
        name = f"f{number:015x}"
        simulation.seconds[name] = 1.0
        bench.add(a_job(a_step(count=1, mem_mb=2000), job=name))
        if number == 20:
            bench.add(a_job(long_running, job=OTHER))
        simulation.tick()
    assert bench.task(0, job=OTHER).phase is Phase.RUNNING


def test_waiting_long_running_steps_reserve_no_worker_that_is_at_its_limit() -> None:
    """Guards against a pool that is blocked by tasks at their limit per worker."""
    bench = SchedulerBench()
    for name in ("w1", "w2", "w3"):
        bench.worker(name)
    for number in range(3):
        long_running = a_step(count=6, cpu=500, long_running=True, max_per_server=1)
        bench.add(a_job(long_running, job=f"{number:016x}"))
    simulation = Simulation(bench)
    simulation.run(1.0)
    bench.add(a_job())
    assert simulation.run(RECOVERY_SECONDS) == [JOB, JOB]


def test_waiting_long_running_steps_share_the_reserved_worker() -> None:
    """Guards against reserving a worker per step though one has room for all."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=2, cpu=7500, estimate_ms=60_000), job=THIRD))
    simulation = Simulation(bench)
    simulation.run(1.0)
    for number in range(2):
        long_running = a_step(count=1, cpu=1000, long_running=True)
        bench.add(a_job(long_running, job=f"{number:016x}"))
    bench.add(a_job(a_step(count=1, cpu=500)))
    assert simulation.run(RECOVERY_SECONDS) == [JOB]


def reserved_workers(workers: int) -> Simulation:
    """Return workers that are reserved until tasks of 60 s end, with 4 cores free."""
    bench = SchedulerBench()
    simulation = Simulation(bench, {OTHER: 60.0})
    short = a_step(count=workers, cpu=4000, max_per_server=1, estimate_ms=60_000)
    for number in range(workers):
        bench.worker(f"w{number}")
    bench.add(a_job(short, job=OTHER))
    simulation.run(1.0)
    for number in range(workers):
        large = a_step(count=1, cpu=6000, long_running=True)
        bench.add(a_job(large, job=f"{number:016x}"))
    simulation.run(1.0)
    return simulation


@pytest.mark.parametrize("workers", [1, 2])
def test_a_long_running_task_uses_what_a_reservation_leaves(workers: int) -> None:
    """Guards against waiting beside a worker that a larger task waits for."""
    simulation = reserved_workers(workers)
    simulation.bench.add(a_job(a_step(count=3, cpu=1000, long_running=True)))
    started = simulation.run(MAX_WAIT_SECONDS)
    # The larger task has to fit once the short one has ended.
    assert started == [JOB] * min(3, 2 * workers)


def test_a_short_task_uses_what_a_reservation_leaves() -> None:
    """Guards against a job that waits beside free room for a task of another job."""
    simulation = reserved_workers(1)
    simulation.bench.add(a_job(a_step(count=1, cpu=1000)))
    assert JOB in simulation.run(RECOVERY_SECONDS)


def test_long_running_tasks_with_advice_use_what_a_reservation_leaves() -> None:
    simulation = reserved_workers(1)
    bench = simulation.bench
    policy = QueuePolicy(service=POOL, advice=ADVICE, target_seconds=1.0)
    bench.policy = policy
    bench.add(a_job(a_step(count=1, cpu=1000, long_running=True)))
    request = bench.plan_request()
    assert request is not None and request.step.job.record.id == JOB
    bench.advise(request, "w0")
    assert JOB in simulation.run(MAX_WAIT_SECONDS)


def test_a_larger_long_running_task_starts_once_the_short_one_has_ended() -> None:
    """Guards against smaller tasks that take the room that is reserved."""
    simulation = reserved_workers(1)
    simulation.bench.add(a_job(a_step(count=8, cpu=1000, long_running=True)))
    assert f"{0:016x}" in simulation.run(62.0)


def test_a_suspected_task_that_fits_no_worker_reserves_none() -> None:
    """Guards against a pool that is blocked for as long as its longest task runs."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(a_job(a_step(count=1, estimate_ms=60_000), job=OTHER))
    simulation.run(1.0)
    bench.add(suspected_job(required_label="nowhere"))
    bench.add(a_job(job=THIRD))
    assert simulation.run(RECOVERY_SECONDS) == [THIRD, THIRD]


def test_a_suspected_task_does_not_hold_a_pool_for_a_long_task() -> None:
    """Guards against blocking other jobs for as long as a long task runs."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(a_job(a_step(count=1, estimate_ms=60_000), job=OTHER))
    simulation.run(1.0)
    bench.add(suspected_job())
    bench.add(a_job(job=THIRD))
    assert simulation.run(RECOVERY_SECONDS)[-2:] == [THIRD, THIRD]


def test_a_suspected_task_does_not_hold_a_pool_for_a_run_over_its_estimate() -> None:
    """Guards against blocking other jobs for a run that exceeds its estimate."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(a_job(a_step(count=1, estimate_ms=1000), job=OTHER))
    simulation.run(0.5)
    bench.add(suspected_job())
    bench.add(a_job(job=THIRD))
    assert simulation.run(RECOVERY_SECONDS) == [THIRD, THIRD]


def test_a_suspected_gang_that_fits_no_pool_reserves_no_worker() -> None:
    """Guards against emptying a worker for a gang that the pool is too small for."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(a_job(a_step(count=1, estimate_ms=2000), job=OTHER))
    simulation.run(0.5)
    bench.add(suspected_job(count=9, gang=True))
    bench.add(a_job(job=THIRD))
    assert simulation.run(0.5) == [THIRD, THIRD]


def test_a_suspected_task_that_waits_for_its_quota_reserves_no_worker() -> None:
    """Guards against emptying a worker for a task that its quota holds back."""
    bench = SchedulerBench(quotas={"team": Room(cpu=1000)})
    bench.worker("w1")
    simulation = Simulation(bench)
    running = a_step(count=1, estimate_ms=2000)
    bench.add(a_job(running, job=OTHER, organisation="team"))
    simulation.run(0.5)
    job = suspected_job()
    job.record = msgspec.structs.replace(job.record, organisation="team")
    bench.add(job)
    bench.add(a_job(job=THIRD))
    assert simulation.run(0.5) == [THIRD, THIRD]


def test_a_suspected_gang_starts_within_its_quota() -> None:
    """Guards against a quota check that ignores members removed from the queue."""
    bench = SchedulerBench(quotas={"team": Room(cpu=1000)})
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=1), job=OTHER, organisation="team"))
    simulation = Simulation(bench, {OTHER: 2.0})
    simulation.run(0.5)
    job = suspected_job(count=2, gang=True)
    job.record = msgspec.structs.replace(job.record, organisation="team")
    bench.add(job)
    assert simulation.run(1.0) == []


def test_a_late_suspected_task_gets_a_worker_despite_work_in_time() -> None:
    """Guards against waiting as long as jobs that rank higher keep arriving."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    for number in range(200):
        if number == 20:
            bench.add(suspected_job(job=OTHER))
        if number % 3 == 0:
            name = f"f{number:015x}"
            simulation.seconds[name] = 1.0
            bench.add(a_job(a_step(count=1), job=name, accepted_at=bench.now))
        simulation.tick()
    assert OTHER in {start.task.name.job for start in simulation.started}


def test_a_suspected_long_running_task_that_fails_early_does_not_hold_its_worker() -> (
    None
):
    """Guards against a worker that is isolated forever for a task that always fails.

    A long-running suspect is cleared once it ran for a while, but this one always fails
    earlier.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(suspected_job(job=OTHER, long_running=True))
    bench.add(a_job())
    for _ in range(20):
        simulation.run(3.0)
        task = bench.task(0, job=OTHER)
        if task.worker is not None:
            bench.end(task, "failed")
    assert JOB in {start.task.name.job for start in simulation.started}


def test_a_suspected_task_starts_only_once_its_own_crash_is_in_the_log() -> None:
    """Guards against taking a record from before the crash for one that contains it."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(suspected_job(crashes=1))
    (start,) = bench.plan_starts()
    bench.scheduler.state.mark_dirty(start.task.step.job)
    in_flight = dict(bench.scheduler.take_dirty(bench.now, bench.now))
    bench.scheduler.state.end_run(start.task, bench.now)
    bench.scheduler.state.record_crash(start.task, "w1")
    bench.scheduler.mark_stored(in_flight)
    assert bench.plan_starts() == []
    bench.store()
    assert len(bench.plan_starts()) == 1


def test_an_occurrence_of_which_nothing_is_stored_runs_under_the_next_owner() -> None:
    """Guards against skipping an occurrence because a later one has started."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    simulation = Simulation(bench, {JOB: 1.0})
    bench.add(a_timed_job(StepProgress(1, 0, pack_indices([0]))))
    simulation.run(RECOVERY_SECONDS)
    runs = {(s.task.name.occurrence, s.task.index) for s in simulation.started}
    assert runs == {(0, 0), (0, 1), (1, 1), (2, 0), (2, 1)}


def test_an_end_of_an_occurrence_that_is_not_open_yet_counts() -> None:
    """Guards against dropping an end that its worker then lists no more."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.add(a_timed_job())
    name = TaskName(JOB, 0, 0, 0)
    bench.hold("w1", ended=[EndedTask(1, name, 5, ENDED_DONE, "")])
    simulation = Simulation(bench, {JOB: 1.0})
    simulation.run(RECOVERY_SECONDS)
    assert (0, 0) not in {
        (s.task.name.occurrence, s.task.index) for s in simulation.started
    }


def test_a_failed_run_of_an_occurrence_that_is_not_open_yet_counts() -> None:
    """Guards against more attempts than allowed because a failure was dropped."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.add(a_timed_job())
    ends = [EndedTask(n, TaskName(JOB, n, 0, 0), 5, "failed", "") for n in (2, 3)]
    bench.hold("w1", ended=ends)
    assert bench.task(0, occurrence=2).failed_runs == (5,)
    assert (3, 0) not in bench.scheduler.state.jobs[JOB].steps


def test_a_suspected_task_gets_a_worker_that_has_room_for_it() -> None:
    """Guards against waiting because the only empty worker is too small."""
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=900, mem_mb=8000))
    bench.worker("w2")
    job = suspected_job(job=OTHER, cpu=4000)
    assert OTHER in run_beside_short_tasks(Simulation(bench), job)


def test_a_suspected_gang_gets_the_workers_that_it_needs() -> None:
    """Guards against a gang that waits forever for a second empty worker."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    job = suspected_job(job=OTHER, count=2, cpu=5000, gang=True)
    assert OTHER in run_beside_short_tasks(Simulation(bench), job)


def test_a_suspected_task_gets_room_where_each_worker_has_a_long_running_task() -> None:
    """Guards against waiting as long as short tasks keep arriving."""
    bench = SchedulerBench()
    bench.worker("w1")
    simulation = Simulation(bench)
    bench.add(a_job(a_step(count=1, long_running=True), job=THIRD))
    simulation.run(6.0)
    assert OTHER in run_beside_short_tasks(simulation, suspected_job(job=OTHER))


def test_a_long_running_suspect_waits_for_no_worker_of_its_own_in_the_end() -> None:
    """Guards against waiting with room as long as each worker has a long short task."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    simulation = Simulation(bench)
    spread = a_step(count=2, estimate_ms=60_000, max_per_server=1)
    bench.add(a_job(spread, job=OTHER))
    simulation.run(1.0)
    bench.add(suspected_job(long_running=True))
    assert JOB in simulation.run(MAX_WAIT_SECONDS)


def test_a_long_running_suspect_runs_while_short_tasks_keep_arriving() -> None:
    """Guards against waiting with room as long as no worker is about to be empty."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    simulation = Simulation(bench)
    for number in range(30):
        name = f"f{number:015x}"
        simulation.seconds[name] = 6.0
        step = a_step(count=2, max_per_server=1, estimate_ms=6000)
        bench.add(a_job(step, job=name))
        if number == 15:
            bench.add(suspected_job(long_running=True))
        simulation.run(1.0)
    (start,) = [s for s in simulation.started if s.task.name.job == JOB]
    assert start.task.started_at - start.task.ready_since <= MAX_WAIT_SECONDS


def two_isolating_workers() -> Simulation:
    """Return two workers, each with room and a short suspect of another job."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    for job in (OTHER, THIRD):
        bench.add(suspected_job(job=job, estimate_ms=30_000))
    simulation = Simulation(bench)
    simulation.run(1.0)
    return simulation


@pytest.mark.parametrize("crashes", [0, 2])
def test_a_long_running_task_runs_where_each_worker_isolates_a_task(
    crashes: int,
) -> None:
    """Guards against waiting with room as long as the tasks of other jobs last."""
    simulation = two_isolating_workers()
    simulation.bench.add(suspected_job(crashes, long_running=True))
    assert JOB in simulation.run(MAX_WAIT_SECONDS)


def test_long_running_suspects_do_not_wait_for_each_other_in_turn() -> None:
    """Guards against a wait of 5 s for each suspect before in a small pool."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    jobs = [f"{number:016x}" for number in range(1, 6)]
    for job in jobs:
        bench.add(suspected_job(job=job, long_running=True))
    assert set(Simulation(bench).run(MAX_WAIT_SECONDS)) == set(jobs)


def test_the_rest_of_an_occurrence_runs_after_the_next_owner_adopts_a_run() -> None:
    """Guards against an occurrence whose steps are created but never opened."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    bench.add(
        a_timed_job(
            StepProgress(1, 0, pack_indices([0])), StepProgress(2, 0, pack_indices([0]))
        )
    )
    bench.hold("w1", [RunningTask(TaskName(JOB, 0, 0, 0), 5, "", 10.0, 0.0)])
    Simulation(bench, {JOB: 1.0}).run(1.0)
    assert bench.task(1, occurrence=0).phase is not Phase.WAITING


def test_a_timed_job_is_not_done_while_an_occurrence_has_not_run() -> None:
    """Guards against a job that counts as done once its last occurrences are."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    done = pack_indices([0, 1])
    bench.add(a_timed_job(StepProgress(1, 0, done), StepProgress(2, 0, done)))
    assert bench.scheduler.state.jobs[JOB].state is JobState.RUNNING


def test_a_job_that_is_found_running_is_stored_as_running() -> None:
    """Guards against showing a job as queued to callers while it runs."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    job = a_job(a_step(count=2, long_running=True))
    job.progress = Progress(JobState.QUEUED)
    bench.add(job)
    rows = [RunningTask(TaskName(JOB, 0, 0, n), 5 + n, "", 50.0, 0.0) for n in (0, 1)]
    bench.hold("w1", rows)
    Simulation(bench).run(5.0)
    assert bench.stored.get(JOB, job.progress).state is JobState.RUNNING


def test_a_job_of_which_an_end_is_found_is_stored_as_running() -> None:
    """Guards against showing a job as queued to callers though a task is done."""
    bench = SchedulerBench(epoch=2)
    bench.worker("w1")
    job = a_job(a_step(count=2, cpu=9000))
    job.progress = Progress(JobState.QUEUED)
    bench.add(job)
    bench.hold("w1", ended=[EndedTask(1, TaskName(JOB, 0, 0, 0), 5, ENDED_DONE, "")])
    bench.store()
    assert bench.stored[JOB].state is JobState.RUNNING
