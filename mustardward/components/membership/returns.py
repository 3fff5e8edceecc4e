"""Check whether leaving instances accept work again."""

from __future__ import annotations

from collections.abc import Callable

from ...exceptions import PlatformError
from ...helpers.timer import TimerService
from ...standin.protocol.models import PowerState
from ...standin.protocol.protocols import PowerService
from ...state.protocols import FleetLog
from .const import DUTY_RETURNS, MAX_RETURN_CHECKS
from .instances import InstanceTable
from .reporter import Reporter
from .services import MembershipService


class ReturnChecker:
    """Check the power state of leaving instances that are neither claimed nor moving.

    Without it an instance whose drain was cancelled would never return, since it gets
    no attempt that could succeed.
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
        """Check some of the leaving instances if this process holds the duty."""
        power = self._find_power()
        if power is None or not self._membership.owns_duty(DUTY_RETURNS):
            return
        for instance_id in self._next_instances():
            await self._async_check_instance(power, instance_id)

    def _next_instances(self) -> list[str]:
        leaving = self._instances.leaving()
        if not self._queue:
            self._queue = sorted(leaving)
        chosen, self._queue = (
            self._queue[:MAX_RETURN_CHECKS],
            self._queue[MAX_RETURN_CHECKS:],
        )
        return [
            name
            for name in chosen
            if name in leaving and not self._is_claimed_or_moving(name)
        ]

    def _is_claimed_or_moving(self, instance_id: str) -> bool:
        fleet = self._find_fleet()
        if fleet is None:
            return False
        return instance_id in fleet.state.claims or instance_id in fleet.state.moves

    async def _async_check_instance(
        self, power: PowerService, instance_id: str
    ) -> None:
        started_at = self._timers.monotonic()
        try:
            power_state = await power.async_get(instance_id)
        except PlatformError:
            return
        if power_state.state is not PowerState.SERVING:
            self._instances.update_boot(instance_id, power_state.boot)
            return
        events = self._instances.record_serving(
            instance_id, "power", started_at, self._timers.monotonic(), power_state.boot
        )
        self._reporter.report(events, propagate=True)
