"""Set the intent gate up."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import FLEET_LOG, IDEMPOTENCY_GUARD, MEMBERSHIP, PEERS, WORK_LOG
from .intents import LogIdempotencyGuard
from .intents_home import KeyLocator, incarnation_name
from .intents_recorder import IntentRecorder
from .intents_remote import RemoteIntentClient, serve_recorder


async def async_setup_intents(core: Core) -> Unload:
    """Publish the intent gate and return what withdraws it."""
    entry = core.settings.entry
    membership = core.find(MEMBERSHIP)
    incarnation = membership.own.incarnation if membership else 0
    key_locator = KeyLocator(entry.data_centre, core.find(FLEET_LOG), membership)
    identity = incarnation_name(entry.name, incarnation)
    recorder = IntentRecorder(
        core.get(WORK_LOG), core.timers, core.tasks, identity, key_locator.is_live
    )
    undo = [recorder.start()]
    remote = None
    peers = core.find(PEERS)
    if peers is not None and membership is not None:
        remote = RemoteIntentClient(peers, membership, core.timers)
        undo.append(serve_recorder(peers, recorder))
    gate = LogIdempotencyGuard(
        recorder, key_locator, core.timers, core.tasks, identity, remote
    )
    core.put(IDEMPOTENCY_GUARD, gate)

    async def async_unload() -> None:
        core.remove(IDEMPOTENCY_GUARD)
        for stop in reversed(undo):
            stop()

    return async_unload
