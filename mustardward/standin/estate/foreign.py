"""Build invalid records, as another writer may append them to a topic."""

from __future__ import annotations

import random
from typing import Final

import msgspec

_VALID_ENTRY: Final = {
    "service": "pool-a",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem-mb": 8000},
    "labels": ["a", "r1"],
}
_INVALID_VALUES: Final[tuple[object, ...]] = (
    None,
    -1,
    "",
    [],
    {},
    "gone",
    10**30,
    True,
    "x\r\ny",
)
_INVALID_BYTES: Final = (b"\xff\xfe", b"null", b"{", b"[" * 5000, b"\x00" * 300)


def foreign_records(seed: int, key: str) -> list[tuple[str, bytes]]:
    """Return unusable records, the last one under the given key."""
    rng = random.Random(seed)
    records = [(f"foreign-{n}", value) for n, value in enumerate(_INVALID_BYTES)]
    for field in _VALID_ENTRY:
        invalid = {**_VALID_ENTRY, field: rng.choice(_INVALID_VALUES)}
        incomplete = {
            name: value for name, value in _VALID_ENTRY.items() if name != field
        }
        records.append((f"strange-{field}", msgspec.json.encode(invalid)))
        records.append((f"lacking-{field}", msgspec.json.encode(incomplete)))
    records.append(("no header\r\n carries it", msgspec.json.encode(_VALID_ENTRY)))
    rng.shuffle(records)
    return [*records, (key, rng.choice(_INVALID_BYTES))]
