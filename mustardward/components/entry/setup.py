"""Set up the entry with the objects that other components published."""

from __future__ import annotations

from collections.abc import Callable

from ...core import Core, Unload
from ...helpers.listener import HttpListener, ListenerOptions
from ...helpers.logging import get_logger
from ..keys import (
    DIRECTORY,
    DISPATCHER,
    DRAIN,
    ENTRY,
    FLEET_LOG,
    IDEMPOTENCY_GUARD,
    LIMITER,
    METRICS,
    PEERS,
    RETRY_POLICY,
    ROUTER,
)
from .application import CallerApplication
from .attribution import BudgetAttributor
from .const import CALLER_KEEPALIVE_SECONDS, PRUNE_INTERVAL_SECONDS
from .dependencies import EntryDependencies
from .dispatcher import HttpDispatcher
from .drain import Drain
from .exchange import ApplicationDependencies
from .health import EntryHealth
from .metrics import subscribe_metrics
from .pause import PauseGuard
from .service import EntryService

_LOGGER = get_logger(__name__)


async def async_setup_entry(core: Core) -> Unload:
    """Start listening for callers; return the function that drains and stops it."""
    dispatcher = HttpDispatcher(core.timers)
    core.put(DISPATCHER, dispatcher)
    guard = PauseGuard(core.get(FLEET_LOG), core.timers, core.tasks)
    dependencies = _build_dependencies(core, dispatcher, guard)
    service = EntryService(dependencies, core.timers, core.tasks)
    core.put(ENTRY, service)
    health = EntryHealth(core, guard)
    application_dependencies = ApplicationDependencies(
        service,
        core.get(DIRECTORY),
        health,
        core.settings.limits,
        core.timers,
        core.events,
        BudgetAttributor(core),
    )
    listener = HttpListener(
        CallerApplication(application_dependencies),
        core.settings.callers,
        _build_listener_options(core),
    )
    listener.start(core.tasks)
    drain = Drain(core, health, listener, service)
    core.put(DRAIN, drain)
    _LOGGER.info("callers_listening", host=listener.host, port=listener.port)

    unsubscribes = [
        core.timers.subscribe(
            "entry.connections", PRUNE_INTERVAL_SECONDS, dispatcher.async_prune
        ),
        *guard.start(),
        *_subscribe_metrics(core, health),
    ]

    async def async_unload() -> None:
        await drain.async_run()
        for unsubscribe in unsubscribes:
            unsubscribe()
        core.remove(DRAIN)
        core.remove(ENTRY)
        core.remove(DISPATCHER)
        await dispatcher.async_close()

    return async_unload


def _build_dependencies(
    core: Core, dispatcher: HttpDispatcher, guard: PauseGuard
) -> EntryDependencies:
    return EntryDependencies(
        limiter=core.get(LIMITER),
        router=core.get(ROUTER),
        retries=core.get(RETRY_POLICY),
        dispatcher=dispatcher,
        intents=core.find(IDEMPOTENCY_GUARD),
        peers=core.find(PEERS),
        guard=guard,
    )


def _subscribe_metrics(core: Core, health: EntryHealth) -> list[Callable[[], None]]:
    metrics = core.find(METRICS)
    if metrics is None or not metrics.enabled:
        return []
    return subscribe_metrics(core, metrics, health)


def _build_listener_options(core: Core) -> ListenerOptions:
    limits = core.settings.limits
    return ListenerOptions(
        header_bytes=limits.header_bytes,
        keepalive_seconds=CALLER_KEEPALIVE_SECONDS,
        # Every request ends by its deadline, so a stop that waits this long for
        # requests in progress never aborts one.
        graceful_seconds=limits.maximum_deadline_seconds + 5.0,
    )
