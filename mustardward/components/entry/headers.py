"""Filter the headers that are forwarded to the next hop."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from .const import HOP_BY_HOP, RESERVED_PREFIX

Headers = tuple[tuple[bytes, bytes], ...]

_FORBIDDEN: Final = re.compile(rb"[\r\n\x00]")
_FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})
_DROPPED_REQUEST_HEADERS: Final = HOP_BY_HOP | {b"host", b"expect", b"content-length"}


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_injection(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a name or value holds a line break or a null byte.

    HTTP/2 frames carry any byte, and a line break copied into HTTP/1.1 towards a
    worker would let the caller inject a header or a whole request.
    """
    joined = b"\x01".join([part for pair in headers for part in pair])
    return _FORBIDDEN.search(joined) is not None


def header_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of all headers in HTTP/1.1 notation."""
    return sum([len(name) + len(value) + 4 for name, value in headers])


def forwardable_request_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the caller's headers to forward to a worker, without framing."""
    return _filter_headers(
        headers, _DROPPED_REQUEST_HEADERS, _connection_options(headers)
    )


def forwardable_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return a worker's headers to forward to the caller."""
    return _filter_headers(
        headers, HOP_BY_HOP, _connection_options(headers) - _FRAMING_HEADERS
    )


def _filter_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
    connection_options: frozenset[bytes],
) -> Headers:
    return tuple(
        [
            (name, value)
            for name, value in headers
            if name not in dropped
            and name not in connection_options
            and not name.startswith(RESERVED_PREFIX)
        ]
    )


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(
        token.strip().lower() for value in values for token in value.split(b",")
    )
