"""Build the objects of the membership component."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ...core import Core
from ...helpers.timer import TimerService
from ..keys import FLEET_LOG, LIMITER, LISTING_SERVICE, PEERS, POWER_SERVICE
from ..peers.protocols import Peers
from .const import (
    CLEANUP_INTERVAL_SECONDS,
    FLUSH_INTERVAL_SECONDS,
    GOSSIP_INTERVAL_SECONDS,
    LIST_INTERVAL_SECONDS,
    RETURN_CHECK_INTERVAL_SECONDS,
)
from .counter import ChangeCounter
from .digests import Digests
from .failure_detector import DataCentreFailureDetector
from .gossip import Gossip
from .instances import InstanceTable
from .listing import InstanceListMonitor
from .models import Member, MemberStatus
from .reporter import Reporter
from .returns import ReturnChecker
from .services import MembershipService
from .table import MemberTable
from .targets import TargetChooser

Unsubscribe = Callable[[], None]


@dataclass(frozen=True, slots=True)
class MembershipRuntime:
    """Hold the objects that run periodically or handle messages of peers."""

    service: MembershipService
    gossip: Gossip
    listing: InstanceListMonitor
    returns: ReturnChecker
    remove_expired: Callable[[], None]
    peers: Peers

    def subscribe(self, timers: TimerService) -> list[Unsubscribe]:
        """Register message handlers and timers; return functions that remove them."""

        async def async_remove_expired() -> None:
            self.remove_expired()

        unsubscribes = [
            self.peers.handle(message_type, handler)
            for message_type, handler in self.gossip.handlers()
        ]
        periodic = (
            ("membership.round", GOSSIP_INTERVAL_SECONDS, self.gossip.async_round),
            ("membership.flush", FLUSH_INTERVAL_SECONDS, self.gossip.async_flush),
            ("membership.list", LIST_INTERVAL_SECONDS, self.listing.async_read),
            (
                "membership.returns",
                RETURN_CHECK_INTERVAL_SECONDS,
                self.returns.async_check,
            ),
            ("membership.forget", CLEANUP_INTERVAL_SECONDS, async_remove_expired),
        )
        unsubscribes.extend(timers.subscribe(*item) for item in periodic)
        unsubscribes.append(timers.subscribe_pause(self.gossip.handle_pause))
        return unsubscribes


def assemble(core: Core) -> MembershipRuntime:
    """Build and connect the objects for one process."""
    timers = core.timers
    peers = core.get(PEERS)
    now = timers.monotonic()
    own = _build_own_member(core, peers.address)
    counter = ChangeCounter()
    table = MemberTable(own, counter, now)
    for seed in core.settings.peers:
        table.add_address(seed.name, seed.data_centre, f"{seed.host}:{seed.port}", now)
    instances = InstanceTable(counter)
    failure_detector = DataCentreFailureDetector(own.data_centre)
    reporter = Reporter(core.events, lambda: _applied_offset(core))
    digests = Digests(counter, table, instances, failure_detector)
    service = MembershipService(
        timers,
        table,
        instances,
        failure_detector,
        reporter,
        lambda: core.find(FLEET_LOG),
        lambda: core.find(LIMITER),
    )
    targets = TargetChooser(table, Random(f"{own.name} {own.incarnation}"))
    gossip = Gossip(
        peers,
        timers,
        table,
        digests,
        failure_detector,
        targets,
        reporter,
        service.refresh_own,
    )
    service.attach(gossip)
    listing = InstanceListMonitor(
        lambda: core.find(LISTING_SERVICE), timers, service, table, instances, reporter
    )
    returns = ReturnChecker(
        lambda: core.find(POWER_SERVICE),
        lambda: core.find(FLEET_LOG),
        timers,
        service,
        instances,
        reporter,
    )

    def remove_expired() -> None:
        now = timers.monotonic()
        fleet = core.find(FLEET_LOG)
        table.remove_expired(now)
        digests.remove_expired()
        instances.remove_expired(
            fleet.state.instances if fleet else instances.leaving(), now
        )

    return MembershipRuntime(service, gossip, listing, returns, remove_expired, peers)


def _applied_offset(core: Core) -> int:
    fleet = core.find(FLEET_LOG)
    return fleet.next_offset - 1 if fleet else -1


def _build_own_member(core: Core, address: str) -> Member:
    # Taken from the wall clock, the incarnation is higher than that of any earlier
    # process with this name. If the clock goes back, the peers' records correct it.
    incarnation = int(core.timers.wall() * 1000)
    identity = core.settings.entry
    return Member(
        identity.name,
        identity.data_centre,
        address,
        incarnation,
        MemberStatus.ALIVE,
    )
