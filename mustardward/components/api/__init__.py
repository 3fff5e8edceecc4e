"""Offer operators a JSON interface."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""

    async def async_unload() -> None:
        return None

    return async_unload


COMPONENTS.register("api")(ComponentDescription("api", async_setup))
