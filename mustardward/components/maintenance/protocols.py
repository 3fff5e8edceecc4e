"""Define what maintenance asks of other parts."""

from __future__ import annotations

from typing import Protocol


class Vacating(Protocol):
    """Move long work away from an instance."""

    async def async_vacate(self, instance_id: str) -> bool:
        """Checkpoint and requeue what runs there; tell whether nothing is left."""
        ...
