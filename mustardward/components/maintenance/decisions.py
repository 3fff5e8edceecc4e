"""Announce why waves, claims and moves went as they did."""

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

_REMEMBERED: Final = 4096
"""Subjects whose last decision is kept, so that it is not announced twice."""


class DecisionJournal:
    """Publish each decision once, with the offset that it was made at."""

    def __init__(self, events: EventBus, log: FleetLog) -> None:
        self._events = events
        self._log = log
        self._last: OrderedDict[tuple[SubjectKind, str], tuple[str, str]] = (
            OrderedDict()
        )

    def note(
        self,
        kind: SubjectKind,
        subject_id: str,
        decision: str,
        cause: str,
        *inputs: str,
    ) -> None:
        """Announce a decision, unless it is the last one again."""
        if self._last.get((kind, subject_id)) == (decision, cause):
            return
        self._last[kind, subject_id] = (decision, cause)
        self._last.move_to_end((kind, subject_id))
        if len(self._last) > _REMEMBERED:
            self._last.popitem(last=False)
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


def note_selection(journal: DecisionJournal, wave: Wave, selection: Selection) -> None:
    """Announce what holds a wave back, if something does."""
    for pool, budget in selection.binding.items():
        journal.note(
            SubjectKind.WAVE,
            wave.wave_id,
            "claim-held-back",
            BudgetExceededError.code,
            f"pool={pool}",
            f"organisation={budget.organisation}",
            f"scope={budget.scope}",
            f"margin={budget.margin}",
        )
    if selection.closed:
        pools = ",".join(sorted(selection.closed))
        journal.note(
            SubjectKind.WAVE,
            wave.wave_id,
            "claim-held-back",
            "window-closed",
            f"pools={pools}",
        )
