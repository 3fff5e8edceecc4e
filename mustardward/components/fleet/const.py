"""Hold the figures of fleet work."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 0.1
LIST_SECONDS: Final = 2.0
"""Interval of reading the list while nothing is under way."""

TELL_SECONDS: Final = 1.0
"""Interval of the lines that tell how far waves are."""

NAMED_INSTANCES: Final = 3
"""Instances that such a line names: those that a wave still waits for."""

BUSY_LIST_SECONDS: Final = 0.4
"""Interval of reading the list while instances are down or to be taken."""

CYCLE_SECONDS: Final = 4.5
"""Typical time from choosing an instance until it is up again: emptying, maintenance,
and seeing it."""

POOL_SHARE: Final = 0.25
"""Most of a pool that is emptied or down for maintenance at once."""

HURRY_FACTOR: Final = 1.5
"""A wave takes so many times as many instances at once as its time asks for, so that
it has slack for what it finds."""

LEAST_AT_ONCE: Final = 2
"""Instances of a wave that are taken at once if its limit allows: a last one that can't
be emptied yet must not keep another from it."""

REPEATED_SECONDS: Final = 3.0
"""Time beyond a maintenance after which an instance that a list shows as the same
incarnation had it before; lists lag by up to a second."""

MISSED_SECONDS: Final = 3.0
"""Time after which an instance that no list names, as one whose row can't be read, is
no longer emptied: its worker would do nothing until it can be."""

RETRY_SECONDS: Final = 0.3
"""Pause before an order of unknown outcome is repeated; it is idempotent."""

TARGET_SHARE: Final = 0.85
"""Share of a pool's processors that its work may take before it wants an instance
more: a move takes seconds, and demand rises to five times its mean within one."""

CLEAR_SECONDS: Final = 2.0
"""Time in which waiting work should be begun; a quick job's objective is about 2 s."""

ORDER_SECONDS: Final = 0.4
"""From an order to an instance's first task, beyond the move itself: the announcement,
the tick, and its worker's first answer."""

THEN_CLEAR_SECONDS: Final = 1.0
"""Time in which what is left then should be begun."""

LEAST_INSTANCES: Final = 2
"""Instances that a pool keeps without any work, on two racks if it can: a first task
is never kept waiting for a move, nor lost with one rack."""

MOST_WORKERS_APART: Final = 4
"""Most instances that a pool asks for so that suspected jobs run apart."""

SILENT_SECONDS: Final = 1.5
"""Silence after which a worker does not count for its pool: an instance comes in as
long, and single answers are lost for less."""

UNHEARD_SECONDS: Final = 3.0
"""Time in which a worker that came, or that the owner before had, is heard of."""

HEARING_SECONDS_EACH: Final = 0.006
"""What each worker adds to it: a new owner asks them in turn, and one behind a cut
holds one of 96 places for 0.6 s."""

IDLE_SECONDS: Final = 2.5
"""Idle time after which an instance goes off: off and on again costs about as much as
keeping it on for 2.3 s."""

MOVE_LOST_SECONDS: Final = 6.0
"""Time after which an accepted move that no list shows counts as over."""
