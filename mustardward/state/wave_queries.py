"""Provide queries on the waves of the fleet state."""

from __future__ import annotations

from .fleet import FleetState
from .models.maintenance import Wave, WaveStatus


def running_waves(state: FleetState) -> list[Wave]:
    """Return the waves that may claim instances now."""
    return [wave for wave in state.waves.values() if wave.status == WaveStatus.RUNNING]


def is_due(waves: list[Wave], instance_id: str) -> bool:
    """Return whether any of these waves has yet to claim an instance."""
    return any(instance_id in wave.pending for wave in waves)
