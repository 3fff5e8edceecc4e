"""Write what was sent, answered and run to a case's record."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Append lines with the time since the start to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def seconds(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._zero

    def add(self, kind: str, **values: object) -> None:
        """Append one line."""
        fields = " ".join(f"{key}={value}" for key, value in values.items())
        self._file.write(f"{self.seconds():8.3f} {kind} {fields}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
