"""Look up the limits of organisations, also of those that are not configured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...platform.models import Room
from ..ledger.ledger import LedgerJob
from ..ledger.models import LimitsRecord
from .quotas import UNLIMITED

LimitsLookup = Callable[[str], LimitsRecord | None]


def unlimited(organisation: str) -> LimitsRecord | None:
    """Return that an organisation has no limits."""
    return None


@dataclass(slots=True, eq=False)
class OrganisationLimits:
    """Hold the newest known limits of each organisation.

    An organisation may be missing from all configurations that this process has read.
    Its limits are then those that are stored with its jobs.

    :param configured: returns the limits of the newest configuration that had an
        organisation.
    """

    configured: LimitsLookup = unlimited
    _stored: dict[str, LimitsRecord] = field(default_factory=dict)

    def restore(self, job: LedgerJob) -> LimitsRecord | None:
        """Apply the limits that are stored with a job, and return them."""
        newest = job.progress.limits if job.progress is not None else None
        limits = newest or job.record.limits
        if limits is not None:
            name = job.record.organisation
            self._stored[name] = _newer(limits, self._stored.get(name))
        return limits

    def find(self, organisation: str) -> LimitsRecord | None:
        """Return the newest limits of an organisation, or None if it has none."""
        configured = self.configured(organisation)
        stored = self._stored.get(organisation)
        return stored if configured is None else _newer(configured, stored)

    def quota_of(self, organisation: str) -> Room:
        """Return an organisation's quota for running tasks; 0 is no limit."""
        limits = self.find(organisation)
        return limits.quota if limits is not None else UNLIMITED

    def rate_of(self, organisation: str) -> float:
        """Return an organisation's share in jobs per second; 0 is no limit."""
        limits = self.find(organisation)
        return limits.weight if limits is not None else 0.0


def _newer(limits: LimitsRecord, other: LimitsRecord | None) -> LimitsRecord:
    if other is None or other.version <= limits.version:
        return limits
    return other
