"""Hold the folded state of one data centre's ``work`` stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from .models.jobs import CancelledBatch, Intent, Job


@dataclass(slots=True)
class WorkState:
    """Hold the jobs and intents of one data centre."""

    jobs: dict[str, Job] = field(default_factory=dict)
    intents: dict[str, Intent] = field(default_factory=dict)
    """Intents by ``intent_name(organisation, key)``, unchanged longest first."""
    cancelled_groups: dict[str, int] = field(default_factory=dict)
    """Sequence at which a group was cancelled, by ``organisation/group``."""
    open_jobs: dict[str, int] = field(default_factory=dict)
    """Number of unfinished jobs by organisation."""
    open_groups: dict[str, dict[str, int]] = field(default_factory=dict)
    """Accepted sequence of each unfinished job, by ``organisation/group``."""
    cancelled_batches: list[CancelledBatch] = field(default_factory=list)
    """Jobs of cancelled groups whose own status has yet to follow, oldest first."""
    stuck: dict[str, int] = field(default_factory=dict)
    """Parked and held jobs with the sequence at which they stopped."""
    finished: dict[str, int] = field(default_factory=dict)
    """Done and cancelled jobs with the sequence of their end, oldest first."""
    payload_bytes: int = 0
    """Size of the payloads of unfinished jobs."""
    result_bytes: int = 0
    """Size of the results of finished jobs."""
    answer_order: dict[str, int] = field(default_factory=dict)
    """Intents that still hold an answer, oldest first."""


def intent_name(organisation: str, key: str) -> str:
    """Return the name of a key within its organisation's own space."""
    return f"{organisation}\x00{key}"


def group_name(organisation: str, group: str) -> str:
    """Return the name of a group within its organisation's own space."""
    return f"{organisation}/{group}"
