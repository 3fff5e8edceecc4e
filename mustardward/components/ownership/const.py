"""Define the timing of ownership."""

from __future__ import annotations

from typing import Final

RENEWAL_INTERVAL_SECONDS: Final = 0.4
"""Each renewal takes one of the several hundred writes per second of the store."""

OWNER_TIMEOUT_SECONDS: Final = 1.3
"""Time without a renewal after which an owner counts as lost: three renewals and a slow
answer."""

OWNER_QUERY_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a query to the owner, which answers from memory, and of the queries that
other entries then pass on to it."""

OWNER_QUERY_LEAD_SECONDS: Final = 2 * OWNER_QUERY_TIMEOUT_SECONDS
"""Time before a claim at which the owner is queried, so that a lost owner is replaced
no later than without a query."""

OWNER_UNCONFIRMED_SECONDS: Final = 2 * OWNER_QUERY_LEAD_SECONDS
"""Time from the sending of a query within which a claim may follow from it. The claim
of a later rank may be put off further while the store becomes slower."""

OWNER_ANSWER_VALID_SECONDS: Final = 0.5
"""Time from the sending of a query for which a claim is deferred if the owner has its
authority. An owner that is lost right after its answer is noticed this much later."""

MAX_ENTRIES_ASKED: Final = 2
"""Other entries that are asked to query an owner that does not answer; two, since one
may be in the owner's data centre and cut off with it."""

CLAIM_JITTER_SECONDS: Final = 0.3
"""Spreads the claims of equally fast entries, so that usually only one is made."""

RELEASED_CLAIM_JITTER_SECONDS: Final = 0.08
SLOW_INSTANCE_DELAY_SECONDS: Final = 0.35
"""Added to the timeout of instances that are much slower than the fastest, so that
faster ones claim first; entries detect a timeout up to 0.15 s apart."""

MAX_RANK_DELAY_SECONDS: Final = 3.0
"""Limit of the delay between the claims of two entries while the store is slow. It
refuses appends that would wait for more than 2 s."""

MAX_FAST_RANKS: Final = 3
"""Fast entries after which the first slow one claims: all fast ones may be lost with
one data centre."""

HANDOVER_SPEED_RATIO: Final = 1.5
"""An owner hands over to an instance that is faster by this ratio. With half a core and
600 tasks per second, an owner renews leases too late and they expire."""

HANDOVER_DELAY_SECONDS: Final = 1.0
HANDOVER_INTERVAL_SECONDS: Final = 20.0
"""Minimum time between two handovers by one entry: all faster instances that it knows
of may be down."""

OWNER_CHECK_SECONDS: Final = 0.1
MIN_PLAN_INTERVAL_SECONDS: Final = 0.01
"""Minimum time between two plans, so that events close together share one plan."""

MAX_PLAN_SHARE: Final = 0.5
"""Share of an owner's time for planning; the rest is left to execute the plans."""

MAX_PLAN_DELAY_SECONDS: Final = 0.3
"""Maximum additional wait of a task whose worker has free capacity."""

IDLE_PLAN_INTERVAL_SECONDS: Final = 0.1
PAUSE_THRESHOLD_SECONDS: Final = 1.0
"""A larger gap between two self-checks means that the process was paused."""

JOB_RETENTION_MARGIN_SECONDS: Final = 60.0
"""Added to the time for which a job's state must be readable, before its records are
removed."""

JOB_CLEANUP_INTERVAL_SECONDS: Final = 5.0
"""Interval at which the records of expired jobs are removed."""

LOAD_LOG_INTERVAL_SECONDS: Final = 1.0
"""Interval of the log lines about the load of each pool and of the owner."""

ANNOUNCE_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of the announcement of an order, which is then decided again."""

RELEASE_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a release; without it, other entries wait for OWNER_TIMEOUT_SECONDS."""

RELEASE_WAIT_SECONDS: Final = 0.4
"""Maximum time for responses to the starts on their way before a release. The jobs of
those that get none are held by the next owner."""

RELEASE_CHECK_SECONDS: Final = 0.01
MAX_RELEASED_STARTS: Final = 500
"""Most unanswered starts that a release names, in about 30 kB."""

SELF_CHECK_SECONDS: Final = 0.2
TAKEOVER_CHECK_SECONDS: Final = 0.02
CONFIRM_RETRY_SECONDS: Final = 0.05
"""Intervals of an owner's checks of itself, of workers that have reported after a
takeover, and of the end of the log."""

OWNER_POLL_SECONDS: Final = 0.02
"""Minimum interval at which an owner reads new jobs from the log."""

FOLLOWER_POLL_SECONDS: Final = 0.15
"""Interval at which other entries read the log, to answer callers and to take over."""

MAX_CLAIMED_EPOCH: Final = 2**52
"""Highest epoch that is claimed without knowing the one before."""
