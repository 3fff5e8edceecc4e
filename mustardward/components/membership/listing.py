"""Read the platform's list, one lagging source among several."""

from __future__ import annotations

from collections.abc import Callable

from ...exceptions import PlatformError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...standin.protocol.models import ListedInstance, ListedState
from ...standin.protocol.protocols import ListingService
from .const import (
    DUTY_LIST,
    LIST_ABSENCES,
    LIST_HOLDERS,
    LIST_SECONDS,
    LIST_SECONDS_PER_INSTANCE,
)
from .instances import InstanceTable
from .models import MemberStatus
from .reporter import Event, Reporter
from .services import MembershipService
from .table import MemberTable

_LOGGER = get_logger(__name__)

ENTRY_KIND = "entry"
WORKER_KIND = "worker"


class ListReader:
    """Turn changes of the list into evidence.

    Only changes count: a list that lags goes on saying what is long past, and must not
    outvote what was seen since.
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
        self._listed: dict[str, ListedInstance] = {}
        self._entries_seen: set[str] = set()
        self._absences: dict[str, int] = {}
        self._next_read = float("-inf")

    async def async_read(self) -> None:
        """Read the list if it is this process's turn."""
        listing = self._find_listing()
        now = self._timers.monotonic()
        if listing is None or now < self._next_read:
            return
        if not self._membership.owns_duty(DUTY_LIST, LIST_HOLDERS):
            return
        try:
            listed = await listing.async_list(self._table.own.data_centre)
        except PlatformError as error:
            _LOGGER.debug("list_unavailable", code=error.code)
            return
        self._next_read = now + max(
            LIST_SECONDS, LIST_SECONDS_PER_INSTANCE * len(listed)
        )
        self.take(listed, now)

    def take(self, listed: tuple[ListedInstance, ...], began: float) -> None:
        """Take one reading into account.

        :param began: when the reading began, in monotonic seconds.
        """
        now = self._timers.monotonic()
        centre = self._table.own.data_centre
        for item in listed:
            if item.kind == WORKER_KIND and item.data_centre == centre:
                events = self._take_worker(item, began, now)
                self._reporter.report(events, pass_on=True)
            elif item.kind == ENTRY_KIND:
                self._take_entry(item, now)
        self._take_missing_entries(listed, now)
        self._listed = {item.instance_id: item for item in listed}

    def _take_worker(
        self, item: ListedInstance, began: float, now: float
    ) -> list[Event]:
        before = self._listed.get(item.instance_id)
        if before is not None and (before.state, before.boot) == (
            item.state,
            item.boot,
        ):
            return []
        if item.state is ListedState.LEAVING:
            events = self._instances.note_leaving(
                item.instance_id, "list", now, item.boot
            )
            return list(events)
        known = self._instances.leaving().get(item.instance_id, 0)
        if not known or item.boot <= known:
            return []
        return list(
            self._instances.note_up(item.instance_id, "list", began, now, item.boot)
        )

    def _take_entry(self, item: ListedInstance, now: float) -> None:
        self._entries_seen.add(item.instance_id)
        self._absences.pop(item.instance_id, None)
        if item.state is ListedState.LIVE:
            self._table.meet(item.instance_id, item.data_centre, item.address, now)

    def _take_missing_entries(
        self, listed: tuple[ListedInstance, ...], now: float
    ) -> None:
        # An entry that does not answer may only be paused. That the platform listed it
        # and lists it no more, again and again, is the proof that it was taken away.
        present = {item.instance_id for item in listed}
        for name in self._entries_seen - present:
            member = self._table.get(name)
            if member is None or member.status not in (
                MemberStatus.SUSPECT,
                MemberStatus.LEAVING,
            ):
                continue
            self._absences[name] = self._absences.get(name, 0) + 1
            if self._absences[name] >= LIST_ABSENCES:
                events = self._table.signal(member, MemberStatus.GONE, now)
                self._reporter.report(events, pass_on=True)
