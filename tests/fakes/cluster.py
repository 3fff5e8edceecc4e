"""Run the membership of many entry nodes in one process with a driven clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, cast

from anyio.abc import TaskGroup

from mustardward.components.keys import (
    FLEET_LOG,
    LIMITER,
    LISTING_SERVICE,
    MEMBERSHIP,
    PEERS,
    POWER_SERVICE,
)
from mustardward.components.membership import async_setup
from mustardward.components.membership.models import (
    DataCentreReachabilityChanged,
    MembershipChanged,
    MemberStatus,
)
from mustardward.components.membership.services import MembershipService
from mustardward.core import Core, Unload
from mustardward.exceptions import PlatformUnavailableError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PeerAddress,
    PlatformSettings,
    Settings,
)
from mustardward.standin.protocol.models import InstancePower, ListedInstance
from mustardward.state.fleet import FleetState

from .peers import FakeNetwork, FakePeers

STEP_SECONDS: Final = 0.1


@dataclass(eq=False)
class FakeFleetLog:
    """Hold a fleet state that a test changes directly."""

    state: FleetState = field(default_factory=FleetState)
    next_offset: int = 0
    digest: str = ""


@dataclass(eq=False)
class FakeLoad:
    """Provide the number of requests in flight that a test sets."""

    in_flight: int = 0


@dataclass(eq=False)
class FakeListing:
    """Return the instance list that a test sets, or fail while ``down`` is set."""

    listed: tuple[ListedInstance, ...] = ()
    down: bool = False
    reads: int = 0

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError()
        return self.listed


@dataclass(eq=False)
class FakePower:
    """Return the power states that a test sets."""

    states: dict[str, InstancePower] = field(default_factory=dict)

    async def async_get(self, instance_id: str) -> InstancePower:
        if instance_id not in self.states:
            raise PlatformUnavailableError()
        return self.states[instance_id]


@dataclass(eq=False)
class Node:
    """Represent one entry node of the cluster."""

    name: str
    core: Core
    timers: DrivenTimerService
    peers: FakePeers
    fleet: FakeFleetLog
    load: FakeLoad
    listing: FakeListing
    power: FakePower
    unload: Unload
    changes: list[MembershipChanged] = field(default_factory=list)
    reachability_changes: list[DataCentreReachabilityChanged] = field(
        default_factory=list
    )
    paused_seconds: float = 0.0

    @property
    def membership(self) -> MembershipService:
        return cast(MembershipService, self.core.get(MEMBERSHIP))

    def status(self, name: str) -> MemberStatus | None:
        """Return the status of a member as this node sees it."""
        found = {member.name: member for member in self.membership.members()}
        return found[name].status if name in found else None

    def live(self, data_centre: str | None = None) -> set[str]:
        return {member.name for member in self.membership.live(data_centre)}


def _build_settings(name: str, centre: str, seeds: tuple[PeerAddress, ...]) -> Settings:
    return Settings(
        entry=EntryIdentity(name=name, data_centre=centre),
        callers=Listener(port=0),
        peers=seeds,
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )


@dataclass(eq=False)
class Cluster:
    """Run nodes that share a fake network and advance their clocks together."""

    network: FakeNetwork = field(default_factory=FakeNetwork)
    nodes: dict[str, Node] = field(default_factory=dict)
    now: float = 1_000_000.0
    _addresses: int = 0
    seeds: dict[str, PeerAddress] = field(default_factory=dict)

    async def async_start(self, name: str, centre: str) -> Node:
        """Start an entry node, which knows the addresses of the seeds."""
        self._addresses += 1
        address = f"10.0.{self._addresses // 250}.{self._addresses % 250 + 1}:9000"
        timers = DrivenTimerService(self.now)
        settings = _build_settings(name, centre, tuple(self.seeds.values()))
        core = Core(settings, timers, cast(TaskGroup, None))
        peers = FakePeers(self.network, name, address)
        fleet, listing, power = FakeFleetLog(), FakeListing(), FakePower()
        load = FakeLoad()
        dependencies: tuple[tuple[Any, Any], ...] = (
            (PEERS, peers),
            (FLEET_LOG, fleet),
            (LIMITER, load),
            (LISTING_SERVICE, listing),
            (POWER_SERVICE, power),
        )
        for key, service in dependencies:
            core.put(key, service)
        node = Node(
            name, core, timers, peers, fleet, load, listing, power, _async_do_nothing
        )
        core.events.listen(MembershipChanged, node.changes.append)
        core.events.listen(
            DataCentreReachabilityChanged, node.reachability_changes.append
        )
        node.unload = await async_setup(core)
        self.nodes[name] = node
        host, _, port = address.rpartition(":")
        self.seeds.setdefault(
            name,
            PeerAddress(name=name, data_centre=centre, host=host, port=int(port)),
        )
        return node

    async def async_start_all(self, sizes: dict[str, int], seeds: int = 3) -> None:
        """Start nodes ``<centre>-<number>``; the first ``seeds`` of each are seeds."""
        for number in range(max(sizes.values())):
            for centre, size in sizes.items():
                if number < size:
                    name = f"{centre}-{number}"
                    await self.async_start(name, centre)
                    if number >= seeds:
                        del self.seeds[name]

    async def async_run(self, seconds: float) -> None:
        """Advance the clocks of all nodes that are not paused."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for node in list(self.nodes.values()):
                if node.peers.address in self.network.stopped:
                    node.paused_seconds += STEP_SECONDS
                else:
                    await node.timers.async_advance(STEP_SECONDS)

    async def async_run_until(
        self, condition: Callable[[], bool], limit: float
    ) -> float:
        """Run until a condition holds; return the seconds, at most about ``limit``."""
        passed = 0.0
        while not condition() and passed < limit:
            await self.async_run(STEP_SECONDS)
            passed += STEP_SECONDS
        return passed

    def kill(self, name: str) -> None:
        """Remove a node without notice to the others."""
        node = self.nodes.pop(name)
        del self.network.peers[node.peers.address]

    def pause(self, name: str) -> None:
        """Pause a node, which then accepts calls but never responds."""
        self.network.stopped.add(self.nodes[name].peers.address)

    def resume(self, name: str) -> None:
        """Resume a paused node and report its pause to its timers."""
        node = self.nodes[name]
        self.network.stopped.discard(node.peers.address)
        node.timers.pause(node.paused_seconds)
        node.paused_seconds = 0.0

    def nodes_in(self, centre: str) -> list[Node]:
        """Return the running nodes of one data centre."""
        return [
            node
            for node in self.nodes.values()
            if node.core.settings.entry.data_centre == centre
        ]

    def addresses(self, centre: str) -> list[str]:
        return [node.peers.address for node in self.nodes_in(centre)]


async def _async_do_nothing() -> None:
    return None
