"""Notice data centres that give no sign any more.

Pure: signs and the time go in, events come out.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import xxhash

from .const import SILENCE_SECONDS
from .models import DataCentreReachabilityChanged

_UNITS_PER_SECOND: Final = 4
_OLDEST: Final = 255


class SilenceDetector:
    """Hold when each other data centre last gave a sign, directly or through others.

    :param own: the data centre of this process, which is never silent to itself.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._heard: dict[str, float] = {}
        self._silent: set[str] = set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the data centres that are silent."""
        return frozenset(self._silent)

    def know(self, data_centres: Iterable[str], now: float) -> None:
        """Note which data centres there are; a new one was heard of just now."""
        wanted = set(data_centres) | {self._own}
        for centre in wanted - self._heard.keys():
            self._heard[centre] = now
        for centre in self._heard.keys() - wanted:
            del self._heard[centre]
            self._silent.discard(centre)

    def hear(self, data_centre: str, now: float) -> None:
        """Note a direct sign of life."""
        if data_centre in self._heard:
            self._heard[data_centre] = now

    def hear_of(self, centres: int, ages: bytes, now: float) -> None:
        """Take over what a peer heard, if it knows the same data centres."""
        names = sorted(self._heard)
        if centres != _names_digest(names) or len(ages) != len(names):
            return
        for name, age in zip(names, ages, strict=True):
            if age < _OLDEST:
                heard = now - age / _UNITS_PER_SECOND
                self._heard[name] = max(self._heard[name], heard)

    def tell(self, now: float) -> tuple[int, bytes]:
        """Return the digest of the names and an age for each, rounded up.

        Rounding down would let two entries keep a dead data centre alive by telling
        each other of it for ever.
        """
        self.hear(self._own, now)
        names = sorted(self._heard)
        ages = (math.ceil((now - self._heard[n]) * _UNITS_PER_SECOND) for n in names)
        return _names_digest(names), bytes(min(_OLDEST, age) for age in ages)

    def forgive(self, lost_seconds: float) -> None:
        """Leave a time out of account in which this process was paused."""
        for name in self._heard:
            self._heard[name] += lost_seconds

    def check(self, now: float) -> list[DataCentreReachabilityChanged]:
        """Return what changed."""
        events = []
        for name, heard in self._heard.items():
            unreachable = name != self._own and now - heard > SILENCE_SECONDS
            if unreachable != (name in self._silent):
                events.append(DataCentreReachabilityChanged(name, unreachable))
        for event in events:
            if event.unreachable:
                self._silent.add(event.data_centre)
            else:
                self._silent.discard(event.data_centre)
        return events


def _names_digest(names: list[str]) -> int:
    return xxhash.xxh32_intdigest("\x00".join(names).encode())
