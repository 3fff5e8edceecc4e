"""Hold what an ownership is built on."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.timer import TimerService
from ...platform.advice import AdviceClient
from ...platform.boot import BootBounds, BootFleet
from ...platform.fleet import FleetClient
from ...platform.http import HttpCaller
from ...platform.store import StoreClient
from ..configuration.services import Configuration
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger
from ..ledger.unlogged_completions import UnloggedCompletions


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """Hold what an owner's work is built on.

    :param fleet_limits: what the platform's fleet calls take of all entries together.
    """

    node: str
    store: StoreClient
    http: HttpCaller
    timers: TimerService
    ledger: Ledger
    follower: TopicFollower
    configuration: Configuration
    bounds: BootBounds
    unlogged: UnloggedCompletions
    speed: float = 1.0
    advice: AdviceClient | None = None
    fleet: FleetClient | None = None
    fleet_limits: BootFleet = BootFleet()
