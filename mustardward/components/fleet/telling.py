"""Tell operators how far waves are, in the platform's store and in the log."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ...helpers.logging import get_logger
from ...platform.models import WAVE_DONE, WAVE_RUNNING, Instance
from ...platform.store import KEY_WAVE_PREFIX
from ..ledger.appender import GroupAppender
from .const import NAMED_INSTANCES, TELL_SECONDS
from .models import FleetView
from .waves import WavePlanner

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class WaveTelling:
    """Tell each wave's state once it changes, and its progress each second.

    :param appender: stores what operators read.
    """

    appender: GroupAppender
    planner: WavePlanner
    _told: dict[int, str] = field(default_factory=dict)
    _progress_told_at: float = 0.0

    def tell(self, view: FleetView, now: float) -> list[int]:
        """Tell what changed; return the waves that are newly done."""
        if now - self._progress_told_at >= TELL_SECONDS:
            self._progress_told_at = now
            self._tell_progress(view)
        return [number for number in self.planner.runs if self._tell_state(number)]

    def _tell_state(self, number: int) -> bool:
        """Tell one wave's state; return whether it is newly done."""
        done = self.planner.runs[number].done
        state = WAVE_DONE if done else WAVE_RUNNING
        if self._told.get(number) == state:
            return False
        self._told[number] = state
        body = msgspec.json.encode({"state": state})
        self.appender.post([(f"{KEY_WAVE_PREFIX}{number}", body)])
        if done:
            _LOGGER.info("wave_done", wave=number)
        return done

    def _tell_progress(self, view: FleetView) -> None:
        for number, run in self.planner.runs.items():
            if run.done:
                continue
            left = self.planner.left(run, view)
            waiting = [i for i in left if i.machine not in run.emptying]
            _LOGGER.info(
                "wave_progress",
                wave=number,
                left=len(left),
                emptying=len(run.emptying),
                ordered=len(run.orders),
                waiting=",".join(_describe(i, view) for i in waiting[:NAMED_INSTANCES]),
            )


def _describe(instance: Instance, view: FleetView) -> str:
    """Return why a wave may not take an instance yet."""
    load = view.loads.get(instance.id or "")
    tasks = f"{load.lasting}+{load.others}" if load is not None else "unknown"
    moving = ":moving" if instance.machine in view.moving else ""
    return f"{instance.machine}:{instance.pool}:{instance.state}:{tasks}{moving}"
