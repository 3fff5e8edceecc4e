"""Define the messages by which an entry node has a pool probed elsewhere."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class PoolProbed:
    """Return the log position after the failures that were found have been applied."""

    next_offset: int


@peer_message("maintenance.look", PoolProbed)
@dataclass(frozen=True, slots=True)
class ProbePool:
    """Request that an entry node probes the workers of a pool in its data centre."""

    pool: str
