"""Measure how large records of an ordinary day are."""

from __future__ import annotations

from dataclasses import dataclass

from mustardward.state.models.maintenance import (
    AbsenceChange,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    TakeClaim,
)
from mustardward.state.models.pools import AddInstance, RemoveInstance

from . import target
from .fleets import FleetFold, organisation_bodies


@dataclass(frozen=True, slots=True)
class RecordSizes:
    """Hold the bytes of an entry by cause, and their mean over a day."""

    by_cause: dict[str, float]

    @property
    def mean(self) -> float:
        """Return the mean over the records of a day."""
        daily = target.fleet_records_a_day()
        total = sum(daily[name] * size for name, size in self.by_cause.items())
        return total / sum(daily.values())


def measure_records() -> RecordSizes:
    """Return the size of one-record entries by cause."""
    name = "dc-1-worker-123"
    executor = "dc-1-entry-3#1839347888026624"
    bodies = {
        "configuration": list(organisation_bodies(1))[1:],
        "maintenance": [
            TakeClaim("wave-1234", name, executor, 7),
            AdvanceClaim(name, 123_456, "draining"),
            AdvanceClaim(name, 123_456, "drained"),
            AdvanceClaim(name, 123_456, "rebooting"),
            ReleaseClaim(name, 123_456, "done", 8),
        ],
        "replacements": [
            ReportAbsences("dc-1", (AbsenceChange(name, False, 7),)),
            RemoveInstance(name),
            AddInstance(name, "dc-1", "rack-12", "10.1.0.12:8000", "pool-12"),
            ReportAbsences("dc-1", (AbsenceChange(name, True, 8),)),
        ],
        "failures": [
            ReportAbsences("dc-1", (AbsenceChange(name, False, 7),)),
            ReportAbsences("dc-1", (AbsenceChange(name, True, 8),)),
        ],
    }
    fleet = FleetFold()
    return RecordSizes(
        {
            cause: sum(len(fleet.payload(body)) for body in items) / len(items)
            for cause, items in bodies.items()
        }
    )
