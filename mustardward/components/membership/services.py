"""Tie table, digests and evidence together as the public object."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ...const import LEAVING_BOUND_SECONDS
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...state.protocols import FleetLog
from ..entry.protocols import Limiter
from .duties import DutyBook
from .gossip import Gossip
from .instances import InstanceTable
from .models import Member, MemberStatus
from .reporter import Reporter
from .silence import SilenceDetector
from .table import UNMET, MemberTable
from .targets import is_live

_LOGGER = get_logger(__name__)

DRAINING_CAUSES: Final = frozenset({"draining", "leaving"})
INDIFFERENT_CAUSES: Final = frozenset({"busy", "stale-generation"})
"""Refusals that say nothing on whether a worker stays."""

QUARANTINE_CAUSE: Final = "quarantine"
DIGEST_CHARACTERS: Final = 8


class MembershipService:
    """Know the live entries and the instances that are leaving.

    :param find_fleet: returns the fleet log, once it is set up.
    :param find_limiter: returns the limiter, once it is set up.
    """

    def __init__(
        self,
        timers: TimerService,
        table: MemberTable,
        instances: InstanceTable,
        silence: SilenceDetector,
        reporter: Reporter,
        find_fleet: Callable[[], FleetLog | None],
        find_limiter: Callable[[], Limiter | None],
    ) -> None:
        self._timers = timers
        self._table = table
        self._instances = instances
        self._silence = silence
        self._reporter = reporter
        self._find_fleet = find_fleet
        self._find_limiter = find_limiter
        self._gossip: Gossip | None = None
        self._duties = DutyBook()

    @property
    def own(self) -> Member:
        """Return this process as a member."""
        return self._table.own

    def attach(self, gossip: Gossip) -> None:
        """Take the part that talks to peers."""
        self._gossip = gossip

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return all members met that are not gone, this process included.

        A mere address of the settings may lead nowhere: who waits for all members to
        answer would wait for ever for one that was replaced long ago.
        """
        return tuple(
            member
            for member in self._table.members(data_centre)
            if member.incarnation != UNMET
        )

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the members that are alive, this process included."""
        unreachable = self._silence.unreachable
        return tuple(
            member
            for member in self._table.members(data_centre)
            if is_live(member) and member.data_centre not in unreachable
        )

    def is_unreachable(self, data_centre: str) -> bool:
        """Tell whether a data centre has given no sign for a while."""
        return data_centre in self._silence.unreachable

    def is_gone(self, name: str, start: int) -> bool:
        """Tell whether a start of an entry is proven to have ended."""
        member = self._table.get(name)
        if member is None or member.start < start:
            return False
        return member.start > start or member.status is MemberStatus.GONE

    def owns_duty(self, duty: str, holders: int = 1) -> bool:
        """Tell whether this process is among the holders of a duty now.

        After a pause it holds none until a peer was heard: others may have taken over,
        which does no harm but would be work done twice.
        """
        if self._gossip is not None and not self._gossip.confirmed:
            return False
        own = self.own
        names = self._duties.holders(
            duty, holders, self._table.revision, lambda: self.live(own.data_centre)
        )
        return own.name in names

    def suspended_instances(self) -> frozenset[str]:
        """Return the instances that own or peers' evidence speaks against."""
        return self._instances.held_back(self._timers.monotonic())

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Tell whether a worker is neither leaving, suspect nor known as down."""
        now = self._timers.monotonic()
        if not self._instances.may_get_work(instance_id, now):
            return False
        fleet = self._find_fleet()
        if fleet is None:
            return True
        state = fleet.state
        if instance_id in state.claims or instance_id in state.moves:
            return False
        absence = state.absences.get(instance_id)
        return absence is None or absence.cause.startswith(QUARANTINE_CAUSE)

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        sent_at: float | None = None,
    ) -> None:
        """Take the evidence of an attempt or a probe into account."""
        now = self._timers.monotonic()
        if healthy:
            events = self._instances.note_success(instance_id, sent_at, now)
            self._reporter.report(events, pass_on=True)
        elif cause in DRAINING_CAUSES:
            events = self._instances.note_leaving(instance_id, "worker", now)
            self._reporter.report(events, pass_on=True)
        elif cause not in INDIFFERENT_CAUSES:
            events = self._instances.note_failure(instance_id, cause, now)
            self._reporter.report(events, pass_on=False)

    def refresh_own(self) -> None:
        """Bring what this process tells of itself up to date."""
        fleet = self._find_fleet()
        limiter = self._find_limiter()
        self._table.update_vitals(
            self.own.name,
            fleet.next_offset if fleet else 0,
            fleet.digest[:DIGEST_CHARACTERS] if fleet else "",
            limiter.in_flight if limiter else 0,
        )

    async def async_announce_leaving(self) -> None:
        """Tell all peers at once that this process is leaving."""
        await self._async_leave(MemberStatus.LEAVING)

    async def async_announce_end(self) -> None:
        """Tell all peers that this process answers and dispatches nothing any more."""
        await self._async_leave(MemberStatus.GONE)

    async def _async_leave(self, status: MemberStatus) -> None:
        events = self._table.leave(status, self._timers.monotonic())
        self._reporter.report(events, pass_on=False)
        if events and self._gossip is not None:
            await self._gossip.async_tell_everyone()
            _LOGGER.info(
                "leaving_announced", status=status, bound_seconds=LEAVING_BOUND_SECONDS
            )
