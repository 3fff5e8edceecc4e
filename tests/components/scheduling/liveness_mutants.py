"""Define mutants that each remove one release of a hold from the scheduler.

A hold is anything that keeps a task from starting; its release ends it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Any

import pytest

from mustardward.components.dispatch.command_executor import CommandExecutor
from mustardward.components.dispatch.session import WorkerSession
from mustardward.components.fleet import services as fleet_services
from mustardward.components.fleet.services import Fleet
from mustardward.components.ledger.models import UnansweredStart
from mustardward.components.ownership import takeover
from mustardward.components.scheduling import advice, health, planner, reports
from mustardward.components.scheduling.const import SAME_WORKER_SECONDS
from mustardward.components.scheduling.crashes import CrashTracker
from mustardward.components.scheduling.held_starts import HeldStarts
from mustardward.components.scheduling.models import ACTIVE
from mustardward.components.scheduling.quotas import Quotas
from mustardward.components.scheduling.reports import Reports
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.components.scheduling.scheduler_state import SchedulerState
from mustardward.components.scheduling.zone_chooser import ZoneChooser
from mustardward.platform.workers import TaskName

Mutate = Callable[[pytest.MonkeyPatch], None]


def _replace(owner: object, name: str, other: object) -> Mutate:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(owner, name, other)

    return mutate


def _do_nothing(*_: object) -> None:
    """Do nothing."""


async def _async_do_nothing(*_: object) -> None:
    """Do nothing."""


def _store_without_zones(scheduler: Scheduler, job_ids: list[str]) -> None:
    for job_id in job_ids:
        job = scheduler.state.jobs.get(job_id)
        if job is not None:
            job.stored = True


def _request_advice_once(patch: pytest.MonkeyPatch) -> None:
    send = advice.AdviceRequests.send

    def request_once(requests: advice.AdviceRequests, now: float) -> None:
        send(requests, now)
        for request in requests.in_progress:
            request.step.advice_retry_at = math.inf

    patch.setattr(advice.AdviceRequests, "send", request_once)


def _never_expire_tickets(patch: pytest.MonkeyPatch) -> None:
    """Keep each ticket valid for ever, also one that a worker has rejected."""
    add_tickets = advice.add_tickets
    start_answered = Reports.start_answered

    def add_unlimited(step: Any, tickets: Any, valid_until: float) -> None:
        add_tickets(step, tickets, math.inf)

    def keep_tickets(
        reports: Reports, task: Any, run: int, reason: str, now: float
    ) -> None:
        tickets_before = dict(task.step.tickets)
        start_answered(reports, task, run, reason, now)
        task.step.tickets = tickets_before

    patch.setattr(advice, "add_tickets", add_unlimited)
    patch.setattr(Reports, "start_answered", keep_tickets)


def _stay_absent(patch: pytest.MonkeyPatch) -> None:
    update_worker = Scheduler.update_worker

    def update(scheduler: Scheduler, worker_id: str, entry: Any, now: float) -> bool:
        worker = scheduler.state.workers.get(worker_id)
        absent = worker is not None and worker.absent
        found = update_worker(scheduler, worker_id, entry, now)
        scheduler.state.workers[worker_id].absent |= absent
        return found

    patch.setattr(Scheduler, "update_worker", update)


def _never_uncordon(patch: pytest.MonkeyPatch) -> None:
    set_cordoned = Scheduler.set_cordoned

    def cordon_only(
        scheduler: Scheduler, worker_id: str, cordoned: bool, now: float
    ) -> None:
        if cordoned:
            set_cordoned(scheduler, worker_id, cordoned, now)

    patch.setattr(Scheduler, "set_cordoned", cordon_only)


def _stay_stale(patch: pytest.MonkeyPatch) -> None:
    apply_report = Reports.apply_report

    def stay(reports: Reports, worker: Any, *others: Any) -> None:
        stale = worker.stale
        apply_report(reports, worker, *others)
        worker.stale = stale

    patch.setattr(Reports, "apply_report", stay)


def _count_uncertain_twice(patch: pytest.MonkeyPatch) -> None:
    """Reserve the quota of an uncertain start twice, and release it once."""
    mark_uncertain = SchedulerState.mark_uncertain

    def reserve_twice(state: SchedulerState, task: Any, now: float) -> None:
        mark_uncertain(state, task, now)
        state.quotas.reserve(task.step.job.organisation, task.step.requested)

    patch.setattr(SchedulerState, "mark_uncertain", reserve_twice)


def _requeue_unready(patch: pytest.MonkeyPatch) -> None:
    requeue = SchedulerState.requeue

    def requeue_unready(state: SchedulerState, task: Any, now: float) -> None:
        ready = dict(state.ready)
        requeue(state, task, now)
        state.ready = ready

    patch.setattr(SchedulerState, "requeue", requeue_unready)


def _stay_undescribed(patch: pytest.MonkeyPatch) -> None:
    update_worker = Scheduler.update_worker

    def update(scheduler: Scheduler, worker_id: str, entry: Any, now: float) -> bool:
        worker = scheduler.state.workers.get(worker_id)
        if worker is not None and not worker.described:
            return False
        return update_worker(scheduler, worker_id, entry, now)

    patch.setattr(Scheduler, "update_worker", update)


def _never_poll_unresponsive(patch: pytest.MonkeyPatch) -> None:
    """Never poll a worker again once it is unresponsive."""
    original_is_idle = WorkerSession._is_idle

    def is_idle(session: WorkerSession, worker: Any) -> bool:
        return worker.stale or original_is_idle(session, worker)

    patch.setattr(WorkerSession, "_is_idle", is_idle)


MUTANTS: dict[str, Mutate] = {
    "a-stop-is-not-repeated": _replace(
        CommandExecutor, "_async_retry_stop", _async_do_nothing
    ),
    "a-stop-is-not-acknowledged": _replace(Reports, "stop_answered", _do_nothing),
    "data-centres-told-are-not-opened": _replace(
        Scheduler, "mark_stored", _store_without_zones
    ),
    "no-data-centre-more": _replace(ZoneChooser, "add_zone", lambda *_: True),
    "advice-is-asked-once": _request_advice_once,
    "tickets-last-for-ever": _never_expire_tickets,
    "suspects-stay-off-their-queue": _replace(
        SchedulerState, "return_to_queue", _do_nothing
    ),
    "nobody-is-judged": _replace(CrashTracker, "_is_due", lambda *_: False),
    "suspects-wait-for-ever": _replace(planner, "can_isolate", lambda *_: False),
    "suspects-are-not-cleared": _replace(
        SchedulerState, "clear_suspicion", _do_nothing
    ),
    "an-entry-that-is-back-is-not-read": _stay_absent,
    "leaving-is-not-taken-back": _never_uncordon,
    "a-quarantine-has-no-end": _replace(health, "QUARANTINE_SECONDS", math.inf),
    "a-takeover-holds-for-ever": _replace(
        SchedulerState,
        "is_held_after_takeover",
        lambda state, job, now: job.from_previous_owner,
    ),
    "a-doubted-start-counts-twice": _count_uncertain_twice,
    "quotas-are-not-given-back": _replace(Quotas, "release", _do_nothing),
    "strays-stay": _replace(SchedulerState, "clear_orphan_runs", _do_nothing),
    "a-silent-worker-stays-stale": _stay_stale,
    "a-silent-worker-is-asked-no-more": _never_poll_unresponsive,
    "no-room-once-is-no-room-ever": _replace(reports, "ROOM_PAUSE_SECONDS", math.inf),
    "unhealthy-once-is-so-for-ever": _replace(
        reports, "UNHEALTHY_PAUSE_SECONDS", math.inf
    ),
    "a-start-withdrawn-is-not-told": _replace(Reports, "start_withdrawn", _do_nothing),
    "a-start-refused-is-not-told": _replace(Reports, "start_refused", _do_nothing),
    "a-start-without-answer-is-not-doubted": _replace(
        Reports, "start_unknown", _do_nothing
    ),
    "a-run-that-stands-still-stays": _replace(Scheduler, "_is_stuck", lambda *_: False),
    "a-task-comes-back-to-no-step": _requeue_unready,
    "an-incarnation-stays-undescribed": _stay_undescribed,
    "a-room-too-large-for-one-step-is-so-for-all": _replace(
        planner, "_has_constraints", lambda step: False
    ),
}
"""The mutants by a name of what each one breaks."""


def _release_without_held_seconds(patch: pytest.MonkeyPatch) -> None:
    """Leave out of a release that tasks may start elsewhere already."""

    def name_start(
        task: str, run: int, worker: str, seconds: float, *_: object
    ) -> UnansweredStart:
        return UnansweredStart(task, run, worker, seconds)

    patch.setattr(takeover, "UnansweredStart", name_start)


def _hold_again(patch: pytest.MonkeyPatch) -> None:
    """Hold tasks again that may start elsewhere once their worker is lost again."""
    extend = HeldStarts.extend

    def extend_all(
        starts: HeldStarts,
        worker_id: str,
        now: float,
        tasks: Container[TaskName],
        until: float | None = None,
    ) -> None:
        for name, start in starts._starts_of(worker_id):
            starts._starts[name][worker_id] = replace(start, is_after_end=False)
        extend(starts, worker_id, -math.inf, tasks, until)

    patch.setattr(HeldStarts, "extend", extend_all)


def _report_for_waiting_tasks_only(patch: pytest.MonkeyPatch) -> None:
    """Let a report end the holds of tasks only that run nowhere."""
    mark_confirmed = SchedulerState.mark_confirmed

    def mark(state: SchedulerState, worker: Any, now: float) -> None:
        starts = state.held_starts
        state.held_starts = HeldStarts()
        mark_confirmed(state, worker, now)
        state.held_starts = starts

        def is_inactive(name: Any) -> bool:
            task = state.find_task(name)
            return task is None or task.phase not in ACTIVE

        starts.limit(worker.id, now + SAME_WORKER_SECONDS, is_inactive)

    patch.setattr(SchedulerState, "mark_confirmed", mark)


CALM_MUTANTS: dict[str, Mutate] = {
    "a-release-names-no-end-of-holds": _release_without_held_seconds,
    "an-unlisted-worker-is-waited-for": _replace(
        Fleet, "_end_unlisted_holds", _do_nothing
    ),
    "a-replaced-worker-is-waited-for": _replace(
        Fleet, "_release_replaced_workers", _do_nothing
    ),
    "an-ended-worker-is-waited-for": _replace(
        SchedulerState, "record_ended", _do_nothing
    ),
    "waves-drain-needed-hosts": _replace(
        fleet_services, "find_needed_hosts", lambda *_: frozenset()
    ),
    "a-loss-holds-again": _hold_again,
    "a-report-ends-no-hold-of-a-running-task": _report_for_waiting_tasks_only,
    "cordons-stay": _never_uncordon,
}
"""Mutants that walks with calm between faults have to detect."""
