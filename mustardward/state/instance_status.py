"""Compute an instance's state in ``charts/instance.yaml``."""

from __future__ import annotations

from ..helpers.chart import load_chart
from .fleet import FleetState
from .models.maintenance import Absence

_QUARANTINE_PREFIX = "quarantine"


def is_quarantine(absence: Absence) -> bool:
    """Return whether an absence is a quarantine, in which the instance is still up."""
    return absence.cause.startswith(_QUARANTINE_PREFIX)


def instance_status(state: FleetState, instance_id: str) -> str:
    """Return an instance's state; claims and moves take precedence over absences."""
    instance = state.instances.get(instance_id)
    if instance is None or instance.removed:
        return "removed"
    if instance_id in state.claims:
        return "maintained"
    if instance_id in state.moves:
        return "moving"
    absence = state.absences.get(instance_id)
    if absence is not None:
        return "quarantined" if is_quarantine(absence) else "absent"
    return load_chart("instance").initial


def instance_accepts(state: FleetState, instance_id: str, event: str) -> bool:
    """Return whether the chart allows an event in the instance's current state."""
    return load_chart("instance").accepts(instance_status(state, instance_id), event)
