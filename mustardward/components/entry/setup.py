"""Put the entry together from the parts that other components published."""

from __future__ import annotations

from ...core import Core, Unload
from ...helpers.listener import HttpListener, ListenerOptions
from ...helpers.logging import get_logger
from ..keys import (
    DIRECTORY,
    DISPATCHER,
    DRAIN,
    ENTRY,
    INTENT_GATE,
    LIMITER,
    RETRY_POLICY,
    ROUTER,
)
from .const import CALLER_KEEPALIVE_SECONDS, PRUNE_SECONDS
from .defaults import StateDirectory
from .dispatcher import HttpDispatcher
from .drain import Drain
from .front import CallerFront
from .health import Health
from .parts import EntryParts
from .service import EntryService

_LOGGER = get_logger(__name__)


async def async_setup_entry(core: Core) -> Unload:
    """Begin to listen for callers; return what drains and stops all of it."""
    dispatcher = HttpDispatcher(core.timers)
    core.put(DISPATCHER, dispatcher)
    service = EntryService(_parts(core, dispatcher), core.timers, core.tasks)
    core.put(ENTRY, service)
    health = Health(core)
    front = CallerFront(
        service,
        core.find(DIRECTORY) or StateDirectory(core),
        health,
        core.settings.limits,
        core.timers,
        core.events,
    )
    listener = HttpListener(front, core.settings.callers, _options(core))
    listener.start(core.tasks)
    drain = Drain(core, health, listener, service)
    core.put(DRAIN, drain)
    _LOGGER.info("callers_listening", host=listener.host, port=listener.port)

    unsubscribe = core.timers.subscribe(
        "entry.connections", PRUNE_SECONDS, dispatcher.async_prune
    )

    async def async_unload() -> None:
        unsubscribe()
        await drain.async_run()
        core.remove(DRAIN)
        core.remove(ENTRY)
        core.remove(DISPATCHER)
        await dispatcher.async_close()

    return async_unload


def _parts(core: Core, dispatcher: HttpDispatcher) -> EntryParts:
    return EntryParts(
        limiter=core.get(LIMITER),
        router=core.get(ROUTER),
        retries=core.get(RETRY_POLICY),
        dispatcher=dispatcher,
        intents=core.find(INTENT_GATE),
    )


def _options(core: Core) -> ListenerOptions:
    limits = core.settings.limits
    return ListenerOptions(
        header_bytes=limits.header_bytes,
        keepalive_seconds=CALLER_KEEPALIVE_SECONDS,
        # Every request ends by its deadline, so a stop that waits this long for
        # requests in progress never cuts one off.
        graceful_seconds=limits.maximum_deadline_seconds + 5.0,
    )
