"""Rank the entries that may claim the shard while the store is slow; pure.

All entries rank alike, so that they claim one after the other: claims that forty
entries make at once fill the store's partition, and the winner's first renewal waits
behind them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ...helpers.policies import switchable
from ...helpers.rendezvous import rendezvous_order
from ..ledger.follower import idle_poll_interval
from ..ledger.models import NodeRecord, OwnerRecord
from ..ledger.store_latency import StoreLatency
from .const import (
    FOLLOWER_POLL_SECONDS,
    HANDOVER_SPEED_RATIO,
    MAX_FAST_RANKS,
    MAX_RANK_DELAY_SECONDS,
    OWNER_CHECK_SECONDS,
)


def claim_rank(node: str, owner: OwnerRecord, nodes: Mapping[str, NodeRecord]) -> int:
    """Return how many entries claim before this one.

    Fast entries come first, and among equally fast ones those of different data centres
    follow each other, since a data centre may be lost with its owner. The order differs
    by epoch, so that entries that are down do not always come first.
    """
    others = {name: entry for name, entry in nodes.items() if name != owner.node}
    if node not in others:
        return len(others)
    fastest = max(entry.speed for entry in others.values())
    places: Counter[tuple[bool, str]] = Counter()
    ranked: list[tuple[bool, int, int, str]] = []
    order = rendezvous_order(f"{owner.epoch}", others)
    for index, name in enumerate(order):
        entry = others[name]
        slow = fastest >= HANDOVER_SPEED_RATIO * entry.speed
        ranked.append((slow, places[slow, entry.zone], index, name))
        places[slow, entry.zone] += 1
    ranked.sort()
    names = [name for *_, name in ranked]
    rank = names.index(node)
    fast_count = sum(not slow for slow, *_ in ranked)
    return rank - max(0, fast_count - MAX_FAST_RANKS) * ranked[rank][0]


def _rank_by_jitter(latency: StoreLatency, now: float, entry_count: int) -> float:
    return 0.0


@switchable(
    "ranked-claims",
    "while the store is slow, entries claim the shard one after the other",
    without=_rank_by_jitter,
)
def rank_delay_seconds(latency: StoreLatency, now: float, entry_count: int) -> float:
    """Return the delay between the claims of two ranks, or 0 with a fast store.

    Until a claim can be seen, its entry reads the log, the claim is stored, and the
    other entries read it at their interval.
    """
    if not latency.is_slow(now):
        return 0.0
    seen_after = 2 * latency.seconds(now) + OWNER_CHECK_SECONDS
    seen_after += idle_poll_interval(FOLLOWER_POLL_SECONDS, entry_count)
    return min(MAX_RANK_DELAY_SECONDS, seen_after)
