"""Provide the operators' JSON API."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component; return the unload function."""
    from .setup import async_setup_api

    return await async_setup_api(core)


COMPONENTS.register("api")(
    ComponentDescription("api", async_setup, dependencies=("entry",))
)
