"""Hold the constants of moves between pools."""

from __future__ import annotations

from typing import Final

STEP_SECONDS: Final = 0.5
"""Time between two looks at the moves in progress."""

ASK_TIMEOUT_SECONDS: Final = 1.0
"""Longest wait for an entry's acknowledgement; it is asked again."""
