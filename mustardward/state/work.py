"""Define the state of one data centre's ``work`` stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from .models.jobs import CancelledBatch, Intent, Job


@dataclass(slots=True)
class WorkState:
    """Hold the jobs and intents of one data centre."""

    jobs: dict[str, Job] = field(default_factory=dict)
    intents: dict[str, Intent] = field(default_factory=dict)
    """Intents by ``intent_name(organisation, key)``, least recently changed first."""
    cancelled_groups: dict[str, int] = field(default_factory=dict)
    """Sequence of the cancellation of a group, by ``organisation/group``."""
    open_jobs: dict[str, int] = field(default_factory=dict)
    """Number of unfinished jobs by organisation."""
    open_groups: dict[str, dict[str, int]] = field(default_factory=dict)
    """Sequence of the acceptance of each unfinished job, by ``organisation/group``."""
    cancelled_batches: list[CancelledBatch] = field(default_factory=list)
    """Jobs of cancelled groups whose own status is not updated yet, oldest first."""
    stuck: dict[str, int] = field(default_factory=dict)
    """Sequence at which each parked or held job stopped."""
    finished: dict[str, int] = field(default_factory=dict)
    """Sequence at which each done or cancelled job ended, oldest first."""
    payload_bytes: int = 0
    """Total size of the payloads of unfinished jobs."""
    result_bytes: int = 0
    """Total size of the results of finished jobs."""
    answer_order: dict[str, int] = field(default_factory=dict)
    """Sequence of each intent that stores a response, oldest first."""


def intent_name(organisation: str, key: str) -> str:
    """Return the name of a key, qualified by its organisation."""
    return f"{organisation}\x00{key}"


def group_name(organisation: str, group: str) -> str:
    """Return the name of a group, qualified by its organisation."""
    return f"{organisation}/{group}"
