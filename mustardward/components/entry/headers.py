"""Decide which headers go on to the next hop."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from .const import HOP_BY_HOP, OWN_PREFIX

Headers = tuple[tuple[bytes, bytes], ...]

_FORBIDDEN: Final = re.compile(rb"[\r\n\x00]")
_FRAMING: Final = frozenset({b"content-length", b"transfer-encoding"})
_REQUEST_DROPPED: Final = HOP_BY_HOP | {b"host", b"expect", b"content-length"}


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_injection(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Tell whether a name or value would end its line early.

    HTTP/2 frames carry any byte, and a line break copied into HTTP/1.1 towards a
    worker would be a header, or a whole request, of the caller's making.
    """
    joined = b"\x01".join([part for pair in headers for part in pair])
    return _FORBIDDEN.search(joined) is not None


def header_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of all headers as HTTP/1.1 would write them."""
    return sum([len(name) + len(value) + 4 for name, value in headers])


def request_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the caller's headers that go on to a worker, without framing."""
    return _passing(headers, _REQUEST_DROPPED, _nominated(headers))


def answer_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return a worker's headers that go on to the caller."""
    return _passing(headers, HOP_BY_HOP, _nominated(headers) - _FRAMING)


def _passing(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
    nominated: frozenset[bytes],
) -> Headers:
    return tuple(
        [
            (name, value)
            for name, value in headers
            if name not in dropped
            and name not in nominated
            and not name.startswith(OWN_PREFIX)
        ]
    )


def _nominated(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(
        token.strip().lower() for value in values for token in value.split(b",")
    )
