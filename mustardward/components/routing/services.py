"""Provide the router service, which chooses workers and records outcomes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from returns.result import Failure, Result, Success

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...standin.protocol.models import WorkerUsage
from ...state.fold import RecordOutcome
from ...state.models.maintenance import AbsenceChange, ReportAbsences
from ...state.models.pools import Instance
from ...state.models.templates import Urgency
from ...state.protocols import FleetLog
from ..entry.models import Attempt, AttemptOutcome, Ran, RequestFacts, RequestRefusal
from ..entry.protocols import Choice
from ..membership.protocols import Membership
from .changes import InstanceChangeTracker
from .choice import choose_worker, estimate_external_in_flight
from .const import (
    BUSY_MAXIMUM_AGE_SECONDS,
    ENTRIES_MAXIMUM_AGE_SECONDS,
    QUARANTINE_CAUSE,
    REFUSED_AVOID_SECONDS,
    RETRY_AFTER_BASE_SECONDS,
    RETRY_AFTER_JITTER_SECONDS,
    UNREACHABLE_AVOID_MAXIMUM_SECONDS,
    UNREACHABLE_AVOID_SECONDS,
    USAGE_MAXIMUM_AGE_SECONDS,
)
from .health import is_unreachable
from .index import FleetIndex, WorkerGroup, WorkerLoad
from .models import RemoteChoice, WorkerBusy
from .preferred_slots import preferred_slots
from .quarantine import QuarantineTracker
from .remote import choose_remote

_LOGGER = get_logger(__name__)

NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()
_BUSY: Final = "busy"


class RouterService:
    """Choose workers for the requests of this process.

    :param data_centre: the data centre of this process.
    :param publish: takes the events of ``models``.
    :param count_job_slots: returns the slots that jobs hold on a worker.
    """

    def __init__(
        self,
        *,
        log: FleetLog,
        membership: Membership,
        timers: TimerService,
        data_centre: str,
        publish: Callable[[object], None],
        count_job_slots: Callable[[str], int] = lambda instance_id: 0,
        random: Random | None = None,
    ) -> None:
        self._log = log
        self._membership = membership
        self._timers = timers
        self._data_centre = data_centre
        self._publish = publish
        self._random = random or Random()
        self._quarantine = QuarantineTracker(publish)
        self._changes = InstanceChangeTracker(log.state)
        self._entries = self._live_entries()
        self._entries_read_at = timers.monotonic()
        self._count_job_slots = count_job_slots
        self._index = FleetIndex(log.state, self._preferred_slots, count_job_slots)
        self._apply_all_absences()

    @property
    def index(self) -> FleetIndex:
        """Return the index of the current folded state."""
        # A snapshot replaces the whole state object without a record.
        if self._index.state is not self._log.state:
            previous = self._index
            self._index = FleetIndex(
                self._log.state, self._preferred_slots, self._count_job_slots
            )
            self._index.carry_over(previous)
            self._changes = InstanceChangeTracker(self._log.state)
            self._apply_all_absences()
        return self._index

    def group(self, pool: str) -> WorkerGroup | None:
        """Return the workers of a pool in this data centre."""
        return self.index.group(self._data_centre, pool)

    def slots(self, pool: str) -> int:
        """Return the slots for requests of a pool's workers in this data centre."""
        group = self.group(pool)
        if group is None or not group.trusted:
            return 0
        # Jobs may hold every slot. Urgent requests must still be admitted then, or no
        # job slots would be reclaimed for them.
        return max(1, group.slots)

    def job_slots(self, pool: str) -> int:
        """Return the slots that jobs hold on a pool's workers here."""
        group = self.group(pool)
        return 0 if group is None else group.job_slots

    def on_job_slots_changed(self, instance_id: str) -> None:
        """Update a worker after the slots held by jobs on it changed."""
        self.index.refresh(instance_id)

    def in_flight(self, instance_id: str) -> int:
        """Return the number of this process's attempts in flight at a worker."""
        load = self.index.load(instance_id)
        return load.in_flight if load is not None else 0

    def on_record(self, outcome: RecordOutcome) -> None:
        """Update the index after a folded record."""
        if not isinstance(outcome.result, Success):
            return
        for instance_id in self._changes.changed_by(outcome.body):
            self.index.refresh(instance_id)
        if isinstance(outcome.body, ReportAbsences):
            for change in outcome.body.changes:
                self._apply_absence(change)

    def on_usage(self, usage: WorkerUsage) -> None:
        """Record a worker's delayed report of its usage."""
        load = self.index.load(usage.instance_id)
        if load is None or usage.age_seconds >= USAGE_MAXIMUM_AGE_SECONDS:
            return
        load.external_in_flight = float(max(0, usage.slots_busy - load.in_flight))
        load.external_observed_at = self._timers.monotonic() - usage.age_seconds
        load.external_maximum_age = USAGE_MAXIMUM_AGE_SECONDS

    def choose(
        self, facts: RequestFacts, exclude: frozenset[str]
    ) -> Result[Choice, RequestRefusal]:
        """Choose a worker and count the attempt as in flight there."""
        now = self._timers.monotonic()
        if now >= facts.deadline:
            return Failure(self._refusal("deadline-exceeded", 504, "deadline is past"))
        self._refresh_entries(now)
        group = self.group(facts.pool)
        if group is None or not group.usable:
            return Failure(self._refusal("no-worker", 503, f"pool={facts.pool}"))
        load = self._choose_probe(group, facts, exclude, now)
        is_probe = load is not None
        load = load or self._choose_available(group, exclude, now)
        if load is None:
            return Failure(self._refusal("no-capacity", 503, f"pool={facts.pool}"))
        load.in_flight += 1
        self._index.update_group(load)
        return Success(Choice(load.instance, self._attempt_id(), is_probe))

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        """Choose an entry of another data centre, if it can help before the deadline.

        :param exclude: names of entries already tried.
        """
        member = choose_remote(
            facts,
            self.index,
            self._membership,
            self._data_centre,
            self._timers.monotonic(),
            self._random,
            exclude,
        )
        return None if member is None else RemoteChoice(member, self._attempt_id())

    def finish(self, choice: Choice, facts: RequestFacts, attempt: Attempt) -> None:
        """Remove an attempt from the in-flight count and record its outcome."""
        load = self.index.load(choice.instance.instance_id)
        if load is None:
            return
        now = self._timers.monotonic()
        load.in_flight = max(0, load.in_flight - 1)
        self._record_refusal(load, facts, attempt, now)
        self._record_unreachable(load, attempt, now)
        self._quarantine.record_attempt(
            self._index, load, facts.request_id, attempt, now
        )
        self._index.update_group(load)
        self._report_health(load, attempt, now)

    def _choose_available(
        self, group: WorkerGroup, exclude: frozenset[str], now: float
    ) -> WorkerLoad | None:
        # The last round ignores exclusions: all other workers are full or gone, and an
        # excluded worker that was busy a moment ago may have a free slot again.
        for workers, excluded in (
            (group.preferred, exclude),
            (group.available, exclude),
            (group.available, NO_EXCLUSIONS),
        ):
            load = choose_worker(
                workers,
                self._random,
                now,
                excluded,
                self._membership.is_instance_eligible,
            )
            if load is not None:
                return load
        return None

    def _preferred_slots(self, instance: Instance, slots: int) -> int:
        if instance.data_centre != self._data_centre:
            return 0
        name = self._membership.own.name
        return preferred_slots(instance.instance_id, slots, name, self._entries)

    def _live_entries(self) -> tuple[str, ...]:
        live = self._membership.live(self._data_centre)
        return tuple(sorted(member.name for member in live))

    def _refresh_entries(self, now: float) -> None:
        if now - self._entries_read_at < ENTRIES_MAXIMUM_AGE_SECONDS:
            return
        self._entries_read_at = now
        entries = self._live_entries()
        if entries != self._entries:
            self._entries = entries
            self.index.recompute_preferred_slots()

    def _choose_probe(
        self,
        group: WorkerGroup,
        facts: RequestFacts,
        exclude: frozenset[str],
        now: float,
    ) -> WorkerLoad | None:
        if not group.quarantined or not facts.idempotent:
            return None
        if facts.urgency is Urgency.URGENT or exclude:
            return None
        load = self._quarantine.next_probe(group, now)
        if load is None or now < load.avoid_until:
            return None
        instance_id = load.instance.instance_id
        return load if self._membership.is_instance_eligible(instance_id) else None

    def _record_unreachable(
        self, load: WorkerLoad, attempt: Attempt, now: float
    ) -> None:
        if not is_unreachable(attempt):
            load.unreachable_count = 0
            return
        delay = UNREACHABLE_AVOID_SECONDS * 2.0**load.unreachable_count
        load.unreachable_count = min(load.unreachable_count + 1, 8)
        delay = min(delay, UNREACHABLE_AVOID_MAXIMUM_SECONDS)
        load.avoid_until = now + delay * (0.5 + self._random.random() / 2)

    def _report_health(self, load: WorkerLoad, attempt: Attempt, now: float) -> None:
        instance_id = load.instance.instance_id
        if attempt.outcome is AttemptOutcome.ANSWERED:
            if load.reported_unhealthy:
                load.reported_unhealthy = False
                started_at = now - attempt.latency_seconds
                self._membership.report_instance(
                    instance_id, True, "answered", started_at
                )
        elif is_unreachable(attempt) or _is_refused_not_busy(attempt):
            load.reported_unhealthy = True
            self._membership.report_instance(instance_id, False, attempt.cause)

    def _record_refusal(
        self, load: WorkerLoad, facts: RequestFacts, attempt: Attempt, now: float
    ) -> None:
        if attempt.outcome is not AttemptOutcome.REFUSED:
            return
        if attempt.cause != _BUSY:
            load.avoid_until = now + REFUSED_AVOID_SECONDS
            return
        estimated = estimate_external_in_flight(load, now)
        load.external_in_flight = max(
            estimated, float(load.instance.slots - load.in_flight)
        )
        load.external_observed_at = now
        load.external_maximum_age = BUSY_MAXIMUM_AGE_SECONDS
        self._publish(
            WorkerBusy(
                load.instance.instance_id,
                load.instance.pool,
                facts.request_id,
                facts.urgency,
            )
        )

    def _apply_absence(self, change: AbsenceChange) -> None:
        load = self._index.load(change.instance_id)
        if load is None:
            return
        now = self._timers.monotonic()
        if change.up:
            self._quarantine.release(self._index, load, now)
        elif change.cause == QUARANTINE_CAUSE:
            self._quarantine.apply_quarantine(self._index, load, now)

    def _apply_all_absences(self) -> None:
        for absence in self._log.state.absences.values():
            self._apply_absence(
                AbsenceChange(absence.instance_id, False, absence.boot, absence.cause)
            )

    def _attempt_id(self) -> str:
        return f"{self._random.getrandbits(96):024x}"

    def _refusal(self, code: str, status: int, detail: str) -> RequestRefusal:
        jitter = self._random.random() * RETRY_AFTER_JITTER_SECONDS
        retry_after = None if status == 504 else RETRY_AFTER_BASE_SECONDS + jitter
        return RequestRefusal(code, status, Ran.NO, detail, retry_after)


def _is_refused_not_busy(attempt: Attempt) -> bool:
    return attempt.outcome is AttemptOutcome.REFUSED and attempt.cause != _BUSY
