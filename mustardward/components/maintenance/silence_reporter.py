"""Report data centres that give no sign, and that the own one speaks."""

from __future__ import annotations

from ...state.fold import RecordOutcome
from ...state.models.maintenance import ReportSilence
from .const import CONTRADICTION_SECONDS, DUTY_SILENCE
from .models import ExecutorParts


class SilenceReporter:
    """Fold which data centres cannot report their failures.

    Only a data centre itself says that it speaks again: a record of its own shows that
    its failures reach the log. Two halves of a partition that both have the log would
    else call each other silent and speaking in turn, a record a second.
    """

    def __init__(self, parts: ExecutorParts) -> None:
        self._parts = parts
        self._spoke: dict[str, float] = {}

    async def async_step(self) -> None:
        """Report what changed."""
        if not self._parts.may_begin():
            return
        if not self._parts.membership.owns_duty(DUTY_SILENCE):
            return
        for body in self._changes():
            await self._parts.log.async_propose(body, actor=self._parts.executor)

    def note_outcome(self, outcome: RecordOutcome) -> None:
        """Remember that a data centre said it speaks."""
        if isinstance(outcome.body, ReportSilence) and not outcome.body.silent:
            now = self._parts.timers.monotonic()
            self._spoke[outcome.body.data_centre] = now

    def _changes(self) -> list[ReportSilence]:
        state = self._parts.log.state
        own = self._parts.data_centre
        now = self._parts.timers.monotonic()
        changes = [ReportSilence(own, False)] if own in state.silent else []
        centres = {instance.data_centre for instance in state.instances.values()}
        for centre in sorted(centres - state.silent - {own}):
            contradicted = now - self._spoke.get(centre, float("-inf"))
            if contradicted < CONTRADICTION_SECONDS:
                continue
            if self._parts.membership.is_unreachable(centre):
                changes.append(ReportSilence(centre, True))
        return changes
