"""Decide when an entry claims the shard, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..ledger.models import OwnerRecord
from .const import (
    CLAIM_JITTER_SECONDS,
    HANDOVER_SPEED_RATIO,
    OWNER_TIMEOUT_SECONDS,
    RELEASED_CLAIM_JITTER_SECONDS,
    SLOW_INSTANCE_DELAY_SECONDS,
)


def should_hand_over(own_speed: float, other_speeds: Iterable[float]) -> bool:
    """Return whether an owner should hand over to a much faster instance."""
    return any(speed >= HANDOVER_SPEED_RATIO * own_speed for speed in other_speeds)


@dataclass(slots=True)
class Election:
    """Detect from the renewals in the log that the shard has no owner.

    :param node: this entry's name.
    :param jitter_position: this entry's fraction of the claim jitter, from 0 to 1.
    :param is_slow: whether a much faster instance is known, which should claim first.
    :param renewal_read_at: when the newest renewal was read here; None if it was there
        at the first read, and may be of any age.
    """

    node: str
    jitter_position: float
    is_slow: bool = False
    last_owner: OwnerRecord | None = None
    changed_at: float = 0.0
    renewal_read_at: float | None = None

    @property
    def _delay(self) -> float:
        return SLOW_INSTANCE_DELAY_SECONDS if self.is_slow else 0.0

    def observe(self, owner: OwnerRecord, now: float) -> None:
        """Apply the newest owner's record and restart the timeout if it changed."""
        if owner != self.last_owner:
            self.renewal_read_at = None if self.last_owner is None else now
            self.last_owner = owner
            self.changed_at = now

    def restart_timeout(self, now: float) -> None:
        """Restart the owner's timeout while this entry can't read the log.

        Otherwise all entries would claim at once after an outage of the log, before the
        owner's next renewal arrives.
        """
        self.changed_at = max(self.changed_at, now)

    def should_claim(self, now: float) -> bool:
        """Return whether this entry should claim, provided it has read the log's end.

        The timeout starts when a renewal is read here, on this entry's monotonic clock,
        so that the clocks of two entries are never compared.
        """
        owner = self.last_owner
        if owner is None:
            return False
        if not owner.node:
            timeout = self.jitter_position * RELEASED_CLAIM_JITTER_SECONDS + self._delay
            return now - self.changed_at >= timeout
        if owner.node == self.node:
            # The owner was this node's previous process, which has ended, since a
            # node runs one process.
            return True
        timeout = (
            OWNER_TIMEOUT_SECONDS
            + self.jitter_position * CLAIM_JITTER_SECONDS
            + self._delay
        )
        return now - self.changed_at >= timeout
