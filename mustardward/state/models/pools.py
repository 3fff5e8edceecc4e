"""Model pools, the instances they own, and moves between them."""

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
    """Hold one worker instance, its one pool and the generation of that ownership.

    ``generation`` is the fold's sequence number at the last change of owner; calls to
    the worker carry it, so a call under an older owner is refused there.
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
    """Hold a move in progress: the instance drains and still belongs to its source.

    ``acknowledged`` names entries of its data centre that send it no more work.
    ``requested`` is the sequence of the request; platform calls carry it.
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
    """Propose that an instance belongs to a pool from now on."""

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
    """Propose that an instance leaves the fleet."""

    instance_id: str


@record_kind("move.request")
@dataclass(frozen=True, slots=True)
class RequestMove:
    """Propose to move an instance; base revision is its ownership generation.

    ``expected`` are the entries of its data centre that have to acknowledge.
    """

    move_id: str
    instance_id: str
    target: str
    expected: tuple[str, ...] = ()


@record_kind("move.acknowledge")
@dataclass(frozen=True, slots=True)
class AcknowledgeMove:
    """State that entries send the instance no more work and hold no lease on it.

    ``gone`` names expected entries that are proven gone for their incarnation.
    """

    move_id: str
    entries: tuple[str, ...]
    gone: tuple[str, ...] = ()


@record_kind("move.transfer")
@dataclass(frozen=True, slots=True)
class TransferInstance:
    """Propose the one record that changes the owner; refused until all acknowledged."""

    move_id: str


@record_kind("move.cancel")
@dataclass(frozen=True, slots=True)
class CancelMove:
    """Propose that the instance stays in its source pool."""

    move_id: str
