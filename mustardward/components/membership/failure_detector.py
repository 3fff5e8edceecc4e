"""Detect unreachable data centres.

Has no side effects and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import xxhash

from .const import UNREACHABLE_AFTER_SECONDS
from .models import DataCentreReachabilityChanged

_UNITS_PER_SECOND: Final = 4
_MAX_AGE_UNITS: Final = 255


class DataCentreFailureDetector:
    """Track the last direct or indirect contact with each data centre.

    :param own: the data centre of this process, which is always reachable.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._last_contact: dict[str, float] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the unreachable data centres."""
        return frozenset(self._unreachable)

    def set_data_centres(self, data_centres: Iterable[str], now: float) -> None:
        """Set the known data centres; a new one counts as just contacted."""
        expected = set(data_centres) | {self._own}
        for centre in expected - self._last_contact.keys():
            self._last_contact[centre] = now
        for centre in self._last_contact.keys() - expected:
            del self._last_contact[centre]
            self._unreachable.discard(centre)

    def record_contact(self, data_centre: str, now: float) -> None:
        """Record a direct contact."""
        if data_centre in self._last_contact:
            self._last_contact[data_centre] = now

    def merge_ages(self, centres: int, ages: bytes, now: float) -> None:
        """Apply a peer's contact ages if it knows the same data centres."""
        names = sorted(self._last_contact)
        if centres != _names_digest(names) or len(ages) != len(names):
            return
        for name, age in zip(names, ages, strict=True):
            if age < _MAX_AGE_UNITS:
                last_contact = now - age / _UNITS_PER_SECOND
                self._last_contact[name] = max(self._last_contact[name], last_contact)

    def encode_ages(self, now: float) -> tuple[int, bytes]:
        """Return a digest of the names and the age of each last contact, rounded up.

        With ages rounded down, two entry nodes could keep an unreachable data centre
        reachable forever by sending each other its age.
        """
        self.record_contact(self._own, now)
        names = sorted(self._last_contact)
        ages = (
            math.ceil((now - self._last_contact[n]) * _UNITS_PER_SECOND) for n in names
        )
        return _names_digest(names), bytes(min(_MAX_AGE_UNITS, age) for age in ages)

    def exclude_pause(self, pause_seconds: float) -> None:
        """Exclude the time for which this process was paused from the ages."""
        for name in self._last_contact:
            self._last_contact[name] += pause_seconds

    def check(self, now: float) -> list[DataCentreReachabilityChanged]:
        """Update the unreachable data centres and return the changes."""
        events = []
        for name, last_contact in self._last_contact.items():
            unreachable = (
                name != self._own and now - last_contact > UNREACHABLE_AFTER_SECONDS
            )
            if unreachable != (name in self._unreachable):
                events.append(DataCentreReachabilityChanged(name, unreachable))
        for event in events:
            if event.unreachable:
                self._unreachable.add(event.data_centre)
            else:
                self._unreachable.discard(event.data_centre)
        return events


def _names_digest(names: list[str]) -> int:
    return xxhash.xxh32_intdigest("\x00".join(names).encode())
