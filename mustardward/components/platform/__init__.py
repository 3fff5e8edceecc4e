"""Set up the clients of the platform."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from .services import async_start_clients

    return await async_start_clients(core)


COMPONENTS.register("platform")(ComponentDescription("platform", async_setup))
