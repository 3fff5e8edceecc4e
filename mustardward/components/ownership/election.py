"""Decide when an entry claims the shard; pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..ledger.models import OwnerRecord
from .const import (
    HANDOVER_FACTOR,
    JITTER_SECONDS,
    RELEASED_JITTER_SECONDS,
    SILENCE_SECONDS,
    SMALL_DELAY_SECONDS,
)


def should_hand_over(own: float, others: Iterable[float]) -> bool:
    """Return whether an owner should give way to a much faster instance."""
    return any(speed >= HANDOVER_FACTOR * own for speed in others)


@dataclass(slots=True)
class Election:
    """Watch the owner's renewals as they are read from the log.

    :param node: this entry's name.
    :param share: where in the spread of claims this entry stands, from 0 to 1.
    :param small: whether a much larger instance is known, which should claim first.
    """

    node: str
    share: float
    small: bool = False
    seen: OwnerRecord | None = None
    changed_at: float = 0.0

    @property
    def _delay(self) -> float:
        return SMALL_DELAY_SECONDS if self.small else 0.0

    def see(self, owner: OwnerRecord, now: float) -> None:
        """Take in the newest owner's record."""
        if owner != self.seen:
            self.seen = owner
            self.changed_at = now

    def excuse(self, now: float) -> None:
        """Start the owner's silence anew, since the log can't be read here.

        After an outage all entries would else claim at once, while the owner's
        renewal is on its way.
        """
        self.changed_at = max(self.changed_at, now)

    def due(self, now: float) -> bool:
        """Return whether this entry should claim, once it has read the log's end.

        Silence is measured from the renewal as it was read here, on this entry's
        steady clock, so no two clocks are ever compared.
        """
        owner = self.seen
        if owner is None:
            return False
        if not owner.node:
            patience = self.share * RELEASED_JITTER_SECONDS + self._delay
            return now - self.changed_at >= patience
        if owner.node == self.node:
            # This entry's earlier process was the owner, and is gone: a node runs
            # one process.
            return True
        patience = SILENCE_SECONDS + self.share * JITTER_SECONDS + self._delay
        return now - self.changed_at >= patience
