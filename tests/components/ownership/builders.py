"""Build what an entry that may own the shard needs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from mustardward.components.configuration.services import Configuration
from mustardward.components.ledger.const import TOPIC
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ownership.models import OwnerDependencies
from mustardward.helpers.timer import TimerService
from mustardward.platform.boot import BootBounds
from mustardward.platform.http import HttpCaller
from mustardward.platform.models import OperatorConfig

READ_INTERVAL_SECONDS = 0.1


def a_configuration() -> Configuration:
    """Return a configuration that was read and has no queues."""
    configuration = Configuration()
    configuration.config = OperatorConfig(version=1)
    return configuration


def build_dependencies(
    node: str, store: Any, timers: TimerService, **changes: Any
) -> OwnerDependencies:
    """Return the dependencies of an entry with a ledger and a follower of its own.

    :param store: simulates the calls of a store client.
    :param changes: fields that differ from an entry without a fleet.
    """
    ledger = Ledger()
    follower = TopicFollower(
        store, timers, TOPIC, ledger.apply, ledger.keys, READ_INTERVAL_SECONDS
    )
    dependencies = OwnerDependencies(
        node,
        store,
        HttpCaller(),
        timers,
        ledger,
        follower,
        a_configuration(),
        BootBounds(),
    )
    return replace(dependencies, **changes)
