"""Define how entries ask each other to look at a pool before a wave takes more."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class PoolProbed:
    """Reply how far the log is once what was seen is folded."""

    next_offset: int


@peer_message("maintenance.look", PoolProbed)
@dataclass(frozen=True, slots=True)
class ProbePool:
    """Ask an entry to look at its data centre's workers of a pool."""

    pool: str
