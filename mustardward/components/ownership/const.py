"""Hold the figures of ownership."""

from __future__ import annotations

from typing import Final

BEAT_SECONDS: Final = 0.4
"""Interval of renewals; one write of the store's several hundred a second."""

SILENCE_SECONDS: Final = 1.3
"""Silence after which an owner counts as lost: three renewals and a slow answer."""

JITTER_SECONDS: Final = 0.3
"""Spread of the claims of equal entries, so that mostly one is made."""

RELEASED_JITTER_SECONDS: Final = 0.08
SMALL_DELAY_SECONDS: Final = 0.35
"""Added to the patience of an instance that is much smaller than the largest, so that
those claim first; entries see a silence up to 0.15 s apart."""

HANDOVER_FACTOR: Final = 1.5
"""An owner gives way to an instance that is faster by this. An owner with half a core
and 600 tasks a second renewed leases too late, and they lapsed."""

HANDOVER_AFTER_SECONDS: Final = 1.0
HANDOVER_AGAIN_SECONDS: Final = 20.0
"""Shortest time between two attempts of an entry to give way: the faster instances that
are known may all be down."""

WATCH_SECONDS: Final = 0.1
PLAN_GAP_SECONDS: Final = 0.01
"""Shortest time between two plans; what comes together is planned together."""

PLAN_SHARE: Final = 0.5
"""Most of an owner's time for planning: what is planned has to be carried out too."""

LONGEST_PLAN_GAP_SECONDS: Final = 0.3
"""A task that has room waits this much longer for its start at most."""

PLAN_SECONDS: Final = 0.1
PAUSE_SECONDS: Final = 1.0
"""A step of the owner's clock by more than this means that the process was paused."""

STORED_JOBS_SECONDS: Final = 60.0
"""Added to how long a job's state has to be readable, before its records go."""

SWEEP_SECONDS: Final = 5.0
"""Interval at which records of old jobs are dropped and sessions are looked over."""

TELL_SECONDS: Final = 1.0
"""Interval of the lines that tell each pool's load."""

ANNOUNCE_SECONDS: Final = 1.0
"""Longest wait for an order's announcement; it is decided anew after that."""

RELEASE_SECONDS: Final = 1.0
"""Longest wait for a release; without it the others wait for a silence."""

WATCH_OWN_SECONDS: Final = 0.2
HELD_LOOK_SECONDS: Final = 0.02
CONFIRM_RETRY_SECONDS: Final = 0.05
"""Pauses of the owner's own looks: at itself, at who answered, at the log's end."""

OWNER_POLL_SECONDS: Final = 0.02
"""An owner reads new jobs at once, but not more often than this."""

FOLLOWER_POLL_SECONDS: Final = 0.15
"""Other entries follow the log to answer callers and to take over."""
