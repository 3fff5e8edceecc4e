"""Hold the folded state of one data centre's ``work`` stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from .models.jobs import Intent, Job


@dataclass(slots=True)
class WorkState:
    """Hold the jobs and intents of one data centre."""

    jobs: dict[str, Job] = field(default_factory=dict)
    intents: dict[str, Intent] = field(default_factory=dict)
    """Intents by ``intent_name(organisation, key)``."""
    cancelled_groups: dict[str, int] = field(default_factory=dict)
    """Sequence at which a group was cancelled, by ``organisation/group``."""


def intent_name(organisation: str, key: str) -> str:
    """Return the name of a key within its organisation's own space."""
    return f"{organisation}\x00{key}"
