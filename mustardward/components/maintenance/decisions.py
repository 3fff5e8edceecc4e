"""Publish the decisions on waves, claims and moves with their causes."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from ...core import EventBus
from ...helpers.logging import get_logger
from ...state.budgets import BudgetExceededError
from ...state.models.maintenance import Wave
from ...state.protocols import FleetLog
from ..explain.models import DecisionMade, SubjectKind
from .selection import Selection

_LOGGER = get_logger(__name__)

_MAX_SUBJECTS: Final = 4096
"""Number of subjects whose last decision is kept to suppress duplicates."""


class DecisionJournal:
    """Publish decisions with the log offset at which they were made."""

    def __init__(self, events: EventBus, log: FleetLog) -> None:
        self._events = events
        self._log = log
        self._last_decisions: OrderedDict[tuple[SubjectKind, str], tuple[str, str]] = (
            OrderedDict()
        )

    def record(
        self,
        kind: SubjectKind,
        subject_id: str,
        decision: str,
        cause: str,
        *inputs: str,
    ) -> None:
        """Publish and log a decision unless it repeats the last one on its subject."""
        if self._last_decisions.get((kind, subject_id)) == (decision, cause):
            return
        self._last_decisions[kind, subject_id] = (decision, cause)
        self._last_decisions.move_to_end((kind, subject_id))
        if len(self._last_decisions) > _MAX_SUBJECTS:
            self._last_decisions.popitem(last=False)
        offset = self._log.next_offset - 1
        self._events.publish(
            DecisionMade(kind, subject_id, decision, cause, inputs, offset)
        )
        _LOGGER.info(
            decision.replace("-", "_"),
            subject=f"{kind}:{subject_id}",
            cause=cause,
            inputs=" ".join(inputs),
            offset=offset,
        )


def record_selection(
    journal: DecisionJournal, wave: Wave, selection: Selection
) -> None:
    """Record the budgets and closed windows that block a wave."""
    for pool, budget in selection.binding.items():
        journal.record(
            SubjectKind.WAVE,
            wave.wave_id,
            "claim-held-back",
            BudgetExceededError.code,
            f"pool={pool}",
            f"organisation={budget.organisation}",
            f"scope={budget.scope}",
            f"margin={budget.margin}",
        )
    if selection.closed_pools:
        pools = ",".join(sorted(selection.closed_pools))
        journal.record(
            SubjectKind.WAVE,
            wave.wave_id,
            "claim-held-back",
            "window-closed",
            f"pools={pools}",
        )
