"""Model how far a change has got among the entries."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class FoldedReply:
    """Say how far an entry has folded; ``revision`` 0 if it has no such template."""

    fleet_offset: int
    digest: str
    revision: int


@peer_message("templates.folded", FoldedReply)
@dataclass(frozen=True, slots=True)
class AskFolded:
    """Ask an entry which revision of a template it has in force."""

    template: str


@dataclass(frozen=True, slots=True)
class EntryProgress:
    """Hold what one entry said; offset and revision are -1 if it did not answer."""

    entry: str
    data_centre: str
    member: str
    fleet_offset: int
    revision: int

    @property
    def answered(self) -> bool:
        """Tell whether the entry answered."""
        return self.fleet_offset >= 0
