"""Test how the directory of workers handles entries by another writer."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from mustardward.components.ownership.directory import WorkerDirectory
from mustardward.platform.models import WorkerEntry
from mustardward.platform.store import KeyedRecord

from ...platform.test_entries import GOOD


@dataclass
class _CallbackRecorder:
    """Record the callbacks of the directory."""

    calls: list[tuple[str, str]] = field(default_factory=list)

    def entry(self, worker: str, entry: WorkerEntry) -> None:
        self.calls.append(("entry", worker))

    def removed(self, worker: str) -> None:
        self.calls.append(("removed", worker))

    def unusable(self, worker: str) -> None:
        self.calls.append(("unusable", worker))


def a_directory() -> tuple[WorkerDirectory, _CallbackRecorder]:
    recorder = _CallbackRecorder()
    return WorkerDirectory(
        recorder.entry, recorder.removed, recorder.unusable
    ), recorder


def test_unreadable_entry_replaces_a_valid_one() -> None:
    """Guard against tasks that are sent to an address without a worker.

    A worker's valid entry is followed by one of another writer. The older entry must
    not stay in use, and the worker is used again once its entry can be read.
    """
    directory, recorder = a_directory()
    good = msgspec.json.encode(GOOD)
    directory.apply(KeyedRecord(1, "w-1", good))
    directory.apply(KeyedRecord(2, "w-2", good))
    directory.apply(KeyedRecord(3, "w-1", msgspec.json.encode({**GOOD, "state": "?"})))
    assert list(directory.entries) == ["w-2"]
    directory.apply(KeyedRecord(4, "w-1", good))
    assert recorder.calls == [
        ("entry", "w-1"),
        ("entry", "w-2"),
        ("unusable", "w-1"),
        ("entry", "w-1"),
    ]


def test_unreadable_entry_of_unknown_worker_does_not_affect_others() -> None:
    directory, recorder = a_directory()
    directory.apply(KeyedRecord(1, "w-9", b"\x00"))
    directory.apply(KeyedRecord(2, "w-1", msgspec.json.encode(GOOD)))
    assert list(directory.entries) == ["w-1"]
    assert ("entry", "w-1") in recorder.calls
