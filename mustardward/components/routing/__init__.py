"""Route requests to workers and to other data centres."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the router and return the function that unloads it."""
    from .setup import async_setup_routing

    return await async_setup_routing(core)


COMPONENTS.register("routing")(
    ComponentDescription("routing", async_setup, ("log", "membership"))
)
