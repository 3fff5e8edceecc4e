"""Track which instances are up but unable to run tasks, and since when."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ...platform.models import Instance
from ..scheduling.placement import is_operational
from ..scheduling.worker_state import WorkerState
from .const import (
    FIRST_CONTACT_SECONDS,
    FIRST_CONTACT_SECONDS_PER_WORKER,
    UNRESPONSIVE_SECONDS,
)


@dataclass(slots=True, eq=False)
class UnusableTracker:
    """Track for how long the workers of instances that are up can't run tasks.

    New instances, and all instances after a takeover, have some seconds until the first
    response of their workers: their pool would otherwise request one replacement after
    another meanwhile.

    :param _since: since when a worker is unusable, by its id, or by the machine if the
        list shows no worker there.
    :param _seen_serving: workers that were able to serve under this owner.
    """

    _since: dict[str, float] = field(default_factory=dict)
    _seen_serving: set[str] = field(default_factory=set)
    _updated: bool = False

    def update(
        self,
        instances: Iterable[Instance],
        workers: Mapping[str, WorkerState],
        taken_over_at: float,
        now: float,
    ) -> frozenset[str]:
        """Return the workers, or machines without one, that are unusable.

        :param instances: all instances that are up and not on standby.
        :param taken_over_at: when this owner took over; the instances of its first list
            have been up since then.
        """
        names = {instance.id or instance.machine for instance in instances}
        serving = {name for name in names if _is_operational(workers.get(name))}
        self._seen_serving = (self._seen_serving & names) | serving
        first = now if self._updated else taken_over_at
        self._updated = True
        self._since = {
            name: self._since.get(name, first) for name in names if name not in serving
        }
        contact_timeout = (
            FIRST_CONTACT_SECONDS + FIRST_CONTACT_SECONDS_PER_WORKER * len(names)
        )
        return frozenset(
            name
            for name in self._since
            if self._is_unusable(name, workers.get(name), contact_timeout, now)
        )

    def _is_unusable(
        self, name: str, worker: WorkerState | None, contact_timeout: float, now: float
    ) -> bool:
        since = self._since[name]
        if worker is not None and worker.listing_ends and not worker.stale:
            # It answers. A replacement would lose the ends that it has not listed yet.
            return False
        if worker is None or not (worker.confirmed or worker.stale):
            # The owner polls workers in turn and may not have reached this one yet.
            timeout = (
                UNRESPONSIVE_SECONDS if name in self._seen_serving else contact_timeout
            )
            return now - since > timeout
        if worker.draining or worker.absent:
            # Both are certain: the worker reports that it drains, or its entry has been
            # missing for long enough.
            return True
        if worker.stale and worker.reported_at:
            since = min(since, worker.reported_at)
        return now - since > UNRESPONSIVE_SECONDS


def _is_operational(worker: WorkerState | None) -> bool:
    return worker is not None and is_operational(worker)
