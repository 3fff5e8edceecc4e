"""Build records of another writer that are odd, though some of them are valid."""

from __future__ import annotations

import random

import msgspec

from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_NODE,
    PREFIX_PROGRESS,
    PREFIX_WAVE,
    TOPIC,
)
from mustardward.platform.store import (
    KEY_CONFIG,
    KEY_WAVE_PREFIX,
    TOPIC_OPERATOR,
    TOPIC_STATUS,
    TOPIC_WORKERS,
)

from ..platform.odd_values import DEEP_LIST, encode_object, odd_fields
from ..platform.test_entries import GOOD

UNREACHABLE = ("0.0.0.0:9", "255.255.255.255:9", "224.0.0.1:9", "127.0.0.1:9")
ODD_KEYS = ("w" * 200, 'w="1"', "a\nb: c", "\x00", "é", "w" * 255)
LARGE_TEXT = b'"' + b"x" * 200_000 + b'"'


def odd_workers(addresses: list[str]) -> list[tuple[str, bytes]]:
    """Return entries of workers at addresses where none is, and odd entries.

    :param addresses: where something else listens.
    """
    entry = {**GOOD, "zone": "z1\r\nevent=forged", "labels": ["a=b", "x\ny"]}
    records = [
        (f"at-{number}", msgspec.json.encode({**entry, "address": address}))
        for number, address in enumerate([*UNREACHABLE, *addresses])
    ]
    records += [(key, msgspec.json.encode(entry)) for key in ODD_KEYS]
    valid = {name: msgspec.json.encode(value) for name, value in GOOD.items()}
    records += [
        (f"odd-{number}", value)
        for number, value in enumerate(
            random.Random(5).sample(odd_fields(5, valid), 60)
        )
        if len(value) < len(DEEP_LIST)
    ]
    large = {**valid, "zone": LARGE_TEXT}
    return [*records, ("large", encode_object(large)), ("deep", DEEP_LIST)]


def odd_records() -> dict[str, list[tuple[str, bytes]]]:
    """Return odd records by topic."""
    pack = msgspec.msgpack.encode
    deep = b"\x91" * 100_000 + b"\xc0"
    return {
        TOPIC: [
            (PREFIX_NODE + "odd-1", pack(["127.0.0.1:65536", "z\r\n", 1e308])),
            (PREFIX_NODE + "odd-2", pack(["a..b:80", "z", 1.0])),
            (PREFIX_PROGRESS + "f" * 16, pack([1, [], [[0, 0, -9, [1], "", []]]])),
            (PREFIX_WAVE + "x", pack([[], False, float("nan")])),
            (KEY_OWNER, pack([2**64 - 1, "c", "odd", 0])),
            ("", b"x"),
        ],
        TOPIC_OPERATOR: [
            (f"{KEY_CONFIG}/x", DEEP_LIST),
            (KEY_WAVE_PREFIX + "9" * 200, b"{}"),
            (
                KEY_WAVE_PREFIX + "7",
                b'{"wave":7,"machines":["m\\n"],"duration-s":1e308}',
            ),
            ("evacuation/x", deep),
        ],
        TOPIC_STATUS: [("wave/1", DEEP_LIST), ("", b"\xff")],
        TOPIC_WORKERS: [("", b"{}")],
    }
