"""Define the models of how far entries have applied a change."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class ProgressReply:
    """Reply how far an entry has applied the log.

    ``revision`` is 0 if the entry has no such template.
    """

    fleet_offset: int
    digest: str
    revision: int


@peer_message("templates.folded", ProgressReply)
@dataclass(frozen=True, slots=True)
class ProgressRequest:
    """Ask an entry which revision of a template it has in force."""

    template: str


@dataclass(frozen=True, slots=True)
class EntryProgress:
    """Hold the progress of one entry.

    The offset and the revision are -1 if the entry did not reply.
    """

    entry: str
    data_centre: str
    member: str
    fleet_offset: int
    revision: int

    @property
    def answered(self) -> bool:
        """Return whether the entry replied."""
        return self.fleet_offset >= 0
