"""Tell an instance's state of ``charts/instance.yaml``, and what may happen to it."""

from __future__ import annotations

from ..helpers.chart import load_chart
from .fleet import FleetState
from .models.maintenance import Absence

_QUARANTINE_PREFIX = "quarantine"


def is_quarantine(absence: Absence) -> bool:
    """Tell whether an instance is up and only trusted with no work."""
    return absence.cause.startswith(_QUARANTINE_PREFIX)


def instance_status(state: FleetState, instance_id: str) -> str:
    """Return an instance's state; what holds it comes before what ails it."""
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
    """Tell whether the chart lets an event happen to an instance now."""
    return load_chart("instance").accepts(instance_status(state, instance_id), event)
