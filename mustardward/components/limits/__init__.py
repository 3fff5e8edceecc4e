"""Set up admission control: per-organisation limits, queues and refusals."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the limiter and return the function that unloads it."""
    from ..keys import FLEET_LOG, LIMITER, MEMBERSHIP, ROUTER
    from ..routing.models import WorkerBusy
    from .capacity import CapacityView
    from .const import PRUNE_SECONDS, SWEEP_SECONDS
    from .services import LimiterService

    view = CapacityView(
        log=core.get(FLEET_LOG),
        membership=core.get(MEMBERSHIP),
        slots=core.get(ROUTER).slots,
        job_slots=core.get(ROUTER).job_slots,
        data_centre=core.settings.entry.data_centre,
    )
    limiter = LimiterService(
        capacity=view,
        timers=core.timers,
        publish=core.events.publish,
        queue_length=core.settings.limits.queue_length,
    )
    core.put(LIMITER, limiter)
    unsubscribes = (
        core.timers.subscribe("limits_sweep", SWEEP_SECONDS, limiter.async_sweep),
        core.timers.subscribe("limits_prune", PRUNE_SECONDS, limiter.async_prune),
        core.events.listen(WorkerBusy, lambda event: limiter.record_busy(event.pool)),
    )

    async def async_unload() -> None:
        core.remove(LIMITER)
        for unsubscribe in unsubscribes:
            unsubscribe()

    return async_unload


COMPONENTS.register("limits")(
    ComponentDescription("limits", async_setup, ("log", "membership", "routing"))
)
