"""Define the constants of moves between pools."""

from __future__ import annotations

from typing import Final

STEP_INTERVAL_SECONDS: Final = 0.5
"""Interval at which the moves in progress are advanced."""

ACKNOWLEDGEMENT_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a request for an acknowledgement, which the next step repeats."""
