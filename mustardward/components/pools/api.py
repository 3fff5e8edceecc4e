"""Provide the operators' routes for pools and for moves between them."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure

from ...exceptions import MustardwardError
from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ...state.instance_status import instance_status
from ...state.models.pools import CancelMove, Instance, Move, RequestMove
from ...state.records import NO_BASE
from ..api.routes import ApiRequest, ApiResponse, api_route
from ..keys import FLEET_LOG, MEMBERSHIP, POOL_PROBER
from ..maintenance.models import executor_name


class PoolUnknownError(MustardwardError):
    """Report that no pool, instance or move of this name is known."""

    code = "pool-unknown"


class EntriesUnknownError(MustardwardError):
    """Report that no entry of the instance's data centre is known here.

    A move names the entries that have to acknowledge it; without their names it could
    be completed while an entry still sends work to the instance.
    """

    code = "entries-unknown"


class MoveModel(BaseModel):
    """Validate a move; without a base generation the present owner is meant."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance_id: str = Field(min_length=1, max_length=128)
    target: str = Field(min_length=1, max_length=64)
    base_generation: int | None = Field(default=None, ge=0)
    record_id: str | None = Field(default=None, max_length=64)


class CancelModel(BaseModel):
    """Validate the cancelling of a move."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    record_id: str | None = Field(default=None, max_length=64)


@api_route("GET", "/pools", "List the pools")
async def async_list(request: ApiRequest) -> ApiResponse:
    """Return how many instances each pool has, and how many are available."""
    state = request.core.get(FLEET_LOG).state
    return ApiResponse([_describe_pool(state, name) for name in sorted(state.pools)])


@api_route("GET", "/pools/{name}", "Show a pool")
async def async_show(request: ApiRequest) -> ApiResponse:
    """Return a pool's instances, its moves, and the budgets on it."""
    state = request.core.get(FLEET_LOG).state
    name = request.path["name"]
    if name not in state.pools:
        raise PoolUnknownError(f"pool={name}")
    index = get_budget_index(state)
    budgets = [
        {
            "organisation": item.organisation,
            "scope": item.scope,
            "total": item.total,
            "unavailable": item.unavailable,
            "floor": item.floor,
            "reserve": item.reserve,
            "margin": item.margin,
        }
        for scope in index.scopes(name)
        for item in index.budgets(state, name, scope)
    ]
    instances = [
        _describe_instance(state, item)
        for _, item in sorted(state.instances.items())
        if item.pool == name and not item.removed
    ]
    moves = [
        _describe_move(item)
        for item in state.moves.values()
        if name in (item.source, item.target)
    ]
    details = {"instances": instances, "moves": moves, "budgets": budgets}
    return ApiResponse({**_describe_pool(state, name), **details})


@api_route("GET", "/moves", "List the moves in progress")
async def async_moves(request: ApiRequest) -> ApiResponse:
    """Return each move and the entries whose acknowledgement is missing."""
    state = request.core.get(FLEET_LOG).state
    return ApiResponse(
        [_describe_move(move) for _, move in sorted(state.moves.items())]
    )


@api_route("POST", "/moves", "Move an instance to another pool", MoveModel)
async def async_move(request: ApiRequest) -> ApiResponse:
    """Propose a move, which every entry of the data centre has to acknowledge."""
    model: MoveModel = request.model
    instance = request.core.get(FLEET_LOG).state.instances.get(model.instance_id)
    if instance is None:
        raise PoolUnknownError(f"instance={model.instance_id}")
    prober = request.core.find(POOL_PROBER)
    if prober is not None:
        # A move makes an instance unavailable as a maintenance wave does, so the pool
        # is probed first; see maintenance/pool_prober.py.
        await prober.async_probe(instance.pool)
    members = request.core.get(MEMBERSHIP).members(instance.data_centre)
    if not members:
        raise EntriesUnknownError(f"data_centre={instance.data_centre}")
    base = model.base_generation
    move_id = model.record_id or uuid4().hex
    body = RequestMove(
        move_id=move_id,
        instance_id=model.instance_id,
        target=model.target,
        expected=tuple(sorted(executor_name(member) for member in members)),
    )
    return await _async_propose(
        request, body, instance.generation if base is None else base, move_id
    )


@api_route("POST", "/moves/{move_id}/cancel", "Cancel a move", CancelModel)
async def async_cancel(request: ApiRequest) -> ApiResponse:
    """Propose to cancel a move; the instance stays in its pool."""
    move_id = request.path["move_id"]
    record_id = request.model.record_id or uuid4().hex
    return await _async_propose(request, CancelMove(move_id), NO_BASE, record_id)


async def _async_propose(
    request: ApiRequest, body: RequestMove | CancelMove, base: int, record_id: str
) -> ApiResponse:
    result = await request.core.get(FLEET_LOG).async_propose(
        body, actor=request.actor, base_revision=base, record_id=record_id
    )
    if isinstance(result, Failure):
        raise result.failure()
    return ApiResponse(
        {"move": body.move_id, "revision": result.unwrap().revision}, status=202
    )


def _describe_pool(state: FleetState, name: str) -> dict[str, Any]:
    count = get_budget_index(state).count(state, name, "fleet")
    return {
        "pool": name,
        "total": count.total,
        "available": count.total - count.unavailable,
        "organisations": len(get_budget_index(state).users(name)),
    }


def _describe_instance(state: FleetState, item: Instance) -> dict[str, Any]:
    claim = state.claims.get(item.instance_id)
    absence = state.absences.get(item.instance_id)
    return {
        "instance": item.instance_id,
        "data_centre": item.data_centre,
        "rack": item.rack,
        "generation": item.generation,
        "claim": f"{claim.wave_id}/{claim.stage}" if claim else "",
        "status": instance_status(state, item.instance_id),
        "absent": absence.cause if absence else "",
    }


def _describe_move(move: Move) -> dict[str, Any]:
    return {
        "move": move.move_id,
        "instance": move.instance_id,
        "source": move.source,
        "target": move.target,
        "waiting_for": sorted(move.expected - move.acknowledged),
    }
