"""Define mutants that each remove one guard against two runs of a task."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final

import msgspec
import pytest

from mustardward.components.dispatch import session
from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.dispatch.lease import Lease, WorkerClock
from mustardward.components.dispatch.session import WorkerSession
from mustardward.components.fleet.services import Fleet
from mustardward.components.ledger.models import OwnerRecord
from mustardward.components.ownership import owner
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner_query import OwnerStatus
from mustardward.components.ownership.takeover import Takeover, hold_previous_runs
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.reports import Reports
from mustardward.components.scheduling.scheduler_state import SchedulerState
from mustardward.standin.estate.worker import MemoryWorker

ENDED: Final = {"node": "", "settled": True, "unanswered": []}
Mutate = Callable[[pytest.MonkeyPatch], None]


def _replace(target: object, name: str, other: object) -> Mutate:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(target, name, other)

    return mutate


def _forget_unknown_starts(patch: pytest.MonkeyPatch) -> None:
    """Treat a start without an answer as one that was not carried out."""

    def start_unknown(reports: Reports, task: Any, run: int, now: float) -> None:
        reports.start_refused(task, run, -math.inf)

    patch.setattr(Reports, "start_unknown", start_unknown)


def _renew_unresponsive(patch: pytest.MonkeyPatch) -> None:
    """Extend the leases of unresponsive workers, without expecting them to last."""

    def should_renew(own: WorkerSession, now: float) -> bool:
        return own.lease.may_renew(now)

    def renew(lease: Lease, now: float) -> int:
        if lease.ends_at < now:
            lease.ends_at = lease.clock.lease_end(now)
        lease.deadline_ms = lease.clock.lease_deadline_ms(now)
        return lease.deadline_ms

    patch.setattr(WorkerSession, "_should_renew", should_renew)
    patch.setattr(Lease, "renew", renew)


def _shorten_leases(patch: pytest.MonkeyPatch) -> None:
    """Expect leases to end 2 s before they do."""
    lease_end = WorkerClock.lease_end
    patch.setattr(
        WorkerClock, "lease_end", lambda clock, now: lease_end(clock, now) - 2.0
    )


def _give_up_unresponsive(patch: pytest.MonkeyPatch) -> None:
    """Take an unresponsive worker for lost although the list shows it."""
    remove = Fleet._remove_unlisted_workers

    def remove_all(fleet: Fleet) -> None:
        for name, own in list(fleet.dispatcher.sessions.items()):
            if own.unresponsive_since is not None and not own.closed:
                fleet.dispatcher.remove_worker(name, LossCause.UNLISTED)
        remove(fleet)

    patch.setattr(Fleet, "_remove_unlisted_workers", remove_all)


def _acknowledge_unstored(patch: pytest.MonkeyPatch) -> None:
    """Acknowledge ends before they are stored."""
    apply = WorkerSession._async_send_poll

    async def send(own: WorkerSession, worker: Any, now: float, upto: int) -> Any:
        return await apply(own, worker, now, max(upto, own.received_upto))

    patch.setattr(WorkerSession, "_async_send_poll", send)


def _forget_previous_leases(patch: pytest.MonkeyPatch) -> None:
    """Expect no lease of a previous owner on a worker that does not answer."""
    open_session = Dispatcher._open_session

    def open_without(
        own: Dispatcher, worker_id: str, entry: Any, started_at_ms: int, until: float
    ) -> None:
        open_session(own, worker_id, entry, started_at_ms, 0.0)

    patch.setattr(Dispatcher, "_open_session", open_without)


def _trust_answers(patch: pytest.MonkeyPatch) -> None:
    """Take an owner that is replaced after a query for one that sends nothing more."""

    def hold(
        state: SchedulerState, previous: OwnerRecord, now: float, read_at: object
    ) -> None:
        hold_previous_runs(state, msgspec.structs.replace(previous, **ENDED), now)

    patch.setattr(owner, "hold_previous_runs", hold)


def _command_for_ever(patch: pytest.MonkeyPatch) -> None:
    """Send commands without authority, but answer other entries' queries as usual."""
    is_valid = Authority.is_valid

    def status(own: owner.Owner) -> OwnerStatus:
        return OwnerStatus(own.epoch, is_valid(own._authority))

    patch.setattr(Authority, "is_valid", lambda authority: True)
    patch.setattr(owner.Owner, "status", status)


def _trust_first_lists(patch: pytest.MonkeyPatch) -> None:
    """Take a worker for known after a list that holds only a part of its ends."""

    def mark(state: SchedulerState, worker: Any, now: float) -> None:
        state.mark_confirmed(worker, now)

    patch.setattr(SchedulerState, "mark_listing_ends", mark)


def _await_no_zones(takeover: Takeover) -> frozenset[str]:
    """Take the data centres of all known workers for those that have reported."""
    return frozenset(worker.zone for worker in takeover.state.workers.values())


MUTANTS: dict[str, Mutate] = {
    "no-hold-after-a-takeover": _replace(owner, "hold_previous_runs", lambda *_: None),
    "a-takeover-waits-for-nobody": _replace(
        Takeover, "_all_workers_reported", lambda takeover: True
    ),
    "data-centres-of-a-job-are-not-awaited": _replace(
        Takeover, "_reconciled_zones", _await_no_zones
    ),
    "a-start-without-answer-was-none": _forget_unknown_starts,
    "an-unresponsive-worker-is-renewed": _renew_unresponsive,
    "leases-are-expected-to-end-early": _shorten_leases,
    "leases-of-previous-owners-are-forgotten": _forget_previous_leases,
    "no-fence": _replace(MemoryWorker, "_accept_token", lambda worker, token: True),
    "authority-lasts-for-ever": _command_for_ever,
    "an-unresponsive-worker-is-lost": _give_up_unresponsive,
    "ends-are-acknowledged-unstored": _acknowledge_unstored,
    "an-owner-without-authority-is-over": _trust_answers,
    "a-part-of-the-ends-is-taken-for-all": _trust_first_lists,
    "lost-runs-are-repeated-unconfirmed": _replace(
        SchedulerState, "_record_losses", lambda state, worker, now: None
    ),
    "an-unreported-loss-is-not-confirmed": _replace(
        SchedulerState, "is_unreported_loss_confirmed", True
    ),
    "a-hold-ends-by-the-clock-alone": _replace(
        SchedulerState,
        "is_takeover_complete",
        lambda state, now: (
            now >= state.takeover_hold_until and not state.listing_workers
        ),
    ),
    "other-incarnations-are-not-noticed": _replace(
        session, "is_other_incarnation", lambda one, other: False
    ),
}
"""The mutants by a name of what each one breaks."""
