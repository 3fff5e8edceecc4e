"""Test the decoding of entries, lists and pages that contain invalid records.

Guards against an owner that terminates, or assigns work to a worker that does not
exist. A record of another writer is stored beside valid ones, and fails its whole page
or is used unchecked.
"""

from __future__ import annotations

import base64
import struct
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from mustardward.platform.callers import decode_job
from mustardward.platform.entries import MAX_ENTRY_BYTES, decode_worker_entry
from mustardward.platform.exceptions import MalformedJobError, UnreadableRecordError
from mustardward.platform.fleet import FleetClient
from mustardward.platform.http import HttpResponse
from mustardward.platform.models import Room
from mustardward.platform.store import StoreClient, decode_keyed, encode_keyed

GOOD: dict[str, Any] = {
    "service": "pool-a",
    "address": "10.1.0.9:8621",
    "zone": "z",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 7,
    "capacity": {"cpu": 8000, "mem-mb": 8000, "gpu": 0},
    "labels": ["a", "rack-1"],
}
BAD_VALUES: dict[str, list[Any]] = {
    "service": [None, 7, "", ["pool-a"], "p" * 300],
    "address": [None, 9, "", "nowhere", "10.1.0.9", "10.1.0.9:0", "10.1.0.9:99999"]
    + ["ten.one:80", "10.1.0.9:8 1", "10.1.0.9:8621/x", "[::1]:80", "10.1.0.9:²"],
    "zone": [None, 3, ""],
    "state": [None, 1, "", "READY", "gone", True],
    "capacity": [None, 8000, [], {}, {"cpu": 8000}, {"cpu": -1, "mem-mb": 1}]
    + [{"cpu": 0, "mem-mb": 1}, {"cpu": 10**12, "mem-mb": 1}]
    + [{"cpu": "8000", "mem-mb": 1}, {"cpu": 1, "mem-mb": 1, "gpu": -1}]
    + [{"cpu": 1, "mem-mb": 10**18}, {"cpu": 10**400, "mem-mb": 1}],
    "born": [None, "1700000000000", 1.5, -1, 10**30, [1], True],
    "labels": [None, "rack-1", {"a": 1}, [1], [None], [["a"]]],
    "remaining-ms": ["soon", -5, [], 1e300],
}
CASES = [(name, value) for name, values in BAD_VALUES.items() for value in values]


def encoded(**changes: Any) -> bytes:
    return msgspec.json.encode({**GOOD, **changes})


def test_valid_entry_is_decoded() -> None:
    entry = decode_worker_entry("w-1", encoded(state="draining", **{"remaining-ms": 5}))
    assert (entry.service, entry.state, entry.remaining_ms) == ("pool-a", "draining", 5)
    assert entry.capacity == Room(8000, 8000, 0)


@pytest.mark.parametrize(("name", "value"), CASES)
def test_invalid_field_is_rejected(name: str, value: object) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", encoded(**{name: value}))


@pytest.mark.parametrize(
    "name", ["service", "address", "zone", "state", "capacity", "labels"]
)
def test_missing_field_is_rejected(name: str) -> None:
    """Every worker writes all of these fields."""
    rest = {key: value for key, value in GOOD.items() if key != name}
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", msgspec.json.encode(rest))


@pytest.mark.parametrize("key", ["", "w 1", "w\n1", "w\r\nHost: x", "wé", "w" * 300])
def test_id_that_is_invalid_in_a_header_is_rejected(key: str) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry(key, encoded())


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"null",
        b"[]",
        b'"ready"',
        b"[" * 10_000,
        encoded(labels=["x" * 150] * (MAX_ENTRY_BYTES // 150)),
        encoded().replace(b"rack-1", b"rack\xff1"),
    ],
)
def test_invalid_bytes_are_rejected(value: bytes) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", value)


@given(value=st.binary(max_size=200), key=st.text(max_size=20))
def test_random_bytes_are_rejected(value: bytes, key: str) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry(key, value)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["cpu", "mem-mb", "gpu", "x"]), inner)
    ),
    max_leaves=6,
)


@given(
    changes=st.dictionaries(st.sampled_from(sorted(BAD_VALUES)), _JSON, min_size=1),
    length=st.none() | st.integers(0, 200),
)
def test_mutated_entry_is_either_valid_or_rejected(
    changes: dict[str, Any], length: int | None
) -> None:
    value = encoded(**changes)[:length]
    try:
        entry = decode_worker_entry("w-1", value)
    except UnreadableRecordError:
        return
    assert entry.service and entry.state in ("ready", "draining")
    assert entry.capacity.cpu > 0 and entry.capacity.mem_mb > 0
    assert all(isinstance(label, str) for label in entry.labels)


def test_undecodable_key_is_skipped_within_its_page() -> None:
    invalid_key = struct.pack(">I", 4) + b"\x02\xff\xfe{"
    oversized_key = struct.pack(">I", 2) + b"\xc8{"
    empty = struct.pack(">I", 0)
    body = struct.pack(">QQ", 9, 4) + encode_keyed([("a", b"1")])
    body += invalid_key + oversized_key + empty + encode_keyed([("b", b"2")])
    page = decode_keyed(body, 4)
    assert [(r.offset, r.key) for r in page.records] == [(4, "a"), (8, "b")]
    assert (page.next_offset, page.end) == (9, 9)


def test_truncated_record_is_read_again() -> None:
    body = struct.pack(">QQ", 9, 4) + encode_keyed([("a", b"1"), ("b", b"2")])
    page = decode_keyed(body[:-1], 4)
    assert ([r.key for r in page.records], page.next_offset) == (["a"], 5)


class _FixedResponseCaller:
    """Return the same response body for each call."""

    def __init__(self, body: object) -> None:
        self._body = msgspec.json.encode(body)

    async def async_call(self, *_: object, **__: object) -> HttpResponse:
        return HttpResponse(200, self._body, CIMultiDictProxy(CIMultiDict()))


def build_item(key: object, value: object, offset: object = 3) -> dict[str, object]:
    return {"key": key, "offset": offset, "value": value}


@pytest.mark.anyio
async def test_newest_page_skips_undecodable_items() -> None:
    good = base64.b64encode(b"1").decode()
    items = [
        build_item("a", good),
        build_item(None, good),
        build_item("c", "%%%"),
        build_item("d", good, "x"),
    ]
    body = {"items": [*items, build_item("e", good), build_item("f", 7)], "end": 8}
    client = StoreClient(_FixedResponseCaller({**body, "more-pages": True}), "s:1")  # type: ignore[arg-type]
    page = await client.async_read_newest("keyed.t")
    assert [record.key for record in page.records] == ["a", "e"]
    # The next page starts after the last key even if its record was skipped.
    assert (page.more, page.after) == (True, "f")


@pytest.mark.anyio
async def test_instance_list_reports_undecodable_rows() -> None:
    """A worker missing from a list with undecodable rows is not known to be gone."""
    good = {"machine": "m-1", "pool": "pool-a", "state": "up", "id": "w-1"}
    bad = [{"machine": 1}, None, {**good, "capacity": {"cpu": -5}}]
    client = FleetClient(_FixedResponseCaller({"machines": [good, *bad]}), "c:1", "h")  # type: ignore[arg-type]
    listed = await client.async_fetch_page()
    assert [row.machine for row in listed.instances] == ["m-1"]
    assert not listed.complete
    client = FleetClient(_FixedResponseCaller({"machines": [good]}), "c:1", "h")  # type: ignore[arg-type]
    assert (await client.async_fetch_page()).complete


@pytest.mark.parametrize(
    "change",
    [{"cpu": -1000}, {"mem-mb": -1}, {"gpu": -1}, {"estimate-ms": -1}, {"count": 0}]
    + [{"count": 10**9}, {"may-miss": -1}, {"max-per-server": -1}, {"after": [0]}],
)
def test_job_with_an_invalid_amount_is_rejected(change: dict[str, Any]) -> None:
    """A task of minus one core would add a core to its worker's capacity."""
    step = {"count": 1, "cpu": 1000, **change}
    with pytest.raises(MalformedJobError):
        decode_job(msgspec.json.encode({"spec": "x", "steps": [step]}))
