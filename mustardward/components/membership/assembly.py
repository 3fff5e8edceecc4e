"""Build the parts of membership for one process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ...core import Core
from ...helpers.timer import TimerService
from ..keys import FLEET_LOG, LIMITER, LISTING_SERVICE, PEERS, POWER_SERVICE
from ..peers.protocols import Peers
from .const import (
    FLUSH_SECONDS,
    FORGET_SECONDS,
    LIST_SECONDS,
    RETURN_CHECK_SECONDS,
    ROUND_SECONDS,
)
from .counter import ChangeCounter
from .digests import Digests
from .gossip import Gossip
from .instances import InstanceTable
from .listing import ListReader
from .models import Member, MemberStatus
from .reporter import Reporter
from .returns import ReturnChecker
from .services import MembershipService
from .silence import SilenceDetector
from .table import MemberTable
from .targets import TargetChooser

Undo = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Parts:
    """Hold the parts that run at intervals or answer peers."""

    service: MembershipService
    gossip: Gossip
    listing: ListReader
    returns: ReturnChecker
    forget: Callable[[], None]
    peers: Peers

    def subscribe(self, timers: TimerService) -> list[Undo]:
        """Begin to answer peers and to run at intervals; return what ends it."""

        async def async_forget() -> None:
            self.forget()

        undo = [
            self.peers.handle(message_type, handler)
            for message_type, handler in self.gossip.handlers()
        ]
        periodic = (
            ("membership.round", ROUND_SECONDS, self.gossip.async_round),
            ("membership.flush", FLUSH_SECONDS, self.gossip.async_flush),
            ("membership.list", LIST_SECONDS, self.listing.async_read),
            ("membership.returns", RETURN_CHECK_SECONDS, self.returns.async_check),
            ("membership.forget", FORGET_SECONDS, async_forget),
        )
        undo.extend(timers.subscribe(*item) for item in periodic)
        undo.append(timers.subscribe_pause(self.gossip.note_pause))
        return undo


def assemble(core: Core) -> Parts:
    """Return the parts for one process."""
    timers = core.timers
    peers = core.get(PEERS)
    now = timers.monotonic()
    own = _own_member(core, peers.address)
    counter = ChangeCounter()
    table = MemberTable(own, counter, now)
    for seed in core.settings.peers:
        table.meet(seed.name, seed.data_centre, f"{seed.host}:{seed.port}", now)
    instances = InstanceTable(counter)
    silence = SilenceDetector(own.data_centre)
    reporter = Reporter(core.events, lambda: _folded_offset(core))
    digests = Digests(counter, table, instances, silence)
    service = MembershipService(
        timers,
        table,
        instances,
        silence,
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
        silence,
        targets,
        reporter,
        service.refresh_own,
    )
    service.attach(gossip)
    listing = ListReader(
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

    def forget() -> None:
        now = timers.monotonic()
        fleet = core.find(FLEET_LOG)
        table.forget(now)
        digests.forget()
        instances.forget(fleet.state.instances if fleet else instances.leaving(), now)

    return Parts(service, gossip, listing, returns, forget, peers)


def _folded_offset(core: Core) -> int:
    fleet = core.find(FLEET_LOG)
    return fleet.next_offset - 1 if fleet else -1


def _own_member(core: Core, address: str) -> Member:
    # Drawn from the wall clock, an incarnation is higher than that of any process that
    # had the name before. Should that clock go back, the peers' word corrects it.
    incarnation = int(core.timers.wall() * 1000)
    identity = core.settings.entry
    return Member(
        identity.name,
        identity.data_centre,
        address,
        incarnation,
        MemberStatus.ALIVE,
    )
