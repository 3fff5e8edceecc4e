"""Set up the moves between pools in one process."""

from __future__ import annotations

from collections.abc import Callable

from ...core import Core, Unload
from ..keys import PEERS, ROUTER
from ..maintenance.setup import build_executor_dependencies
from . import api  # noqa: F401
from .acknowledger import Acknowledger
from .const import STEP_INTERVAL_SECONDS
from .messages import AcknowledgementRequest
from .move_executor import MoveExecutor


async def async_setup_pools(core: Core) -> Unload:
    """Start to carry out moves and to acknowledge them for this entry."""
    dependencies = build_executor_dependencies(core)
    peers = core.find(PEERS)
    acknowledger = Acknowledger(dependencies, _build_in_flight_counter(core))
    executor = MoveExecutor(dependencies, peers, acknowledger)
    undo = [
        core.timers.subscribe("pools.step", STEP_INTERVAL_SECONDS, executor.async_step)
    ]
    if peers is not None:
        undo.append(peers.handle(AcknowledgementRequest, acknowledger.async_answer))

    async def async_unload() -> None:
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


def _build_in_flight_counter(core: Core) -> Callable[[str], int]:
    def in_flight(instance_id: str) -> int:
        count = getattr(core.find(ROUTER), "in_flight", None)
        return int(count(instance_id)) if count is not None else 0

    return in_flight
