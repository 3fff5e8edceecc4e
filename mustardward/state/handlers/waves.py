"""Apply records that schedule, start, pause, resume, cancel and finish waves."""

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

GROWTH_FACTOR: Final = 64
"""Instances that a wave may have claimed for each one that came back.

In typical fleets budgets limit a wave far below this; it only matters in large ones.
"""

MAX_ENDED_WAVES: Final = 16
"""Done and cancelled waves kept in memory."""

MAX_ENDED_WAVE_INSTANCES: Final = 24_000
"""Total instances in these waves, apart from the one that ended last.

A wave over the whole fleet takes as much memory as hundreds of small ones.
"""

Decision = Result[Acceptance, MustardwardError]


def accept(context: FoldContext, *subjects: str, note: str = "") -> Decision:
    """Return the acceptance of a record with its sequence as revision."""
    return Success(Acceptance(subjects, context.sequence, note))


def growth_limit(finished: int, canary: int) -> int:
    """Return how many instances may be claimed at once after ``finished`` came back.

    The canary has to come back first; from then on the limit is proportional to the
    instances that came back, so that a bad image is detected on few instances.
    """
    if finished < canary:
        return canary - finished
    return max(1, GROWTH_FACTOR * finished)


def wave_limit(wave: Wave) -> int:
    """Return how many instances a wave may have claimed at once."""
    return growth_limit(len(wave.done), wave.canary)


@FLEET_HANDLERS.register("wave.schedule")
def schedule_wave(
    state: FleetState, context: FoldContext, body: ScheduleWave
) -> Decision:
    """Accept a wave over existing pools and instances that belong to them."""
    if body.wave_id in state.waves:
        return Failure(WaveExistsError(f"wave={body.wave_id}"))
    missing = [pool for pool in body.pools if pool not in state.pools]
    if missing or not body.pools:
        return Failure(UnknownSubjectError(f"pools={','.join(missing) or '-'}"))
    pools = frozenset(body.pools)
    owned_ids = {
        instance.instance_id
        for instance in state.instances.values()
        if instance.pool in pools and not instance.removed
    }
    unowned = set(body.instances) - owned_ids
    if unowned:
        return Failure(UnknownSubjectError(f"instances={','.join(sorted(unowned))}"))
    state.waves[body.wave_id] = Wave(
        wave_id=body.wave_id,
        pools=body.pools,
        status=load_chart("wave").initial,
        revision=context.sequence,
        pending=set(body.instances) or owned_ids,
        canary=max(1, body.canary),
        maximum_failures=max(1, body.maximum_failures),
        not_before=body.not_before,
    )
    _drop_ended_waves(state)
    return accept(context, f"wave:{body.wave_id}")


def _drop_ended_waves(state: FleetState) -> None:
    """Drop the waves that ended first, since each may list thousands of instances."""
    index = get_budget_index(state)
    ended = [
        wave
        for wave in state.waves.values()
        if load_chart("wave").is_final(wave.status)
        and index.claim_count(wave.wave_id) == 0
    ]
    ended.sort(key=lambda wave: -wave.revision)
    instance_count = 0
    for number, wave in enumerate(ended):
        instance_count += len(wave.pending) + len(wave.done) + len(wave.failed)
        if number > 0 and (
            number >= MAX_ENDED_WAVES or instance_count > MAX_ENDED_WAVE_INSTANCES
        ):
            del state.waves[wave.wave_id]


@FLEET_HANDLERS.register("wave.signal")
def signal_wave(state: FleetState, context: FoldContext, body: SignalWave) -> Decision:
    """Apply a signal to a wave if it is based on the current revision."""
    wave = state.waves.get(body.wave_id)
    if wave is None:
        return Failure(UnknownSubjectError(f"wave={body.wave_id}"))
    conflict = check_base_revision(context, wave.revision)
    if conflict is not None:
        return Failure(conflict)
    if body.signal == "finish" and not is_finished(state, wave):
        return Failure(WaveUnfinishedError(f"wave={wave.wave_id}"))
    return apply_signal(context, wave, body.signal, body.reason)


def apply_signal(
    context: FoldContext, wave: Wave, signal: str, reason: str
) -> Decision:
    """Apply a signal to a wave's state chart and record the reason."""
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
    """Return whether a wave has no pending and no claimed instances."""
    has_pending = any(
        instance_id in state.instances and not state.instances[instance_id].removed
        for instance_id in wave.pending
    )
    return not has_pending and get_budget_index(state).claim_count(wave.wave_id) == 0


def pause_if_failing(context: FoldContext, wave: Wave) -> None:
    """Pause a running wave whose failures reached the maximum.

    Until the canary has come back, a single failure pauses the wave, since the canary
    serves to detect a bad image on few instances.
    """
    new_failures = len(wave.failed) - wave.forgiven
    maximum = wave.maximum_failures if len(wave.done) >= wave.canary else 1
    if wave.status != WaveStatus.RUNNING or new_failures < maximum:
        return
    apply_signal(context, wave, "stop", f"failures={new_failures} maximum={maximum}")
