"""Define intervals, timeouts and limits of the membership component."""

from __future__ import annotations

from typing import Final

GOSSIP_INTERVAL_SECONDS: Final = 1.0
"""Interval of the gossip rounds of this process."""

FLUSH_INTERVAL_SECONDS: Final = 0.2
"""Time for which urgent changes are batched before they are sent to all local peers."""

EXCHANGE_TIMEOUT_SECONDS: Final = 0.5
PROBE_TIMEOUT_SECONDS: Final = 1.2
INDIRECT_PROBES: Final = 2
"""Peers asked to probe a member that doesn't respond to this process."""

RECENT_CONTACT_SECONDS: Final = 2.0
"""After contact this recent, a failed call doesn't make a member suspect."""

SUSPECT_RETRY_SECONDS: Final = 5.0
"""Minimum time between two calls to a suspect or failing member."""

DELEGATES_PER_DATA_CENTRE: Final = 2
"""Members of each data centre that gossip with other data centres."""

UNREACHABLE_AFTER_SECONDS: Final = 10.0
"""Time without contact after which a data centre counts as unreachable."""

JOIN_CONTACTS: Final = 3
"""Local and as many remote members that a joining process contacts in each round."""

MAX_DIGEST_MEMBERS: Final = 8
"""Most members in one digest, last changed first; others are fetched as a view."""

MAX_DIGEST_NOTES: Final = 64
"""Most instance notes in one digest; the rest is sent in the next ones."""

VIEW_MISMATCH_LIMIT: Final = 3
"""Consecutive exchanges with a differing view before the view is fetched."""

CLEANUP_INTERVAL_SECONDS: Final = 60.0
VIEW_INTERVAL_SECONDS: Final = 5.0
TOMBSTONE_SECONDS: Final = 86_400.0
"""Retention of a gone member, which prevents a stale peer from reviving it."""

LIST_INTERVAL_SECONDS: Final = 2.0
LIST_INTERVAL_SECONDS_PER_INSTANCE: Final = 0.2
"""The read interval grows with the list: at 160 bytes for each instance, reading costs
800 bytes a second whatever the length."""

LIST_DUTY_HOLDERS: Final = 2
ABSENCES_BEFORE_GONE: Final = 2
"""Reads in a row that omit a suspect or leaving entry node before it counts as gone."""

RETURN_CHECK_INTERVAL_SECONDS: Final = 2.0
MAX_RETURN_CHECKS: Final = 8
"""Most leaving instances whose power state is requested in one check."""

MIN_QUIET_SECONDS: Final = 3.0
MAX_QUIET_SECONDS: Final = 60.0
"""Bounds of the time without evidence of leaving before an instance can return."""

BACKOFF_FAILURE_THRESHOLD: Final = 2
MIN_BACKOFF_SECONDS: Final = 1.0
MAX_BACKOFF_SECONDS: Final = 30.0

NOTE_RETENTION_SECONDS: Final = 600.0
"""Retention of resolved instance notes and of failure counts."""

DUTY_LIST: Final = "membership.list"
DUTY_RETURNS: Final = "membership.returns"
