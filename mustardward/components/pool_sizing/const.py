"""Define the timings and limits of pool sizing."""

from __future__ import annotations

from typing import Final

MAX_INSTANCES: Final = 1_000_000
"""Bound of a projected demand. Any number of tasks of any size may be submitted."""

MAX_AMOUNT: Final = 1e12
"""Bound of what one step adds to a projection. Beside much larger numbers, the amounts
of other steps would be lost by rounding."""

CELL_SECONDS: Final = 0.1
"""Length of a cell of the projection; the fleet decides once in each."""

CELLS: Final = 50
"""Cells of a projection: 1.9 s until an instance that is ordered now arrives, the
break-even time after that, and 0.8 s more."""

BREAK_EVEN_SECONDS: Final = 2.3
"""Idle time that costs as much as releasing an instance and ordering it again."""

MAX_WAIT_SECONDS: Final = 0.3
"""Time that work may wait for room once ordered instances have arrived."""

MAX_KEEP_WAIT_SECONDS: Final = 0.2
"""Time that work may wait for room before idle instances are kept for it."""

RELEASE_DELAY_SECONDS: Final = 0.5
"""Time for which an instance has to be idle, and more than its pool needs, before it is
released: forecasts fluctuate by some instances from tick to tick."""

MINIMUM_MEMORY_SECONDS: Final = 2.5
"""Time for which the largest minimum of a pool stays its minimum. Jobs of a step that
limits its tasks per worker recur: with 0.5 s, a pool of 4 moved 194 instances for 16
such jobs, one every 3 s, and each took 2.0 s instead of 0.7 s."""

UTILISATION: Final = 0.85
"""Share of an instance that tasks can use: what is left over between tasks of different
sizes is lost."""

DRAIN_SECONDS: Final = 0.3
"""Time after the arrival of an instance after which no work waits for too long."""
