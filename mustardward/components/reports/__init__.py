"""Measure service levels and report how fast error budgets burn."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Start counting finished requests; return the unload function."""
    from ..entry.models import RequestFinished
    from ..keys import BURN_REPORTER, PEERS
    from . import api  # noqa: F401 - registers the route
    from .service import BurnReporter, BurnRequest

    reporter = BurnReporter(core)
    undo = [core.events.listen(RequestFinished, reporter.record)]
    peers = core.find(PEERS)
    if peers is not None:
        undo.append(peers.handle(BurnRequest, reporter.async_handle_request))
    core.put(BURN_REPORTER, reporter)

    async def async_unload() -> None:
        core.remove(BURN_REPORTER)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


COMPONENTS.register("reports")(
    ComponentDescription("reports", async_setup, ("log", "peers", "membership"))
)
