"""Know which entries are live, suspect or leaving."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set the component up and return what undoes it."""
    from ..keys import MEMBERSHIP
    from .assembly import assemble

    parts = assemble(core)
    core.put(MEMBERSHIP, parts.service)
    undo = parts.subscribe(core.timers)
    await parts.gossip.async_round()

    async def async_unload() -> None:
        await parts.service.async_announce_end()
        for undo_one in undo:
            undo_one()
        core.remove(MEMBERSHIP)

    return async_unload


COMPONENTS.register("membership")(
    ComponentDescription("membership", async_setup, ("peers",))
)
