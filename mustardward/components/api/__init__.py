"""Offer operators a JSON interface."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from .setup import async_setup_api

    return await async_setup_api(core)


COMPONENTS.register("api")(
    ComponentDescription("api", async_setup, dependencies=("entry",))
)
