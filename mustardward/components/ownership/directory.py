"""Keep what workers say of themselves in the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ...helpers.unreadable import note_unreadable
from ...platform.entries import decode_worker_entry
from ...platform.exceptions import UnreadableRecordError
from ...platform.models import WorkerEntry
from ...platform.store import KeyedRecord


@dataclass(slots=True, eq=False)
class WorkerDirectory:
    """Fold workers' entries by their id.

    :param on_unusable: called when an entry names no worker to use any more; what runs
        there stays accounted for, since the worker may live.
    """

    on_entry: Callable[[str, WorkerEntry], None]
    on_gone: Callable[[str], None]
    on_unusable: Callable[[str], None]
    entries: dict[str, WorkerEntry] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Fold one record; an empty value means that the entry is gone."""
        if not record.value:
            if self.entries.pop(record.key, None) is not None:
                self.on_gone(record.key)
            return
        try:
            entry = decode_worker_entry(record.key, record.value)
        except UnreadableRecordError as error:
            note_unreadable("worker", record.key, error.detail)
            self.entries.pop(record.key, None)
            self.on_unusable(record.key)
            return
        if self.entries.get(record.key) != entry:
            self.entries[record.key] = entry
            self.on_entry(record.key, entry)

    def keys(self) -> Iterable[str]:
        """Return the ids that are known."""
        return self.entries
