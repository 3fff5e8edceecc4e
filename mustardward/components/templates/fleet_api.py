"""Provide the operators' routes for registering pools and instances."""

from __future__ import annotations

from typing import Any

import anyio

from ...exceptions import MustardwardError
from ...state.models.pools import AddInstance, Instance, PutPool
from ..api.routes import ApiRequest, ApiResponse, api_route
from .api_models import InstancesModel
from .proposals import async_build_response, async_propose, require_ready_state

_COMPARED_FIELDS = ("data_centre", "rack", "address", "pool")


@api_route("PUT", "/pools/{name}", "Put a pool")
async def async_put_pool(request: ApiRequest) -> ApiResponse:
    """Propose a pool; an existing one is unchanged."""
    acceptance = await async_propose(request, PutPool(request.path["name"]))
    return await async_build_response(request.core, acceptance, "", 0.0)


@api_route("POST", "/instances", "Register instances in pools", InstancesModel)
async def async_add_instances(request: ApiRequest) -> ApiResponse:
    """Propose instances and return an outcome for each."""
    model: InstancesModel = request.model
    outcomes: dict[str, dict[str, Any]] = {}

    async def add(record: AddInstance) -> None:
        outcomes[record.instance_id] = await _async_add(request, record)

    # Proposed concurrently, so that one group commit carries them: a separate append
    # for each of thousands would use up the log's append rate for many seconds.
    async with anyio.create_task_group() as tasks:
        for instance in model.instances:
            tasks.start_soon(add, instance.to_record())
    refused = sum("error" in outcome for outcome in outcomes.values())
    body = {"outcomes": [outcomes[key] for key in sorted(outcomes)], "refused": refused}
    return ApiResponse(body, status=207 if refused else 200)


async def _async_add(request: ApiRequest, record: AddInstance) -> dict[str, Any]:
    existing = require_ready_state(request.core).instances.get(record.instance_id)
    outcome: dict[str, Any] = {"instance_id": record.instance_id}
    if existing is not None and _matches(existing, record):
        return {**outcome, "revision": existing.generation, "unchanged": True}
    try:
        acceptance = await async_propose(request, record)
    except MustardwardError as error:
        return {**outcome, "error": error.code, "detail": error.detail}
    return {**outcome, "revision": acceptance.revision}


def _matches(existing: Instance, record: AddInstance) -> bool:
    return all(
        getattr(existing, name) == getattr(record, name) for name in _COMPARED_FIELDS
    )
