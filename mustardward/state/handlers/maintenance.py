"""Apply records of claims; importing this module registers all maintenance handlers.

Conflicts between executors are resolved by log order alone: each claim is checked
against the budgets at its own offset.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError, TransitionError
from ...helpers.chart import load_chart
from ..budgets import (
    check_one_more_unavailable,
    check_within_budgets,
    get_budget_index,
    recount_instance,
)
from ..fleet import FleetState
from ..fold import FoldContext, RecordRefusedError
from ..instance_status import instance_accepts, instance_status
from ..models.maintenance import (
    Absence,
    AdoptClaim,
    AdvanceClaim,
    Claim,
    ClaimStage,
    ReleaseClaim,
    TakeClaim,
    Wave,
    WaveStatus,
)
from ..models.pools import Instance
from .absences import CAUSE_REBOOT
from .fleet_registry import FLEET_HANDLERS
from .maintenance_refusals import (
    ClaimFencedError,
    InstanceBusyError,
    StageRefusedError,
    WaveGrowthError,
    WaveNotRunningError,
)
from .refusals import UnknownSubjectError
from .waves import Decision, accept, pause_if_failing, wave_limit

MAX_RECENT_INSTANCES: Final = 16
"""Finished instances of a wave whose later failure counts as the wave's."""


@FLEET_HANDLERS.register("claim.take")
def take_claim(state: FleetState, context: FoldContext, body: TakeClaim) -> Decision:
    """Accept a claim if the wave, the instance and every budget allow it."""
    wave = state.waves.get(body.wave_id)
    instance = state.instances.get(body.instance_id)
    if wave is None or instance is None or instance.removed:
        detail = f"wave={body.wave_id} instance={body.instance_id}"
        return Failure(UnknownSubjectError(detail))
    refusal = _wave_refusal(state, wave, body.instance_id) or _instance_refusal(
        state, instance
    )
    if refusal is not None:
        return Failure(refusal)
    wave.pending.discard(body.instance_id)
    state.claims[body.instance_id] = Claim(
        instance_id=body.instance_id,
        wave_id=body.wave_id,
        executor=body.executor,
        generation=context.sequence,
        stage=ClaimStage.CLAIMED,
        boot=body.boot,
        taken=context.sequence,
    )
    recount_instance(state, body.instance_id)
    return accept(context, f"instance:{body.instance_id}", f"wave:{body.wave_id}")


def _wave_refusal(
    state: FleetState, wave: Wave, instance_id: str
) -> RecordRefusedError | None:
    if wave.status != WaveStatus.RUNNING:
        return WaveNotRunningError(f"wave={wave.wave_id} status={wave.status}")
    if instance_id not in wave.pending:
        return UnknownSubjectError(f"wave={wave.wave_id} not pending={instance_id}")
    claimed = get_budget_index(state).claim_count(wave.wave_id)
    if claimed >= wave_limit(wave):
        return WaveGrowthError(
            f"wave={wave.wave_id} held={claimed} done={len(wave.done)}"
        )
    return None


def _instance_refusal(
    state: FleetState, instance: Instance
) -> RecordRefusedError | None:
    name = instance.instance_id
    status = instance_status(state, name)
    if not instance_accepts(state, name, "claim"):
        return InstanceBusyError(f"instance={name} status={status}")
    if name in state.absences:
        # A quarantined instance already counts as unavailable, so its reboot does not
        # reduce any budget and may even fix it.
        return check_within_budgets(state, instance)
    return check_one_more_unavailable(state, instance)


def _find_claim(
    state: FleetState, instance_id: str, generation: int
) -> Result[Claim, MustardwardError]:
    claim = state.claims.get(instance_id)
    if claim is None:
        return Failure(UnknownSubjectError(f"claim={instance_id}"))
    if claim.generation != generation:
        # The old executor was paused while another adopted its claim. Accepting its
        # record would let two executors control one instance, and a reboot could follow
        # its release.
        detail = f"claim={instance_id} generation={generation} is={claim.generation}"
        return Failure(ClaimFencedError(detail))
    return Success(claim)


@dataclass(frozen=True, slots=True)
class _Transition:
    """Hold a claim and its stage after an event."""

    claim: Claim
    stage: str


def _next_transition(
    state: FleetState, instance_id: str, generation: int, event: str
) -> Result[_Transition, MustardwardError]:
    found = _find_claim(state, instance_id, generation)
    if isinstance(found, Failure):
        return found
    claim = found.unwrap()
    try:
        return Success(
            _Transition(claim, load_chart("claim").next_state(claim.stage, event))
        )
    except TransitionError as error:
        return Failure(StageRefusedError(error.detail))


@FLEET_HANDLERS.register("claim.advance")
def advance_claim(
    state: FleetState, context: FoldContext, body: AdvanceClaim
) -> Decision:
    """Set a claim's next stage; rebooting is checked against the budgets again."""
    transition = _next_transition(state, body.instance_id, body.generation, body.stage)
    if isinstance(transition, Failure):
        return transition
    claim = transition.unwrap().claim
    if transition.unwrap().stage == ClaimStage.REBOOTING:
        # Failures since the claim may have used up the margin. Before the reboot the
        # instance can return to service immediately; once begun, it has to complete.
        instance = state.instances[body.instance_id]
        refusal = check_within_budgets(state, instance)
        if refusal is not None:
            return Failure(refusal)
    claim.stage = transition.unwrap().stage
    return accept(context, f"instance:{body.instance_id}", f"wave:{claim.wave_id}")


@FLEET_HANDLERS.register("claim.adopt")
def adopt_claim(state: FleetState, context: FoldContext, body: AdoptClaim) -> Decision:
    """Assign a claim to another executor; the new generation fences the old one."""
    found = _find_claim(state, body.instance_id, body.generation)
    if isinstance(found, Failure):
        return found
    claim = found.unwrap()
    claim.executor = body.executor
    claim.generation = context.sequence
    return accept(context, f"instance:{body.instance_id}", f"wave:{claim.wave_id}")


@FLEET_HANDLERS.register("claim.release")
def release_claim(
    state: FleetState, context: FoldContext, body: ReleaseClaim
) -> Decision:
    """End a claim; ``done`` requires a newer boot that was confirmed to be up."""
    transition = _next_transition(
        state, body.instance_id, body.generation, body.outcome
    )
    if isinstance(transition, Failure):
        return transition
    claim = transition.unwrap().claim
    if body.outcome == "done" and body.boot <= claim.boot:
        detail = f"claim={body.instance_id} boot={body.boot} needs>{claim.boot}"
        return Failure(StageRefusedError(detail))
    del state.claims[body.instance_id]
    note = f"outcome={body.outcome} {body.reason}".rstrip()
    wave = state.waves.get(claim.wave_id)
    if wave is not None:
        _RELEASE_HANDLERS[body.outcome](state, context, wave, claim, body)
        if wave.status == WaveStatus.PAUSED and body.outcome == "failed":
            note = f"{note} wave={wave.wave_id} paused"
    recount_instance(state, body.instance_id)
    return accept(
        context, f"instance:{body.instance_id}", f"wave:{claim.wave_id}", note=note
    )


def _handle_done(
    state: FleetState,
    context: FoldContext,
    wave: Wave,
    claim: Claim,
    body: ReleaseClaim,
) -> None:
    wave.done.add(claim.instance_id)
    wave.recent.pop(claim.instance_id, None)
    wave.recent[claim.instance_id] = body.boot
    while len(wave.recent) > MAX_RECENT_INSTANCES:
        del wave.recent[next(iter(wave.recent))]
    absence = state.absences.get(claim.instance_id)
    if absence is not None and absence.boot < body.boot:
        del state.absences[claim.instance_id]


def _handle_given_back(
    state: FleetState,
    context: FoldContext,
    wave: Wave,
    claim: Claim,
    body: ReleaseClaim,
) -> None:
    wave.pending.add(claim.instance_id)


def _handle_failed(
    state: FleetState,
    context: FoldContext,
    wave: Wave,
    claim: Claim,
    body: ReleaseClaim,
) -> None:
    state.absences[claim.instance_id] = Absence(
        claim.instance_id, CAUSE_REBOOT, context.actor, claim.boot + 1
    )
    wave.failed.add(claim.instance_id)
    pause_if_failing(context, wave)


_RELEASE_HANDLERS: Final = {
    "done": _handle_done,
    "given-back": _handle_given_back,
    "failed": _handle_failed,
}
