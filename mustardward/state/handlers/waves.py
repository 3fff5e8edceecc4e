"""Fold waves: scheduled, started, paused, resumed, cancelled and finished."""

from __future__ import annotations

from typing import Final

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError, TransitionError
from ...helpers.chart import load_chart
from ..budgets import get_budget_index
from ..fleet import FleetState
from ..fold import Acceptance, FoldContext
from ..models.maintenance import ScheduleWave, SignalWave, Wave, WaveStatus
from .fleet_registry import FLEET_HANDLERS
from .maintenance_refusals import (
    SignalRefusedError,
    WaveExistsError,
    WaveUnfinishedError,
)
from .refusals import UnknownSubjectError, check_base_revision

GROWTH: Final = 64
"""Instances a wave may hold for each one that came back.

Budgets bound a wave far below this in fleets of today; it is there for large ones.
"""

KEEP_ENDED: Final = 16
"""Waves that are done or cancelled and stay in memory."""

KEEP_ENDED_INSTANCES: Final = 24_000
"""Instances that those waves name together, but for the one that ended last.

A wave over the whole fleet takes as much memory as hundreds of small ones.
"""

Decision = Result[Acceptance, MustardwardError]


def accept(context: FoldContext, *subjects: str, note: str = "") -> Decision:
    """Return the acceptance of a record under the fold's sequence."""
    return Success(Acceptance(subjects, context.sequence, note))


def growth_limit(finished: int, canary: int) -> int:
    """Return how many instances may be out at once after so many came back.

    The canary has to come back first; from then on the wave may hold some for each
    that came back, so that a bad image is noticed while few instances carry it.
    """
    if finished < canary:
        return canary - finished
    return max(1, GROWTH * finished)


def wave_limit(wave: Wave) -> int:
    """Return how many instances a wave may hold at once."""
    return growth_limit(len(wave.done), wave.canary)


@FLEET_HANDLERS.register("wave.schedule")
def schedule_wave(
    state: FleetState, context: FoldContext, body: ScheduleWave
) -> Decision:
    """Accept a wave over pools that exist and instances that are theirs."""
    if body.wave_id in state.waves:
        return Failure(WaveExistsError(f"wave={body.wave_id}"))
    missing = [pool for pool in body.pools if pool not in state.pools]
    if missing or not body.pools:
        return Failure(UnknownSubjectError(f"pools={','.join(missing) or '-'}"))
    pools = frozenset(body.pools)
    owned = {
        instance.instance_id
        for instance in state.instances.values()
        if instance.pool in pools and not instance.removed
    }
    foreign = set(body.instances) - owned
    if foreign:
        return Failure(UnknownSubjectError(f"instances={','.join(sorted(foreign))}"))
    state.waves[body.wave_id] = Wave(
        wave_id=body.wave_id,
        pools=body.pools,
        status=load_chart("wave").initial,
        revision=context.sequence,
        pending=set(body.instances) or owned,
        canary=max(1, body.canary),
        maximum_failures=max(1, body.maximum_failures),
        not_before=body.not_before,
    )
    _forget_ended(state)
    return accept(context, f"wave:{body.wave_id}")


def _forget_ended(state: FleetState) -> None:
    """Drop the waves that ended longest ago; each names thousands of instances."""
    index = get_budget_index(state)
    ended = [
        wave
        for wave in state.waves.values()
        if load_chart("wave").is_final(wave.status)
        and index.claims_of(wave.wave_id) == 0
    ]
    ended.sort(key=lambda wave: -wave.revision)
    named = 0
    for number, wave in enumerate(ended):
        named += len(wave.pending) + len(wave.done) + len(wave.failed)
        if number > 0 and (number >= KEEP_ENDED or named > KEEP_ENDED_INSTANCES):
            del state.waves[wave.wave_id]


@FLEET_HANDLERS.register("wave.signal")
def signal_wave(state: FleetState, context: FoldContext, body: SignalWave) -> Decision:
    """Take a wave through its chart, if the actor saw its present revision."""
    wave = state.waves.get(body.wave_id)
    if wave is None:
        return Failure(UnknownSubjectError(f"wave={body.wave_id}"))
    conflict = check_base_revision(context, wave.revision)
    if conflict is not None:
        return Failure(conflict)
    if body.signal == "finish" and not is_finished(state, wave):
        return Failure(WaveUnfinishedError(f"wave={wave.wave_id}"))
    return signal_chart(context, wave, body.signal, body.reason)


def signal_chart(
    context: FoldContext, wave: Wave, signal: str, reason: str
) -> Decision:
    """Take a wave through its chart, and note why."""
    try:
        status = load_chart("wave").next_state(wave.status, signal)
    except TransitionError as error:
        return Failure(SignalRefusedError(error.detail))
    if signal == "resume":
        wave.forgiven = len(wave.failed)
    wave.status = status
    wave.revision = context.sequence
    wave.reason = reason
    return accept(context, f"wave:{wave.wave_id}", note=f"signal={signal} {reason}")


def is_finished(state: FleetState, wave: Wave) -> bool:
    """Tell whether nothing of a wave is left to do or under way."""
    left = any(
        instance_id in state.instances and not state.instances[instance_id].removed
        for instance_id in wave.pending
    )
    return not left and get_budget_index(state).claims_of(wave.wave_id) == 0


def stop_if_failing(context: FoldContext, wave: Wave) -> None:
    """Pause a running wave whose failures reached its maximum.

    While the canary is not back, one failure is enough: that is what it is for.
    """
    fresh = len(wave.failed) - wave.forgiven
    maximum = wave.maximum_failures if len(wave.done) >= wave.canary else 1
    if wave.status != WaveStatus.RUNNING or fresh < maximum:
        return
    signal_chart(context, wave, "stop", f"failures={fresh} maximum={maximum}")
