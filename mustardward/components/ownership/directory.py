"""Keep what workers say of themselves in the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ...helpers.logging import get_logger
from ...platform.models import WorkerEntry
from ...platform.store import KeyedRecord

_LOGGER = get_logger(__name__)
_DECODER = msgspec.json.Decoder(WorkerEntry)


@dataclass(slots=True, eq=False)
class WorkerDirectory:
    """Fold workers' entries by their id."""

    on_entry: Callable[[str, WorkerEntry], None]
    on_gone: Callable[[str], None]
    entries: dict[str, WorkerEntry] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Fold one record; an empty value means that the entry is gone."""
        if not record.value:
            if self.entries.pop(record.key, None) is not None:
                self.on_gone(record.key)
            return
        try:
            entry = _DECODER.decode(record.value)
        except msgspec.MsgspecError as error:
            _LOGGER.error("entry_unreadable", worker=record.key, detail=str(error))
            return
        if self.entries.get(record.key) != entry:
            self.entries[record.key] = entry
            self.on_entry(record.key, entry)

    def keys(self) -> Iterable[str]:
        """Return the ids that are known."""
        return self.entries
