"""The platform's store: keyed topics with one partition, as PROTOCOL.md has them."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from aiohttp import web

ANSWER_SECONDS = 0.004
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
NEWEST_ITEMS = 500
NEWEST_BYTES = 1_000_000
REMEMBERED_APPENDS = 5

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")


@dataclass
class _Producer:
    epoch: int
    expected: int | None = None
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


@dataclass
class _Topic:
    contents: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)


def keyed(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    name = key.encode()
    return bytes((len(name),)) + name + value


def _split(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def _json(body: object, status: int = 200) -> web.Response:
    text = json.dumps(body)
    return web.Response(status=status, text=text, content_type="application/json")


class Store:
    """A store that loses nothing.

    :param turned_away: topics whose calls are answered 503 (the store is partly down).
    """

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self.turned_away: set[str] = set()
        self.appends = 0
        self.too_large = 0
        self.largest_record = 0

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record of the operator or of a minion."""
        content = b"" if value is None else json.dumps(value).encode()
        self._add(self._topic(topic), [keyed(key, content)])

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key."""
        found = self._topic(topic).newest.get(key)
        return found[1] if found else None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Answer a call, or return None if it is not one of the store's."""
        calls = {
            ("POST", "/mustardward/log-append"): self._append,
            ("GET", "/mustardward/log-read"): self._read,
            ("GET", "/mustardward/log-newest"): self._newest,
        }
        call = calls.get((request.method, request.path))
        if call is None:
            return None
        body = await request.read()
        await asyncio.sleep(ANSWER_SECONDS)
        if request.query["topic"] in self.turned_away:
            return web.Response(status=503)
        return await call(request.query, body)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _add(self, topic: _Topic, contents: list[bytes]) -> int:
        first = len(topic.contents)
        for content in contents:
            offset = len(topic.contents)
            topic.contents.append(content)
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                topic.newest[key] = (offset, value)
            else:
                topic.newest.pop(key, None)
        grown, topic.grown = topic.grown, asyncio.Event()
        grown.set()
        return first

    async def _append(self, query: Mapping[str, str], body: bytes) -> web.Response:
        self.appends += 1
        topic = self._topic(query["topic"])
        contents = _split(body)
        largest = max(map(len, contents), default=0)
        self.largest_record = max(self.largest_record, largest)
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.too_large += 1
            return _json({"reason": "too-large"}, 413)
        name = query.get("producer")
        if name is None:
            first = self._add(topic, contents)
            return _json({"offset": first, "end": len(topic.contents)})
        epoch, number = int(query["epoch"]), int(query["seq"])
        producer = topic.producers.get(name)
        if producer is None or epoch > producer.epoch:
            producer = topic.producers[name] = _Producer(epoch)
        if epoch < producer.epoch:
            return _json({"reason": "fenced"}, 409)
        if number in producer.answers:
            return _json(producer.answers[number])
        if producer.expected is not None and number != producer.expected:
            return _json({"reason": "seq", "seq": producer.expected}, 409)
        first = self._add(topic, contents)
        answer = {"offset": first, "end": len(topic.contents)}
        producer.expected = number + 1
        producer.answers[number] = answer
        for old in sorted(producer.answers)[:-REMEMBERED_APPENDS]:
            del producer.answers[old]
        return _json(answer)

    async def _read(self, query: Mapping[str, str], body: bytes) -> web.Response:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(topic.contents) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.grown.wait(), left)
            except TimeoutError:
                break
        most = 1024 * int(query.get("max-kilobytes", "1024"))
        parts = [_HEAD.pack(len(topic.contents), 0)]
        size = 0
        for content in topic.contents[start:]:
            if size and size + len(content) + _LENGTH.size > most:
                break
            size += len(content) + _LENGTH.size
            parts += (_LENGTH.pack(len(content)), content)
        return web.Response(body=b"".join(parts))

    async def _newest(self, query: Mapping[str, str], body: bytes) -> web.Response:
        topic = self._topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:NEWEST_ITEMS]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > NEWEST_BYTES:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "offset": offset, "value": text})
        more = len(items) < len(keys)
        answer = {"items": items, "more-pages": more, "end": len(topic.contents)}
        return _json(answer)
