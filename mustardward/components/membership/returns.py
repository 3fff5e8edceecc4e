"""Look whether leaving instances take work again."""

from __future__ import annotations

from collections.abc import Callable

from ...exceptions import PlatformError
from ...helpers.timer import TimerService
from ...standin.protocol.models import PowerState
from ...standin.protocol.protocols import PowerService
from ...state.protocols import FleetLog
from .const import DUTY_RETURNS, RETURN_CHECKS
from .instances import InstanceTable
from .reporter import Reporter
from .services import MembershipService


class ReturnChecker:
    """Ask for the power state of leaving instances that nobody holds.

    Without it an instance whose drain was cancelled would stay out for ever, since it
    gets no attempt that could succeed.
    """

    def __init__(
        self,
        find_power: Callable[[], PowerService | None],
        find_fleet: Callable[[], FleetLog | None],
        timers: TimerService,
        membership: MembershipService,
        instances: InstanceTable,
        reporter: Reporter,
    ) -> None:
        self._find_power = find_power
        self._find_fleet = find_fleet
        self._timers = timers
        self._membership = membership
        self._instances = instances
        self._reporter = reporter
        self._queue: list[str] = []

    async def async_check(self) -> None:
        """Look at a few leaving instances if it is this process's turn."""
        power = self._find_power()
        if power is None or not self._membership.owns_duty(DUTY_RETURNS):
            return
        for instance_id in self._next():
            await self._async_check_one(power, instance_id)

    def _next(self) -> list[str]:
        leaving = self._instances.leaving()
        if not self._queue:
            self._queue = sorted(leaving)
        chosen, self._queue = self._queue[:RETURN_CHECKS], self._queue[RETURN_CHECKS:]
        return [name for name in chosen if name in leaving and not self._is_held(name)]

    def _is_held(self, instance_id: str) -> bool:
        fleet = self._find_fleet()
        if fleet is None:
            return False
        return instance_id in fleet.state.claims or instance_id in fleet.state.moves

    async def _async_check_one(self, power: PowerService, instance_id: str) -> None:
        began = self._timers.monotonic()
        try:
            found = await power.async_get(instance_id)
        except PlatformError:
            return
        if found.state is not PowerState.SERVING:
            self._instances.learn_boot(instance_id, found.boot)
            return
        events = self._instances.note_up(
            instance_id, "power", began, self._timers.monotonic(), found.boot
        )
        self._reporter.report(events, pass_on=True)
