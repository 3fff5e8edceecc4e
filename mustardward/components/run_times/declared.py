"""Turn declared run times into seconds that can be calculated with."""

from __future__ import annotations

from ...platform.models import SubmittedStep
from .const import MAX_DECLARED_SECONDS, MIN_DECLARED_SECONDS


def declared_seconds(spec: SubmittedStep) -> float:
    """Return the declared run time of a step's tasks in seconds, 0 if there is none.

    Any positive number may be declared, also one whose thousandth is 0.
    """
    if spec.estimate_ms <= 0:
        return 0.0
    seconds = spec.estimate_ms / 1000
    return min(MAX_DECLARED_SECONDS, max(MIN_DECLARED_SECONDS, seconds))
