"""Serve callers over HTTP and dispatch their requests to workers."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component and return its unload function."""
    from .setup import async_setup_entry

    return await async_setup_entry(core)


COMPONENTS.register("entry")(
    ComponentDescription(
        "entry",
        async_setup,
        dependencies=(
            "membership",
            "templates",
            "limits",
            "routing",
            "retries",
            "jobs",
        ),
    )
)
