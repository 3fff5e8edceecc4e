"""Talk to other entries: digests, relayed records, forwarded requests."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""

    async def async_unload() -> None:
        return None

    return async_unload


COMPONENTS.register("peers")(ComponentDescription("peers", async_setup))
