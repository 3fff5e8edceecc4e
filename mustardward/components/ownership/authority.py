"""Know whether an owner may still give orders."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..dispatch.const import AUTHORITY_SECONDS
from .const import PAUSE_SECONDS


def boot_time() -> float:
    """Return a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True, eq=False)
class Authority:
    """Hold until when orders may be given.

    Another entry that took over waits for the workers it can't reach only for as long
    as this, and the lease on top of it.
    """

    clock: Callable[[], float] = boot_time
    _confirmed_at: float = field(init=False)
    _ticked_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Begin with an ownership that was just claimed."""
        self._confirmed_at = self.clock()
        self._ticked_at = self._confirmed_at

    def holds(self) -> bool:
        """Return whether orders may be given now."""
        now = self.clock()
        if now - self._ticked_at > PAUSE_SECONDS:
            return False
        return now - self._confirmed_at < AUTHORITY_SECONDS

    def renewal_age_seconds(self) -> float:
        """Return how long ago the newest renewal that is stored was sent."""
        return self.clock() - self._confirmed_at

    def confirm(self, sent_at: float) -> None:
        """Take in that a renewal that was sent at a time is stored."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def paused_for(self) -> float:
        """Return how long the process was paused, in seconds, or 0."""
        passed = self.clock() - self._ticked_at
        return passed if passed > PAUSE_SECONDS else 0.0

    def tick(self) -> None:
        """Note that the process runs, and knows the newest owner."""
        self._ticked_at = self.clock()
