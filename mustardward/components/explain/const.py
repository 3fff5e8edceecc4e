"""Define limits of the store of histories."""

from __future__ import annotations

from typing import Final

MAX_SUBJECTS: Final = 4_096
MAX_LINES: Final = 64
"""Lines kept per subject; the oldest are dropped first."""

PART_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of the request for one entry's part of a history."""
