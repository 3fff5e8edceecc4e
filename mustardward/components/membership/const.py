"""Hold the timing and bounds of membership."""

from __future__ import annotations

from typing import Final

ROUND_SECONDS: Final = 1.0
"""Time between two exchanges that this process begins."""

FLUSH_SECONDS: Final = 0.2
"""Time for which urgent news is gathered before it goes to all at once."""

EXCHANGE_TIMEOUT_SECONDS: Final = 0.5
PROBE_TIMEOUT_SECONDS: Final = 1.2
PROBE_HELPERS: Final = 2
"""Peers that are asked whether they reach a member that this process does not."""

HEARD_RECENTLY_SECONDS: Final = 2.0
"""A member heard this recently is not suspected for one failed call."""

SUSPECT_RETRY_SECONDS: Final = 5.0
"""Time between two calls to the same suspect, besides the ordinary round."""

DELEGATES: Final = 2
"""Members of each data centre that talk to other data centres."""

SILENCE_SECONDS: Final = 10.0
"""Time without any sign of a data centre after which it counts as silent."""

FIRST_CONTACTS: Final = 3
"""Members near and far that a process tries at once until one lets it join."""

DIGEST_MEMBERS: Final = 8
"""Most members in one digest, the last changed; others are fetched as a view."""

DIGEST_NOTES: Final = 64
"""Most notes on instances in one digest; the rest waits for the next one."""

VIEW_MISMATCHES: Final = 3
"""Exchanges in a row with a differing view before the difference is fetched."""

FORGET_SECONDS: Final = 60.0
VIEW_INTERVAL_SECONDS: Final = 5.0
TOMBSTONE_SECONDS: Final = 86_400.0
"""Time for which a gone member is remembered, so that no stale peer revives it."""

LIST_SECONDS: Final = 2.0
LIST_SECONDS_PER_INSTANCE: Final = 0.2
"""The longer the list, the more rarely it is read: 160 bytes for each instance make
800 bytes a second then, whatever the length."""

LIST_HOLDERS: Final = 2
LIST_ABSENCES: Final = 2
"""Reads in a row that must lack a suspect entry before it counts as gone."""

RETURN_CHECK_SECONDS: Final = 2.0
RETURN_CHECKS: Final = 8
"""Most leaving instances whose power state is asked for in one check."""

RETURN_QUIET_SECONDS: Final = 3.0
MAXIMUM_QUIET_SECONDS: Final = 60.0
"""Bounds of the time without a refusal before an instance counts as returned."""

FAILURES_TO_SUSPECT: Final = 2
SUSPECT_HOLD_SECONDS: Final = 1.0
MAXIMUM_HOLD_SECONDS: Final = 30.0

NOTE_MEMORY_SECONDS: Final = 600.0
"""Time for which the return of an instance is remembered."""

DUTY_LIST: Final = "membership.list"
DUTY_RETURNS: Final = "membership.returns"
