"""Make records as another writer may leave them in a topic."""

from __future__ import annotations

import random
from typing import Final

import msgspec

_GOOD: Final = {
    "service": "pool-a",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem-mb": 8000},
    "labels": ["a", "r1"],
}
_STRANGE: Final[tuple[object, ...]] = (
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
_BYTES: Final = (b"\xff\xfe", b"null", b"{", b"[" * 5000, b"\x00" * 300)


def foreign_records(seed: int, key: str) -> list[tuple[str, bytes]]:
    """Return records that name nothing to use, the last of them under a given key."""
    draw = random.Random(seed)
    records = [(f"foreign-{n}", value) for n, value in enumerate(_BYTES)]
    for field in _GOOD:
        strange = {**_GOOD, field: draw.choice(_STRANGE)}
        lacking = {name: value for name, value in _GOOD.items() if name != field}
        records.append((f"strange-{field}", msgspec.json.encode(strange)))
        records.append((f"lacking-{field}", msgspec.json.encode(lacking)))
    records.append(("no header\r\n carries it", msgspec.json.encode(_GOOD)))
    draw.shuffle(records)
    return [*records, (key, draw.choice(_BYTES))]
