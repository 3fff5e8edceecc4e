"""Report quarantines and releases as absences, so that budgets include them."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure

from ...exceptions import PlatformError
from ...helpers.logging import get_logger
from ...standin.protocol.protocols import PowerService
from ...state.models.maintenance import AbsenceChange, ReportAbsences
from ...state.protocols import FleetLog
from .const import QUARANTINE_CAUSE
from .models import InstanceQuarantined, InstanceReleased

_LOGGER = get_logger(__name__)


class QuarantineReporter:
    """Report the quarantines and releases of this entry's router in batches.

    A report that could not be appended is kept and retried; the quarantine itself is
    already in force in this process.

    :param find_power: returns the platform's power service, if there is one.
    """

    def __init__(
        self,
        *,
        log: FleetLog,
        data_centre: str,
        actor: str,
        find_power: Callable[[], PowerService | None],
    ) -> None:
        self._log = log
        self._data_centre = data_centre
        self._actor = actor
        self._find_power = find_power
        self._pending: dict[str, bool] = {}

    def on_quarantined(self, event: InstanceQuarantined) -> None:
        """Log a quarantine and queue its report."""
        _LOGGER.warning(
            "instance_quarantined",
            instance=event.instance_id,
            pool=event.pool,
            failure_share=event.failure_share,
            peers_share=event.peers_share,
            seconds=event.seconds,
        )
        self._pending[event.instance_id] = False

    def on_released(self, event: InstanceReleased) -> None:
        """Log a release and queue its report."""
        _LOGGER.info("instance_released", instance=event.instance_id, pool=event.pool)
        self._pending[event.instance_id] = True

    async def async_step(self) -> None:
        """Report all pending changes in one record."""
        if not self._pending or not self._log.may_decide:
            return
        pending = dict(self._pending)
        changes = [await self._async_change(*item) for item in pending.items()]
        needed = tuple(change for change in changes if change is not None)
        if needed:
            body = ReportAbsences(self._data_centre, needed)
            result = await self._log.async_propose(body, actor=self._actor)
            if isinstance(result, Failure):
                _LOGGER.info("quarantine_report_postponed", code=result.failure().code)
                return
        for instance_id, up in pending.items():
            if self._pending.get(instance_id) is up:
                del self._pending[instance_id]

    async def _async_change(self, instance_id: str, up: bool) -> AbsenceChange | None:
        absence = self._log.state.absences.get(instance_id)
        if up:
            if absence is None or absence.cause != QUARANTINE_CAUSE:
                return None
            return AbsenceChange(instance_id, True, absence.boot, absence.cause)
        if absence is not None:
            return None
        boot = await self._async_boot(instance_id)
        return AbsenceChange(instance_id, False, boot, QUARANTINE_CAUSE)

    async def _async_boot(self, instance_id: str) -> int:
        power = self._find_power()
        if power is None:
            return 0
        try:
            return (await power.async_get(instance_id)).boot
        except PlatformError:
            return 0
