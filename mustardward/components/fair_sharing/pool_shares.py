"""Hold how a pool is shared between organisations."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .pool_demand import PoolDemand


@dataclass(slots=True)
class PoolShares:
    """Hold the shares of a pool.

    :param level: an organisation's share is this times its weight, in seconds of the
        whole pool; infinite while the pool satisfies all demands.
    """

    demand: PoolDemand
    weights: dict[str, float]
    level: float

    def is_beyond(self, organisation: str) -> bool:
        """Return whether an organisation demands more than its share."""
        demand = self.demand.demands.get(organisation, 0.0)
        return demand > self.share(organisation)

    def share(self, organisation: str) -> float:
        """Return an organisation's largest share, in seconds of the whole pool."""
        weight = self.weights.get(organisation, 0.0)
        return self.level * weight if weight > 0.0 else math.inf
