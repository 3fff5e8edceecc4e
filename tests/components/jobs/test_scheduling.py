"""Test jobs on fake workers under failures of workers, entry nodes and the log."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.lowlevel
import pytest

from mustardward.components.jobs.const import LEASE_SECONDS
from mustardward.components.jobs.errors import JobQuotaError, JobUnplaceableError
from mustardward.components.jobs.models import Submission
from mustardward.standin.protocol.models import TaskReport, TaskState
from mustardward.state.models.maintenance import Claim, Wave
from tests.fakes.jobs_world import Entry, JobsWorld

pytestmark = pytest.mark.anyio


def status(entry: Entry, job_id: str) -> str:
    return entry.service.status(job_id).unwrap().status


def worker_of(entry: Entry, job_id: str) -> str:
    return entry.service.status(job_id).unwrap().worker


async def test_a_job_runs_to_its_result() -> None:
    world = JobsWorld()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1")
    await world.async_run(3)
    assert status(entry, job_id) == "running"
    await world.async_run(40)
    view = entry.service.status(job_id).unwrap()
    assert (view.status, view.result, view.attempts) == ("done", b"done", 1)
    assert entry.attempt_manager.attempts == {}


async def test_a_submission_repeated_after_a_lost_reply_is_accepted_once() -> None:
    world = JobsWorld()
    entry = world.add_entry("a")
    entry.log.lose_next = True
    submission = Submission("derwent", "plans", job_id="plan-1")
    first = await entry.service.async_submit(submission, "tests")
    assert first.failure().code == "platform-outcome-unknown"
    assert (await entry.service.async_submit(submission, "tests")).unwrap()
    await world.async_run(60)
    assert world.workers.runs("derwent.plan-1") == 1


async def test_jobs_that_fit_no_worker_or_quota_are_refused_on_submission() -> None:
    world = JobsWorld(quota=1)
    entry = world.add_entry("a")
    large = Submission("derwent", "plans", cores=33)
    refused = await entry.service.async_submit(large, "tests")
    assert isinstance(refused.failure(), JobUnplaceableError)
    await world.async_submit(entry, "plan-1")
    second = await entry.service.async_submit(Submission("derwent", "plans"), "t")
    assert isinstance(second.failure(), JobQuotaError)


async def test_a_holder_paused_past_its_lease_starts_nothing_when_it_resumes() -> None:
    """Guard against a non-idempotent job that runs on two workers.

    Entry node a is suspended between the acceptance of its lease and the start; b takes
    the job over, finds no task and marks it held; a resumes and must not trust its
    outdated lease.
    """
    world = JobsWorld()
    a = world.add_entry("a")
    job_id = await world.async_submit(a, "plan-1", idempotent=False)
    a.attempt_manager._must_confirm_tail = True
    world.shared.out = True
    await world.async_run(1)
    world.shared.out = False
    job = a.log.state.jobs[job_id]
    attempt = await a.scheduler._async_lease(job, "worker-0")
    assert attempt is not None
    a.frozen = True
    b = world.add_entry("b")
    del world.entries["a"]
    await world.async_run(15)
    assert status(b, job_id) == "held"
    world.timers.pause(LEASE_SECONDS)
    await a.attempt_manager.async_tick()
    assert world.workers.runs(job_id) == 0
    assert a.attempt_manager.attempts == {}


async def test_a_paused_holder_starts_nothing_while_the_log_is_unavailable() -> None:
    world = JobsWorld()
    a = world.add_entry("a")
    job_id = await world.async_submit(a, "plan-1")
    attempt = await a.scheduler._async_lease(a.log.state.jobs[job_id], "worker-0")
    world.timers.pause(60.0)
    world.shared.out = True
    await a.attempt_manager.async_tick()
    assert world.workers.runs(job_id) == 0
    assert attempt is not None and not attempt.start_sent
    world.shared.out = False
    await a.attempt_manager.async_tick()
    assert world.workers.runs(job_id) == 1


async def test_a_lost_start_reply_is_resolved_by_a_report() -> None:
    """Guard against a job that runs twice.

    The worker starts the task and its reply is lost; a missing reply must not be taken
    for a start without effect, so the holder queries the task by its id.
    """
    world = JobsWorld()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1", idempotent=False)
    for worker in world.workers.at.values():
        worker.lose_answers = 1
    await world.async_run(60)
    assert status(entry, job_id) == "done"
    assert world.workers.runs(job_id) == 1


async def test_a_lost_start_reply_and_a_reboot_hold_a_non_idempotent_job() -> None:
    world = JobsWorld(workers_count=1)
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1", idempotent=False)
    world.workers.at["worker-0"].lose_answers = 1
    await world.async_run(1)
    world.workers.reboot("worker-0")
    await world.async_run(20)
    assert status(entry, job_id) == "held"
    assert [view.job_id for view in entry.service.stuck()] == [job_id]
    (await entry.service.async_retry(job_id, "operator")).unwrap()
    await world.async_run(60)
    assert status(entry, job_id) == "done"


async def test_jobs_of_a_replaced_entry_continue_where_they_run() -> None:
    """Guard against jobs that are lost or run twice when their entry node is replaced.

    An entry node with running and waiting jobs disappears without handing over, so its
    successor has to know from the log which jobs run where.
    """
    world = JobsWorld(workers_count=1)
    a = world.add_entry("a")
    jobs = [
        await world.async_submit(a, f"plan-{number}", idempotent=False)
        for number in range(12)
    ]
    await world.async_run(3)
    b = world.add_entry("b")
    world.remove_entry("a")
    await world.async_run(120)
    assert [status(b, job_id) for job_id in jobs] == ["done"] * 12
    assert [world.workers.runs(job_id) for job_id in jobs] == [1] * 12


async def test_a_worker_that_finishes_no_task_loses_its_tasks_and_gets_no_more() -> (
    None
):
    """Guard against jobs that hang on one worker for hours while others are idle.

    The worker accepts each start and renews each lease but makes no progress, so a live
    lease doesn't show that the worker works.
    """
    world = JobsWorld(workers_count=4)
    entry = world.add_entry("a")
    world.workers.at["worker-1"].stuck = True
    jobs = [
        await world.async_submit(entry, f"plan-{number}", declared_seconds=5.0)
        for number in range(40)
    ]
    await world.async_run(600)
    assert {status(entry, job_id) for job_id in jobs} == {"done"}
    assert entry.attempt_manager.statistics.quarantine.is_suspect("worker-1")
    await world.async_submit(entry, "late")
    await world.async_run(2)
    assert worker_of(entry, "derwent.late") != "worker-1"


async def test_a_job_that_fails_everywhere_is_parked_with_its_workers() -> None:
    world = JobsWorld(workers_count=4)
    entry = world.add_entry("a")
    for worker in world.workers.at.values():
        worker.fails = True
    job_id = await world.async_submit(entry, "plan-1")
    await world.async_run(120)
    view = entry.service.status(job_id).unwrap()
    assert view.status == "parked"
    assert len(view.failed_workers) == 3


async def test_a_cancellation_that_races_a_start_leaves_nothing_running() -> None:
    """Guard against a cancelled job that still runs.

    The log accepts the lease and then the cancellation, before the worker gets its
    start. The start has to check the log again, and a running task has to be stopped.
    """
    world = JobsWorld()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1")
    job = entry.log.state.jobs[job_id]
    await entry.scheduler._async_lease(job, "worker-0")
    await entry.service.async_cancel("derwent", job_id, "", "operator")
    await world.async_run(1)
    assert (status(entry, job_id), world.workers.runs(job_id)) == ("cancelled", 0)
    second = await world.async_submit(entry, "plan-2")
    await world.async_run(2)
    await entry.service.async_cancel("derwent", second, "", "operator")
    await world.async_run(2)
    assert status(entry, second) == "cancelled"
    states = [
        t.report.state for w in world.workers.at.values() for t in w.tasks.values()
    ]
    assert TaskState.RUNNING not in states


async def test_cancelling_10000_jobs_costs_one_append_and_no_call() -> None:
    """Guard against urgent starts that are blocked while a large group is cancelled.

    10,000 jobs of the group wait and eight run when it is cancelled; an append, a call
    or a visit for each job would take too long.
    """
    world = JobsWorld(workers_count=1)
    entry = world.add_entry("a")
    for number in range(10_000):
        await world.async_submit(entry, f"plan-{number}", group="spring")
    await world.async_run(2)
    appends = world.shared.appends
    calls = world.workers.calls
    await entry.service.async_cancel("derwent", "", "spring", "operator")
    assert world.shared.appends == appends + 1
    assert world.workers.calls == calls
    other = await world.async_submit(entry, "urgent-plan")
    await world.async_run(45)
    assert world.workers.calls <= calls + 100
    assert status(entry, other) in ("running", "done")
    assert status(entry, "derwent.plan-9999") == "cancelled"


async def test_urgent_work_gets_slots_by_checkpoint_then_throttle_then_stop() -> None:
    world = JobsWorld(workers_count=3, slots=1)
    entry = world.add_entry("a")
    jobs = [await world.async_submit(entry, f"plan-{number}") for number in range(3)]
    await world.async_run(10)
    at = world.workers.at
    at["worker-1"].no_checkpoint = True
    at["worker-2"].no_checkpoint = True
    at["worker-2"].no_throttle = True
    by_worker = {worker_of(entry, job_id): job_id for job_id in jobs}
    assert await entry.service.async_free_slots("casting", 3) == 3
    states = {name: worker.tasks for name, worker in at.items()}
    found = [
        states[name][by_worker[name]].report.state
        for name in ("worker-0", "worker-1", "worker-2")
    ]
    assert found == [TaskState.STOPPED, TaskState.THROTTLED, TaskState.STOPPED]
    checkpointed = entry.service.status(by_worker["worker-0"]).unwrap()
    assert (checkpointed.status, checkpointed.checkpoint != "") == ("waiting", True)
    await world.async_run(400)
    assert {status(entry, job_id) for job_id in jobs} == {"done"}


async def test_freed_slots_are_withheld_from_jobs_during_their_cooldown() -> None:
    """Guard against urgent work that waits although slots were freed for it.

    A task is checkpointed and its job waits again; the next tick must not start it in
    the slot that it has just freed.
    """
    world = JobsWorld(workers_count=1, slots=2)
    entry = world.add_entry("a")
    for number in range(3):
        await world.async_submit(entry, f"plan-{number}")
    await world.async_run(3)
    assert await entry.service.async_free_slots("casting", 1) == 1
    assert await entry.service.async_free_slots("casting", 1) == 0
    await world.async_run(5)
    assert len(entry.attempt_manager.attempts) == 1
    await world.async_run(6)
    assert len(entry.attempt_manager.attempts) == 2


async def test_a_non_idempotent_job_is_never_stopped_for_urgent_work() -> None:
    world = JobsWorld(workers_count=1, slots=1)
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1", idempotent=False)
    await world.async_run(5)
    worker = world.workers.at["worker-0"]
    worker.no_checkpoint = worker.no_throttle = True
    assert await entry.service.async_free_slots("casting", 1) == 0
    await world.async_run(60)
    assert (status(entry, job_id), world.workers.runs(job_id)) == ("done", 1)


async def test_jobs_leave_the_urgent_reserve_free() -> None:
    world = JobsWorld(workers_count=4, slots=8, reserve=0.25)
    entry = world.add_entry("a")
    for number in range(64):
        await world.async_submit(entry, f"plan-{number}")
    await world.async_run(5)
    running = sum(len(worker.tasks) for worker in world.workers.at.values())
    assert running == 24


async def test_a_claimed_worker_is_vacated_and_its_jobs_resume_elsewhere() -> None:
    world = JobsWorld(workers_count=2)
    a = world.add_entry("a")
    b = world.add_entry("b")
    job_id = await world.async_submit(a, "plan-1")
    await world.async_run(10)
    before = worker_of(a, job_id)
    claim = Claim(before, "wave-1", "b/1", 1, "vacating", 1)
    world.fleet.state.claims[before] = claim
    assert not await b.service.async_vacate(before)
    await world.async_run(2)
    assert await b.service.async_vacate(before)
    assert worker_of(a, job_id) not in ("", before)
    await world.async_run(60)
    view = a.service.status(job_id).unwrap()
    assert (view.status, view.attempts) == ("done", 2)
    assert float(view.checkpoint) > 0.0


async def test_a_job_may_finish_on_a_draining_worker() -> None:
    world = JobsWorld(workers_count=1)
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1")
    await world.async_run(10)
    before = worker_of(entry, job_id)
    world.fleet.state.claims[before] = Claim(before, "w", "b/1", 1, "draining", 1)
    later = await world.async_submit(entry, "plan-2")
    await world.async_run(60)
    view = entry.service.status(job_id).unwrap()
    assert (view.status, view.attempts) == ("done", 1)
    assert entry.service.status(later).unwrap().status == "waiting"


async def test_a_job_goes_to_a_worker_that_the_wave_has_finished() -> None:
    """Guard against jobs that move several times during one maintenance wave.

    A vacated job that starts on a worker still due in the wave is vacated again, so
    placement has to prefer workers that aren't due.
    """
    world = JobsWorld(workers_count=4)
    entry = world.add_entry("a")
    names = sorted(world.fleet.state.instances)
    world.fleet.state.waves["w"] = Wave("w", ("etching",), "running", 1, set(names[:3]))
    for number in range(4):
        job_id = await world.async_submit(entry, f"plan-{number}")
        await world.async_run(2)
        assert worker_of(entry, job_id) == names[3]


async def test_a_lease_whose_append_lost_its_reply_still_starts_its_job() -> None:
    """Guard against a job that shows as running indefinitely although no worker has it.

    The lease is appended but the reply is lost, so the process that holds the lease
    according to the log has to adopt it.
    """
    world = JobsWorld()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1", idempotent=False)
    entry.log.lose_next = True
    await world.async_run(60)
    assert (status(entry, job_id), world.workers.runs(job_id)) == ("done", 1)


async def test_an_unreachable_worker_loses_its_job_only_after_its_lease() -> None:
    world = JobsWorld(workers_count=2)
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1")
    world.workers.seconds[job_id] = 300.0
    await world.async_run(3)
    first = worker_of(entry, job_id)
    world.workers.at[first].down = True
    await world.async_run(LEASE_SECONDS)
    assert worker_of(entry, job_id) == first
    await world.async_run(60)
    assert worker_of(entry, job_id) not in ("", first)
    task = world.workers.at[first].tasks[job_id]
    assert task.report.state is TaskState.LAPSED


async def test_calls_to_an_unresponsive_worker_are_limited_for_all_its_tasks() -> None:
    """Guard against leases on healthy workers that expire while a rack is down.

    With a call for each task of the rack, every tick waits for as many timeouts, so a
    timeout suspends the calls for all other tasks of the worker too.
    """
    world = JobsWorld(workers_count=1, slots=8)
    entry = world.add_entry("a")
    for number in range(8):
        job_id = await world.async_submit(entry, f"plan-{number}")
        world.workers.seconds[job_id] = 1000.0
    await world.async_run(3)
    world.workers.at["worker-0"].down = True
    calls = world.workers.calls
    await world.async_run(60)
    assert world.workers.calls - calls <= 8 * 60 / 5
    assert len(entry.attempt_manager.attempts) == 8


async def test_the_slot_of_a_hanging_worker_is_freed_in_time() -> None:
    """Guard against urgent work that starts late while a checkpoint is written.

    A worker accepts the checkpoint call and doesn't reply, so each step of freeing a
    slot needs a timeout.
    """
    world = JobsWorld(workers_count=1, slots=1)
    entry = world.add_entry("a")
    await world.async_submit(entry, "plan")
    await world.async_run(3)
    world.workers.hang = "checkpoint"
    freed: list[int] = []

    async def free() -> None:
        freed.append(await entry.service.async_free_slots("casting", 1))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(free)
        for _ in range(24):
            await anyio.lowlevel.checkpoint()
            await world.timers.async_advance(0.1)
        assert freed == [1]
        tasks.cancel_scope.cancel()


async def test_a_burst_from_a_large_organisation_does_not_starve_a_small_one() -> None:
    world = JobsWorld(workers_count=1, slots=4)
    entry = world.add_entry("a")
    for number in range(200):
        await world.async_submit(entry, f"plan-{number}")
    await world.async_run(10)
    small = await world.async_submit(entry, "rind", organisation="hvelvlogikk")
    await world.async_run(32)
    assert status(entry, small) in ("running", "done")


async def test_a_job_that_needs_a_whole_worker_is_not_starved_by_small_ones() -> None:
    """Guard against a job that needs 32 cores and waits indefinitely in a busy pool.

    Small jobs keep arriving and take each core that becomes free, so a worker has to be
    reserved for a job that waited long.
    """
    world = JobsWorld(workers_count=2, slots=8)
    entry = world.add_entry("a")
    number = 0
    for number in range(40):
        await world.async_submit(entry, f"small-{number}", cores=4)
    large = await world.async_submit(entry, "large", cores=32)
    started = 0
    for round_number in range(120):
        for _ in range(4):
            number += 1
            await world.async_submit(
                entry, f"small-{number}", cores=4, organisation="hvelvlogikk"
            )
        await world.async_run(10)
        if status(entry, large) in ("running", "done"):
            started = round_number
            break
    assert status(entry, large) in ("running", "done")
    assert started < 60


async def test_ends_are_recorded_after_an_outage_of_the_log() -> None:
    world = JobsWorld()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1", idempotent=False)
    await world.async_run(5)
    world.shared.out = True
    await world.async_run(120)
    assert status(entry, job_id) == "running"
    world.shared.out = False
    await world.async_run(3)
    assert (status(entry, job_id), world.workers.runs(job_id)) == ("done", 1)


async def test_a_report_of_an_outdated_start_is_not_taken_for_the_job() -> None:
    world = JobsWorld(workers_count=2)
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan-1")
    await world.async_run(2)
    worker = world.workers.at[worker_of(entry, job_id)]
    task = worker.tasks[job_id]
    stale_report: Any = TaskReport(job_id, 1, TaskState.DONE, 1.0, "", b"stray")
    task.report = stale_report
    await world.async_run(90)
    assert entry.service.status(job_id).unwrap().result == b"done"
