"""Test what the directory of workers makes of entries by another writer."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from mustardward.components.ownership.directory import WorkerDirectory
from mustardward.platform.models import WorkerEntry
from mustardward.platform.store import KeyedRecord

from ...platform.test_entries import GOOD


@dataclass
class _Seen:
    """Note what the directory tells."""

    told: list[tuple[str, str]] = field(default_factory=list)

    def entry(self, worker: str, entry: WorkerEntry) -> None:
        self.told.append(("entry", worker))

    def gone(self, worker: str) -> None:
        self.told.append(("gone", worker))

    def unusable(self, worker: str) -> None:
        self.told.append(("unusable", worker))


def a_directory() -> tuple[WorkerDirectory, _Seen]:
    seen = _Seen()
    return WorkerDirectory(seen.entry, seen.gone, seen.unusable), seen


def test_an_unreadable_entry_takes_a_good_ones_place() -> None:
    """Use no worker whose newest entry can't be read, and use it once it can again.

    Symptom: tasks go to an address that nobody answers at. Sequence: a worker's good
    entry is followed by one of another writer. Cause: the older entry stayed in use.
    """
    directory, seen = a_directory()
    good = msgspec.json.encode(GOOD)
    directory.apply(KeyedRecord(1, "w-1", good))
    directory.apply(KeyedRecord(2, "w-2", good))
    directory.apply(KeyedRecord(3, "w-1", msgspec.json.encode({**GOOD, "state": "?"})))
    assert list(directory.entries) == ["w-2"]
    directory.apply(KeyedRecord(4, "w-1", good))
    assert seen.told == [
        ("entry", "w-1"),
        ("entry", "w-2"),
        ("unusable", "w-1"),
        ("entry", "w-1"),
    ]


def test_an_unreadable_entry_of_an_unknown_worker_leaves_the_others() -> None:
    directory, seen = a_directory()
    directory.apply(KeyedRecord(1, "w-9", b"\x00"))
    directory.apply(KeyedRecord(2, "w-1", msgspec.json.encode(GOOD)))
    assert list(directory.entries) == ["w-1"]
    assert ("entry", "w-1") in seen.told
