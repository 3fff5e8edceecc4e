"""Set the intent gate up."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import FLEET_LOG, INTENT_GATE, MEMBERSHIP, WORK_LOG
from .intents import LogIntentGate
from .intents_home import KeyHomes, home_name


async def async_setup_intents(core: Core) -> Unload:
    """Publish the intent gate and return what withdraws it."""
    entry = core.settings.entry
    membership = core.find(MEMBERSHIP)
    incarnation = membership.own.incarnation if membership else 0
    gate = LogIntentGate(
        log=core.get(WORK_LOG),
        homes=KeyHomes(entry.data_centre, core.find(FLEET_LOG), membership),
        timers=core.timers,
        tasks=core.tasks,
        identity=home_name(entry.name, incarnation),
    )
    stop = gate.start()
    core.put(INTENT_GATE, gate)

    async def async_unload() -> None:
        core.remove(INTENT_GATE)
        stop()

    return async_unload
