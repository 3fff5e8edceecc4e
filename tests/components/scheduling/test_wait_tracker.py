"""Test that each wait of a step is logged with its reason and the inputs of it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Final

import pytest

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobState, Progress, TaskProgress
from mustardward.components.reports.day_lines import read_pairs
from mustardward.components.scheduling.advice import add_tickets
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.models import Phase, QueuePolicy
from mustardward.components.scheduling.wait_logger import WAIT_LOG_AFTER_SECONDS
from mustardward.components.scheduling.wait_tracker import Reason
from mustardward.helpers.registry import Registry
from mustardward.platform.models import Room

from .builders import (
    ADVICE,
    HOLD_SECONDS,
    JOB,
    POOL,
    SchedulerBench,
    a_job,
    a_row,
    a_step,
)
from .test_held_starts import a_held_task

OTHER: Final = "00000000000000bb"
FULL: Final = Room(cpu=8000, mem_mb=8000)
Scenario = Callable[[], tuple[SchedulerBench, dict[str, str]]]
SCENARIOS: Final[Registry[Reason, Scenario]] = Registry("scenes")


def plan_for(
    bench: SchedulerBench, seconds: float = 4.0, max_starts: int = sys.maxsize
) -> None:
    """Advance the time with a plan every half second."""
    for _ in range(int(2 * seconds)):
        bench.now += 0.5
        bench.scheduler.plan(bench.now, bench.now, max_starts)


def logged_waits(
    bench: SchedulerBench, caplog: pytest.LogCaptureFixture, event: str = "task_waiting"
) -> list[dict[str, str]]:
    """Return the key-value pairs of each line of an event that a scan logs."""
    caplog.set_level("INFO", "absl")
    caplog.clear()
    bench.scheduler.wait_logger.log_due(bench.now)
    lines = [read_pairs(record.getMessage()) for record in caplog.records]
    return [pairs for pairs in lines if pairs["event"] == event]


def long_running_job(job: str, count: int = 2, cpu: int = 1000) -> LedgerJob:
    """Return a job of long-running tasks, at most one per worker."""
    step = a_step(count=count, cpu=cpu, long_running=True, max_per_server=1)
    return a_job(step, job=job)


def suspected_job(crashes: int = 2, **changes: object) -> LedgerJob:
    """Return a job with a task that ran on workers when they crashed."""
    job = a_job(a_step(**{"count": 1, **changes}))
    marks = tuple(f"old-{number}" for number in range(crashes))
    job.progress = Progress(
        JobState.RUNNING, tasks=[TaskProgress(0, 0, 0, (), "", marks)]
    )
    return job


def start_large_tasks(bench: SchedulerBench, count: int = 1) -> None:
    """Start some long tasks that leave three cores of their workers free."""
    step = a_step(count=count, cpu=5000, estimate_ms=60_000)
    bench.add(a_job(step, job="00000000000000cc"))
    bench.plan_starts()


def plan_unanswered_starts(bench: SchedulerBench) -> list[Start]:
    """Plan, and return the starts without a response to them."""
    return [command for command in bench.plan() if isinstance(command, Start)]


@SCENARIOS.register(Reason.NOT_STORED)
def not_stored() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(), stored=False)
    plan_for(bench, 1.0)
    bench.scheduler.take_dirty(bench.now, bench.now)
    plan_for(bench)
    return bench, {"dirty": "false", "sent_seconds": "4", "reason_seconds": "4.5"}


@SCENARIOS.register(Reason.NOT_CONFIGURED)
def not_configured() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.scheduler.state.is_configured = lambda: False
    bench.scheduler.state.taken_over_at = bench.now
    bench.worker("w1")
    bench.add(a_job())
    plan_for(bench)
    return bench, {"taken_over_seconds": "4"}


@SCENARIOS.register(Reason.NO_USABLE_WORKER)
def no_usable_worker() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1").stale = True
    bench.worker("w2").cordoned = True
    second = bench.worker("w3")
    second.stale = second.draining = True
    bench.add(a_job())
    plan_for(bench)
    return bench, {
        "unusable": "draining:1,leaving:1,stale:2",
        "heard_seconds": "4",
        "with_room": "3",
        "able": "0",
    }


@SCENARIOS.register(Reason.STARTS_USED_UP)
def starts_used_up() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job())
    plan_for(bench, max_starts=0)
    return bench, {"most_starts": "0", "allowed": "1"}


@SCENARIOS.register(Reason.HELD_AFTER_TAKEOVER)
def held_after_takeover() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench(epoch=2)
    state = bench.scheduler.state
    state.taken_over_at = bench.now
    state.takeover_hold_until = bench.now + 9.0
    state.reconciled_zones = frozenset({"z1"})
    bench.worker("w1", zone="z1")
    job = a_job()
    job.progress = Progress(JobState.RUNNING, zones=["z1", "z2"])
    bench.add(job)
    plan_for(bench)
    return bench, {
        "held_seconds_left": "5",
        "taken_over_seconds": "4",
        "open_zones": "z1,z2",
        "unaccounted": "z2",
    }


@SCENARIOS.register(Reason.START_UNANSWERED)
def start_unanswered() -> tuple[SchedulerBench, dict[str, str]]:
    bench, start = a_held_task()
    plan_for(bench)
    held_for = f"{HOLD_SECONDS - 4:g}"
    return bench, {
        "held_starts": "1",
        "held_workers": start.worker,
        "held_seconds_left": held_for,
    }


@SCENARIOS.register(Reason.AWAITS_EVALUATION)
def awaits_evaluation() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(suspected_job(crashes=3))
    bench.task(0).evaluation_due_at = bench.now + 60.0
    plan_for(bench)
    return bench, {"suspicion": "3", "unjudged": "1", "overdue_seconds": "-56"}


@SCENARIOS.register(Reason.SUSPECTS_WAIT)
def suspects_wait() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1, estimate_ms=60_000), job=OTHER))
    bench.plan_starts()
    bench.add(suspected_job())
    plan_for(bench)
    return bench, {"suspects": "1", "suspicion": "2", "empty_workers": "-"}


@SCENARIOS.register(Reason.RESERVED_FOR_OTHERS)
def reserved_for_others() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    start_large_tasks(bench, count=2)
    for number in (1, 2):
        bench.add(long_running_job(f"{number:016x}", count=1, cpu=6000))
    bench.plan_starts()
    bench.add(a_job())
    plan_for(bench)
    return bench, {
        "kept": "2",
        "kept_for_lasting": "2",
        "kept_for_suspects": "0",
        "allowed": "2",
    }


@SCENARIOS.register(Reason.FITS_NOWHERE)
def fits_nowhere() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1").cordoned = True
    bench.worker("w2", capacity=Room(cpu=500, mem_mb=8000))
    bench.add(a_job(job=OTHER))
    bench.add(a_job(a_step(count=9)))
    plan_for(bench)
    return bench, {
        "found_by": OTHER,
        "found_reason": "no-room-where-it-may-start",
        "found_cpu": "1000",
        "able": "0",
    }


@SCENARIOS.register(Reason.ADVICE_UNANSWERED)
def advice_unanswered() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, advice=ADVICE))
    bench.worker("w1")
    bench.add(a_job())
    plan_for(bench)
    return bench, {"asked_seconds": "0.5", "tickets": "0"}


@SCENARIOS.register(Reason.QUOTA)
def quota() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench(quotas={"dairy": Room(cpu=1500)})
    bench.worker("w1")
    bench.add(a_job(organisation="dairy"))
    bench.plan_starts()
    plan_for(bench)
    return bench, {
        "organisation": "dairy",
        "used_cpu": "1000",
        "unseen_cpu": "0",
        "quota_cpu": "1500",
        "running": "1",
        "ready": "1",
    }


@SCENARIOS.register(Reason.GANG_INCOMPLETE)
def gang_incomplete() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(gang=True)))
    first, second = plan_unanswered_starts(bench)
    bench.accept(second)
    bench.scheduler.reports.start_refused(first.task, first.run, bench.now)
    bench.scheduler.wait_logger.log_due(bench.now)
    plan_for(bench)
    return bench, {
        "members": "stopping:1,waiting:1",
        "order_phase": "stopping",
        "order_task": f"{JOB}.0.0.1",
        "order_worker": "w1",
        "order_seconds": "4",
        "stop_acknowledged": "false",
    }


@SCENARIOS.register(Reason.GANG_HAS_NO_ROOM)
def gang_has_no_room() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=3, cpu=5000, gang=True)))
    plan_for(bench)
    return bench, {"members": "3", "allowed": "2", "same_rack": "false"}


@SCENARIOS.register(Reason.NO_ROOM)
def no_room() -> tuple[SchedulerBench, dict[str, str]]:
    """Remove the next data centres of a job before they are stored."""
    bench = SchedulerBench()
    bench.worker("w1", zone="z1", capacity=Room(cpu=500, mem_mb=8000))
    bench.worker("w2", zone="z2")
    bench.add(a_job())
    job = bench.task(0).step.job
    job.zones, job.stored_zones = None, frozenset({"z1"})
    plan_for(bench)
    return bench, {"zones": "-", "open_zones": "z1", "allowed": "1", "kept": "0"}


@SCENARIOS.register(Reason.ZONE_BEING_STORED)
def zone_being_stored() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1", zone="z1")
    bench.add(a_job(), stored=False)
    bench.store()
    bench.scheduler.state.workers["w1"].stale = True
    bench.worker("w2", zone="z2")
    plan_for(bench, 1.0)
    bench.scheduler.take_dirty(bench.now, bench.now)
    plan_for(bench)
    return bench, {
        "zones": "z1,z2",
        "open_zones": "z1",
        "sent_zones": "z1,z2",
        "sent_seconds": "4",
        "dirty": "false",
    }


@SCENARIOS.register(Reason.ROOM_PROMISED)
def room_promised() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1", zone="z1")
    for job in (OTHER, JOB):
        bench.add(a_job(a_step(cpu=4000), job=job), stored=False)
    bench.store()
    bench.scheduler.state.workers["w1"].stale = True
    bench.worker("w2", zone="z2")
    plan_for(bench)
    return bench, {
        "open_zones": "z1",
        "zones": "z1",
        "free": "z2:8000",
        "promised": "z2:8000",
    }


@SCENARIOS.register(Reason.RULES)
def rules() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(required_label="ssd")))
    plan_for(bench)
    return bench, {"required_label": "ssd", "without_label": "2", "able": "2"}


@SCENARIOS.register(Reason.NOT_PLANNED)
def not_planned() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1").stale = True
    bench.add(a_job())
    bench.plan()
    bench.now += 4.0
    return bench, {"plan_seconds": "4"}


@SCENARIOS.register(Reason.NOT_READY)
def not_ready() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job())
    bench.scheduler.state.ready.clear()
    plan_for(bench)
    return bench, {"ready": "2", "allowed": "1"}


@SCENARIOS.register(Reason.OFF_QUEUE)
def off_queue() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job())
    bench.task(0).step.waiting.clear()
    plan_for(bench)
    return bench, {"ready": "0", "off_queue": "2"}


@SCENARIOS.register(Reason.COMMAND_UNFINISHED)
def command_unfinished() -> tuple[SchedulerBench, dict[str, str]]:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    plan_unanswered_starts(bench)
    plan_for(bench)
    return bench, {
        "ready": "0",
        "starting": "1",
        "order_phase": "starting",
        "order_seconds": "4",
        "order_sent": "false",
        "order_worker": "w1",
        "worker_heard_seconds": "4",
    }


@SCENARIOS.register(Reason.NOT_RECORDED)
def not_recorded() -> tuple[SchedulerBench, dict[str, str]]:
    """Add a step to the ready steps after the last plan."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job())
    step = bench.task(0).step
    bench.scheduler.state.ready.clear()
    plan_for(bench)
    bench.scheduler.state.ready[id(step)] = step
    return bench, {"reason_seconds": "-"}


def test_each_reason_has_a_scenario() -> None:
    assert set(SCENARIOS) == set(Reason)


@pytest.mark.parametrize("reason", list(Reason), ids=lambda reason: reason.value)
def test_a_step_that_waits_is_logged_with_its_reason_and_inputs(
    reason: Reason, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a job that waits without a log line that explains it."""
    bench, inputs = SCENARIOS[reason]()
    (line,) = [pairs for pairs in logged_waits(bench, caplog) if pairs["job"] == JOB]
    assert line["reason"] == reason.value
    assert line["step"] == "0.0"
    assert {name: line.get(name) for name in inputs} == inputs


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("unconfirmed", ("confirmed", False)),
        ("draining", ("draining", True)),
        ("leaving", ("cordoned", True)),
        ("absent", ("absent", True)),
        ("stale", ("stale", True)),
        ("unknown-runs", ("unknown_runs", True)),
        ("refusing", ("refusing_until", 2000.0)),
        ("quarantined", ("quarantined_until", 2000.0)),
    ],
)
def test_what_makes_a_worker_unusable_is_named(
    name: str, value: tuple[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    """The pool also has a usable worker without room, so that both are examined."""
    bench = SchedulerBench()
    setattr(bench.worker("w1"), *value)
    bench.worker("w2", capacity=Room(cpu=500, mem_mb=8000))
    bench.add(a_job())
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.NO_USABLE_WORKER.value
    assert line["unusable"] == f"{name}:1"


def test_reserved_worker_among_full_ones_is_logged_as_reserved(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against reserved room that is logged as if the pool had no room."""
    bench = SchedulerBench()
    bench.worker("w1")
    start_large_tasks(bench)
    bench.add(long_running_job(OTHER, count=1, cpu=6000))
    bench.plan_starts()
    bench.worker("w2", capacity=Room(cpu=500, mem_mb=8000))
    bench.add(a_job())
    plan_for(bench)
    (line,) = [pairs for pairs in logged_waits(bench, caplog) if pairs["job"] == JOB]
    assert line["reason"] == Reason.RESERVED_FOR_OTHERS.value
    assert line["kept_for"] == f"w1:{OTHER}"


def test_worker_reserved_for_the_step_itself_is_not_reserved_for_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a step that is logged as waiting for itself."""
    bench = SchedulerBench()
    bench.worker("w1", zone="z1", capacity=Room(cpu=500, mem_mb=8000))
    bench.worker("w2", zone="z2")
    bench.add(a_job(a_step(long_running=True)))
    job = bench.task(0).step.job
    job.zones = job.stored_zones = frozenset({"z1"})
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.NO_ROOM.value
    assert (line["open_zones"], line["kept"]) == ("z1", "0")


@pytest.mark.parametrize("isolating", [True, False])
def test_worker_reserved_for_suspects_is_logged_with_their_job(
    isolating: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """The suspects either run on it or wait until it is empty."""
    bench = SchedulerBench()
    bench.worker("w1")
    if not isolating:
        third = "00000000000000cc"
        bench.add(a_job(a_step(count=1, estimate_ms=2400), job=third))
        bench.plan_starts()
    bench.add(suspected_job())
    bench.plan_starts()
    bench.add(a_job(job=OTHER))
    plan_for(bench)
    (line,) = [pairs for pairs in logged_waits(bench, caplog) if pairs["job"] == OTHER]
    assert line["reason"] == Reason.RESERVED_FOR_OTHERS.value
    assert line["kept_for"] == f"w1:{JOB}"
    assert line["kept_for_suspects"] == "1"


@pytest.mark.parametrize(
    ("step", "inputs"),
    [
        ({"max_per_server": 1}, {"max_per_server": "1", "at_most": "1"}),
        (
            {"max_per_server": 1, "long_running": True},
            {"max_per_server": "1", "at_most": "1"},
        ),
        ({"required_label": "ssd"}, {"required_label": "ssd", "without_label": "1"}),
    ],
)
def test_a_rule_that_allows_no_worker_is_logged(
    step: dict[str, object], inputs: dict[str, str], caplog: pytest.LogCaptureFixture
) -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(**step)))
    bench.plan_starts()
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.RULES.value
    assert {name: line[name] for name in inputs} == inputs


@pytest.mark.parametrize(
    "step", [{"cpu": 1000}, {"count": 3, "cpu": 200, "gang": True}], ids=["one", "gang"]
)
def test_suspects_whose_own_worker_is_too_small_are_logged(
    step: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    """The other worker has room, but runs a job that a crash would affect."""
    bench = SchedulerBench()
    bench.worker("w1", capacity=Room(cpu=500, mem_mb=8000))
    bench.worker("w2")
    bench.add(a_job(a_step(count=1, estimate_ms=60_000), job=OTHER))
    (start,) = bench.plan_starts()
    assert start.worker == "w2"
    bench.add(suspected_job(**step))
    plan_for(bench)
    (line,) = [pairs for pairs in logged_waits(bench, caplog) if pairs["job"] == JOB]
    assert line["reason"] == Reason.SUSPECTS_WAIT.value
    assert line["suspicion"] == "2"


def test_start_limit_reached_within_a_step_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("w2")
    bench.add(a_job(a_step(count=16)))
    plan_for(bench, max_starts=1)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.STARTS_USED_UP.value
    assert (line["ready"], line["most_starts"]) == ("8", "1")


def test_tickets_that_name_no_worker_with_room_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = SchedulerBench(policy=QueuePolicy(service=POOL, advice=ADVICE))
    bench.worker("w1", capacity=Room(cpu=500, mem_mb=8000))
    bench.worker("w2")
    bench.add(a_job())
    bench.plan()
    step = bench.task(0).step
    add_tickets(step, {"w1": "t"}, bench.now + 9.0)
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.RULES.value
    assert (line["advice"], line["tickets"]) == ("true", "1")
    assert line["tickets_seconds_left"] == "5"


@pytest.mark.parametrize("acknowledged", [True, False])
@pytest.mark.parametrize("phase", [Phase.UNCERTAIN, Phase.STOPPING])
def test_a_stop_without_an_end_is_logged(
    phase: Phase, acknowledged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against tasks that stay in a transient phase while their job waits."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=3)))
    first, *others = plan_unanswered_starts(bench)
    for start in others:
        bench.accept(start)
    bench.scheduler.reports.start_sent(first.task, first.run)
    if phase is Phase.UNCERTAIN:
        bench.scheduler.reports.start_unknown(first.task, first.run, bench.now)
    else:
        bench.accept(first)
        bench.scheduler.state.stop(first.task, "test")
    assert logged_waits(bench, caplog) == []
    if acknowledged:
        bench.scheduler.reports.stop_answered(first.task, first.run, bench.now)
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.COMMAND_UNFINISHED.value
    assert line["order_phase"] == phase.value
    assert (line["running"], line[phase.value]) == ("2", "1")
    assert line["order_sent"] == "true"
    assert line["stop_acknowledged"] == str(acknowledged).lower()
    assert line["acknowledged_seconds"] == ("4" if acknowledged else "-")


def test_a_cancelled_job_that_can_not_be_stopped_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its room stays reserved, which no other log line shows."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=1)))
    bench.plan_starts()
    bench.scheduler.cancel_job(JOB)
    logged_waits(bench, caplog)
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.COMMAND_UNFINISHED.value


def test_an_unfinished_command_is_logged_also_in_a_full_pool(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Missing room is not logged as a reason, but an unfinished command is."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.add(a_job(a_step(count=9)))
    for start in plan_unanswered_starts(bench)[1:]:
        bench.accept(start)
    plan_for(bench)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.COMMAND_UNFINISHED.value
    assert (line["ready"], line["starting"], line["running"]) == ("1", "1", "7")


def test_new_reason_restarts_its_seconds(caplog: pytest.LogCaptureFixture) -> None:
    bench = SchedulerBench()
    worker = bench.worker("w1")
    worker.stale = True
    bench.add(a_job())
    plan_for(bench, 2.0)
    worker.stale = False
    plan_for(bench, 2.0, max_starts=0)
    (line,) = logged_waits(bench, caplog)
    assert line["reason"] == Reason.STARTS_USED_UP.value
    assert (line["seconds"], line["reason_seconds"]) == ("4", "1.5")


def test_nothing_is_logged_of_work_that_runs_or_waits_for_room(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The log line of the pool's load shows that it is full, so no job needs a line."""
    bench = SchedulerBench()
    bench.worker("w1")
    bench.worker("other", service="pool-b")
    bench.add(a_job(a_step(count=9), a_step(after=[0])))
    starts = bench.plan_starts()
    bench.hold("w1", running=[a_row(start.task, 1.0) for start in starts])
    plan_for(bench, 10.0)
    assert len(starts) == 8
    assert logged_waits(bench, caplog) == []


def test_a_short_wait_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    bench = SchedulerBench()
    bench.worker("w1").stale = True
    bench.add(a_job())
    plan_for(bench, WAIT_LOG_AFTER_SECONDS)
    assert logged_waits(bench, caplog) == []
    plan_for(bench, 0.5)
    assert len(logged_waits(bench, caplog)) == 1


def test_room_on_a_worker_whose_entry_is_missing_does_not_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    bench = SchedulerBench()
    bench.worker("w1")
    bench.scheduler.mark_worker_missing("w1", bench.now)
    bench.scheduler.state.workers["w1"].stale = True
    bench.add(a_job())
    plan_for(bench)
    assert logged_waits(bench, caplog) == []
