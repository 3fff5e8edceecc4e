"""Announce why waves, claims and moves went as they did."""

from __future__ import annotations

from ...core import EventBus
from ...helpers.logging import get_logger
from ...state.protocols import FleetLog
from ..explain.models import DecisionMade, SubjectKind

_LOGGER = get_logger(__name__)


class DecisionJournal:
    """Publish each decision once, with the offset that it was made at."""

    def __init__(self, events: EventBus, log: FleetLog) -> None:
        self._events = events
        self._log = log
        self._last: dict[tuple[SubjectKind, str], tuple[str, str]] = {}

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

    def forget(self, kind: SubjectKind, subject_id: str) -> None:
        """Let the last decision on a subject be announced again."""
        self._last.pop((kind, subject_id), None)
