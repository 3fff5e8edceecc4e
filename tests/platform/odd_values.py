"""Build JSON values and responses that no correct writer produces."""

from __future__ import annotations

import random
from typing import Final

DEPTH: Final = 100_000

DEEP_LIST: Final = b"[" * DEPTH + b"]" * DEPTH
DEEP_OBJECT: Final = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH

ODD_NUMBERS: Final = (
    b"1e999999999",
    b"-1e308",
    b"1e308",
    b"9" * 400,
    b"9" * 5000,
    str(2**63).encode(),
    str(2**64).encode(),
    str(2**200).encode(),
    str(-(2**63) - 1).encode(),
    b"-1",
    b"1.5",
    b"NaN",
    b"-Infinity",
    b"true",
)
ODD_TEXTS: Final = (
    b'""',
    b'"\\ud800"',
    b'"\\u0000"',
    b'"a\\r\\nb: c"',
    b'"nan"',
    b'"inf"',
    b'"1e400"',
    b'"\xff"',
    b'"' + b"9" * 5000 + b'"',
    b'"' + b"x" * 262_144 + b'"',
)
ODD_VALUES: Final = (
    *ODD_NUMBERS,
    *ODD_TEXTS,
    b"null",
    b"[]",
    b"{}",
    b"[[1]]",
    DEEP_LIST,
    DEEP_OBJECT,
)
"""Encoded values, most of them invalid in any place."""


def odd_fields(seed: int, valid: dict[str, bytes]) -> list[bytes]:
    """Return objects with odd values in one or more of their fields.

    :param valid: a correct object, with its values encoded.
    """
    rng = random.Random(seed)
    objects: list[bytes] = []
    for name in valid:
        objects += [encode_object({**valid, name: odd}) for odd in ODD_VALUES]
    for _ in range(len(ODD_VALUES)):
        names = rng.sample(sorted(valid), k=min(2, len(valid)))
        changes = {name: rng.choice(ODD_VALUES) for name in names}
        objects.append(encode_object({**valid, **changes}))
        twice = encode_object({**valid, "unknown": rng.choice(ODD_VALUES)})
        name = names[0].encode()
        objects.append(twice[:-1] + b',"' + name + b'":' + changes[names[0]] + b"}")
    return objects


def encode_object(fields: dict[str, bytes]) -> bytes:
    """Return the object with these encoded values."""
    members = (b'"' + name.encode() + b'":' + value for name, value in fields.items())
    return b"{" + b",".join(members) + b"}"


def odd_rows(valid: list[bytes]) -> list[bytes]:
    """Return rows with an odd value in one place, missing values or further ones."""
    rows = [
        [*valid[:place], odd, *valid[place + 1 :]]
        for place in range(len(valid))
        for odd in ODD_VALUES
    ]
    rows += [valid[:count] for count in range(len(valid))]
    rows += [[*valid, odd] for odd in ODD_VALUES]
    return [b"[" + b",".join(row) + b"]" for row in rows]
