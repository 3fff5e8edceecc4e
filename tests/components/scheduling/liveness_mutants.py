"""Take the releases of the scheduler's holds out, one by one."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from mustardward.components.dispatch.command_executor import CommandExecutor
from mustardward.components.dispatch.session import WorkerSession
from mustardward.components.scheduling import health, planner, reports
from mustardward.components.scheduling.crashes import CrashTracker
from mustardward.components.scheduling.quotas import Quotas
from mustardward.components.scheduling.reports import Reports
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.scheduler_state import SchedulerState
from mustardward.components.scheduling.zone_chooser import ZoneChooser

Mutate = Callable[[pytest.MonkeyPatch], None]


def _replace(owner: object, name: str, other: object) -> Mutate:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(owner, name, other)

    return mutate


def _nothing(*_: object) -> None:
    """Do nothing."""


async def _async_nothing(*_: object) -> None:
    """Do nothing."""


def _store_without_zones(scheduler: Scheduler, job_ids: list[str]) -> None:
    for job_id in job_ids:
        job = scheduler.state.jobs.get(job_id)
        if job is not None:
            job.stored = True


def _ask_once(patch: pytest.MonkeyPatch) -> None:
    has_advice = planner.Planner._has_advice

    def ask(own: Any, step: Any, workers: Any, now: float) -> bool:
        found = has_advice(own, step, workers, now)
        if step.advice_requested_until:
            step.advice_requested_until = math.inf
        return found

    patch.setattr(planner.Planner, "_has_advice", ask)


def _keep_tickets(patch: pytest.MonkeyPatch) -> None:
    """Let a ticket be valid for ever, whatever workers answer."""
    set_tickets = Scheduler.set_tickets
    start_answered = Reports.start_answered

    def give(own: Scheduler, step: Any, tickets: Any, valid_until: float) -> None:
        set_tickets(own, step, tickets, math.inf)

    def answered(own: Reports, task: Any, run: int, reason: str, now: float) -> None:
        before = dict(task.step.tickets)
        start_answered(own, task, run, reason, now)
        task.step.tickets = before

    patch.setattr(Scheduler, "set_tickets", give)
    patch.setattr(Reports, "start_answered", answered)


def _stay_absent(patch: pytest.MonkeyPatch) -> None:
    update_worker = Scheduler.update_worker

    def see(own: Scheduler, worker_id: str, entry: Any, now: float) -> bool:
        worker = own.state.workers.get(worker_id)
        absent = worker is not None and worker.absent
        found = update_worker(own, worker_id, entry, now)
        own.state.workers[worker_id].absent |= absent
        return found

    patch.setattr(Scheduler, "update_worker", see)


def _only_leave(patch: pytest.MonkeyPatch) -> None:
    set_leaving = Scheduler.set_leaving

    def leave(own: Scheduler, worker_id: str, leaving: bool, now: float) -> None:
        if leaving:
            set_leaving(own, worker_id, leaving, now)

    patch.setattr(Scheduler, "set_leaving", leave)


def _stay_stale(patch: pytest.MonkeyPatch) -> None:
    apply_report = Reports.apply_report

    def stay(own: Reports, worker: Any, *others: Any) -> None:
        stale = worker.stale
        apply_report(own, worker, *others)
        worker.stale = stale

    patch.setattr(Reports, "apply_report", stay)


def _count_twice(patch: pytest.MonkeyPatch) -> None:
    """Count a doubted start once more, and give it back once."""
    mark_uncertain = SchedulerState.mark_uncertain

    def again(own: SchedulerState, task: Any) -> None:
        mark_uncertain(own, task)
        own.quotas.reserve(task.step.job.organisation, task.step.requested)

    patch.setattr(SchedulerState, "mark_uncertain", again)


def _requeue_unready(patch: pytest.MonkeyPatch) -> None:
    requeue = SchedulerState.requeue

    def unready(own: SchedulerState, task: Any, now: float) -> None:
        ready = dict(own.ready)
        requeue(own, task, now)
        own.ready = ready

    patch.setattr(SchedulerState, "requeue", unready)


def _stay_undescribed(patch: pytest.MonkeyPatch) -> None:
    update_worker = Scheduler.update_worker

    def see(own: Scheduler, worker_id: str, entry: Any, now: float) -> bool:
        worker = own.state.workers.get(worker_id)
        if worker is not None and not worker.described:
            return False
        return update_worker(own, worker_id, entry, now)

    patch.setattr(Scheduler, "update_worker", see)


def _hold_once(patch: pytest.MonkeyPatch) -> None:
    """Ask no worker that fell silent."""
    idle = WorkerSession._is_idle

    def give_up(own: WorkerSession, worker: Any) -> bool:
        return worker.stale or idle(own, worker)

    patch.setattr(WorkerSession, "_is_idle", give_up)


MUTANTS: dict[str, Mutate] = {
    "a-stop-is-not-repeated": _replace(
        CommandExecutor, "_async_retry_stop", _async_nothing
    ),
    "a-stop-is-not-acknowledged": _replace(Reports, "stop_answered", _nothing),
    "data-centres-told-are-not-opened": _replace(
        Scheduler, "mark_stored", _store_without_zones
    ),
    "no-data-centre-more": _replace(ZoneChooser, "add_zone", lambda *_: True),
    "advice-is-asked-once": _ask_once,
    "tickets-last-for-ever": _keep_tickets,
    "suspects-stay-off-their-queue": _replace(
        SchedulerState, "return_to_queue", _nothing
    ),
    "nobody-is-judged": _replace(CrashTracker, "_is_due", lambda *_: False),
    "suspects-wait-for-ever": _replace(planner, "can_isolate", lambda *_: False),
    "suspects-are-not-cleared": _replace(SchedulerState, "clear_suspicion", _nothing),
    "an-entry-that-is-back-is-not-read": _stay_absent,
    "leaving-is-not-taken-back": _only_leave,
    "a-quarantine-has-no-end": _replace(health, "QUARANTINE_SECONDS", math.inf),
    "a-takeover-holds-for-ever": _replace(
        SchedulerState,
        "is_held_after_takeover",
        lambda own, job, now: job.from_previous_owner,
    ),
    "a-doubted-start-counts-twice": _count_twice,
    "quotas-are-not-given-back": _replace(Quotas, "release", _nothing),
    "strays-stay": _replace(SchedulerState, "clear_orphan_runs", _nothing),
    "a-silent-worker-stays-stale": _stay_stale,
    "a-silent-worker-is-asked-no-more": _hold_once,
    "no-room-once-is-no-room-ever": _replace(reports, "ROOM_PAUSE_SECONDS", math.inf),
    "unhealthy-once-is-so-for-ever": _replace(
        reports, "UNHEALTHY_PAUSE_SECONDS", math.inf
    ),
    "a-start-withdrawn-is-not-told": _replace(Reports, "start_withdrawn", _nothing),
    "a-start-refused-is-not-told": _replace(Reports, "start_refused", _nothing),
    "a-start-without-answer-is-not-doubted": _replace(
        Reports, "start_unknown", _nothing
    ),
    "a-run-that-stands-still-stays": _replace(Scheduler, "_is_stuck", lambda *_: False),
    "a-task-comes-back-to-no-step": _requeue_unready,
    "an-incarnation-stays-undescribed": _stay_undescribed,
    "a-room-too-large-for-one-step-is-so-for-all": _replace(
        planner, "_restricted", lambda step: False
    ),
}
"""How each release is taken out, by a name of what is broken then."""
