"""Let operators register pools and the instances that they own."""

from __future__ import annotations

from typing import Any

import anyio

from ...exceptions import MustardwardError
from ...state.models.pools import AddInstance, Instance, PutPool
from ..api.routes import ApiAnswer, ApiRequest, api_route
from .border import InstancesModel
from .proposing import async_accepted, async_propose, ready_state

_COMPARED = ("data_centre", "rack", "address", "pool")


@api_route("PUT", "/pools/{name}", "Put a pool")
async def async_put_pool(request: ApiRequest) -> ApiAnswer:
    """Propose a pool; one that exists stays as it is."""
    acceptance = await async_propose(request, PutPool(request.path["name"]))
    return await async_accepted(request.core, acceptance, "", 0.0)


@api_route("POST", "/instances", "Register instances in pools", InstancesModel)
async def async_add_instances(request: ApiRequest) -> ApiAnswer:
    """Propose many instances; each gets its own outcome."""
    model: InstancesModel = request.model
    outcomes: dict[str, dict[str, Any]] = {}

    async def add(record: AddInstance) -> None:
        outcomes[record.instance_id] = await _async_add(request, record)

    # All at once, so that one group commit carries them: one append for each of
    # thousands would take the whole log's rate for many seconds.
    async with anyio.create_task_group() as tasks:
        for instance in model.instances:
            tasks.start_soon(add, instance.record())
    refused = sum("error" in outcome for outcome in outcomes.values())
    body = {"outcomes": [outcomes[key] for key in sorted(outcomes)], "refused": refused}
    return ApiAnswer(body, status=207 if refused else 200)


async def _async_add(request: ApiRequest, record: AddInstance) -> dict[str, Any]:
    held = ready_state(request.core).instances.get(record.instance_id)
    outcome: dict[str, Any] = {"instance_id": record.instance_id}
    if held is not None and _same(held, record):
        return {**outcome, "revision": held.generation, "unchanged": True}
    try:
        acceptance = await async_propose(request, record)
    except MustardwardError as error:
        return {**outcome, "error": error.code, "detail": error.detail}
    return {**outcome, "revision": acceptance.revision}


def _same(held: Instance, record: AddInstance) -> bool:
    return all(getattr(held, name) == getattr(record, name) for name in _COMPARED)
