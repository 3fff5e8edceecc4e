"""Check a history against each invariant of the brief; pure functions."""

from __future__ import annotations

from ..models import History, Violation
from . import budget, configuration, ownership, requests, stopping  # noqa: F401
from .registry import INVARIANTS

NAMES = (
    "budget",
    "one-pool",
    "own-answer",
    "refusal-true",
    "at-most-once",
    "leaving-no-work",
    "graceful-stop",
    "config-in-force",
)
"""The eight invariants in the brief's order."""


def check_history(history: History) -> list[Violation]:
    """Return every violation, invariant by invariant."""
    return [violation for name in NAMES for violation in INVARIANTS[name](history)]
