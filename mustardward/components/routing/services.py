"""Choose workers for requests and judge them by what became of them."""

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
from .allotment import allotted_slots
from .changes import ChangedInstances
from .choice import choose_worker, others_in_flight
from .const import (
    AVOID_SECONDS,
    BUSY_MEMORY_SECONDS,
    ENTRIES_SECONDS,
    QUARANTINE_CAUSE,
    REFUSAL_BASE_SECONDS,
    REFUSAL_SPREAD_SECONDS,
    UNREACHABLE_MAXIMUM_SECONDS,
    UNREACHABLE_SECONDS,
    USAGE_MEMORY_SECONDS,
)
from .health import is_unreachable
from .index import FleetIndex, WorkerGroup, WorkerLoad
from .models import RemoteChoice, WorkerBusy
from .remote import choose_remote
from .standing import StandingKeeper

_LOGGER = get_logger(__name__)

NOBODY: Final[frozenset[str]] = frozenset()
_BUSY: Final = "busy"


class RouterService:
    """Serve as the process's router.

    :param data_centre: this process's own data centre.
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
        self._standing = StandingKeeper(publish)
        self._changes = ChangedInstances(log.state)
        self._entries = self._live_entries()
        self._entries_read = timers.monotonic()
        self._count_job_slots = count_job_slots
        self._index = FleetIndex(log.state, self._allot, count_job_slots)
        self._adopt_absences()

    @property
    def index(self) -> FleetIndex:
        """Return the index, in line with the folded state."""
        # A snapshot replaces the state as a whole, and no record tells of it.
        if self._index.state is not self._log.state:
            previous = self._index
            self._index = FleetIndex(
                self._log.state, self._allot, self._count_job_slots
            )
            self._index.adopt(previous)
            self._changes = ChangedInstances(self._log.state)
            self._adopt_absences()
        return self._index

    def group(self, pool: str) -> WorkerGroup | None:
        """Return the workers of a pool in this data centre."""
        return self.index.group(self._data_centre, pool)

    def slots(self, pool: str) -> int:
        """Return the slots for requests of a pool's workers in this data centre."""
        group = self.group(pool)
        if group is None or not group.trusted:
            return 0
        # Long work may hold every slot; urgent work then still has to be let in, or
        # nobody would ask long work to give way.
        return max(1, group.slots)

    def job_slots(self, pool: str) -> int:
        """Return the slots of a pool's workers here that long work holds."""
        group = self.group(pool)
        return 0 if group is None else group.lent

    def on_job_slots_changed(self, instance_id: str) -> None:
        """Follow a change of the slots that long work holds on a worker."""
        self.index.refresh(instance_id)

    def in_flight(self, instance_id: str) -> int:
        """Return how many attempts of this process are on their way to a worker."""
        load = self.index.load(instance_id)
        return load.in_flight if load is not None else 0

    def on_record(self, outcome: RecordOutcome) -> None:
        """Follow one folded record."""
        if not isinstance(outcome.result, Success):
            return
        for instance_id in self._changes.changed_by(outcome.body):
            self.index.refresh(instance_id)
        if isinstance(outcome.body, ReportAbsences):
            for change in outcome.body.changes:
                self._follow_absence(change)

    def on_usage(self, usage: WorkerUsage) -> None:
        """Take a worker's lagging report of its usage into account."""
        load = self.index.load(usage.instance_id)
        if load is None or usage.age_seconds >= USAGE_MEMORY_SECONDS:
            return
        load.others = float(max(0, usage.slots_busy - load.in_flight))
        load.others_at = self._timers.monotonic() - usage.age_seconds
        load.others_memory = USAGE_MEMORY_SECONDS

    def choose(
        self, facts: RequestFacts, exclude: frozenset[str]
    ) -> Result[Choice, RequestRefusal]:
        """Choose a worker and count the attempt as in flight there."""
        now = self._timers.monotonic()
        if now >= facts.deadline:
            return Failure(self._refuse("deadline-exceeded", 504, "deadline is past"))
        self._follow_entries(now)
        group = self.group(facts.pool)
        if group is None or not group.usable:
            return Failure(self._refuse("no-worker", 503, f"pool={facts.pool}"))
        load = self._probe_for(group, facts, exclude, now)
        probation = load is not None
        load = load or self._choose_open(group, exclude, now)
        if load is None:
            return Failure(self._refuse("no-capacity", 503, f"pool={facts.pool}"))
        load.in_flight += 1
        self._index.place(load)
        return Success(Choice(load.instance, self._attempt_id(), probation))

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        """Choose an entry of another data centre, if that helps before the deadline.

        :param exclude: names of entries that were tried.
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
        """End the in-flight count and judge the worker by the outcome."""
        load = self.index.load(choice.instance.instance_id)
        if load is None:
            return
        now = self._timers.monotonic()
        load.in_flight = max(0, load.in_flight - 1)
        self._note_refusal(load, facts, attempt, now)
        self._note_unreachable(load, attempt, now)
        self._standing.judge(self._index, load, facts.request_id, attempt, now)
        self._index.place(load)
        self._report(load, attempt, now)

    def _choose_open(
        self, group: WorkerGroup, exclude: frozenset[str], now: float
    ) -> WorkerLoad | None:
        # The last one repeats without exclusions: all others are full or gone, and one
        # that was busy a moment ago may not be any more.
        for places, excluded in (
            (group.allotted, exclude),
            (group.open, exclude),
            (group.open, NOBODY),
        ):
            load = choose_worker(
                places,
                self._random,
                now,
                excluded,
                self._membership.instance_may_get_work,
            )
            if load is not None:
                return load
        return None

    def _allot(self, instance: Instance, slots: int) -> int:
        if instance.data_centre != self._data_centre:
            return 0
        name = self._membership.own.name
        return allotted_slots(instance.instance_id, slots, name, self._entries)

    def _live_entries(self) -> tuple[str, ...]:
        live = self._membership.live(self._data_centre)
        return tuple(sorted(member.name for member in live))

    def _follow_entries(self, now: float) -> None:
        if now - self._entries_read < ENTRIES_SECONDS:
            return
        self._entries_read = now
        entries = self._live_entries()
        if entries != self._entries:
            self._entries = entries
            self.index.allot_again()

    def _probe_for(
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
        load = self._standing.probation(group, now)
        if load is None or now < load.avoid_until:
            return None
        instance_id = load.instance.instance_id
        return load if self._membership.instance_may_get_work(instance_id) else None

    def _note_unreachable(self, load: WorkerLoad, attempt: Attempt, now: float) -> None:
        if not is_unreachable(attempt):
            load.unreachable = 0
            return
        pause = UNREACHABLE_SECONDS * 2.0**load.unreachable
        load.unreachable = min(load.unreachable + 1, 8)
        pause = min(pause, UNREACHABLE_MAXIMUM_SECONDS)
        load.avoid_until = now + pause * (0.5 + self._random.random() / 2)

    def _report(self, load: WorkerLoad, attempt: Attempt, now: float) -> None:
        instance_id = load.instance.instance_id
        if attempt.outcome is AttemptOutcome.ANSWERED:
            if load.suspect:
                load.suspect = False
                began = now - attempt.latency_seconds
                self._membership.report_instance(instance_id, True, "answered", began)
        elif is_unreachable(attempt) or _is_refused_for_good(attempt):
            load.suspect = True
            self._membership.report_instance(instance_id, False, attempt.cause)

    def _note_refusal(
        self, load: WorkerLoad, facts: RequestFacts, attempt: Attempt, now: float
    ) -> None:
        if attempt.outcome is not AttemptOutcome.REFUSED:
            return
        if attempt.cause != _BUSY:
            load.avoid_until = now + AVOID_SECONDS
            return
        known = others_in_flight(load, now)
        load.others = max(known, float(load.instance.slots - load.in_flight))
        load.others_at = now
        load.others_memory = BUSY_MEMORY_SECONDS
        self._publish(
            WorkerBusy(
                load.instance.instance_id,
                load.instance.pool,
                facts.request_id,
                facts.urgency,
            )
        )

    def _follow_absence(self, change: AbsenceChange) -> None:
        load = self._index.load(change.instance_id)
        if load is None:
            return
        now = self._timers.monotonic()
        if change.up:
            self._standing.release(self._index, load, now)
        elif change.cause == QUARANTINE_CAUSE:
            self._standing.adopt_quarantine(self._index, load, now)

    def _adopt_absences(self) -> None:
        for absence in self._log.state.absences.values():
            self._follow_absence(
                AbsenceChange(absence.instance_id, False, absence.boot, absence.cause)
            )

    def _attempt_id(self) -> str:
        return f"{self._random.getrandbits(96):024x}"

    def _refuse(self, code: str, status: int, detail: str) -> RequestRefusal:
        spread = self._random.random() * REFUSAL_SPREAD_SECONDS
        retry_after = None if status == 504 else REFUSAL_BASE_SECONDS + spread
        return RequestRefusal(code, status, Ran.NO, detail, retry_after)


def _is_refused_for_good(attempt: Attempt) -> bool:
    return attempt.outcome is AttemptOutcome.REFUSED and attempt.cause != _BUSY
