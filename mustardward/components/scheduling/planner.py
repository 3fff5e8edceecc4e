"""Assign waiting tasks to workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field

from ...platform.models import Room
from ..fair_sharing.fair_shares import FairShares
from .advice import AdviceRequests
from .candidates import Candidates
from .const import MAX_ISOLATION_WAIT_SECONDS
from .crashes import (
    all_isolation_workers,
    awaits_evaluation,
    can_isolate,
    isolation_workers,
    needs_isolation,
    take_isolated_tasks,
)
from .isolation import put_overdue_isolation_first, seconds_to_empty
from .job_order import Capacity, JobOrder, capacity_of, order_steps
from .models import Job, StepRun, Task
from .placement import (
    GangPlacement,
    RankedWorkers,
    choose_home_rack,
    has_room_for_all,
    is_usable,
    place_gang,
)
from .quota_wait_logger import QuotaWaitLogger
from .scheduler_state import SchedulerState
from .unconfirmed_losses import take_unconfirmed_tasks
from .wait_tracker import Reason, WaitTracker, reason_elsewhere
from .worker_state import WorkerState
from .zone_chooser import ZoneChooser, promised_room


@dataclass(slots=True, eq=False)
class Planner:
    """Place the ready steps in order of urgency."""

    state: SchedulerState
    zone_chooser: ZoneChooser
    advice: AdviceRequests
    order: JobOrder | None = None
    fair_shares: FairShares = field(default_factory=FairShares)
    quota_wait_logger: QuotaWaitLogger = field(default_factory=QuotaWaitLogger)
    wait_tracker: WaitTracker = field(default_factory=WaitTracker)
    _remaining_starts: int = 0
    _rotation: int = 0

    def run(self, now: float, max_starts: int) -> None:
        """Start as many ready tasks as possible, up to ``max_starts``."""
        self._remaining_starts = max_starts
        self.wait_tracker.begin_plan(now, max_starts)
        self.advice.begin_plan()
        self.state.quotas.set_unconfirmed(self._unconfirmed_runs(now))
        by_service: dict[str, list[StepRun]] = {}
        for step in self.state.ready.values():
            if step.waiting and not step.job.stored:
                self.wait_tracker.record(step, Reason.NOT_STORED)
            elif step.waiting and not self.state.is_configured():
                self.wait_tracker.record(step, Reason.NOT_CONFIGURED)
            elif step.waiting:
                by_service.setdefault(step.job.policy.service, []).append(step)
        for service in self._rotate(sorted(by_service)):
            workers = [
                worker
                for worker in self.state.workers.values()
                if worker.service == service and is_usable(worker, now)
            ]
            if workers:
                self._place_pool(workers, by_service[service], now)
            else:
                self.wait_tracker.record_all(
                    by_service[service], Reason.NO_USABLE_WORKER
                )
        self.advice.send(now)
        self.quota_wait_logger.flush(self.state.quotas, now)

    def _rotate(self, services: list[str]) -> list[str]:
        """Return the pools, starting with a different one each time.

        Otherwise the first pool would get all starts while only few are allowed.
        """
        self._rotation += 1
        first = self._rotation % max(1, len(services))
        return services[first:] + services[:first]

    def _unconfirmed_runs(self, now: float) -> Iterator[tuple[str, Room, int]]:
        """Yield the tasks that a previous owner may have started and may still run."""
        if self.state.is_takeover_complete(now):
            return
        for job in self.state.jobs.values():
            if job.organisation and self.state.is_held_after_takeover(job, now):
                for step in job.steps.values():
                    count = len(step.tasks) - step.done - step.active
                    yield job.organisation, step.requested, count
                for spec in job.record.steps if job.backlog else ():
                    count = job.backlog * spec.count
                    yield job.organisation, spec.requested_resources, count

    def _place_pool(
        self, workers: list[WorkerState], steps: list[StepRun], now: float
    ) -> None:
        ordered = order_steps(
            steps,
            now,
            self.state.estimates,
            self._capacity(workers, now),
            self.order,
            lambda jobs, on_time: self._judge_shares(workers, jobs, on_time, now),
        )
        isolation_ids = all_isolation_workers(self.state.suspects.values())
        candidates = Candidates(
            [worker for worker in workers if worker.id not in isolation_ids],
            isolation_ids,
            [worker for worker in workers if worker.id in isolation_ids],
        )
        if len(candidates.workers) == len(workers):
            # Overdue suspects go first only while the pool runs no isolated task.
            ordered = put_overdue_isolation_first(ordered, now)
        promised = promised_room(steps)
        for number, step in enumerate(ordered):
            if self._remaining_starts <= 0:
                self.wait_tracker.record_all(ordered[number:], Reason.STARTS_USED_UP)
                return
            if self.state.is_held_after_takeover(step.job, now):
                self.wait_tracker.record(step, Reason.HELD_AFTER_TAKEOVER)
                continue
            if awaits_evaluation(step.job):
                self.wait_tracker.record(step, Reason.AWAITS_EVALUATION)
                continue
            self._place_step(step, workers, candidates, promised, now)

    def _place_step(
        self,
        step: StepRun,
        workers: list[WorkerState],
        candidates: Candidates,
        promised: Counter[str],
        now: float,
    ) -> None:
        unconfirmed = take_unconfirmed_tasks(step)
        held = self.state.take_held_tasks(step, now)
        if held:
            held = self._place_held(step, held, candidates, now)
        suspects = take_isolated_tasks(step)
        if suspects:
            self._place_isolated(step, suspects, workers, candidates, now)
        if step.waiting:
            self._place_shared(step, candidates, promised, now)
        if (unconfirmed or held) and not (step.waiting or suspects):
            reason = Reason.START_UNANSWERED if held else Reason.NOT_STORED
            self.wait_tracker.record(step, reason)
        if suspects or unconfirmed or held:
            self.state.return_to_queue(step, [*suspects, *unconfirmed, *held])

    def _place_held(
        self, step: StepRun, held: list[Task], candidates: Candidates, now: float
    ) -> list[Task]:
        """Start tasks on the workers that may still execute a delayed start of them.

        :return: the tasks that wait.
        """
        if step.spec.gang:
            return held
        allowed = candidates.in_zones(step.job.stored_zones)
        waiting = []
        for task in held:
            worker = self.state.allowed_worker(task, now)
            if (
                worker not in allowed
                or needs_isolation(task)
                or self._remaining_starts <= 0
                or not self._may_start(step, [worker], now)
                or RankedWorkers([worker], step, frozenset()).best() is None
            ):
                waiting.append(task)
                continue
            self._remaining_starts -= 1
            self.state.assign(task, worker, self.state.next_run_number(), now)
        return waiting

    def _judge_shares(
        self,
        workers: list[WorkerState],
        jobs: Iterable[Job],
        on_time: Iterable[Job],
        now: float,
    ) -> None:
        self.fair_shares.judge(
            workers[0].service, jobs, on_time, workers, self.state.estimates, now
        )

    def _place_shared(
        self, step: StepRun, candidates: Candidates, promised: Counter[str], now: float
    ) -> None:
        reserved = _reserved_with_room(step, candidates)
        isolating = _isolating_with_room(step, candidates, now)
        if not (candidates.workers or reserved or isolating):
            self.wait_tracker.record(step, Reason.RESERVED_FOR_OTHERS, candidates)
            return
        if candidates.is_oversized(step) and not (reserved or isolating):
            self.wait_tracker.record(step, Reason.FITS_NOWHERE, candidates)
            return
        allowed = candidates.in_zones(step.job.stored_zones)
        preferred = _preferred(step, allowed)
        if not self._may_start(step, [*preferred, *reserved, *isolating], now):
            return
        if step.spec.gang:
            self._place_gang(step, preferred, allowed, now)
            return
        if candidates.may_fit(step) and self._place_tasks(step, allowed, now):
            return
        if step.spec.long_running:
            if not (
                (isolating and self._place_tasks(step, isolating, now))
                or self._place_beside_reserved(step, reserved, candidates, now)
            ):
                self._reserve_worker(step, candidates, now)
            return
        elsewhere = self.zone_chooser.add_zone(step, candidates.by_zone, promised)
        self.wait_tracker.record(
            step, reason_elsewhere(step, elsewhere), candidates, promised
        )
        if not _has_constraints(step):
            candidates.record_full(step, everywhere=not elsewhere)

    def _reserve_worker(
        self, step: StepRun, candidates: Candidates, now: float
    ) -> None:
        """Reserve a worker for a long-running step that lacks room.

        Otherwise short tasks would fill each gap, and it would wait forever.
        """
        candidates.reserve_for_long_running(
            step, self.state.estimates.remaining_seconds_at(now)
        )
        self.wait_tracker.record(step, Reason.NO_ROOM, candidates)

    def _place_beside_reserved(
        self,
        step: StepRun,
        reserved: list[WorkerState],
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Start tasks in what reservations leave; return whether none lacks room."""
        while step.waiting and reserved:
            if not self._can_start_more(step) or not self._within_quota(step):
                return True
            ranked = RankedWorkers(reserved, step, step.waiting.first().avoided_workers)
            worker = ranked.best()
            if worker is None:
                return False
            if not candidates.share_reserved(worker, step):
                reserved = [other for other in reserved if other is not worker]
                continue
            task = step.waiting.popleft()
            self._remaining_starts -= 1
            self.state.assign(task, worker, self.state.next_run_number(), now)
        if not step.waiting:
            self.state.ready.pop(id(step), None)
        return not step.waiting

    def _place_isolated(
        self,
        step: StepRun,
        suspects: list[Task],
        workers: list[WorkerState],
        candidates: Candidates,
        now: float,
    ) -> None:
        """Place suspected tasks on workers where a crash affects no other job."""
        if not self._may_start(step, workers, now, everywhere=True):
            return
        free = [w for w in workers if can_isolate(w, suspects, now)]
        isolating = isolation_workers(step.job)
        one_worker = not (step.spec.long_running or step.spec.gang)
        if step.spec.gang:
            placed = place_gang(free, step, suspects)
            self._start_gang(placed, now)
            all_fit = placed is not None
        else:
            if one_worker and isolating:
                free = [worker for worker in free if worker.id in isolating]
            all_fit = self._place_each(step, suspects, free, one_worker, now)
        used = isolation_workers(step.job)
        if used:
            candidates.exclude([w for w in free if w.id in used], step)
        if all_fit:
            return
        self.wait_tracker.record(step, Reason.SUSPECTS_WAIT)
        if not (one_worker and used):
            job, remaining = step.job, self.state.estimates.remaining_seconds_at(now)
            candidates.reserve_emptying_worker(
                step, suspects, free, lambda w: seconds_to_empty(w, job, remaining, now)
            )

    def _place_each(
        self,
        step: StepRun,
        suspects: list[Task],
        workers: list[WorkerState],
        one_worker: bool,
        now: float,
    ) -> bool:
        """Place tasks one by one; return whether none of them lacks room.

        :param one_worker: whether all go to one worker, so that they crash only one.
        """
        for task in suspects:
            if not self._can_start_more(step) or not self._within_quota(step):
                return True
            worker = RankedWorkers(workers, step, task.avoided_workers).best()
            if worker is None:
                return False
            self._remaining_starts -= 1
            self.state.assign(task, worker, self.state.next_run_number(), now)
            if one_worker:
                workers = [worker]
        return True

    def _capacity(self, workers: list[WorkerState], now: float) -> Capacity:
        incoming = self.state.incoming_cpu.get(workers[0].service, 0)
        return capacity_of(workers, incoming, self.state.estimates, now)

    def _place_tasks(
        self, step: StepRun, workers: list[WorkerState], now: float
    ) -> bool:
        """Start a step's waiting tasks; return whether none of them lacks room."""
        if step.job.home_rack is None and workers:
            step.job.home_rack = choose_home_rack(workers)
        ranked_workers: RankedWorkers | None = None
        avoided: Set[str] = frozenset()
        while step.waiting:
            if not self._can_start_more(step) or not self._within_quota(step):
                return True
            task = step.waiting.first()
            if ranked_workers is None or task.avoided_workers != avoided:
                avoided = task.avoided_workers
                ranked_workers = RankedWorkers(workers, step, avoided)
            worker = ranked_workers.best()
            if worker is None:
                return False
            step.waiting.popleft()
            self._remaining_starts -= 1
            self.state.assign(task, worker, self.state.next_run_number(), now)
            ranked_workers.update_best()
        self.state.ready.pop(id(step), None)
        return True

    def _may_start(
        self,
        step: StepRun,
        workers: list[WorkerState],
        now: float,
        everywhere: bool = False,
    ) -> bool:
        """Return whether the quota and advice on some workers let a step start.

        :param everywhere: whether advice is needed on workers without room too.
        """
        if not self._within_quota(step):
            return False
        if not step.job.policy.advice:
            return True
        if self.advice.allows(step, workers, now, everywhere):
            return True
        self.wait_tracker.record(step, Reason.ADVICE_UNANSWERED)
        return False

    def _can_start_more(self, step: StepRun) -> bool:
        """Return whether this plan may start more tasks."""
        if self._remaining_starts > 0:
            return True
        self.wait_tracker.record(step, Reason.STARTS_USED_UP)
        return False

    def _within_quota(self, step: StepRun) -> bool:
        """Return whether the quota allows a step's next task, or its whole gang."""
        # The members of a suspected gang have been removed from the step's queue.
        count = (len(step.waiting) or len(step.tasks)) if step.spec.gang else 1
        organisation = step.job.organisation
        if self.state.quotas.allows(organisation, step.requested, count):
            return True
        self.quota_wait_logger.record(organisation, max(count, len(step.waiting)))
        self.wait_tracker.record(step, Reason.QUOTA)
        return False

    def _place_gang(
        self,
        step: StepRun,
        preferred: list[WorkerState],
        workers: list[WorkerState],
        now: float,
    ) -> None:
        if step.active or len(step.waiting) != len(step.tasks):
            self.wait_tracker.record(step, Reason.GANG_INCOMPLETE)
            return
        if not has_room_for_all(workers, step):
            self.wait_tracker.record(step, Reason.GANG_HAS_NO_ROOM)
            return
        placed = place_gang(preferred, step, step.waiting)
        if placed is None and preferred is not workers:
            placed = place_gang(workers, step, step.waiting)
        if placed is None:
            self.wait_tracker.record(step, Reason.GANG_HAS_NO_ROOM)
        else:
            step.waiting.clear()
        self._start_gang(placed, now)

    def _start_gang(self, placed: GangPlacement | None, now: float) -> None:
        if placed is None:
            return
        # Members wait for each other on their workers, so all are started or none.
        run = self.state.next_run_number()
        for task, worker in placed:
            self._remaining_starts -= 1
            task.checkpoint = task.step.checkpoint
            self.state.assign(task, worker, run, now)


def _preferred(step: StepRun, workers: list[WorkerState]) -> list[WorkerState]:
    """Return the workers to try first: for a gang, those where no member failed.

    Where the others have no room for it, the gang may use all of them.
    """
    if not step.spec.gang:
        return workers
    avoided = {name for t in step.waiting.known() for name in t.avoided_workers}
    others = [worker for worker in workers if worker.id not in avoided]
    return others if avoided and has_room_for_all(others, step) else workers


def _isolating_with_room(
    step: StepRun, candidates: Candidates, now: float
) -> list[WorkerState]:
    """Return the workers with isolated tasks that a long-running step may use.

    It must not wait longer than isolated tasks do for such workers.
    """
    if not step.spec.long_running or step.spec.gang:
        return []
    if now - step.waiting.first().ready_since <= MAX_ISOLATION_WAIT_SECONDS:
        return []
    return candidates.isolating_with_room(step)


def _reserved_with_room(step: StepRun, candidates: Candidates) -> list[WorkerState]:
    """Return the reserved workers that a step may use beside the reservations."""
    if not step.spec.long_running or step.spec.gang:
        return []
    return candidates.reserved_with_room(step)


def _has_constraints(step: StepRun) -> bool:
    spec = step.spec
    return bool(spec.required_label or spec.max_per_server or step.job.policy.advice)
