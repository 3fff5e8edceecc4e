"""Bound what the store of stories may hold."""

from __future__ import annotations

from typing import Final

MAXIMUM_SUBJECTS: Final = 4_096
MAXIMUM_LINES: Final = 64
"""Lines kept of one subject; the oldest go first."""

PART_TIMEOUT_SECONDS: Final = 1.0
"""Longest wait for one entry's part of a story."""
