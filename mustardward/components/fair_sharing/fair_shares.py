"""Determine which waiting jobs are beyond their organisation's share of a pool.

When one organisation submits many times its usual load and jobs are ordered by arrival
or slack, its jobs rank before those of all others, and one job in four is late whoever
submitted it. Jobs beyond the share of their organisation therefore go after all jobs of
others that are in the same deadline class, and use the capacity that is left.

A job is beyond the share if both hold:

- It exceeded its organisation's rate when it arrived. This tells the excess of an
  organisation from its usual jobs.
- The organisation now demands more of the pool than its share by weight. This is
  judged anew in each plan. The usual jobs of a small organisation may arrive in bursts
  that exceed its rate; its demand is still small. Once an organisation's load is back
  to normal, none of its jobs is beyond its share.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable
from ...helpers.token_bucket import TokenBucket
from ..run_times.estimates import Estimates
from ..scheduling.models import Job
from ..scheduling.worker_state import WorkerState
from .levels import fair_level
from .pool_demand import measure_demand
from .pool_shares import PoolShares
from .share_logger import ShareLogger

BURST_SECONDS: Final = 1.0
"""Capacity of a token bucket as a time at the organisation's rate."""

MIN_BURST_JOBS: Final = 5.0
"""Smallest capacity of a token bucket. With a capacity of 1, a fifth of the jobs of
organisations within their rates exceeded it, since few jobs arrive in bursts, too."""

HORIZON_SECONDS: Final = 1.0
"""Time of a pool that organisations share: about the slack of a short job. In replays
of one and of three organisations with excess load, 0.988 and 0.984 of the other jobs
were on time with 0.3 s, 0.996 and 0.992 with 1 s, 0.964 and 0.921 with 2.5 s."""

RateLookup = Callable[[str], float]


def unlimited_rate(organisation: str) -> float:
    """Return 0, so that an organisation's rate is not limited."""
    return 0.0


def _never_exceeds_rate(shares: FairShares, /, organisation: str, at: float) -> bool:
    return False


@dataclass(slots=True, eq=False)
class FairShares:
    """Hold a token bucket for each organisation, and judge the jobs of a pool.

    :param rate_of: returns an organisation's weight: the rate, in jobs per second, to
        which it is entitled while all is full; 0 is no limit.
    """

    rate_of: RateLookup = unlimited_rate
    share_logger: ShareLogger = field(default_factory=ShareLogger)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    @switchable(
        "shares",
        "jobs over an organisation's share wait for the jobs of all others",
        without=_never_exceeds_rate,
    )
    def exceeds_rate(self, organisation: str, at: float) -> bool:
        """Count a job; return whether it exceeds its organisation's rate."""
        rate = self.rate_of(organisation) if organisation else 0.0
        if rate <= 0.0:
            return False
        capacity = max(MIN_BURST_JOBS, rate * BURST_SECONDS)
        bucket = self._buckets.setdefault(organisation, TokenBucket(capacity, at))
        bucket.refill(at, rate, capacity)
        return not bucket.try_take()

    def judge(
        self,
        service: str,
        jobs: Iterable[Job],
        on_time: Iterable[Job],
        workers: Iterable[WorkerState],
        estimates: Estimates,
        now: float,
    ) -> None:
        """Set which jobs that wait for a pool are beyond their organisation's share.

        :param on_time: those that can still meet their objective; only these count as
            demand.
        """
        jobs = list(jobs)
        exceeding = [job for job in jobs if job.exceeds_rate]
        is_log_due = self.share_logger.is_due(service, now)
        if not exceeding and not (is_log_due and self._has_weights(jobs)):
            return
        demand = measure_demand(workers, on_time, estimates, now)
        weights = {name: self.rate_of(name) if name else 0.0 for name in demand.demands}
        level = fair_level(demand.demands, weights, HORIZON_SECONDS)
        shares = PoolShares(demand, weights, level)
        for job in exceeding:
            job.beyond_share = shares.is_beyond(job.organisation)
            job.was_beyond_share |= job.beyond_share
        if is_log_due:
            self.share_logger.log(service, shares, exceeding, now)

    def _has_weights(self, jobs: Iterable[Job]) -> bool:
        names = {job.organisation for job in jobs if job.organisation}
        return any(self.rate_of(name) > 0.0 for name in names)
