"""Define pools, the instances they own, and moves between them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..records import record_kind


@dataclass(frozen=True, slots=True)
class Pool:
    """Hold one accepted pool."""

    name: str
    revision: int


@dataclass(slots=True)
class Instance:
    """Hold one worker instance, its pool and the generation of that ownership.

    ``generation`` is the sequence number of the last change of owner. Calls to the
    worker contain it, so that the worker rejects calls under a previous owner.
    """

    instance_id: str
    data_centre: str
    rack: str
    address: str
    pool: str
    generation: int
    cores: int = 32
    memory_gigabytes: int = 128
    accelerators: int = 0
    slots: int = 8
    connections: int = 64
    removed: bool = False


@dataclass(slots=True)
class Move:
    """Hold a move in progress; the instance drains and still belongs to its source.

    ``acknowledged`` holds the entry nodes of its data centre that no longer send it
    work. ``requested`` is the sequence of the request, which platform calls contain.
    """

    move_id: str
    instance_id: str
    source: str
    target: str
    generation: int
    expected: frozenset[str] = frozenset()
    acknowledged: set[str] = field(default_factory=set)
    requested: int = 0


@record_kind("pool.put")
@dataclass(frozen=True, slots=True)
class PutPool:
    """Propose a pool."""

    name: str


@record_kind("instance.add")
@dataclass(frozen=True, slots=True)
class AddInstance:
    """Propose a new instance of a pool."""

    instance_id: str
    data_centre: str
    rack: str
    address: str
    pool: str
    cores: int = 32
    memory_gigabytes: int = 128
    accelerators: int = 0
    slots: int = 8
    connections: int = 64


@record_kind("instance.remove")
@dataclass(frozen=True, slots=True)
class RemoveInstance:
    """Propose to remove an instance from the fleet."""

    instance_id: str


@record_kind("move.request")
@dataclass(frozen=True, slots=True)
class RequestMove:
    """Propose to move an instance; the base revision is its generation.

    ``expected`` holds the entry nodes of its data centre that have to acknowledge.
    """

    move_id: str
    instance_id: str
    target: str
    expected: tuple[str, ...] = ()


@record_kind("move.acknowledge")
@dataclass(frozen=True, slots=True)
class AcknowledgeMove:
    """Record that entry nodes send the instance no more work and hold no lease on it.

    ``gone`` holds expected entry nodes whose incarnation has verifiably ended.
    """

    move_id: str
    entries: tuple[str, ...]
    gone: tuple[str, ...] = ()


@record_kind("move.transfer")
@dataclass(frozen=True, slots=True)
class TransferInstance:
    """Propose the change of owner; refused until all expected nodes acknowledged."""

    move_id: str


@record_kind("move.cancel")
@dataclass(frozen=True, slots=True)
class CancelMove:
    """Propose to cancel a move, which leaves the instance in its source pool."""

    move_id: str
