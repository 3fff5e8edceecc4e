"""Plan and carry out maintenance waves."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component and return the function that unloads it."""
    from .setup import async_setup_maintenance

    return await async_setup_maintenance(core)


COMPONENTS.register("maintenance")(
    ComponentDescription(
        "maintenance", async_setup, ("platform", "log", "peers", "membership", "jobs")
    )
)
