"""Decide on retries and hedges, and record the intents of idempotency keys."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Set up the component and return the function that unloads it."""
    from ..entry.models import RequestFinished
    from ..keys import RETRY_POLICY
    from .services import RetryPolicyService

    policy = RetryPolicyService()
    core.put(RETRY_POLICY, policy)
    unsubscribe = core.events.listen(RequestFinished, policy.on_finished)

    async def async_unload() -> None:
        core.remove(RETRY_POLICY)
        unsubscribe()

    return async_unload


COMPONENTS.register("retries")(ComponentDescription("retries", async_setup))
