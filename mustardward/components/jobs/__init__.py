"""Run long-running jobs under leases and deduplicate requests with idempotency keys."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component and return its unload function."""
    from ..keys import WORK_LOG, WORKER_SERVICE
    from ..retries.idempotency_setup import async_setup_intents
    from . import api  # noqa: F401
    from .setup import async_setup_jobs

    unloads: list[Unload] = []
    if core.find(WORK_LOG) is not None:
        unloads.insert(0, await async_setup_intents(core))
        if core.find(WORKER_SERVICE) is not None:
            unloads.insert(0, await async_setup_jobs(core))

    async def async_unload() -> None:
        for unload in unloads:
            await unload()

    return async_unload


COMPONENTS.register("jobs")(
    ComponentDescription(
        "jobs", async_setup, ("platform", "log", "peers", "membership")
    )
)
