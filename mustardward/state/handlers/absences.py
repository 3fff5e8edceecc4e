"""Apply reports of failed and recovered instances and of silent data centres."""

from __future__ import annotations

from typing import Final

from ..budgets import recount_instance
from ..fleet import FleetState
from ..fold import FoldContext
from ..models.maintenance import (
    Absence,
    AbsenceChange,
    ReportAbsences,
    ReportSilence,
    WaveStatus,
)
from .fleet_registry import FLEET_HANDLERS
from .waves import Decision, accept, pause_if_failing

CAUSE_FAILED: Final = "failed"
"""Cause of an absence that counts as a failure of the wave that finished it."""

CAUSE_REBOOT: Final = "reboot-failed"
"""Cause of an absence that ends only with a newer boot."""


@FLEET_HANDLERS.register("absence.report")
def report_absences(
    state: FleetState, context: FoldContext, body: ReportAbsences
) -> Decision:
    """Record failures, quarantines and recoveries of instances in one data centre."""
    changed = [
        change.instance_id
        for change in body.changes
        if _change_absence(state, context, body.data_centre, change)
    ]
    for instance_id in changed:
        recount_instance(state, instance_id)
    return accept(context, *(f"instance:{name}" for name in changed))


def _change_absence(
    state: FleetState, context: FoldContext, data_centre: str, change: AbsenceChange
) -> bool:
    instance = state.instances.get(change.instance_id)
    if instance is None or instance.data_centre != data_centre:
        return False
    absence = state.absences.get(change.instance_id)
    if change.up:
        return _end_absence(state, absence, change)
    # Reports on an earlier boot do not apply to the current one.
    if absence is not None and absence.boot >= change.boot:
        return False
    state.absences[change.instance_id] = Absence(
        change.instance_id, change.cause, context.actor, change.boot
    )
    _count_wave_failure(state, context, change)
    return True


def _end_absence(
    state: FleetState, absence: Absence | None, change: AbsenceChange
) -> bool:
    if absence is None or change.boot < absence.boot:
        return False
    # A successful probe does not resolve the cause of a quarantine.
    if change.boot == absence.boot and absence.cause not in (
        change.cause,
        CAUSE_REBOOT,
    ):
        return False
    del state.absences[change.instance_id]
    return True


def _count_wave_failure(
    state: FleetState, context: FoldContext, change: AbsenceChange
) -> None:
    if change.cause != CAUSE_FAILED:
        return
    for wave in state.waves.values():
        boot = wave.recent.get(change.instance_id)
        # The platform's instance list lags, so a report on an earlier boot does not
        # apply to the rebooted instance.
        if boot is None or change.boot < boot or wave.status != WaveStatus.RUNNING:
            continue
        del wave.recent[change.instance_id]
        wave.failed.add(change.instance_id)
        pause_if_failing(context, wave)


@FLEET_HANDLERS.register("silence.report")
def report_silence(
    state: FleetState, context: FoldContext, body: ReportSilence
) -> Decision:
    """Start or stop counting a data centre as unavailable in fleet-wide budgets."""
    if body.silent:
        state.silent.add(body.data_centre)
    else:
        state.silent.discard(body.data_centre)
    return accept(context, f"data-centre:{body.data_centre}")
