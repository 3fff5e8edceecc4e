"""Log how the organisations share each full pool, at most once a second."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ...helpers.instruments import BEYOND_SHARE
from ...helpers.logging import get_logger
from ..scheduling.models import Job
from .pool_shares import PoolShares

_LOGGER = get_logger(__name__)

SHARE_LOG_INTERVAL_SECONDS: Final = 1.0
"""Shortest time between two lines of a pool; plans are made about a hundred times as
often."""

MAX_LOGGED_ORGANISATIONS: Final = 20
"""Organisations in a line, those with the largest demands."""


@dataclass(slots=True, eq=False)
class ShareLogger:
    """Log the shares of full pools."""

    _due_at: dict[str, float] = field(default_factory=dict)

    def is_due(self, service: str, now: float) -> bool:
        """Return whether a pool's next line is due."""
        return now >= self._due_at.get(service, -math.inf)

    def log(
        self, service: str, shares: PoolShares, exceeding: Iterable[Job], now: float
    ) -> None:
        """Log the shares of a pool if it is full.

        :param exceeding: the waiting jobs that exceeded their organisation's rate.
        """
        self._due_at[service] = now + SHARE_LOG_INTERVAL_SECONDS
        if shares.level == math.inf:
            return
        beyond = Counter(job.organisation for job in exceeding if job.beyond_share)
        for organisation in beyond:
            BEYOND_SHARE.labels(organisation).inc()
        demands = shares.demand.demands
        largest = sorted(demands, key=lambda name: (-demands[name], name))
        _LOGGER.info(
            "pool_shares",
            service=service,
            organisations=len(demands),
            beyond=",".join(sorted(beyond)),
            beyond_jobs=beyond.total(),
            shares=",".join(
                _format_share(shares, name)
                for name in largest[:MAX_LOGGED_ORGANISATIONS]
            ),
        )


def _format_share(shares: PoolShares, organisation: str) -> str:
    """Return an organisation with the pool's share that it uses and may use.

    The last number is what it demands, in seconds of the whole pool.
    """
    used = shares.demand.used.get(organisation, 0.0)
    share = shares.share(organisation)
    demand = shares.demand.demands[organisation]
    return f"{organisation or '-'}:{used:.3f}/{min(share, 1.0):.3f}/{demand:.3f}"
