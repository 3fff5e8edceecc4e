"""Define the time windows and limits of service-level counts."""

from __future__ import annotations

from typing import Final

WINDOW_SECONDS: Final[dict[str, float]] = {
    "5m": 300.0,
    "1h": 3_600.0,
    "6h": 21_600.0,
    "3d": 259_200.0,
}
"""Windows of burn rates; the longest is the window of the error budget."""

BUDGET_WINDOW: Final = "3d"
FINE_BUCKET_SECONDS: Final = 30.0
COARSE_BUCKET_SECONDS: Final = 900.0
FINE_WINDOWS: Final = frozenset({"5m", "1h"})

LATENCY_UNIT_SECONDS: Final = 0.0001
LATENCY_HIGHEST_UNITS: Final = 6_000_000
LATENCY_DIGITS: Final = 2
SKETCH_ROTATION_SECONDS: Final = 1_800.0

PART_TIMEOUT_SECONDS: Final = 1.0
DATA_CENTRE_TIMEOUT_SECONDS: Final = 3.0
MAX_DATA_CENTRE_ATTEMPTS: Final = 2
"""Entries of another data centre to try before its counts are reported missing."""
