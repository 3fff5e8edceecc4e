"""Decide when an entry claims the shard, without I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..dispatch.const import AUTHORITY_SECONDS
from ..ledger.models import OwnerRecord
from .const import (
    CLAIM_JITTER_SECONDS,
    HANDOVER_SPEED_RATIO,
    OWNER_ANSWER_VALID_SECONDS,
    OWNER_QUERY_LEAD_SECONDS,
    OWNER_TIMEOUT_SECONDS,
    OWNER_UNCONFIRMED_SECONDS,
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
    :param rank: how many entries claim before this one while the store is slow.
    :param ended_claim: the claim of this process's last ownership, once that has ended.
    :param renewal_read_at: when the newest renewal was read here; None if it was there
        at the first read, and may be of any age.
    """

    node: str
    jitter_position: float
    is_slow: bool = False
    rank: int = 0
    last_owner: OwnerRecord | None = None
    changed_at: float = 0.0
    renewal_read_at: float | None = None
    ended_claim: str = ""
    _rank_delay_seconds: float = 0.0
    _deferred_until: float = -math.inf
    _unconfirmed_at: float = -math.inf

    def _spread(self, jitter_seconds: float) -> float:
        """Return the delay of this entry's claim after the first entry's."""
        if self._rank_delay_seconds:
            return self.rank * self._rank_delay_seconds
        delay = SLOW_INSTANCE_DELAY_SECONDS if self.is_slow else 0.0
        return self.jitter_position * jitter_seconds + delay

    def observe(self, owner: OwnerRecord, now: float) -> None:
        """Apply the newest owner's record and restart the timeout if it changed."""
        if owner != self.last_owner:
            self.renewal_read_at = None if self.last_owner is None else now
            self.last_owner = owner
            self.changed_at = now
            self._unconfirmed_at = -math.inf
            self._rank_delay_seconds = 0.0

    def record_rank_delay(self, seconds: float) -> None:
        """Record the delay between two ranks, or 0 if the store is fast.

        The longest one since the newest renewal was read counts: while the store
        recovers, the timeouts of all entries are over, and renewals arrive again.
        """
        self._rank_delay_seconds = max(self._rank_delay_seconds, seconds)

    def restart_timeout(self, now: float) -> None:
        """Restart the owner's timeout while this entry can't read the log.

        Otherwise all entries would claim at once after an outage of the log, before the
        owner's next renewal arrives.
        """
        self.changed_at = max(self.changed_at, now)
        self._unconfirmed_at = -math.inf
        self._rank_delay_seconds = 0.0

    def should_query(self, now: float) -> bool:
        """Return whether the owner should be queried, since a claim is due soon.

        Each claim needs a query of its own that was sent a moment before it, after the
        newest renewal was read.
        """
        owner = self.last_owner
        if owner is None or owner.node in ("", self.node):
            return False
        if now - self._unconfirmed_at <= OWNER_UNCONFIRMED_SECONDS:
            return False
        claim_at = self._claim_at(owner) - OWNER_QUERY_LEAD_SECONDS
        return now >= max(claim_at, self._deferred_until)

    def record_owner_unconfirmed(self, sent_at: float) -> None:
        """Record that an owner that was queried has no authority or did not answer."""
        self._unconfirmed_at = sent_at

    def record_claim(self) -> None:
        """Record that the shard was claimed; another claim needs another query."""
        self._unconfirmed_at = -math.inf

    def defer(self, sent_at: float, age_seconds: float) -> bool:
        """Defer the claim of a shard whose owner has its authority.

        :param sent_at: when the owner was queried. The answer tells nothing about
            later: the owner may have been lost right after it.
        :param age_seconds: age of the owner's last stored renewal.
        :return: whether this is the first time since the newest renewal was read.
        """
        first = self._deferred_until < self.changed_at
        remaining_seconds = max(0.0, AUTHORITY_SECONDS - age_seconds)
        self._deferred_until = sent_at + min(
            OWNER_ANSWER_VALID_SECONDS, remaining_seconds
        )
        return first

    def should_claim(self, now: float) -> bool:
        """Return whether this entry should claim, provided it has read the log's end.

        The timeout starts when a renewal is read here, on this entry's monotonic clock,
        so that the clocks of two entries are never compared.
        """
        owner = self.last_owner
        return owner is not None and now >= self._claim_at(owner)

    def _claim_at(self, owner: OwnerRecord) -> float:
        """Return when this entry claims if it reads nothing new, in monotonic time."""
        # An entry that has given up its ownership waits for the timeout, also while its
        # release is outstanding: others would claim it later than the entry itself.
        if not self.ended_claim or owner.claim != self.ended_claim:
            if not owner.node:
                return self.changed_at + self._spread(RELEASED_CLAIM_JITTER_SECONDS)
            if owner.node == self.node:
                # The owner was this node's previous process, which has ended, since a
                # node runs one process.
                return -math.inf
        lost_at = max(self.changed_at + OWNER_TIMEOUT_SECONDS, self._deferred_until)
        return lost_at + self._spread(CLAIM_JITTER_SECONDS)
