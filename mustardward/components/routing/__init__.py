"""Choose workers for requests."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from .setup import async_setup_routing

    return await async_setup_routing(core)


COMPONENTS.register("routing")(
    ComponentDescription("routing", async_setup, ("log", "membership"))
)
