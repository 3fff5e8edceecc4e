"""Count the finished requests of each organisation by time window."""

from __future__ import annotations

from array import array
from dataclasses import fields
from typing import Final

from ..entry.models import RequestFinished
from .const import (
    COARSE_BUCKET_SECONDS,
    FINE_BUCKET_SECONDS,
    FINE_WINDOWS,
    WINDOW_SECONDS,
)
from .models import CAUSES, Counts, OrganisationPart
from .sketch import RotatingSketch

_SERVER_ERROR: Final = 500
_UNUSED: Final = -1
_COLUMNS: Final = {item.name: slot for slot, item in enumerate(fields(Counts))}
_FINE_SPAN: Final = max(WINDOW_SECONDS[name] for name in FINE_WINDOWS)
_COARSE_SPAN: Final = max(WINDOW_SECONDS.values())


def failure_cause(event: RequestFinished) -> str:
    """Return the cause of a failed request, or an empty string if it succeeded."""
    if event.cause:
        return event.cause if event.cause in CAUSES else "other"
    return "other" if event.status >= _SERVER_ERROR else ""


class BucketRing:
    """Count in time buckets, stored in arrays of fixed size.

    One object per bucket would take 77 KB per organisation; the arrays take 16 KB.

    :param width_seconds: length of a bucket.
    :param span_seconds: length of the longest window that is queried.
    """

    def __init__(self, width_seconds: float, span_seconds: float) -> None:
        self._width_seconds = width_seconds
        self._size = int(span_seconds // width_seconds) + 2
        self._indexes = array("q", [_UNUSED]) * self._size
        self._counts = array("I", [0]) * (self._size * len(_COLUMNS))

    def count(self, now: float, *names: str) -> None:
        """Increment the named counts in the bucket of a time."""
        index = int(now // self._width_seconds)
        slot = index % self._size
        start = slot * len(_COLUMNS)
        if self._indexes[slot] != index:
            self._indexes[slot] = index
            for column in range(start, start + len(_COLUMNS)):
                self._counts[column] = 0
        for name in names:
            self._counts[start + _COLUMNS[name]] += 1

    def total(self, now: float, window_seconds: float) -> Counts:
        """Return the sum of the buckets that start within a window."""
        first = int((now - window_seconds) // self._width_seconds) + 1
        sums = [0] * len(_COLUMNS)
        for slot, index in enumerate(self._indexes):
            if index >= first:
                start = slot * len(_COLUMNS)
                row = self._counts[start : start + len(_COLUMNS)]
                sums = [total + value for total, value in zip(sums, row, strict=True)]
        return Counts(*sums)


class OrganisationCounters:
    """Count the requests of one organisation at this entry."""

    def __init__(self, now: float) -> None:
        self._fine = BucketRing(FINE_BUCKET_SECONDS, _FINE_SPAN)
        self._coarse = BucketRing(COARSE_BUCKET_SECONDS, _COARSE_SPAN)
        self._sketch = RotatingSketch(now)

    def record(
        self, event: RequestFinished, objective_seconds: float, now: float
    ) -> None:
        """Count one finished request."""
        cause = failure_cause(event)
        names = ["total"]
        if cause:
            names.append(cause)
        elif event.latency_seconds > objective_seconds:
            names.append("slow")
        for ring in (self._fine, self._coarse):
            ring.count(now, *names)
        if not cause:
            self._sketch.record(event.latency_seconds, now)

    def part(self, organisation: str, now: float) -> OrganisationPart:
        """Return the counts of all windows."""
        windows = {
            name: (self._fine if name in FINE_WINDOWS else self._coarse).total(
                now, seconds
            )
            for name, seconds in WINDOW_SECONDS.items()
        }
        return OrganisationPart(organisation, windows, self._sketch.encode(now))


class RequestCounters:
    """Count the requests of every organisation that this entry served."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._counters: dict[str, OrganisationCounters] = {}

    def record(
        self, event: RequestFinished, objective_seconds: float, now: float
    ) -> None:
        """Count one finished request of its organisation."""
        counters = self._counters.get(event.organisation)
        if counters is None:
            counters = self._counters[event.organisation] = OrganisationCounters(now)
        counters.record(event, objective_seconds, now)

    def covered_seconds(self, now: float) -> float:
        """Return for how long this entry has been counting."""
        return now - self._started

    def names(self, organisation: str = "") -> list[str]:
        """Return the given organisation if it is known, or all if none is given."""
        if not organisation:
            return sorted(self._counters)
        return [organisation] if organisation in self._counters else []

    def part(self, organisation: str, now: float) -> OrganisationPart:
        """Return the counts of one known organisation."""
        return self._counters[organisation].part(organisation, now)
