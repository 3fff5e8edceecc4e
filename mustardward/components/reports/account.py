"""Count the finished requests of each organisation in windows."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
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
_FINE_SPAN: Final = max(WINDOW_SECONDS[name] for name in FINE_WINDOWS)
_COARSE_SPAN: Final = max(WINDOW_SECONDS.values())


def failure_cause(event: RequestFinished) -> str:
    """Return what spent error budget, or nothing if the request succeeded."""
    if event.cause:
        return event.cause if event.cause in CAUSES else "other"
    return "other" if event.status >= _SERVER_ERROR else ""


class BucketRing:
    """Hold counts in buckets of time; buckets without traffic take no room.

    :param width_seconds: length of a bucket.
    :param span_seconds: age at which a bucket is dropped.
    """

    def __init__(self, width_seconds: float, span_seconds: float) -> None:
        self._width_seconds = width_seconds
        self._span_seconds = span_seconds
        self._buckets: OrderedDict[int, Counts] = OrderedDict()

    def at(self, now: float) -> Counts:
        """Return the bucket of a time, dropping those that are too old."""
        index = int(now // self._width_seconds)
        bucket = self._buckets.get(index)
        if bucket is None:
            bucket = self._buckets[index] = Counts()
            self._drop_old(now)
        return bucket

    def total(self, now: float, window_seconds: float) -> Counts:
        """Return the sum of the buckets that begin within a window."""
        first = int((now - window_seconds) // self._width_seconds) + 1
        total = Counts()
        for index, counts in self._buckets.items():
            if index >= first:
                total.add(counts)
        return total

    def _drop_old(self, now: float) -> None:
        first = int((now - self._span_seconds) // self._width_seconds)
        while self._buckets and next(iter(self._buckets)) < first:
            self._buckets.popitem(last=False)


class OrganisationAccount:
    """Account for one organisation in one entry."""

    def __init__(self, now: float) -> None:
        self._fine = BucketRing(FINE_BUCKET_SECONDS, _FINE_SPAN)
        self._coarse = BucketRing(COARSE_BUCKET_SECONDS, _COARSE_SPAN)
        self._sketch = RotatingSketch(now)

    def record(
        self, event: RequestFinished, objective_seconds: float, now: float
    ) -> None:
        """Count one finished request."""
        cause = failure_cause(event)
        slow = not cause and event.latency_seconds > objective_seconds
        for ring in (self._fine, self._coarse):
            _count(ring.at(now), cause, slow)
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


class Accounts:
    """Account for every organisation that one entry served."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._accounts: dict[str, OrganisationAccount] = {}

    def record(
        self, event: RequestFinished, objective_seconds: float, now: float
    ) -> None:
        """Count one finished request of its organisation."""
        account = self._accounts.get(event.organisation)
        if account is None:
            account = self._accounts[event.organisation] = OrganisationAccount(now)
        account.record(event, objective_seconds, now)

    def covered_seconds(self, now: float) -> float:
        """Return since how long this entry has counted."""
        return now - self._started

    def parts(self, now: float, organisation: str = "") -> tuple[OrganisationPart, ...]:
        """Return the parts of one organisation, or of all."""
        wanted = self._select(organisation)
        return tuple(self._accounts[name].part(name, now) for name in wanted)

    def _select(self, organisation: str) -> Iterable[str]:
        if not organisation:
            return sorted(self._accounts)
        return [organisation] if organisation in self._accounts else []


def _count(counts: Counts, cause: str, slow: bool) -> None:
    counts.total += 1
    counts.slow += slow
    if cause:
        setattr(counts, cause, getattr(counts, cause) + 1)
