"""Test which tasks start, where, and in which order."""

from __future__ import annotations

from collections import Counter

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.commands import RequestAdvice, Start, Stop
from mustardward.components.scheduling.const import MISSING_GRACE_SECONDS
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.platform.models import Room
from mustardward.platform.workers import REFUSED_ROOM, REFUSED_TICKET

from .builders import ADVICE, POOL, SchedulerBench, a_job, a_step, an_entry

OTHER = "00000000000000bb"
THIRD = "00000000000000cc"


def test_a_step_waits_for_the_steps_before_it() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2), a_step(count=1, after=[0])))
    starts = bench.plan_starts()
    assert [s.task.step.number for s in starts] == [0, 0]
    bench.end(starts[0].task, "done")
    assert bench.plan_starts() == []
    bench.end(starts[1].task, "done")
    assert [s.task.step.number for s in bench.plan_starts()] == [1]


def test_a_job_is_done_once_all_its_tasks_are() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    (start,) = bench.plan_starts()
    bench.end(start.task, "done")
    ((_, progress),) = bench.scheduler.take_dirty(bench.now, bench.now)
    assert progress.state is JobState.DONE


def test_no_worker_gets_more_than_its_room() -> None:
    bench = SchedulerBench()
    worker = bench.worker("w1", capacity=Room(cpu=2500, mem_mb=8000))
    bench.add(a_job(a_step(count=5, cpu=1000)))
    assert len(bench.plan_starts()) == 2
    assert worker.free_cpu == 500


def test_a_run_being_stopped_still_uses_its_room() -> None:
    """Guards against overcommitting a worker that does not check its own room.

    A stop frees room once the worker lists the run as ended, not when it is issued.
    """
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.add(a_job(a_step(count=1)))
    (start,) = bench.plan_starts()
    bench.scheduler.cancel_job(start.task.name.job)
    bench.add(a_job(a_step(count=1), job=OTHER))
    assert [c for c in bench.plan() if isinstance(c, Start)] == []
    bench.end(start.task, "stopped")
    assert len(bench.plan_starts()) == 1


def test_a_step_that_fills_takes_no_counted_processor() -> None:
    bench = SchedulerBench()
    worker = bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.add(a_job(a_step(count=2, cpu=4000, fills=True, long_running=True)))
    assert len(bench.plan_starts()) == 2
    assert worker.free_cpu == 1000


def test_required_label_and_limit_per_worker_are_respected() -> None:
    bench = SchedulerBench()
    bench.worker("w1", labels=["a", "r1"])
    bench.worker("w2", labels=["b", "r1"])
    step = a_step(count=3, required_label="b", max_per_server=2)
    bench.add(a_job(step))
    assert [s.worker for s in bench.plan_starts()] == ["w2", "w2"]


def test_tasks_go_to_the_rack_of_their_data_while_it_has_room() -> None:
    bench = SchedulerBench()
    bench.worker("w1", labels=["a", "r1"])
    bench.worker("w2", labels=["a", "r2"], capacity=Room(cpu=1000, mem_mb=999))
    bench.add(a_job(a_step(count=2, data_rack="r2")))
    assert sorted(s.worker for s in bench.plan_starts()) == ["w1", "w2"]


def test_workers_of_other_pools_get_nothing() -> None:
    bench = SchedulerBench()
    bench.worker("w1", service="pool-b")
    bench.add(a_job())
    assert bench.plan_starts() == []


def test_a_draining_or_leaving_worker_gets_nothing() -> None:
    bench = SchedulerBench()
    bench.worker("w1", state="draining", remaining_ms=2000)
    bench.worker("w2")
    bench.scheduler.set_cordoned("w2", True, bench.now)
    bench.add(a_job())
    assert bench.plan_starts() == []


def test_a_gang_starts_as_a_whole_under_one_run_or_not_at_all() -> None:
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=2000, mem_mb=8000))
    bench.add(a_job(a_step(count=3, gang=True)))
    assert bench.plan_starts() == []
    bench.worker("w2", capacity=Room(cpu=1000, mem_mb=8000))
    starts = bench.plan_starts()
    assert len(starts) == 3
    assert len({start.run for start in starts}) == 1


def test_a_gang_whose_member_was_refused_is_stopped() -> None:
    """Guards against gang members that wait for a rejected one and then end alone."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, gang=True)))
    first, second = [c for c in bench.plan() if isinstance(c, Start)]
    bench.accept(first)
    bench.scheduler.reports.start_answered(
        second.task, second.run, REFUSED_ROOM, bench.now
    )
    stops = [c for c in bench.plan() if isinstance(c, Stop)]
    assert [stop.task for stop in stops] == [first.task]


def test_one_member_that_is_done_ends_its_gang_as_done() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=2, gang=True)))
    starts = bench.plan_starts()
    bench.end(starts[0].task, "done")
    assert starts[0].task.step.job.state is JobState.DONE


def test_occurrences_start_at_their_times_and_never_before() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    job = a_job(a_step(count=1), times=2, start_at_ms=1_001_000.0, interval_ms=2000.0)
    bench.add(job)
    assert bench.plan_starts() == []
    bench.now = 1000.99
    assert bench.plan_starts() == []
    bench.now = 1001.1
    assert [s.task.step.occurrence for s in bench.plan_starts()] == [0]
    bench.now = 1003.1
    assert [s.task.step.occurrence for s in bench.plan_starts()] == [1]


def test_long_running_tasks_spread_and_come_first() -> None:
    bench = SchedulerBench()
    for name in ("w1", "w2"):
        bench.worker(name, capacity=Room(cpu=1000, mem_mb=8000))
    bench.add(a_job(a_step(count=2)))
    bench.add(a_job(a_step(count=2, long_running=True), job=OTHER))
    starts = bench.plan_starts()
    assert {s.task.name.job for s in starts} == {OTHER}
    assert sorted(s.worker for s in starts) == ["w1", "w2"]


def starts_by_worker(bench: SchedulerBench) -> dict[str, int]:
    """Plan, and count the starts that each worker gets."""
    return dict(Counter(start.worker for start in bench.plan_starts()))


def test_long_running_tasks_share_workers_up_to_what_may_be_missing() -> None:
    """Guards against pools whose idle workers can't be lent to others.

    If long-running tasks are spread over all workers of idle pools, none of these can
    be lent to a pool whose demand peaks at four times its mean.
    """
    bench = SchedulerBench()
    for number in range(8):
        bench.worker(f"w{number}")
    bench.add(a_job(a_step(count=8, long_running=True, may_miss=3)))
    assert sorted(starts_by_worker(bench).values()) == [2, 3, 3]


def test_a_worker_whose_entry_comes_back_is_used_again() -> None:
    """Guards against excluding a worker forever after its entry was missing.

    The entries of a partitioned data centre expire and are back once it heals. Its
    worker must be used again: a step that allows one task per worker may have no other,
    and its long-running task would not run, for 11 s in one case, though there is room
    for it twice over.
    """
    bench = SchedulerBench()
    bench.worker("w1")
    bench.scheduler.mark_worker_missing("w1", bench.now)
    bench.now += MISSING_GRACE_SECONDS + 0.1
    bench.add(a_job(a_step(count=1, long_running=True, max_per_server=1)))
    assert bench.plan_starts() == []
    bench.scheduler.update_worker("w1", an_entry(), bench.now)
    assert len(bench.plan_starts()) == 1
    bench.now += 1.0
    assert bench.plan_stops() == []


def test_long_running_tasks_with_a_target_spread() -> None:
    bench = SchedulerBench()
    for number in range(3):
        bench.worker(f"w{number}")
    step = a_step(count=3, long_running=True, may_miss=3, target_ms=50)
    bench.add(a_job(step))
    assert len(starts_by_worker(bench)) == 3


def test_long_running_tasks_go_where_maintenance_is_done() -> None:
    bench = SchedulerBench()
    for number in range(4):
        bench.worker(f"w{number}")
    bench.scheduler.set_maintenance_due({"w0", "w1", "w2"})
    bench.add(a_job(a_step(count=4, long_running=True, may_miss=2)))
    assert starts_by_worker(bench)["w3"] == 2


def test_a_long_running_task_starts_again_however_it_ended() -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, long_running=True)))
    for how in ("failed", "failed", "failed", "failed", "lapsed"):
        (start,) = bench.plan_starts()
        bench.end(start.task, how)
    assert len(bench.plan_starts()) == 1


def test_a_long_running_task_gets_the_next_room_however_much_else_waits() -> None:
    """Guards against a long-running task starved by short tasks that fill each gap.

    The pool is full of short tasks, and the long-running task needs a whole worker.
    """
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=2000, mem_mb=8000))
    bench.add(a_job(a_step(count=20)))
    first, second = bench.plan_starts()
    bench.add(a_job(a_step(count=1, cpu=2000, long_running=True), job=OTHER))
    bench.end(first.task, "done")
    assert bench.plan_starts() == []
    bench.end(second.task, "done")
    (start,) = bench.plan_starts()
    assert start.task.name.job == OTHER


def test_jobs_that_can_be_in_time_go_before_late_ones() -> None:
    """Guards against making all jobs late in an overload of five times the capacity.

    The oldest job is late already. In order of arrival every job would be late.
    """
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, target_seconds=1.0))
    worker = bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.scheduler.set_cordoned("w1", True, bench.now)
    bench.add(a_job(a_step(count=1), job=OTHER, accepted_at=bench.now))
    bench.now += 5.0
    bench.add(a_job(a_step(count=1), job=THIRD, accepted_at=bench.now))
    bench.scheduler.set_cordoned(worker.id, False, bench.now)
    (start,) = bench.plan_starts()
    assert start.task.name.job == THIRD


def starts_in_shortage(bench: SchedulerBench, cores: int) -> list[str]:
    """Return the job of each start, of a large urgent job and five small ones."""
    bench.worker("w1", capacity=Room(cpu=cores * 1000, mem_mb=8000))
    large = a_step(count=cores, cpu=1000, estimate_ms=2000)
    bench.add(a_job(large, job=OTHER, accepted_at=bench.now))
    bench.now += 0.5
    for number in range(5):
        small = a_step(count=2, cpu=1000, estimate_ms=2000)
        bench.add(a_job(small, job=f"{number:016x}", accepted_at=bench.now))
    return [start.task.name.job for start in bench.plan_starts()]


def test_the_most_urgent_goes_first_while_all_can_be_in_time() -> None:
    """The load is one large job and five small ones, with instances being started."""
    bench = SchedulerBench()
    bench.scheduler.state.incoming_cpu[POOL] = 40_000
    assert set(starts_in_shortage(bench, 10)) == {OTHER}


def test_the_smallest_go_first_when_not_all_can_be_in_time() -> None:
    """Guards against a large job that makes all others late in a demand peak.

    The load far exceeds the pool, and no instances are being started. Ordered by slack,
    the large job would occupy the whole pool.
    """
    bench = SchedulerBench()
    started = starts_in_shortage(bench, 10)
    assert len(started) == 10
    assert OTHER not in started


def test_a_worker_that_fails_its_runs_is_quarantined() -> None:
    """Guards against a failing worker that is always free and attracts all work."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.worker("w3")
    for number in range(3):
        name = f"{number:016d}"
        bench.add(a_job(a_step(count=1), job=name))
        (start,) = bench.plan_starts()
        task = start.task
        if start.worker != "w1":
            bench.scheduler.state.workers["w1"].failed_jobs.add(name)
            bench.end(task, "done")
            continue
        bench.end(task, "failed")
        bench.plan_starts()
    bench.add(a_job(a_step(count=1), job=OTHER))
    state = bench.scheduler.state
    worker = state.workers["w1"]
    worker.failed_jobs.update({"x", "y"})
    task = bench.task(0, job=OTHER)
    bench.scheduler.health.record_failure(worker, task, bench.now)
    assert worker.quarantined_until > bench.now
    assert all(s.worker != "w1" for s in bench.plan_starts())


def test_most_of_a_pool_is_never_in_quarantine() -> None:
    bench = SchedulerBench()
    workers = [bench.worker(f"w{number}") for number in range(3)]
    bench.add(a_job(a_step(count=1)))
    for worker in workers:
        worker.failed_jobs.update({"x", "y", "z"})
        bench.scheduler.health.record_failure(worker, bench.task(0), bench.now)
    quarantined = [w for w in workers if w.quarantined_until > bench.now]
    assert len(quarantined) == 1


def test_a_queue_with_advice_requests_it_before_a_start() -> None:
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, advice=ADVICE))
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=1)))
    request = bench.plan_request()
    assert request is not None
    assert set(request.workers) == {"w1", "w2"}
    bench.advise(request, "w2")
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert start.worker == "w2"
    bench.scheduler.reports.start_answered(
        start.task, start.run, REFUSED_TICKET, bench.now
    )
    assert start.task.phase is Phase.WAITING
    assert isinstance(bench.plan()[0], RequestAdvice)


def test_a_worker_with_an_unreadable_entry_gets_no_tasks_and_keeps_its_runs() -> None:
    """Guards against using an invalid worker, and against running its tasks twice.

    A valid entry is followed by an unreadable one while tasks run. The older entry must
    not stay in use, and the tasks must not count as ended.
    """
    bench = SchedulerBench()
    worker = bench.worker("w-1")
    bench.add(a_job(a_step(count=1), a_step(count=1)))
    assert len(bench.plan_starts()) == 2
    bench.scheduler.mark_worker_absent("w-1")
    bench.add(a_job(job="00000000000000bb"))
    assert bench.plan_starts() == []
    assert len(worker.tasks) == 2 and worker.free_cpu == 6000
    bench.scheduler.update_worker("w-1", an_entry(), bench.now)
    assert {start.worker for start in bench.plan_starts()} == {"w-1"}


def test_a_worker_that_an_entry_moves_to_another_pool_gets_nothing() -> None:
    """Guards against an entry that someone else wrote; a worker keeps its pool."""
    bench = SchedulerBench()
    bench.worker("w-1")
    bench.scheduler.update_worker("w-1", an_entry(service="elsewhere"), bench.now)
    bench.add(a_job())
    assert bench.plan_starts() == []


def test_a_jobs_tasks_run_on_one_rack_while_it_has_room() -> None:
    """Guards against a lost rack or data centre that makes nearly all jobs late.

    If tasks are placed one by one where the least room is left, most jobs have a task
    in any one data centre.
    """
    bench = SchedulerBench()
    for number in range(6):
        rack = f"r{number % 3}"
        cores = 4000 + 1000 * number
        bench.worker(
            f"w{number}",
            zone=f"z{number % 3}",
            labels=["a", rack],
            capacity=Room(cpu=cores, mem_mb=8000),
        )
    jobs = [f"{number:016x}" for number in range(3)]
    for job in jobs:
        bench.add(a_job(a_step(count=6), job=job))
    starts = bench.plan_starts()
    for job in jobs:
        zones = {int(s.worker[1:]) % 3 for s in starts if s.task.name.job == job}
        assert len(zones) == 1


def test_a_job_too_large_for_its_home_rack_also_runs_elsewhere() -> None:
    bench = SchedulerBench()
    bench.worker("w0", zone="z0", labels=["a", "r0"], capacity=Room(3000, 8000))
    bench.worker("w1", zone="z0", labels=["a", "r1"], capacity=Room(2000, 8000))
    bench.worker("w2", zone="z1", labels=["a", "r2"], capacity=Room(2000, 8000))
    bench.add(a_job(a_step(count=4)))
    assert starts_by_worker(bench) == {"w0": 3, "w1": 1}


def test_a_gang_that_finds_no_room_takes_no_run_number() -> None:
    """Guards against a wait that uses up run numbers into those of the next owner."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=9, gang=True)))
    first = bench.scheduler.state.next_run_number()
    for _ in range(5):
        assert bench.plan_starts() == []
    assert bench.scheduler.state.next_run_number() == first + 1
