"""Set up the idempotency guard."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import FLEET_LOG, IDEMPOTENCY_GUARD, MEMBERSHIP, PEERS, WORK_LOG
from .idempotency_guard import LogIdempotencyGuard
from .intent_recorder import IntentRecorder
from .key_locator import KeyLocator, incarnation_name
from .remote_intents import RemoteIntentClient, serve_recorder


async def async_setup_intents(core: Core) -> Unload:
    """Register the idempotency guard and return the function that unloads it."""
    entry = core.settings.entry
    membership = core.find(MEMBERSHIP)
    incarnation = membership.own.incarnation if membership else 0
    key_locator = KeyLocator(entry.data_centre, core.find(FLEET_LOG), membership)
    identity = incarnation_name(entry.name, incarnation)
    recorder = IntentRecorder(
        core.get(WORK_LOG), core.timers, core.tasks, identity, key_locator.is_live
    )
    unsubscribes = [recorder.start()]
    remote = None
    peers = core.find(PEERS)
    if peers is not None and membership is not None:
        remote = RemoteIntentClient(peers, membership, core.timers)
        unsubscribes.append(serve_recorder(peers, recorder))
    guard = LogIdempotencyGuard(
        recorder, key_locator, core.timers, core.tasks, identity, remote
    )
    core.put(IDEMPOTENCY_GUARD, guard)

    async def async_unload() -> None:
        core.remove(IDEMPOTENCY_GUARD)
        for stop in reversed(unsubscribes):
            stop()

    return async_unload
