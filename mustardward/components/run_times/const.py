"""Constants of run-time estimates."""

from __future__ import annotations

from typing import Final

ESTIMATE_WEIGHT: Final = 0.1
"""Weight of the newest run in the moving average of a queue's run times."""

ESTIMATE_FLOOR: Final = 0.2
ESTIMATE_CEILING: Final = 8.0
"""Bounds of one run's ratio of actual to declared run time."""

UNKNOWN_ESTIMATE_SECONDS: Final = 1.0
"""Expected run time of a step that declares none."""
