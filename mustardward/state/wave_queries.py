"""Answer questions on waves from the folded state; pure."""

from __future__ import annotations

from .fleet import FleetState
from .models.maintenance import Wave, WaveStatus


def running_waves(state: FleetState) -> list[Wave]:
    """Return the waves that may take instances now."""
    return [wave for wave in state.waves.values() if wave.status == WaveStatus.RUNNING]


def is_due(waves: list[Wave], instance_id: str) -> bool:
    """Tell whether some of these waves will still take an instance."""
    return any(instance_id in wave.pending for wave in waves)
