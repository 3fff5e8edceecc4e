"""Report which data centres are unreachable and that the own one is reachable."""

from __future__ import annotations

from ...state.fold import RecordOutcome
from ...state.models.maintenance import ReportSilence
from .const import DUTY_REACHABILITY, REACHABLE_HOLD_SECONDS
from .models import ExecutorDependencies


class ReachabilityReporter:
    """Report data centres that cannot append their failures to the log.

    Only a data centre itself reports that it is reachable again, since its own record
    proves that its failures reach the log. Otherwise the two sides of a partition that
    both reach the log would report contradicting states, one record per second.
    """

    def __init__(self, dependencies: ExecutorDependencies) -> None:
        self._dependencies = dependencies
        self._reachable_at: dict[str, float] = {}

    async def async_step(self) -> None:
        """Append the changes of reachability."""
        if not self._dependencies.may_start():
            return
        if not self._dependencies.membership.owns_duty(DUTY_REACHABILITY):
            return
        for body in self._changes():
            await self._dependencies.log.async_propose(
                body, actor=self._dependencies.executor
            )

    def handle_outcome(self, outcome: RecordOutcome) -> None:
        """Record when a data centre reported itself reachable."""
        if isinstance(outcome.body, ReportSilence) and not outcome.body.silent:
            now = self._dependencies.timers.monotonic()
            self._reachable_at[outcome.body.data_centre] = now

    def _changes(self) -> list[ReportSilence]:
        state = self._dependencies.log.state
        own = self._dependencies.data_centre
        now = self._dependencies.timers.monotonic()
        changes = [ReportSilence(own, False)] if own in state.silent else []
        data_centres = {instance.data_centre for instance in state.instances.values()}
        for data_centre in sorted(data_centres - state.silent - {own}):
            report_age = now - self._reachable_at.get(data_centre, float("-inf"))
            if report_age < REACHABLE_HOLD_SECONDS:
                continue
            if self._dependencies.membership.is_unreachable(data_centre):
                changes.append(ReportSilence(data_centre, True))
        return changes
