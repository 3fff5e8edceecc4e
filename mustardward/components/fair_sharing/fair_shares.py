"""Determine which waiting jobs are beyond their organisation's share of a pool.

When one organisation submits many times its usual load and jobs are ordered by arrival
or slack, its jobs rank before those of all others, and one job in four is late whoever
submitted it. Jobs beyond the share of their organisation therefore go after all jobs of
others that are in the same deadline class, and use the capacity that is left.

A job is beyond the share if both hold:

- It exceeded its organisation's rate when it arrived. This tells the excess of an
  organisation from its usual jobs.
- The organisation now demands more of the pool than its share by weight, and the job
  is not among its newest jobs. This is judged anew in each plan. The usual jobs of a
  small organisation may arrive in bursts that exceed its rate; its demand is still
  small. Once an organisation's load is back to normal, none of its jobs is beyond its
  share.
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

NEWEST_SHARE: Final = 0.25
"""Part of an organisation's share up to which its newest excess jobs are within it, if
neither its running tasks nor its other jobs use it. In replays of one and of three
organisations with excess load, 0.91 and 0.89 of their jobs in the 2 s after it were on
time with 0, 0.98 and 0.91 with 0.25, and 0.99 and 0.94 with 0.5. Of the jobs of others,
0.987 and 0.974 were, 0.987 and 0.973, and 0.983 and 0.971."""

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
        _admit_newest(exceeding, shares)
        for job in exceeding:
            job.was_beyond_share |= job.beyond_share
        if is_log_due:
            self.share_logger.log(service, shares, exceeding, now)

    def _has_weights(self, jobs: Iterable[Job]) -> bool:
        names = {job.organisation for job in jobs if job.organisation}
        return any(self.rate_of(name) > 0.0 for name in names)


def _admit_newest(exceeding: Iterable[Job], shares: PoolShares) -> None:
    """Let the newest excess jobs of an organisation use what is left of its share.

    Otherwise the jobs that an organisation submits after its excess would wait for the
    older ones until these are late.
    """
    waiting = shares.demand.waiting
    beyond = [job for job in exceeding if job.beyond_share and job.record.id in waiting]
    used = dict(shares.demand.demands)
    for job in beyond:
        used[job.organisation] -= waiting[job.record.id]
    for job in sorted(beyond, key=lambda job: (-job.accepted_at, job.record.id)):
        name = job.organisation
        used[name] += waiting[job.record.id]
        job.beyond_share = used[name] > NEWEST_SHARE * shares.share(name)
