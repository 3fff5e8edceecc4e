"""Decode pages whose items are decoded one by one."""

from __future__ import annotations

import re
from typing import Final, TypeVar

import msgspec

from .exceptions import RECORD_ERRORS, UnreadableRecordError

T = TypeVar("T", bound=msgspec.Struct)

MAX_SPLIT_BRACKETS: Final = 120_000
"""Brackets of a page up to which it is split into its items: that takes about 0.1 s, in
which the event loop does nothing else."""

_TOKEN: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)


def decode_page(body: bytes, kind: type[T], field: str) -> T:
    """Return a decoded page, whose items may be invalid JSON.

    A decoder checks a page as a whole, so that one item that is nested too deeply, or
    whose text can't be decoded, would hide all others. Such a page is split first.

    :param field: name of the list of items, in the body and in the type.
    :raises MsgspecError: if the rest of the page can't be decoded.
    :raises UnreadableRecordError: if the page can't be split.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except RECORD_ERRORS:
        items, rest = _split(body, f'"{field}"'.encode())
    page = msgspec.json.decode(rest, type=kind)
    return msgspec.structs.replace(page, **{field: [msgspec.Raw(i) for i in items]})


def _split(body: bytes, name: bytes) -> tuple[list[bytes], bytes]:
    """Return the items of a list in an object, and the object with an empty list."""
    if body.count(b"[") + body.count(b"{") > MAX_SPLIT_BRACKETS:
        raise UnreadableRecordError("page is nested too deeply")
    items: list[bytes] = []
    depth = 0
    is_named = False
    list_start = item_start = -1
    for match in _TOKEN.finditer(body):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if is_named and depth == 2 and token == b"[":
                list_start = item_start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 1 and list_start >= 0:
                items.append(body[item_start : match.start()].strip())
                rest = body[:list_start] + body[match.start() :]
                return [item for item in items if item], rest
        elif token == b",":
            if depth == 2 and list_start >= 0:
                items.append(body[item_start : match.start()].strip())
                item_start = match.end()
        if depth == 1:
            is_named = token == name
    raise UnreadableRecordError("page has no list of items")
