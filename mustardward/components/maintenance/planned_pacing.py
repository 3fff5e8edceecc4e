"""Pace waves as the planner says."""

from __future__ import annotations

from collections.abc import Callable

from ...helpers.timer import TimerService
from ...state.fleet import FleetState
from ...state.models.maintenance import WaveStatus
from ...state.models.pools import Instance
from ...state.work import WorkState
from .const import DEFAULT_PATIENCE_SECONDS, PACE_SECONDS, TASKS_SECONDS
from .plan_facts import Tasks, running_tasks, wave_facts
from .plan_models import Pace, Unit
from .plan_paces import choose_paces

_UNBOUND = Pace(1, DEFAULT_PATIENCE_SECONDS)


class PlannedPacing:
    """Choose paces for the running waves from time to time.

    They only order and slow down: whether an instance may be taken is decided by the
    fold alone, so paces that are a little old do no harm.
    """

    def __init__(
        self,
        data_centre: str,
        find_state: Callable[[], FleetState],
        find_work: Callable[[], WorkState | None],
        timers: TimerService,
    ) -> None:
        self._data_centre = data_centre
        self._find_state = find_state
        self._find_work = find_work
        self._timers = timers
        self._paces: dict[Unit, Pace] = {}
        self._tasks: Tasks = {}
        self._counted = float("-inf")
        self._chosen: tuple[float, frozenset[str]] = (float("-inf"), frozenset())

    def concurrency(self, pool: str) -> int:
        """Return how many instances of a pool may be out at once here."""
        return self._pace(pool).concurrency

    def patience(self, pool: str) -> float:
        """Return the seconds for which work may end by itself in a drain."""
        return self._pace(pool).patience

    def burden(self, instance: Instance) -> float:
        """Return the number of jobs that a drain of the instance might move."""
        return float(len(self._running().get(instance.instance_id, ())))

    def _pace(self, pool: str) -> Pace:
        self._refresh()
        return self._paces.get(Unit(pool, self._data_centre), _UNBOUND)

    def _refresh(self) -> None:
        state = self._find_state()
        running = frozenset(
            wave.wave_id
            for wave in state.waves.values()
            if wave.status == WaveStatus.RUNNING
        )
        now = self._timers.monotonic()
        since, waves = self._chosen
        if waves == running and now - since < PACE_SECONDS:
            return
        self._chosen = (now, running)
        self._paces = {}
        tasks = self._running()
        for wave_id in sorted(running):
            facts = wave_facts(state, state.waves[wave_id], tasks)
            for unit, pace in choose_paces(facts).items():
                held = self._paces.get(unit, pace)
                self._paces[unit] = max(
                    held, pace, key=lambda one: (one.concurrency, one.patience)
                )

    def _running(self) -> Tasks:
        now = self._timers.monotonic()
        if now - self._counted >= TASKS_SECONDS:
            self._counted = now
            self._tasks = running_tasks(self._find_work())
        return self._tasks
