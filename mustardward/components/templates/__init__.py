"""Resolve organisations and their parameters."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from .services import async_start_directory

    return await async_start_directory(core)


COMPONENTS.register("templates")(
    ComponentDescription("templates", async_setup, ("log", "peers", "membership"))
)
