"""Choose workers for requests."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from ..keys import FLEET_LOG, MEMBERSHIP, ROUTER
    from .services import RouterService

    log = core.get(FLEET_LOG)
    router = RouterService(
        log=log,
        membership=core.get(MEMBERSHIP),
        timers=core.timers,
        data_centre=core.settings.entry.data_centre,
        publish=core.events.publish,
    )
    unsubscribe = log.listen(router.on_record)
    core.put(ROUTER, router)

    async def async_unload() -> None:
        core.remove(ROUTER)
        unsubscribe()

    return async_unload


COMPONENTS.register("routing")(
    ComponentDescription("routing", async_setup, ("log", "membership"))
)
