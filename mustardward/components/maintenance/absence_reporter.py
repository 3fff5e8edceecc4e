"""Report failed and returned instances of this data centre in batches."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from ...exceptions import PlatformError, PlatformRefusedError
from ...helpers.logging import get_logger
from ...standin.protocol.models import InstancePower, PowerState
from ...standin.protocol.protocols import ListingService
from ...state.budgets import get_budget_index
from ...state.handlers.absences import CAUSE_FAILED
from ...state.instance_status import is_quarantine
from ...state.models.maintenance import AbsenceChange, ReportAbsences
from .const import (
    DOWN_AFTER_SECONDS,
    DUTY_ABSENCES,
    LIST_INTERVAL_SECONDS,
    LIST_INTERVAL_SECONDS_PER_INSTANCE,
    MAX_CHECKS_PER_STEP,
    MAX_RETURN_BACKOFF_SECONDS,
    RETURN_BACKOFF_SECONDS,
    UNREACHABLE_AFTER_SECONDS,
)
from .models import ExecutorDependencies

_LOGGER = get_logger(__name__)

CAUSE_LEAVING = "leaving"


@dataclass(slots=True, eq=False)
class _Backoff:
    """Hold when the return of an absent instance is next checked, and the backoff."""

    due: float
    seconds: float = RETURN_BACKOFF_SECONDS


class AbsenceReporter:
    """Report failures found by membership, the instance list and the power service.

    One entry node of a data centre reports at a time. Concurrent reporters are harmless
    but append duplicate records.
    """

    def __init__(
        self, dependencies: ExecutorDependencies, listing: ListingService | None
    ) -> None:
        self._dependencies = dependencies
        self._listing = listing
        self._suspected_since: dict[str, float] = {}
        self._unlisted: set[str] = set()
        self._next_list_at = float("-inf")
        self._backoffs: dict[str, _Backoff] = {}

    async def async_step(self) -> None:
        """Check suspected and absent instances and report all changes in one record."""
        log = self._dependencies.log
        if not log.ready or not self._dependencies.membership.owns_duty(DUTY_ABSENCES):
            self._suspected_since.clear()
            return
        await self._async_update_list()
        changes: list[AbsenceChange] = []
        async with anyio.create_task_group() as group:
            for name in self._overdue_suspects()[:MAX_CHECKS_PER_STEP]:
                group.start_soon(self._async_check_suspect, name, changes)
            for name in self._due_absences()[:MAX_CHECKS_PER_STEP]:
                group.start_soon(self._async_check_absent, name, changes)
        if changes and log.may_decide:
            changes.sort(key=lambda change: change.instance_id)
            body = ReportAbsences(self._dependencies.data_centre, tuple(changes))
            await log.async_propose(body, actor=self._dependencies.executor)

    def _overdue_suspects(self) -> list[str]:
        now = self._dependencies.timers.monotonic()
        suspects = self._suspects()
        self._suspected_since = {
            name: self._suspected_since.get(name, now) for name in suspects
        }
        return sorted(
            name
            for name, first_seen in self._suspected_since.items()
            if now - first_seen >= DOWN_AFTER_SECONDS
        )

    def _suspects(self) -> set[str]:
        dependencies = self._dependencies
        state = dependencies.log.state
        index = get_budget_index(state)
        suspected = dependencies.membership.suspended_instances() | self._unlisted
        return {
            name
            for name in suspected
            if (instance := state.instances.get(name)) is not None
            and instance.data_centre == dependencies.data_centre
            and index.is_available(name)
        }

    def _due_absences(self) -> list[str]:
        state = self._dependencies.log.state
        now = self._dependencies.timers.monotonic()
        absent = {
            name
            for name, absence in state.absences.items()
            if state.instances[name].data_centre == self._dependencies.data_centre
            and not is_quarantine(absence)
            and name not in state.claims
        }
        for name in absent - self._backoffs.keys():
            self._backoffs[name] = _Backoff(now + RETURN_BACKOFF_SECONDS)
        return sorted(name for name in absent if self._backoffs[name].due <= now)

    async def _async_update_list(self) -> None:
        now = self._dependencies.timers.monotonic()
        if self._listing is None or now < self._next_list_at:
            return
        try:
            listed = await self._listing.async_list(self._dependencies.data_centre)
        except PlatformError:
            return
        wait = max(
            LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS_PER_INSTANCE * len(listed)
        )
        self._next_list_at = now + wait
        present = {item.instance_id for item in listed}
        self._unlisted = self._dependencies.log.state.instances.keys() - present

    async def _async_check_suspect(
        self, name: str, changes: list[AbsenceChange]
    ) -> None:
        now = self._dependencies.timers.monotonic()
        suspected_seconds = now - self._suspected_since[name]
        try:
            power = await self._dependencies.power.async_get(name)
        except PlatformRefusedError:
            # The platform does not know the instance, so it cannot return by itself.
            changes.append(AbsenceChange(name, False, 0, CAUSE_FAILED))
            return
        except PlatformError:
            if (
                suspected_seconds >= UNREACHABLE_AFTER_SECONDS
                and name not in self._unlisted
            ):
                changes.append(AbsenceChange(name, False, 0, CAUSE_FAILED))
            return
        if power.state in (PowerState.DRAINING, PowerState.DRAINED):
            await self._async_return_orphaned(power)
        cause = _cause(power.state, suspected_seconds)
        if cause and not (power.state is PowerState.SERVING and name in self._unlisted):
            changes.append(AbsenceChange(name, False, power.boot, cause))

    async def _async_check_absent(
        self, name: str, changes: list[AbsenceChange]
    ) -> None:
        now = self._dependencies.timers.monotonic()
        backoff = self._backoffs[name]
        try:
            power = await self._dependencies.power.async_get(name)
        except PlatformError:
            backoff.due = now + RETURN_BACKOFF_SECONDS
            return
        absence = self._dependencies.log.state.absences.get(name)
        if power.state in (PowerState.DRAINING, PowerState.DRAINED):
            await self._async_return_orphaned(power)
        if absence is None or power.state is not PowerState.SERVING:
            backoff.due = now + RETURN_BACKOFF_SECONDS
            return
        # The platform may report an instance as serving that no entry node can reach.
        # It would alternate between absent and returned in the log for ever, so each
        # return doubles the delay of the next one.
        backoff.seconds = min(backoff.seconds * 2, MAX_RETURN_BACKOFF_SECONDS)
        backoff.due = now + backoff.seconds
        changes.append(AbsenceChange(name, True, power.boot, absence.cause))

    async def _async_return_orphaned(self, power: InstancePower) -> None:
        """Return a drained instance to service whose claim or move no longer exists.

        Its executor stopped after the record that ended the claim and before the call,
        or a cancelled move left it drained. It would otherwise never serve again.
        """
        log = self._dependencies.log
        held = {*log.state.claims, *log.state.moves}
        is_own_generation = 0 < power.generation <= log.sequence
        if power.instance_id in held or not is_own_generation or not log.may_decide:
            return
        operation = f"forgotten.{power.instance_id}.{power.generation}"
        try:
            await self._dependencies.power.async_return(
                power.instance_id, operation, power.generation
            )
        except PlatformError as error:
            _LOGGER.warning(
                "return_postponed", instance=power.instance_id, cause=error.code
            )


def _cause(state: PowerState, suspected_seconds: float) -> str:
    if state is PowerState.DOWN:
        return CAUSE_FAILED
    if state is PowerState.SERVING:
        overdue = suspected_seconds >= UNREACHABLE_AFTER_SECONDS
        return CAUSE_FAILED if overdue else ""
    return CAUSE_LEAVING
