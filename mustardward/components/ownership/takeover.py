"""Find out after a takeover which runs of the previous owner may be left."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...helpers.logging import MAX_NAMES_PER_LINE, get_logger, log_names
from ...helpers.timer import TimerService
from ...platform.workers import TaskName, decode_task, encode_task
from ..dispatch.const import AUTHORITY_SECONDS, latest_lease_end
from ..dispatch.dispatcher import Dispatcher
from ..fleet.services import Fleet
from ..ledger.follower import TopicFollower
from ..ledger.models import OwnerRecord, UnansweredStart
from ..scheduling.held_starts import HeldStart
from ..scheduling.lost_starts import MAX_DELAY_SECONDS
from ..scheduling.scheduler_state import SchedulerState
from .const import MAX_RELEASED_STARTS, TAKEOVER_CHECK_SECONDS

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Takeover:
    """Hold the jobs of previous owners until it is known which of their tasks run.

    A worker that does not answer may still run any task that a previous owner started
    on it; to start that task elsewhere would run it twice.

    :param request_plan: requests a new plan.
    :param fleet: provides the list of instances; None where there is no such list.
    """

    epoch: int
    state: SchedulerState
    dispatcher: Dispatcher
    timers: TimerService
    request_plan: Callable[[], None]
    fleet: Fleet | None = None
    _logged_workers: set[tuple[str, int]] = field(default_factory=set)

    async def async_run(self, directory: TopicFollower) -> None:
        """Release the jobs once all workers have reported or all leases have expired.

        A worker that has begun to list its ended runs is waited for beyond that, for as
        long as it answers: its leases are renewed, and it may list tasks as done.

        :param directory: reads the workers' entries; no worker is known before that.
        """
        await directory.async_wait_loaded()
        while not self.state.is_takeover_complete(self.timers.monotonic()):
            self.try_release()
            await self.timers.async_sleep(TAKEOVER_CHECK_SECONDS)
        if self.state.takeover_hold_until:
            self._log_expired_hold()
        self.request_plan()

    def try_release(self) -> None:
        """Release held jobs if every worker that may run their tasks has reported."""
        reconciled = self._reconciled_zones()
        if reconciled != self.state.reconciled_zones:
            self.state.reconciled_zones = reconciled
            self._log_confirmed_workers()
            zones = ",".join(sorted(reconciled))
            _LOGGER.info("zones_reconciled", epoch=self.epoch, zones=zones)
            self.request_plan()
        if not (
            self._all_workers_reported() and self.state.is_unreported_loss_confirmed
        ):
            return
        self.state.takeover_hold_until = 0.0
        self._log_confirmed_workers()
        _LOGGER.info(
            "takeover_complete",
            epoch=self.epoch,
            seconds=self.timers.monotonic() - self.state.taken_over_at,
        )

    def _log_expired_hold(self) -> None:
        """Log that jobs are released though some workers have not reported."""
        self._log_confirmed_workers()
        workers = self.state.workers
        unconfirmed = sorted(
            workers[name].incarnation if name in workers else name
            for name in self.dispatcher.unconfirmed_workers()
        )
        _LOGGER.warning(
            "takeover_hold_expired",
            epoch=self.epoch,
            seconds=self.timers.monotonic() - self.state.taken_over_at,
            unconfirmed=len(unconfirmed),
            workers=",".join(unconfirmed[:MAX_NAMES_PER_LINE]),
        )

    def _log_confirmed_workers(self) -> None:
        """Log the incarnations that have reported since the last line of the kind."""
        confirmed = {
            (worker.id, worker.started_at_ms)
            for worker in self.state.workers.values()
            if worker.confirmed
        }
        texts = [f"{name}/{born}" for name, born in confirmed - self._logged_workers]
        self._logged_workers = confirmed
        log_names(
            _LOGGER.info, "workers_confirmed", self.epoch, "workers", sorted(texts)
        )

    def _reconciled_zones(self) -> frozenset[str]:
        """Return the data centres all of whose workers have reported their runs.

        A data centre without any report is not included: its workers may be missing
        from both entries and list because they are disconnected from both.
        """
        listed = self.fleet.listed_workers() if self.fleet is not None else {}
        if listed is None:
            return frozenset()
        workers = self.state.workers
        confirmed = {worker.zone for worker in workers.values() if worker.confirmed}
        unconfirmed = {
            workers[name].zone
            for name in self.dispatcher.unconfirmed_workers()
            if name in workers
        }
        without_session = {
            zone
            for name, zone in listed.items()
            if name not in self.dispatcher.sessions
        }
        return frozenset(confirmed - unconfirmed - without_session - {""})

    def _all_workers_reported(self) -> bool:
        """Return whether every worker that may have runs has reported them.

        A worker's entry may have expired while the store was unavailable, so the
        fleet's list must not name an unknown worker either. All pools wait for each
        other, since a disconnected worker may be missing from both, while workers of
        other pools that were disconnected with it are still listed.
        """
        if self.dispatcher.unconfirmed_workers():
            return False
        if self.fleet is None:
            return True
        listed = self.fleet.listed_workers()
        if listed is None:
            return False
        return all(name in self.dispatcher.sessions for name in listed)


def hold_previous_runs(
    state: SchedulerState,
    previous: OwnerRecord,
    now: float,
    read_at: float | None = None,
) -> None:
    """Hold tasks that previous owners may have started for as long as they may run.

    An owner that released the shard sends no more commands; one that was lost may, for
    as long as its last renewal allows. The same is true of the owner before one that
    released the shard within this time, without reports of all workers: after two
    changes of owner in a row, the first by a network partition, tasks would run twice
    while the first owner still renews their leases.

    A start may have reached another incarnation of its worker than it was meant for,
    which grants the longest lease. Only the owner that sent it knows which ones got no
    response; unless it has released the shard, all of its leases may be the longest.
    A renewal may have done the same, so that what starts on the worker from now on has
    the longest lease as well.

    :param read_at: when the last renewal of a lost owner was read, if it was seen.
    """
    state.taken_over_at = now
    state.takeover_hold_until = _latest_previous_lease_end(
        previous, now, read_at, state.max_lease_seconds
    )
    state.previous_leases_until = max(
        state.takeover_hold_until, latest_lease_end(now, state.max_lease_seconds)
    )
    if previous.unanswered is not None:
        _hold_unanswered_starts(state, previous.unanswered, now)


def _latest_previous_lease_end(
    previous: OwnerRecord, now: float, read_at: float | None, max_lease_seconds: float
) -> float:
    """Return when leases end that previous owners may have granted."""
    is_released = not previous.node
    if is_released and previous.settled:
        if previous.unanswered is None:
            return latest_lease_end(now, max_lease_seconds)
        return max(latest_lease_end(now), now + previous.lease_seconds)
    elapsed = 0.0 if is_released or read_at is None else now - read_at
    authority_end = now + AUTHORITY_SECONDS - elapsed
    return latest_lease_end(authority_end, max_lease_seconds)


def _hold_unanswered_starts(
    state: SchedulerState, starts: list[UnansweredStart], now: float
) -> None:
    for start in starts:
        try:
            name = decode_task(start.task)
        except ValueError:
            _LOGGER.warning("released_start_unreadable", task=start.task)
            continue
        held_seconds = math.inf if start.held_seconds is None else start.held_seconds
        held = HeldStart(
            start.worker,
            start.run,
            now + start.seconds,
            now + held_seconds,
            is_after_end=start.is_after_end,
        )
        state.held_starts.add(name, held, now)


def list_unanswered_starts(
    state: SchedulerState, now: float
) -> list[UnansweredStart] | None:
    """Return the starts that may have begun unknown runs, or None if there are many."""
    state.expire_held_starts(now)
    longest = latest_lease_end(MAX_DELAY_SECONDS, state.max_lease_seconds)
    starts = [
        UnansweredStart(encode_task(task.name), task.run, worker.id, longest)
        for worker in state.workers.values()
        for task in worker.tasks.values()
        if task.is_start_unanswered and not state.held_starts.cover(task, worker.id)
    ]
    starts += [
        UnansweredStart(
            encode_task(name),
            start.run,
            start.worker,
            start.until - now,
            _seconds_held(state, name, start, now),
            start.is_after_end,
        )
        for name, start in state.held_starts.items()
    ]
    return starts if len(starts) <= MAX_RELEASED_STARTS else None


def _seconds_held(
    state: SchedulerState, name: TaskName, start: HeldStart, now: float
) -> float | None:
    """Return for how long a task is held, or None until its worker reports.

    A task that its worker has would be held again if the worker was lost.
    """
    worker = state.workers.get(start.worker)
    is_on_worker = worker is not None and name in worker.tasks
    if is_on_worker or start.awaits_worker:
        return None
    return start.elsewhere_at - now
