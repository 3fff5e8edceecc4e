"""Hold what fleet work knows and decides."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ...platform.models import Instance, Room, UpkeepWave


@dataclass(frozen=True, slots=True)
class Load:
    """Hold what runs on one worker.

    :param lasting: tasks that last.
    :param others: all other tasks.
    :param born: when the worker started, in milliseconds since 1970, or 0.
    """

    lasting: int
    others: int
    born: int = 0

    @property
    def empty(self) -> bool:
        """Return whether nothing runs."""
        return self.lasting + self.others == 0


@dataclass(slots=True)
class MaintenanceOrder:
    """Hold an order that was given, until the instance was seen up again.

    :param old_id: the worker's id when the order was given.
    :param accepted: whether the platform answered that it has begun.
    :param old_born: when that worker had started, or 0 if that is not known.
    """

    machine: str
    old_id: str | None
    given_at: float
    old_born: int = 0
    accepted: bool = False
    accepted_at: float = 0.0


@dataclass(slots=True)
class MoveOrder:
    """Hold a move that was ordered, until the list shows it.

    :param worker: what ran there when it was decided, or nothing.
    :param born: when that worker had started, or 0 if that is not known.
    """

    machine: str
    pool: str
    given_at: float
    accepted_at: float | None = None
    worker: str = ""
    born: int = 0

    @property
    def move(self) -> Move:
        """Return what is ordered."""
        return Move(self.machine, self.pool, self.worker, self.born)

    def update_worker(self, view: FleetView) -> None:
        """Note which worker this takes if another came before it was carried out."""
        instance = view.instances.get(self.machine)
        if instance is None or not instance.id or instance.pool == self.pool:
            return
        if instance.id != self.worker:
            self.worker, self.born = instance.id, view.born_of(instance)


@dataclass(slots=True)
class WaveRun:
    """Hold how far a wave is.

    :param first_seen_at: when an owner first saw it, in steady seconds.
    :param seen_wall: the same as wall clock, for the owners after.
    :param begun: machines whose maintenance has begun.
    :param emptying: machines that are being emptied for it, and their workers.
    :param missed: machines that lists miss, by when the first such list was asked for.
    """

    wave: UpkeepWave
    first_seen_at: float
    seen_wall: float = 0.0
    begun: set[str] = field(default_factory=set)
    orders: dict[str, MaintenanceOrder] = field(default_factory=dict)
    emptying: dict[str, str] = field(default_factory=dict)
    missed: dict[str, float] = field(default_factory=dict)
    done: bool = False


@dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the newest list and what runs on its workers.

    :param read_at: when the list was asked for, in steady seconds.
    :param complete: whether each of its rows could be read.
    :param moving: machines that were ordered into another pool.
    :param barred: machines that the owner before ordered somewhere just now.
    :param unusable: workers, or machines without one, that are up and can't be given
        tasks for longer than a moment.
    :param due: machines that a wave is still to maintain.
    :param rooms: what workers tell of their room, which may be less than the list says.
    """

    instances: dict[str, Instance]
    loads: dict[str, Load]
    standby: frozenset[str]
    pools: frozenset[str]
    read_at: float
    moving: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()
    unusable: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
    rooms: Mapping[str, Room] = field(default_factory=dict)
    complete: bool = True

    def room_of(self, instance: Instance) -> Room:
        """Return an instance's room, as its worker tells it if that is known."""
        return self.rooms.get(instance.id or "", instance.capacity)

    def born_of(self, instance: Instance) -> int:
        """Return when an instance's worker started, or 0 if that is not known."""
        load = self.loads.get(instance.id or "")
        return load.born if load is not None else 0


@dataclass(frozen=True, slots=True)
class Empty:
    """Give an instance's worker no new work, and let it run out."""

    machine: str
    worker: str


@dataclass(frozen=True, slots=True)
class Maintain:
    """Order an instance's maintenance.

    :param worker: what ran there when this was decided, or nothing.
    :param born: when that worker had started, or 0 if that is not known.
    """

    machine: str
    wave: int
    worker: str = field(default="", compare=False)
    born: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Move:
    """Order an instance into another pool.

    :param worker: what ran there when this was decided, or nothing.
    :param born: when that worker had started, or 0 if that is not known.
    """

    machine: str
    pool: str
    worker: str = field(default="", compare=False)
    born: int = field(default=0, compare=False)


Decision = Empty | Maintain | Move
