"""Say which instances that are up can run nothing, and since when."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ...platform.models import Instance
from ..scheduling.placement import is_operational
from ..scheduling.worker_state import WorkerState
from .const import HEARING_SECONDS_EACH, SILENT_SECONDS, UNHEARD_SECONDS


@dataclass(slots=True, eq=False)
class UnusableInstances:
    """Know for how long the workers of instances that are up could run nothing.

    Instances that come, and all of them after a takeover, have some seconds to be heard
    of: a pool would else ask for one after the other meanwhile.

    :param _since: since when, by the worker, or by the machine if the list names none.
    :param _served: the workers that served under this owner.
    """

    _since: dict[str, float] = field(default_factory=dict)
    _served: set[str] = field(default_factory=set)
    _looked: bool = False

    def look(
        self,
        instances: Iterable[Instance],
        workers: Mapping[str, WorkerState],
        taken_over_at: float,
        now: float,
    ) -> frozenset[str]:
        """Return the workers, or machines without one, that do not count.

        :param instances: all that are up and not off.
        :param taken_over_at: when this owner began; what the first list names was up.
        """
        named = {instance.id or instance.machine for instance in instances}
        serving = {name for name in named if _serves(workers.get(name))}
        self._served = (self._served & named) | serving
        first = now if self._looked else taken_over_at
        self._looked = True
        self._since = {
            name: self._since.get(name, first) for name in named if name not in serving
        }
        unheard = UNHEARD_SECONDS + HEARING_SECONDS_EACH * len(named)
        return frozenset(
            name
            for name in self._since
            if self._does_not_count(name, workers.get(name), unheard, now)
        )

    def _does_not_count(
        self, name: str, worker: WorkerState | None, unheard: float, now: float
    ) -> bool:
        since = self._since[name]
        if worker is None or not (worker.confirmed or worker.stale):
            # It may still have to be asked, in its turn.
            bound = SILENT_SECONDS if name in self._served else unheard
            return now - since > bound
        if worker.draining or worker.absent:
            # The worker said so, or its entry stayed away for long enough.
            return True
        if worker.stale and worker.reported_at:
            since = min(since, worker.reported_at)
        return now - since > SILENT_SECONDS


def _serves(worker: WorkerState | None) -> bool:
    return worker is not None and is_operational(worker)
