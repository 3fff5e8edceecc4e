"""Manage templates and resolve organisations and their parameters."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return its unload callback."""
    from .setup import async_setup_templates

    return await async_setup_templates(core)


COMPONENTS.register("templates")(
    ComponentDescription("templates", async_setup, ("log", "peers", "membership"))
)
