"""Report the progress of maintenance waves to the platform's store and the log."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from ...helpers.logging import get_logger
from ...platform.models import WAVE_DONE, WAVE_RUNNING, Instance
from ...platform.store import KEY_WAVE_PREFIX
from ..ledger.appender import GroupAppender
from .const import MAX_LOGGED_INSTANCES, PROGRESS_LOG_SECONDS
from .models import FleetView
from .wave_planner import WavePlanner

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class WaveReporter:
    """Store the state of each wave when it changes, and log its progress regularly.

    :param appender: stores the states that operators read.
    """

    appender: GroupAppender
    wave_planner: WavePlanner
    _reported_states: dict[int, str] = field(default_factory=dict)
    _progress_reported_at: float = 0.0

    def report(self, view: FleetView, now: float) -> list[int]:
        """Report all changes; return the waves that are newly done."""
        if now - self._progress_reported_at >= PROGRESS_LOG_SECONDS:
            self._progress_reported_at = now
            self._report_progress(view)
        return [
            number for number in self.wave_planner.runs if self._report_state(number)
        ]

    def _report_state(self, number: int) -> bool:
        """Store a wave's state if it has changed; return whether it is newly done."""
        done = self.wave_planner.runs[number].done
        state = WAVE_DONE if done else WAVE_RUNNING
        if self._reported_states.get(number) == state:
            return False
        self._reported_states[number] = state
        body = msgspec.json.encode({"state": state})
        self.appender.post([(f"{KEY_WAVE_PREFIX}{number}", body)], math.inf)
        if done:
            _LOGGER.info("wave_done", wave=number)
        return done

    def _report_progress(self, view: FleetView) -> None:
        for number, run in self.wave_planner.runs.items():
            if run.done:
                continue
            left = self.wave_planner.remaining_instances(run, view)
            waiting = [i for i in left if i.machine not in run.draining]
            _LOGGER.info(
                "wave_progress",
                wave=number,
                left=len(left),
                draining=len(run.draining),
                ordered=len(run.orders),
                waiting=",".join(
                    _describe(i, view) for i in waiting[:MAX_LOGGED_INSTANCES]
                ),
            )


def _describe(instance: Instance, view: FleetView) -> str:
    """Return the properties of an instance that may delay its maintenance."""
    load = view.loads.get(instance.id or "")
    tasks = (
        f"{load.long_running}+{load.short_running}" if load is not None else "unknown"
    )
    moving = ":moving" if instance.machine in view.moving else ""
    return f"{instance.machine}:{instance.pool}:{instance.state}:{tasks}{moving}"
