"""Track the entry nodes and the availability of worker instances by gossip."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component and return the function that unloads it."""
    from ..keys import MEMBERSHIP
    from .assembly import assemble

    runtime = assemble(core)
    core.put(MEMBERSHIP, runtime.service)
    unsubscribes = runtime.subscribe(core.timers)
    await runtime.gossip.async_round()

    async def async_unload() -> None:
        await runtime.service.async_announce_end()
        for unsubscribe in unsubscribes:
            unsubscribe()
        core.remove(MEMBERSHIP)

    return async_unload


COMPONENTS.register("membership")(
    ComponentDescription("membership", async_setup, ("peers",))
)
