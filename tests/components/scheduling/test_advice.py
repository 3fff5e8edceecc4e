"""Test that advice is requested no faster than the service answers."""

from __future__ import annotations

import math

import pytest

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.advice import MAX_WORKERS
from mustardward.platform.models import QueueAdvice, Room

from .advice_service import AdviceService, AdvisedOwner
from .builders import ADVICE, POOL, SchedulerBench, a_job, a_step

ROOM = Room(cpu=64_000, mem_mb=262_144)
FINISH_SECONDS = 14.0
BURST = 15
OUTAGE_SECONDS = 40.0
MAX_FAILED_CALLS = 10
MAX_WAIT_SECONDS = 6.0
"""Time after its last run by which a long-running task has to run if there is room."""


def an_owner(advice: QueueAdvice = ADVICE, workers: int = 8) -> AdvisedOwner:
    """Return an owner of an idle pool whose queue needs advice."""
    policy = QueuePolicy(service=POOL, advice=advice, target_seconds=0.1)
    bench = SchedulerBench(policy=policy)
    for number in range(workers):
        bench.worker(f"w{number:03}", capacity=ROOM)
    return AdvisedOwner(bench, AdviceService(advice))


def submit(owner: AdvisedOwner, jobs: int, first: int = 0, **step: object) -> None:
    """Submit jobs of six tasks at once."""
    values: dict[str, object] = {"count": 6, "cpu": 3500, "mem_mb": 13_000}
    for number in range(first, first + jobs):
        owner.bench.add(a_job(a_step(**{**values, **step}), job=f"{number:016x}"))


def test_all_jobs_of_a_burst_start_while_the_pool_is_idle() -> None:
    """Guard against calls that are repeated and given up until none is answered."""
    owner = an_owner()
    submit(owner, BURST)
    owner.run(FINISH_SECONDS)
    assert len(owner.first_starts) == BURST
    assert owner.service.given_up == 0


@pytest.mark.parametrize("decide_ms", [0.0, 250.0, 2500.0, 8000.0])
@pytest.mark.parametrize("period_ms", [0.0, 20.0, 400.0])
def test_calls_are_waited_for_as_long_as_their_queue_says(
    decide_ms: float, period_ms: float
) -> None:
    """Guard against a fixed timeout that is shorter than a call takes."""
    advice = QueueAdvice(decide_ms, period_ms, 3000)
    owner = an_owner(advice)
    submit(owner, 3)
    owner.run(3 * (decide_ms + 8 * period_ms) / 1000 + 1.0)
    assert len(owner.first_starts) == 3
    assert owner.service.given_up == 0


@pytest.mark.parametrize("slowdown", [3.0, 10.0, 30.0])
def test_service_that_is_slower_than_its_timings_is_still_used(slowdown: float) -> None:
    """Guard against jobs that never start while the service is slow."""
    owner = an_owner()
    owner.service.slowdown = slowdown
    submit(owner, 4)
    seconds_per_call = slowdown * (ADVICE.decide_ms + 8 * ADVICE.period_ms) / 1000
    owner.run(8 * seconds_per_call)
    assert len(owner.first_starts) == 4
    assert owner.service.refused == 0


def test_all_jobs_start_after_a_service_that_was_silent_answers_again() -> None:
    """Guard against an outage after which all steps are asked for at once."""
    owner = an_owner()
    owner.service.silent = True
    submit(owner, BURST)
    owner.run(20.0)
    assert owner.first_starts == {}
    owner.service.silent = False
    owner.run(FINISH_SECONDS + 10.0)
    assert len(owner.first_starts) == BURST
    assert owner.service.given_up == 0


def test_step_whose_calls_always_fail_does_not_delay_the_others() -> None:
    """Guard against one refused step that is asked for before all others."""
    owner = an_owner()
    owner.service.refuses = f"{0:016x}"
    submit(owner, BURST)
    owner.run(FINISH_SECONDS)
    assert len(owner.first_starts) == BURST - 1


def test_lost_answer_delays_its_step_by_little() -> None:
    """Guard against a step that waits until its lost call is given up."""
    owner = an_owner()
    owner.service.silent = True
    submit(owner, 1)
    owner.run(0.1)
    owner.service.silent = False
    owner.run(3.0)
    assert len(owner.first_starts) == 1


@pytest.mark.parametrize("workers", [40, 100])
@pytest.mark.parametrize("decide_ms, period_ms", [(200, 20), (20, 60)])
def test_burst_on_a_large_pool_starts_in_time(
    workers: int, decide_ms: float, period_ms: float
) -> None:
    """Guard against calls that name so many workers that most jobs are late."""
    owner = an_owner(QueueAdvice(decide_ms, period_ms, 3000), workers)
    submit(owner, BURST)
    owner.run(FINISH_SECONDS)
    assert len(owner.first_starts) == BURST


def test_step_that_few_workers_may_run_starts() -> None:
    """Guard against a step that asks only about workers that may not run it."""
    owner = an_owner(workers=40)
    owner.service.allows = lambda step, worker: worker in ("w003", "w031")
    submit(owner, 2)
    owner.run(FINISH_SECONDS)
    assert len(owner.first_starts) == 2


def test_gang_asks_about_as_many_workers_as_it_needs() -> None:
    """Guard against a gang that waits with too few workers that may run it."""
    owner = an_owner(workers=12)
    submit(owner, 1, gang=True, cpu=60_000)
    owner.run(5.0)
    assert owner.bench.stored[f"{0:016x}"].state is JobState.DONE


def test_long_running_tasks_spread_over_allowed_workers() -> None:
    """Guard against advice on few workers, on which a loss would end most tasks."""
    owner = an_owner()
    owner.run_seconds = math.inf
    submit(owner, 1, count=5, cpu=1000, long_running=True)
    owner.run(3.0)
    step = owner.bench.task(0, job=f"{0:016x}").step
    assert step.active == 5
    assert max(step.on_worker.values()) == 1


def test_tickets_are_renewed_for_allowed_workers_only() -> None:
    """Guard against asking again about workers that may not run a step."""
    owner = an_owner(workers=2)
    submit(owner, 1, count=200)
    owner.run(1.5)
    named = owner.service.names
    owner.service.allows = lambda step, worker: pytest.fail("asked about others")
    step = owner.bench.task(0, job=f"{0:016x}").step
    owner.service.allows = lambda name, worker: worker in step.allowed_workers
    owner.run(6.0)
    assert owner.service.names > named
    assert owner.ticket_rejections == 0


def test_call_for_a_step_without_room_names_few_workers() -> None:
    """Guard against long calls for steps that cannot start, before those that can."""
    owner = an_owner(workers=40)
    for worker in owner.bench.scheduler.state.workers.values():
        worker.free_cpu = 0
    submit(owner, 1, count=200, cpu=1000, mem_mb=100)
    request = owner.bench.plan_request()
    assert request is not None
    assert len(request.workers) < 20


def test_every_worker_of_a_large_pool_is_asked_about() -> None:
    """Guard against workers beyond the first 100 that nobody ever asks about."""
    owner = an_owner(QueueAdvice(10, 1, 3000), workers=2 * MAX_WORKERS + 50)
    last = f"w{2 * MAX_WORKERS + 49:03}"
    owner.service.allows = lambda step, worker: worker == last
    submit(owner, 1)
    owner.run(3.0)
    assert owner.first_starts


def test_no_start_is_sent_with_an_expired_ticket() -> None:
    """Guard against starts that workers reject, since their tickets expired."""
    owner = an_owner(workers=2)
    owner.run_seconds = 2.5
    submit(owner, 12, count=30)
    owner.run(60.0)
    assert len(owner.first_starts) == 12
    assert owner.ticket_rejections == 0


def test_steps_with_room_are_asked_for_before_those_without() -> None:
    """Guard against advice for steps that can't start, while others that could wait."""
    owner = an_owner(workers=1)
    submit(owner, 6, cpu=60_000)
    owner.run(2.0)
    assert len(owner.first_starts) == 1
    submit(owner, 1, first=10, count=1, cpu=100)
    begun = owner.bench.now
    owner.run(2.0)
    assert owner.first_starts[f"{10:016x}"] - begun < 1.0


def test_a_step_asks_soon_after_an_outage_of_the_service() -> None:
    """Guard against a long-running task that waits for a delay of the outage."""
    owner = an_owner()
    submit(owner, 1, long_running=True, count=1)
    (job,) = owner.bench.scheduler.state.jobs
    owner.service.refuses = job
    owner.run(OUTAGE_SECONDS)
    owner.service.refuses = ""
    owner.run(MAX_WAIT_SECONDS)
    assert job in owner.first_starts


def test_a_step_whose_calls_are_refused_asks_rarely_while_others_are_answered() -> None:
    """Guard against calls that delay those of all other steps."""
    owner = an_owner()
    submit(owner, 1, long_running=True, count=1)
    (owner.service.refuses,) = owner.bench.scheduler.state.jobs
    for number in range(10):
        submit(owner, 1, first=number + 1)
        owner.run(OUTAGE_SECONDS / 10)
    assert len(owner.first_starts) == 10
    step = owner.bench.task(0, job=owner.service.refuses).step
    assert step.advice_failures <= MAX_FAILED_CALLS
