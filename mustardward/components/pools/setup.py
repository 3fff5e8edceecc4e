"""Put the parts of moves together in one process."""

from __future__ import annotations

from collections.abc import Callable

from ...core import Core, Unload
from ..keys import PEERS, ROUTER
from ..maintenance.setup import build_executor_dependencies
from . import api  # noqa: F401
from .acknowledge import Acknowledger
from .const import STEP_SECONDS
from .messages import AskAcknowledgement
from .services import MoveExecutor


async def async_setup_pools(core: Core) -> Unload:
    """Start to carry out moves and to answer for this entry."""
    parts = build_executor_dependencies(core)
    peers = core.find(PEERS)
    acknowledger = Acknowledger(parts, _counter(core))
    executor = MoveExecutor(parts, peers, acknowledger)
    undo = [core.timers.subscribe("pools.step", STEP_SECONDS, executor.async_step)]
    if peers is not None:
        undo.append(peers.handle(AskAcknowledgement, acknowledger.async_answer))

    async def async_unload() -> None:
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


def _counter(core: Core) -> Callable[[str], int]:
    def in_flight(instance_id: str) -> int:
        count = getattr(core.find(ROUTER), "in_flight", None)
        return int(count(instance_id)) if count is not None else 0

    return in_flight
