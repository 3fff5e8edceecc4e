"""Divide a pool's capacity between organisations by weight (weighted max-min)."""

from __future__ import annotations

import math
from collections.abc import Mapping


def fair_level(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> float:
    """Return the level up to which a capacity satisfies all demands.

    An organisation's share is the smaller of its demand and the level times its weight;
    the shares of all amount to the capacity. What an organisation doesn't demand of its
    share raises the level for the others.

    :param weights: an organisation without a weight has its whole demand as its share.
    :returns: infinity if the capacity satisfies all demands.
    """
    remaining = capacity
    total_weight = 0.0
    ratios: list[tuple[float, str]] = []
    for name in sorted(demands):
        weight = weights.get(name, 0.0)
        if weight > 0.0:
            total_weight += weight
            ratios.append((demands[name] / weight, name))
        else:
            remaining -= demands[name]
    for ratio, name in sorted(ratios):
        if ratio * total_weight > remaining:
            return max(0.0, remaining) / total_weight
        remaining -= demands[name]
        total_weight -= weights[name]
    return math.inf
