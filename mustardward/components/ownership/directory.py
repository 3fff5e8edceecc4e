"""Maintain the workers' entries from the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ...helpers.unreadable_records import report_unreadable_record
from ...platform.entries import decode_worker_entry
from ...platform.exceptions import UnreadableRecordError
from ...platform.models import WorkerEntry
from ...platform.store import KeyedRecord


@dataclass(slots=True, eq=False)
class WorkerDirectory:
    """Hold the newest entry of each worker by its id.

    :param on_unusable: called when a worker's newest entry can't be read. The worker
        may still be alive, so its runs remain tracked.
    """

    on_entry: Callable[[str, WorkerEntry], None]
    on_removed: Callable[[str], None]
    on_unusable: Callable[[str], None]
    entries: dict[str, WorkerEntry] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; an empty value removes the entry."""
        if not record.value:
            if self.entries.pop(record.key, None) is not None:
                self.on_removed(record.key)
            return
        try:
            entry = decode_worker_entry(record.key, record.value)
        except UnreadableRecordError as error:
            report_unreadable_record("worker", record.key, error.detail)
            self.entries.pop(record.key, None)
            self.on_unusable(record.key)
            return
        if self.entries.get(record.key) != entry:
            self.entries[record.key] = entry
            self.on_entry(record.key, entry)

    def keys(self) -> Iterable[str]:
        """Return the ids of the workers with an entry."""
        return self.entries
