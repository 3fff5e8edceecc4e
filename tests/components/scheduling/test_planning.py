"""Test what starts, where, and in which order."""

from __future__ import annotations

from collections import Counter

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.commands import RequestAdvice, Start, Stop
from mustardward.components.scheduling.const import MISSING_GRACE_SECONDS
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.platform.models import Room
from mustardward.platform.workers import REFUSED_ROOM, REFUSED_TICKET

from .builders import POOL, SchedulerBench, a_job, a_step, an_entry

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


def test_what_is_being_stopped_still_takes_its_room() -> None:
    """A stop frees room once its end is listed, not when it is ordered.

    Symptom: a worker that does not guard its room was given more than it has.
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
    bench.scheduler.set_leaving("w2", True, bench.now)
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
    """Members do not wait for one that was refused.

    Symptom: members of a gang ended alone after they had waited for the others.
    """
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


def test_occurrences_begin_at_their_times_and_never_before() -> None:
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
    """Workers without a lasting task can be lent while others' demand has its turn.

    Symptom: a pool that asked for four times its mean got nothing from pools that stood
    idle. Sequence: each of their workers held one lasting task. Cause: lasting tasks
    were spread as far as workers went.
    """
    bench = SchedulerBench()
    for number in range(8):
        bench.worker(f"w{number}")
    bench.add(a_job(a_step(count=8, long_running=True, may_miss=3)))
    assert sorted(starts_by_worker(bench).values()) == [2, 3, 3]


def test_a_worker_whose_entry_comes_back_is_used_again() -> None:
    """An entry that stays away for a while empties its worker only until it is back.

    Symptom: a lasting task did not run for 11 s, though there was room for it twice
    over. Sequence: a data centre was cut off, and its workers' entries lapsed; the cut
    healed and they came back; its worker was emptied, and never given a task again. The
    step allows one task on a worker, so no other worker could take it. Cause: a worker
    whose entry was missing was marked as leaving, and nothing took that back.
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
    """A lasting task is not starved by shorter ones that fit each small hole.

    Load: a pool full of short tasks, and one lasting task that needs half a worker.
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


def test_what_can_still_be_in_time_goes_before_what_cannot() -> None:
    """Load: five times what a pool holds; the oldest work is late already.

    In the order of arrival every job would be late; here only the oldest is.
    """
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, target_seconds=1.0))
    worker = bench.worker("w1", capacity=Room(cpu=1000, mem_mb=8000))
    bench.scheduler.set_leaving("w1", True, bench.now)
    bench.add(a_job(a_step(count=1), job=OTHER, accepted_at=bench.now))
    bench.now += 5.0
    bench.add(a_job(a_step(count=1), job=THIRD, accepted_at=bench.now))
    bench.scheduler.set_leaving(worker.id, False, bench.now)
    (start,) = bench.plan_starts()
    assert start.task.name.job == THIRD


def starts_in_shortage(bench: SchedulerBench, cores: int) -> list[str]:
    """Return the jobs that start, of a large urgent one and five small ones."""
    bench.worker("w1", capacity=Room(cpu=cores * 1000, mem_mb=8000))
    large = a_step(count=cores, cpu=1000, estimate_ms=2000)
    bench.add(a_job(large, job=OTHER, accepted_at=bench.now))
    bench.now += 0.5
    for number in range(5):
        small = a_step(count=2, cpu=1000, estimate_ms=2000)
        bench.add(a_job(small, job=f"{number:016x}", accepted_at=bench.now))
    return [start.task.name.job for start in bench.plan_starts()]


def test_the_most_urgent_goes_first_while_all_can_be_in_time() -> None:
    """Load: one large job and five small ones, and instances on their way."""
    bench = SchedulerBench()
    bench.scheduler.state.incoming_cpu[POOL] = 40_000
    assert set(starts_in_shortage(bench, 10)) == {OTHER}


def test_the_smallest_go_first_when_not_all_can_be_in_time() -> None:
    """Load: a turn asks for far more than its pool can do, and nothing comes.

    In the order of slack the large job would take the whole pool, and all others would
    be late; now it alone is.
    """
    bench = SchedulerBench()
    started = starts_in_shortage(bench, 10)
    assert len(started) == 10
    assert OTHER not in started


def test_a_worker_that_fails_what_others_do_gets_nothing_for_a_while() -> None:
    """A worker that fails all it starts looks free, and must not draw all work."""
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
    held = [w for w in workers if w.quarantined_until > bench.now]
    assert len(held) == 1


def test_a_queue_with_advice_asks_before_it_starts() -> None:
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, advice=True))
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=1)))
    (ask,) = bench.plan()
    assert isinstance(ask, RequestAdvice)
    assert set(ask.workers) == {"w1", "w2"}
    bench.scheduler.set_tickets(ask.step, {"w2": "t"}, bench.now + 3.0)
    (start,) = [c for c in bench.plan() if isinstance(c, Start)]
    assert start.worker == "w2"
    bench.scheduler.reports.start_answered(
        start.task, start.run, REFUSED_TICKET, bench.now
    )
    assert start.task.phase is Phase.WAITING
    assert isinstance(bench.plan()[0], RequestAdvice)


def test_a_worker_whose_entry_cant_be_read_gets_nothing_and_keeps_its_room() -> None:
    """Use no worker that no good entry names, and account for what runs there.

    Symptom: tasks go to a worker that another writer's record made up, or run twice.
    Sequence: a good entry is followed by one that can't be read while a task runs.
    Cause: the older entry stays in use, or the task counts as ended.
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
    """An incarnation never changes its pool, so another writer has written that."""
    bench = SchedulerBench()
    bench.worker("w-1")
    bench.scheduler.update_worker("w-1", an_entry(service="elsewhere"), bench.now)
    bench.add(a_job())
    assert bench.plan_starts() == []


def test_a_jobs_tasks_stand_on_one_rack_while_it_has_room() -> None:
    """Let the loss of a rack or a data centre take few jobs.

    Symptom: a data centre is cut off, and nearly all jobs that run are late. Sequence:
    each of them has one of its tasks there. Cause: tasks were placed one by one, where
    least room was left.
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


def test_a_job_that_its_rack_has_no_room_for_goes_elsewhere_too() -> None:
    bench = SchedulerBench()
    bench.worker("w0", zone="z0", labels=["a", "r0"], capacity=Room(3000, 8000))
    bench.worker("w1", zone="z0", labels=["a", "r1"], capacity=Room(2000, 8000))
    bench.worker("w2", zone="z1", labels=["a", "r2"], capacity=Room(2000, 8000))
    bench.add(a_job(a_step(count=4)))
    assert starts_by_worker(bench) == {"w0": 3, "w1": 1}


def test_a_gang_that_finds_no_room_takes_no_run_number() -> None:
    """Guards against a wait that uses run numbers up, into those of the next owner."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=9, gang=True)))
    first = bench.scheduler.state.next_run_number()
    for _ in range(5):
        assert bench.plan_starts() == []
    assert bench.scheduler.state.next_run_number() == first + 1
