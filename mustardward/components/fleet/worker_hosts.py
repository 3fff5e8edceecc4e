"""Track the instances of workers, and derive why a worker is no longer listed."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from typing import Final

from ...platform.models import INSTANCE_MOVING, INSTANCE_UPKEEP, Instance
from ..scheduling.losses import LossCause

_ORDERED_STATES: Final = (INSTANCE_MOVING, INSTANCE_UPKEEP)


@dataclass(slots=True, eq=False)
class WorkerHosts:
    """Hold the machine of each worker that was listed and may be alive."""

    _machines: dict[str, str] = field(default_factory=dict)

    def update(self, instances: Mapping[str, Instance], alive: Container[str]) -> None:
        """Record the machines of an instance list.

        :param alive: workers that are not known to be gone, listed or not.
        """
        self._machines = {
            worker_id: machine
            for worker_id, machine in self._machines.items()
            if worker_id in alive
        }
        for machine, instance in instances.items():
            if instance.id:
                self._machines[instance.id] = machine

    def machine_of(self, worker_id: str) -> str:
        """Return the machine of a worker, or an empty string if no list named it."""
        return self._machines.get(worker_id, "")

    def has_listed(self, worker_id: str) -> bool:
        """Return whether a list has named a worker."""
        return worker_id in self._machines

    def is_replaced(self, worker_id: str, instances: Mapping[str, Instance]) -> bool:
        """Return whether the machine of a worker has another worker."""
        instance = instances.get(self.machine_of(worker_id))
        return instance is not None and bool(instance.id) and instance.id != worker_id

    def loss_cause(
        self,
        worker_id: str,
        instances: Mapping[str, Instance],
        ordered: Container[str],
    ) -> LossCause:
        """Return why a worker is no longer listed.

        :param ordered: machines that an owner may have had moved or maintained.
        """
        machine = self.machine_of(worker_id)
        instance = instances.get(machine)
        if machine in ordered:
            return LossCause.ORDERED
        if instance is not None and instance.state in _ORDERED_STATES:
            return LossCause.ORDERED
        return LossCause.UNLISTED
