"""Move instances between pools."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return its unload callback."""
    from .setup import async_setup_pools

    return await async_setup_pools(core)


COMPONENTS.register("pools")(
    ComponentDescription(
        "pools",
        async_setup,
        ("platform", "log", "peers", "membership", "routing", "jobs"),
    )
)
