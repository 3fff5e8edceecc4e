"""Set up an entry process from its components."""

from __future__ import annotations

from importlib import import_module
from typing import Final

from .core import Core, Unload, async_setup_components

DOMAINS: Final = (
    "platform",
    "log",
    "peers",
    "membership",
    "templates",
    "limits",
    "routing",
    "retries",
    "jobs",
    "pools",
    "maintenance",
    "explain",
    "reports",
    "entry",
    "api",
)


async def async_setup_entry(core: Core) -> list[Unload]:
    """Set up all components; return their unload functions in order of execution."""
    for domain in DOMAINS:
        import_module(f".components.{domain}", package=__package__)
    return await async_setup_components(core, DOMAINS)
