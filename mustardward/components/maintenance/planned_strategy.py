"""Limit the progress of waves as the planner recommends."""

from __future__ import annotations

from collections.abc import Callable

from ...helpers.timer import TimerService
from ...state.fleet import FleetState
from ...state.models.maintenance import WaveStatus
from ...state.models.pools import Instance
from ...state.work import WorkState
from .const import DEFAULT_GRACE_SECONDS, LIMITS_TTL_SECONDS, RUNNING_TASKS_TTL_SECONDS
from .plan_inputs import Tasks, build_wave_input, running_tasks
from .plan_models import PoolUnit, RolloutLimits
from .rollout_limits import choose_limits

_DEFAULT_LIMITS = RolloutLimits(1, DEFAULT_GRACE_SECONDS)


class PlannedRolloutStrategy:
    """Choose the rollout limits of the running waves and refresh them periodically.

    Limits only order and delay claims. The replicated state alone decides whether a
    claim is admitted, so slightly outdated limits are safe.
    """

    def __init__(
        self,
        data_centre: str,
        get_state: Callable[[], FleetState],
        get_work: Callable[[], WorkState | None],
        timers: TimerService,
    ) -> None:
        self._data_centre = data_centre
        self._get_state = get_state
        self._get_work = get_work
        self._timers = timers
        self._limits_by_unit: dict[PoolUnit, RolloutLimits] = {}
        self._tasks: Tasks = {}
        self._tasks_updated_at = float("-inf")
        self._last_choice: tuple[float, frozenset[str]] = (float("-inf"), frozenset())

    def concurrency(self, pool: str) -> int:
        """Return the maximum number of claimed instances of a pool."""
        return self._get_limits(pool).concurrency

    def grace_seconds(self, pool: str) -> float:
        """Return the seconds that a drain waits before it moves work away."""
        return self._get_limits(pool).grace_seconds

    def drain_cost(self, instance: Instance) -> float:
        """Return the number of running jobs that draining the instance may move."""
        return float(len(self._get_tasks().get(instance.instance_id, ())))

    def _get_limits(self, pool: str) -> RolloutLimits:
        self._refresh()
        return self._limits_by_unit.get(
            PoolUnit(pool, self._data_centre), _DEFAULT_LIMITS
        )

    def _refresh(self) -> None:
        state = self._get_state()
        running = frozenset(
            wave.wave_id
            for wave in state.waves.values()
            if wave.status == WaveStatus.RUNNING
        )
        now = self._timers.monotonic()
        chosen_at, waves = self._last_choice
        if waves == running and now - chosen_at < LIMITS_TTL_SECONDS:
            return
        self._last_choice = (now, running)
        self._limits_by_unit = {}
        tasks = self._get_tasks()
        for wave_id in sorted(running):
            plan_input = build_wave_input(state, state.waves[wave_id], tasks)
            for unit, limits in choose_limits(plan_input).items():
                current = self._limits_by_unit.get(unit, limits)
                self._limits_by_unit[unit] = max(
                    current,
                    limits,
                    key=lambda item: (item.concurrency, item.grace_seconds),
                )

    def _get_tasks(self) -> Tasks:
        now = self._timers.monotonic()
        if now - self._tasks_updated_at >= RUNNING_TASKS_TTL_SECONDS:
            self._tasks_updated_at = now
            self._tasks = running_tasks(self._get_work())
        return self._tasks
