"""Read the platform's instance list, which lags, as one of several sources."""

from __future__ import annotations

from collections.abc import Callable

from ...exceptions import PlatformError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...standin.protocol.models import ListedInstance, ListedState
from ...standin.protocol.protocols import ListingService
from .const import (
    ABSENCES_BEFORE_GONE,
    DUTY_LIST,
    LIST_DUTY_HOLDERS,
    LIST_INTERVAL_SECONDS,
    LIST_INTERVAL_SECONDS_PER_INSTANCE,
)
from .instances import InstanceTable
from .models import MemberStatus
from .reporter import Event, Reporter
from .services import MembershipService
from .table import MemberTable

_LOGGER = get_logger(__name__)

ENTRY_KIND = "entry"
WORKER_KIND = "worker"


class InstanceListMonitor:
    """Turn changes of the instance list into evidence.

    Only changes count: a lagging list repeats outdated states, which must not override
    newer evidence.
    """

    def __init__(
        self,
        find_listing: Callable[[], ListingService | None],
        timers: TimerService,
        membership: MembershipService,
        table: MemberTable,
        instances: InstanceTable,
        reporter: Reporter,
    ) -> None:
        self._find_listing = find_listing
        self._timers = timers
        self._membership = membership
        self._table = table
        self._instances = instances
        self._reporter = reporter
        self._last_listed: dict[str, ListedInstance] = {}
        self._listed_entries: set[str] = set()
        self._absences: dict[str, int] = {}
        self._next_read_at = float("-inf")

    async def async_read(self) -> None:
        """Read the list if this process holds the duty and the interval has passed."""
        listing = self._find_listing()
        now = self._timers.monotonic()
        if listing is None or now < self._next_read_at:
            return
        if not self._membership.owns_duty(DUTY_LIST, LIST_DUTY_HOLDERS):
            return
        try:
            listed = await listing.async_list(self._table.own.data_centre)
        except PlatformError as error:
            _LOGGER.debug("instance_list_unavailable", code=error.code)
            return
        self._next_read_at = now + max(
            LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS_PER_INSTANCE * len(listed)
        )
        self.apply_list(listed, now)

    def apply_list(self, listed: tuple[ListedInstance, ...], started_at: float) -> None:
        """Apply one read of the list.

        :param started_at: when the read started, in monotonic seconds.
        """
        now = self._timers.monotonic()
        centre = self._table.own.data_centre
        for item in listed:
            if item.kind == WORKER_KIND and item.data_centre == centre:
                events = self._apply_worker(item, started_at, now)
                self._reporter.report(events, propagate=True)
            elif item.kind == ENTRY_KIND:
                self._apply_entry(item, now)
        self._apply_missing_entries(listed, now)
        self._last_listed = {item.instance_id: item for item in listed}

    def _apply_worker(
        self, item: ListedInstance, started_at: float, now: float
    ) -> list[Event]:
        previous = self._last_listed.get(item.instance_id)
        if previous is not None and (previous.state, previous.boot) == (
            item.state,
            item.boot,
        ):
            return []
        if item.state is ListedState.LEAVING:
            events = self._instances.record_leaving(
                item.instance_id, "list", now, item.boot
            )
            return list(events)
        known = self._instances.leaving().get(item.instance_id, 0)
        if not known or item.boot <= known:
            return []
        return list(
            self._instances.record_serving(
                item.instance_id, "list", started_at, now, item.boot
            )
        )

    def _apply_entry(self, item: ListedInstance, now: float) -> None:
        self._listed_entries.add(item.instance_id)
        self._absences.pop(item.instance_id, None)
        if item.state is ListedState.LIVE:
            self._table.add_address(
                item.instance_id, item.data_centre, item.address, now
            )

    def _apply_missing_entries(
        self, listed: tuple[ListedInstance, ...], now: float
    ) -> None:
        # An unresponsive entry node may only be paused. It counts as gone once the
        # platform, which has listed it, omits it in several reads.
        present = {item.instance_id for item in listed}
        for name in self._listed_entries - present:
            member = self._table.get(name)
            if member is None or member.status not in (
                MemberStatus.SUSPECT,
                MemberStatus.LEAVING,
            ):
                continue
            self._absences[name] = self._absences.get(name, 0) + 1
            if self._absences[name] >= ABSENCES_BEFORE_GONE:
                events = self._table.apply_evidence(member, MemberStatus.GONE, now)
                self._reporter.report(events, propagate=True)
