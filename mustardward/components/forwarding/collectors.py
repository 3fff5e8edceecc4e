"""Choose the entry nodes that append other nodes' requests to a slow store; pure."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from itertools import zip_longest

from ...helpers.rendezvous import rendezvous_order
from ..ledger.models import NodeRecord
from ..ledger.store_latency import EXECUTION_SHARE
from .const import (
    COLLECTED_STORE_SECONDS,
    MAX_COLLECTORS,
    MAX_COLLECTORS_ASKED,
    MIN_COLLECTORS,
)


def rank_collectors(nodes: Mapping[str, NodeRecord], owner: str) -> list[str]:
    """Return the names of the entry nodes, the best to collect requests first.

    Fast nodes come first, and neighbours in the list are in different data centres. The
    owner is left out, so that it is not lost together with a collecting node.
    """
    zones: dict[str, list[str]] = {}
    for name in sorted(nodes, key=lambda name: (-nodes[name].speed, name)):
        if name != owner:
            zones.setdefault(nodes[name].zone, []).append(name)
    ranked: list[str] = []
    for names in zip_longest(*zones.values()):
        ranked.extend(name for name in names if name is not None)
    return ranked


def collector_count(latency_seconds: float) -> int:
    """Return how many entry nodes collect requests at a latency of the store's reads.

    A request waits for the append in flight and for its own. The owner and each
    collecting node have one append in flight, and the partition executes them one at a
    time, so that each collecting node adds one execution to the time of an append.

    :param latency_seconds: infinite if it is not known yet.
    """
    execution_seconds = latency_seconds * EXECUTION_SHARE
    if execution_seconds <= 0.0:
        return MAX_COLLECTORS
    if execution_seconds == math.inf:
        return MIN_COLLECTORS
    queue_seconds = COLLECTED_STORE_SECONDS / 2 - latency_seconds
    affordable = math.floor(queue_seconds / execution_seconds) - 1
    return max(MIN_COLLECTORS, min(MAX_COLLECTORS, affordable))


def choose_collectors(key: str, available: Sequence[str], count: int) -> list[str]:
    """Return the entry nodes to send a request to, one after the other.

    Requests with the same key go to the same node, whichever entry node they are sent
    from, so that it knows of an earlier request with the same id.

    :param available: ranked entry nodes that did not fail recently; the first of them
        collect.
    """
    collecting, others = available[:count], list(available[count:])
    order = rendezvous_order(key, collecting) + others
    return order[:MAX_COLLECTORS_ASKED]
