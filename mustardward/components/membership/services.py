"""Provide the membership service for other components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ...const import LEAVING_BOUND_SECONDS
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...state.protocols import FleetLog
from ..entry.protocols import Limiter
from .duties import DutyAssignments
from .failure_detector import DataCentreFailureDetector
from .gossip import Gossip
from .instances import InstanceTable
from .models import Member, MemberStatus
from .reporter import Reporter
from .table import UNCONFIRMED, MemberTable
from .targets import is_live

_LOGGER = get_logger(__name__)

DRAINING_CAUSES: Final = frozenset({"draining", "leaving"})
NEUTRAL_CAUSES: Final = frozenset({"busy", "stale-generation"})
"""Refusals that are no evidence for or against a worker."""

QUARANTINE_CAUSE: Final = "quarantine"
FLEET_DIGEST_CHARACTERS: Final = 8


class MembershipService:
    """Track live entry nodes and the availability of worker instances.

    :param find_fleet: returns the fleet log, once it is set up.
    :param find_limiter: returns the limiter, once it is set up.
    """

    def __init__(
        self,
        timers: TimerService,
        table: MemberTable,
        instances: InstanceTable,
        failure_detector: DataCentreFailureDetector,
        reporter: Reporter,
        find_fleet: Callable[[], FleetLog | None],
        find_limiter: Callable[[], Limiter | None],
    ) -> None:
        self._timers = timers
        self._table = table
        self._instances = instances
        self._failure_detector = failure_detector
        self._reporter = reporter
        self._find_fleet = find_fleet
        self._find_limiter = find_limiter
        self._gossip: Gossip | None = None
        self._duties = DutyAssignments()

    @property
    def own(self) -> Member:
        """Return this process as a member."""
        return self._table.own

    def attach(self, gossip: Gossip) -> None:
        """Set the gossip object, which is built after this service."""
        self._gossip = gossip

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return all confirmed members that are not gone, this process included.

        An address from the settings alone is no member: it may belong to an entry node
        that was replaced, and a caller that awaits all members would wait forever.
        """
        return tuple(
            member
            for member in self._table.members(data_centre)
            if member.incarnation != UNCONFIRMED
        )

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the live members of reachable data centres, this process included."""
        unreachable = self._failure_detector.unreachable
        return tuple(
            member
            for member in self._table.members(data_centre)
            if is_live(member) and member.data_centre not in unreachable
        )

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether no member of a data centre has been reachable for a while."""
        return data_centre in self._failure_detector.unreachable

    def is_gone(self, name: str, start: int) -> bool:
        """Return whether an incarnation of an entry node is known to have ended."""
        member = self._table.get(name)
        if member is None or member.start < start:
            return False
        return member.start > start or member.status is MemberStatus.GONE

    def owns_duty(self, duty: str, holders: int = 1) -> bool:
        """Return whether a duty is assigned to this process.

        After a pause it holds none until contact with peers is settled: others may have
        taken over, and the work would be done twice, though without harm.
        """
        if self._gossip is not None and not self._gossip.confirmed:
            return False
        own = self.own
        names = self._duties.holders(
            duty, holders, self._table.revision, lambda: self.live(own.data_centre)
        )
        return own.name in names

    def suspended_instances(self) -> frozenset[str]:
        """Return the instances that are leaving or in backoff."""
        return self._instances.suspended(self._timers.monotonic())

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Return whether a worker may get work."""
        now = self._timers.monotonic()
        if not self._instances.is_eligible(instance_id, now):
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
        """Record the outcome of an attempt or a probe."""
        now = self._timers.monotonic()
        if healthy:
            events = self._instances.record_success(instance_id, sent_at, now)
            self._reporter.report(events, propagate=True)
        elif cause in DRAINING_CAUSES:
            events = self._instances.record_leaving(instance_id, "worker", now)
            self._reporter.report(events, propagate=True)
        elif cause not in NEUTRAL_CAUSES:
            events = self._instances.record_failure(instance_id, cause, now)
            self._reporter.report(events, propagate=False)

    def refresh_own(self) -> None:
        """Update the vitals of the own member."""
        fleet = self._find_fleet()
        limiter = self._find_limiter()
        self._table.update_vitals(
            self.own.name,
            fleet.next_offset if fleet else 0,
            fleet.digest[:FLEET_DIGEST_CHARACTERS] if fleet else "",
            limiter.in_flight if limiter else 0,
        )

    async def async_announce_leaving(self) -> None:
        """Announce to all peers without delay that this process is leaving."""
        await self._async_leave(MemberStatus.LEAVING)

    async def async_announce_end(self) -> None:
        """Announce to all peers that this process no longer serves requests."""
        await self._async_leave(MemberStatus.GONE)

    async def _async_leave(self, status: MemberStatus) -> None:
        events = self._table.set_final_status(status, self._timers.monotonic())
        self._reporter.report(events, propagate=False)
        if events and self._gossip is not None:
            await self._gossip.async_broadcast()
            _LOGGER.info(
                "leaving_announced", status=status, bound_seconds=LEAVING_BOUND_SECONDS
            )
