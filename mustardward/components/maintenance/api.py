"""Provide the operator API for waves."""

from __future__ import annotations

from typing import Any, Final
from uuid import uuid4

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure

from ...exceptions import MustardwardError
from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ...state.handlers.waves import wave_limit
from ...state.models.maintenance import ScheduleWave, SignalWave, Wave
from ...state.records import NO_BASE
from ..api.routes import ApiRequest, ApiResponse, api_route
from ..keys import FLEET_LOG, WORK_LOG
from .plan_bounds import canary_bound, rollout_bound
from .plan_inputs import build_plan_input, running_tasks
from .plan_models import Plan, PlanInput
from .planner import async_plan_wave

OPERATOR_SIGNALS: Final = ("pause", "resume", "cancel")


class WaveUnknownError(MustardwardError):
    """Report an unknown wave, pool or instance."""

    code = "wave-unknown"


class SignalUnknownError(MustardwardError):
    """Report a signal that operators cannot send."""

    code = "signal-unknown"


class WaveModel(BaseModel):
    """Validate the scope of a wave; no instances means all of the pools."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    pools: tuple[str, ...] = Field(min_length=1)
    instances: tuple[str, ...] = ()
    canary: int = Field(default=1, ge=1, le=1000)
    maximum_failures: int = Field(default=2, ge=1, le=1000)
    not_before: float = Field(default=0.0, ge=0.0)
    record_id: str | None = Field(default=None, max_length=64)


class SignalModel(BaseModel):
    """Validate a signal; without a base revision the present one is taken."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base_revision: int | None = Field(default=None, ge=0)
    reason: str = Field(default="", max_length=256)
    record_id: str | None = Field(default=None, max_length=64)


@api_route("GET", "/waves", "List the waves")
async def async_list(request: ApiRequest) -> ApiResponse:
    """Return a summary of each wave."""
    state = request.core.get(FLEET_LOG).state
    return ApiResponse(
        [_summarize(state, wave) for _, wave in sorted(state.waves.items())]
    )


@api_route("GET", "/waves/{wave_id}", "Show how far a wave is")
async def async_show(request: ApiRequest) -> ApiResponse:
    """Return a wave with its claims and the budgets that block it."""
    state = request.core.get(FLEET_LOG).state
    wave = _get_wave(state, request.path["wave_id"])
    claims = [
        {
            "instance": claim.instance_id,
            "stage": claim.stage,
            "executor": claim.executor,
            "generation": claim.generation,
        }
        for _, claim in sorted(state.claims.items())
        if claim.wave_id == wave.wave_id
    ]
    details = {
        "pools": list(wave.pools),
        "failed_instances": sorted(wave.failed),
        "pending_absent": sorted(wave.pending & state.absences.keys()),
        "claims": claims,
        "held_back_by": _binding_budgets(state, wave),
    }
    return ApiResponse({**_summarize(state, wave), **details})


@api_route("POST", "/waves/{wave_id}", "Schedule a wave", WaveModel)
async def async_schedule(request: ApiRequest) -> ApiResponse:
    """Propose a wave."""
    model: WaveModel = request.model
    body = ScheduleWave(
        wave_id=request.path["wave_id"],
        pools=model.pools,
        instances=model.instances,
        canary=model.canary,
        maximum_failures=model.maximum_failures,
        not_before=model.not_before,
    )
    return await _async_propose(request, body, NO_BASE)


@api_route("POST", "/waves/{wave_id}/{signal}", "Steer a wave", SignalModel)
async def async_signal(request: ApiRequest) -> ApiResponse:
    """Propose to pause, resume or cancel a wave."""
    signal = request.path["signal"]
    if signal not in OPERATOR_SIGNALS:
        raise SignalUnknownError(f"signal={signal} of={','.join(OPERATOR_SIGNALS)}")
    wave = _get_wave(request.core.get(FLEET_LOG).state, request.path["wave_id"])
    model: SignalModel = request.model
    base = wave.revision if model.base_revision is None else model.base_revision
    body = SignalWave(wave.wave_id, signal, model.reason)
    return await _async_propose(request, body, base)


@api_route("POST", "/wave-plans", "Plan a wave without scheduling it", WaveModel)
async def async_plan(request: ApiRequest) -> ApiResponse:
    """Return the planned steps and the binding budgets."""
    model: WaveModel = request.model
    state = request.core.get(FLEET_LOG).state
    missing = [pool for pool in model.pools if pool not in state.pools]
    if missing:
        raise WaveUnknownError(f"pools={','.join(missing)}")
    work = request.core.find(WORK_LOG)
    pools = frozenset(model.pools)
    due = frozenset(model.instances) or frozenset(
        name for name, item in state.instances.items() if item.pool in pools
    )
    plan_input = build_plan_input(
        state, pools, due, running_tasks(work.state if work else None), model.canary
    )
    return ApiResponse(describe_plan(plan_input, await async_plan_wave(plan_input)))


def describe_plan(plan_input: PlanInput, plan: Plan) -> dict[str, Any]:
    """Return a plan as a JSON-compatible dictionary."""
    return {
        "rollout_seconds": plan.metrics.rollout_seconds,
        "rollout_bound_seconds": rollout_bound(plan_input),
        "canary_bound_seconds": canary_bound(plan_input),
        "buffer_instances": plan.metrics.buffer,
        "moves": plan.metrics.moves,
        "steps": [
            {
                "instance": step.instance_id,
                "pool": step.unit.pool,
                "data_centre": step.unit.data_centre,
                "begins": step.start_seconds,
                "ends": step.end_seconds,
                "moves": step.moves,
            }
            for step in plan.steps
        ],
        "binding": [
            {
                "pool": budget.pool,
                "data_centre": unit.data_centre,
                "organisation": budget.organisation,
                "scope": budget.scope,
                "total": budget.total,
                "unavailable": budget.unavailable,
                "floor": budget.floor,
                "reserve": budget.reserve,
                "margin": budget.margin,
            }
            for unit, budget in sorted(plan.binding.items())
        ],
        "never": list(plan.blocked),
    }


async def _async_propose(request: ApiRequest, body: Any, base: int) -> ApiResponse:
    result = await request.core.get(FLEET_LOG).async_propose(
        body,
        actor=request.actor,
        base_revision=base,
        record_id=request.model.record_id or uuid4().hex,
    )
    if isinstance(result, Failure):
        raise result.failure()
    acceptance = result.unwrap()
    return ApiResponse(
        {"revision": acceptance.revision, "subjects": list(acceptance.subjects)},
        status=202,
    )


def _get_wave(state: FleetState, wave_id: str) -> Wave:
    wave = state.waves.get(wave_id)
    if wave is None:
        raise WaveUnknownError(f"wave={wave_id}")
    return wave


def _summarize(state: FleetState, wave: Wave) -> dict[str, Any]:
    return {
        "wave": wave.wave_id,
        "status": wave.status,
        "revision": wave.revision,
        "pending": len(wave.pending),
        "out": get_budget_index(state).claim_count(wave.wave_id),
        "limit": wave_limit(wave),
        "done": len(wave.done),
        "failed": len(wave.failed),
        "reason": wave.reason,
    }


def _binding_budgets(state: FleetState, wave: Wave) -> list[dict[str, Any]]:
    """Return the budgets that allow no further pending instance to be claimed."""
    index = get_budget_index(state)
    units = {
        (item.pool, item.data_centre)
        for name in wave.pending
        if (item := state.instances.get(name)) is not None
    }
    tight = (index.tightest(state, *unit) for unit in sorted(units))
    return [
        {
            "organisation": budget.organisation,
            "pool": budget.pool,
            "scope": budget.scope,
            "margin": budget.margin,
        }
        for budget in tight
        if budget is not None and budget.margin < 1
    ]
