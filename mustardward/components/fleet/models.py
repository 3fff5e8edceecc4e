"""Define the state and the decisions of fleet management."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ...platform.models import Instance, MaintenanceWave, Room
from ..scheduling.incarnations import is_other_incarnation


@dataclass(frozen=True, slots=True)
class Load:
    """Count the tasks that run on one worker.

    :param long_running: tasks of long-running steps.
    :param short_running: all other tasks.
    :param started_at_ms: when the worker started, in milliseconds since 1970, or 0 if
        that is unknown.
    :param unstored_ends: whether it holds ends of runs that the log does not contain.
    """

    long_running: int
    short_running: int
    started_at_ms: int = 0
    unstored_ends: bool = False

    @property
    def idle(self) -> bool:
        """Return whether nothing is lost if the worker ends.

        Ends that are not stored would otherwise be held by the owner alone, and their
        tasks would run again under the next one.
        """
        return self.long_running + self.short_running == 0 and not self.unstored_ends


@dataclass(slots=True)
class MaintenanceOrder:
    """Track a maintenance order until the instance is up again.

    :param worker_id: the worker's id when the order was first issued.
    :param issued_at: when it was last sent, in monotonic seconds.
    :param started_at_ms: when that worker had started, or 0 if that is unknown.
    :param accepted: whether the platform has confirmed the start of the maintenance.
    :param replacement_id: the worker that replaced it since; empty if none is known.
        A repeated order may interrupt it, or may have been carried out before it
        started, so that it gets no tasks and isn't removed either.
    :param replacement_started_at_ms: when that one had started, or 0 if unknown.
    """

    machine: str
    worker_id: str | None
    issued_at: float
    started_at_ms: int = 0
    accepted: bool = False
    accepted_at: float = 0.0
    replacement_id: str = ""
    replacement_started_at_ms: int = 0

    def update_replacement(self, view: FleetView) -> None:
        """Record the current worker if it has replaced the one of the decision."""
        instance = view.instances.get(self.machine)
        if instance is None or not instance.id:
            return
        started_at_ms = view.worker_started_at_ms(instance)
        if instance.id != self.worker_id or is_other_incarnation(
            started_at_ms, self.started_at_ms
        ):
            self.replacement_id = instance.id
            self.replacement_started_at_ms = started_at_ms


@dataclass(slots=True)
class MoveOrder:
    """Track a move order until the instance list shows the move.

    :param issued_at: when it was last sent, in monotonic seconds.
    :param worker_id: the worker that ran there at the decision; empty if none did.
    :param started_at_ms: when that worker had started, or 0 if that is unknown.
    """

    machine: str
    pool: str
    issued_at: float
    accepted_at: float | None = None
    worker_id: str = ""
    started_at_ms: int = 0

    @property
    def move(self) -> Move:
        """Return the move that is ordered."""
        return Move(self.machine, self.pool, self.worker_id, self.started_at_ms)

    def update_worker(self, view: FleetView) -> None:
        """Record the current worker if it has replaced the one of the decision."""
        instance = view.instances.get(self.machine)
        if instance is None or not instance.id or instance.pool == self.pool:
            return
        if instance.id != self.worker_id:
            self.worker_id, self.started_at_ms = (
                instance.id,
                view.worker_started_at_ms(instance),
            )


@dataclass(slots=True)
class WaveRun:
    """Track the progress of a maintenance wave.

    :param first_seen_at: when an owner first read it, in monotonic seconds.
    :param first_seen_wall: the same in wall-clock time, for later owners.
    :param started: machines whose maintenance has started.
    :param orders: maintenance orders that are not known to be finished, by machine.
    :param draining: machines that are being drained for it, and their workers.
    :param postponed: those of them that are not drained yet, since long-running tasks
        could not leave them; they take none of the wave's places.
    :param unlisted_since: when the first list that lacked a machine was requested.
    """

    wave: MaintenanceWave
    first_seen_at: float
    first_seen_wall: float = 0.0
    started: set[str] = field(default_factory=set)
    orders: dict[str, MaintenanceOrder] = field(default_factory=dict)
    draining: dict[str, str] = field(default_factory=dict)
    postponed: set[str] = field(default_factory=set)
    unlisted_since: dict[str, float] = field(default_factory=dict)
    done: bool = False


@dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the latest instance list and the load of its workers.

    :param loads: loads of the workers whose state is confirmed.
    :param standby: the standby pools.
    :param read_at: when the list was requested, in monotonic seconds.
    :param complete: whether all of its rows were readable.
    :param moving: machines that are ordered into another pool.
    :param blocked: machines that the previous owner may just have ordered.
    :param unusable: workers, or machines without one, that are up but have been unable
        to take tasks for a while.
    :param maintenance_due: machines that a wave has yet to maintain.
    :param capacities: capacities that workers report, which may be less than listed.
    :param needed_hosts: workers that can't be drained yet, since they run long-running
        tasks that have no room elsewhere, or these wait for them.
    """

    instances: dict[str, Instance]
    loads: dict[str, Load]
    standby: frozenset[str]
    pools: frozenset[str]
    read_at: float
    moving: frozenset[str] = frozenset()
    blocked: frozenset[str] = frozenset()
    unusable: frozenset[str] = frozenset()
    maintenance_due: frozenset[str] = frozenset()
    capacities: Mapping[str, Room] = field(default_factory=dict)
    complete: bool = True
    needed_hosts: frozenset[str] = frozenset()

    def capacity_of(self, instance: Instance) -> Room:
        """Return the capacity that an instance's worker reports, or the listed one."""
        return self.capacities.get(instance.id or "", instance.capacity)

    def worker_started_at_ms(self, instance: Instance) -> int:
        """Return when an instance's worker started, or 0 if that is unknown."""
        load = self.loads.get(instance.id or "")
        return load.started_at_ms if load is not None else 0


@dataclass(frozen=True, slots=True)
class Drain:
    """Assign no new tasks to an instance's worker and let its tasks finish."""

    machine: str
    worker_id: str


@dataclass(frozen=True, slots=True)
class Maintain:
    """Order an instance's maintenance.

    :param worker_id: the worker that ran there at the decision; empty if none did.
    :param started_at_ms: when that worker had started, or 0 if that is unknown.
    """

    machine: str
    wave: int
    worker_id: str = field(default="", compare=False)
    started_at_ms: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Move:
    """Order an instance into another pool.

    :param worker_id: the worker that ran there at the decision; empty if none did.
    :param started_at_ms: when that worker had started, or 0 if that is unknown.
    """

    machine: str
    pool: str
    worker_id: str = field(default="", compare=False)
    started_at_ms: int = field(default=0, compare=False)


Decision = Drain | Maintain | Move
