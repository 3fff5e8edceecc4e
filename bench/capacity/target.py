"""State the size that the project builds towards, and a day at that size."""

from __future__ import annotations

from typing import Final

DAY_SECONDS: Final = 86_400.0

WORKERS: Final = 12_000
POOLS: Final = 47
ORGANISATIONS: Final = 270
REGIONS: Final = 6
DATA_CENTRES: Final = 14
WORKERS_EACH: Final = 857
"""Workers of one data centre, 12,000 / 14."""

ENTRIES_EACH: Final = 12
"""Entries of one data centre: 170 in all, one for about 71 workers."""

RACK: Final = 4
CHANGES_A_DAY: Final = 6_400
MAINTENANCE_SECONDS: Final = 21 * DAY_SECONDS
FAILURES_A_DAY: Final = 170
REPLACEMENTS_A_DAY: Final = 1_300

NODE_CORE_SHARE: Final = 0.026
NODE_MEMORY_MB: Final = 128.0
NODE_BYTES_A_SECOND: Final = 4_096.0
LOG_APPENDS_A_SECOND: Final = 400.0
"""The stand-in's default for "several hundred"."""

CLAIM_RECORDS: Final = 5
"""Records of one instance's way through a wave: take, three stages, release."""

REPLACEMENT_RECORDS: Final = 4
"""Records of a replaced instance: absence, remove, add, return."""

FAILURE_RECORDS: Final = 2
"""Records of a failed instance: absence and return."""


def fleet_records_a_day() -> dict[str, float]:
    """Return the records of the fleet's stream on an ordinary day, by cause."""
    maintained = WORKERS * DAY_SECONDS / MAINTENANCE_SECONDS
    return {
        "configuration": float(CHANGES_A_DAY),
        "maintenance": maintained * CLAIM_RECORDS,
        "replacements": float(REPLACEMENTS_A_DAY * REPLACEMENT_RECORDS),
        "failures": float(FAILURES_A_DAY * FAILURE_RECORDS),
    }
