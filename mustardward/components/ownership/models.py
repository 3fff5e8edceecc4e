"""Define the dependencies of an ownership."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.timer import TimerService
from ...platform.advice import AdviceClient
from ...platform.boot import BootBounds, BootFleet
from ...platform.fleet import FleetClient
from ...platform.http import HttpCaller
from ...platform.store import StoreClient
from ..configuration.services import Configuration
from ..ledger.appender import AppendLimits
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger
from ..ledger.store_latency import StoreLatency
from .owner_query import PeerQuerier


@dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """Provide the clients and state that an owner's work needs.

    :param latency: tells how slow the store is.
    :param peers: reaches the other entries; None if there are none.
    :param append_limits: the sizes that the store accepts.
    :param fleet_limits: the platform's limits on fleet calls of all entries together.
    """

    node: str
    store: StoreClient
    http: HttpCaller
    timers: TimerService
    ledger: Ledger
    follower: TopicFollower
    configuration: Configuration
    bounds: BootBounds
    speed: float = 1.0
    advice: AdviceClient | None = None
    fleet: FleetClient | None = None
    fleet_limits: BootFleet = BootFleet()
    peers: PeerQuerier | None = None
    latency: StoreLatency = field(default_factory=StoreLatency)
    append_limits: AppendLimits = AppendLimits()
