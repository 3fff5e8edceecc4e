"""Test what is read of entries, lists and pages that another writer may have spoilt.

Symptom: the owner ends, or work goes to a worker that does not exist. Sequence: a
record that no worker wrote appears in the store beside good ones. Cause: one record's
fault is taken for its page's, or what it says is used unchecked.
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


def test_a_good_entry_is_read() -> None:
    entry = decode_worker_entry("w-1", encoded(state="draining", **{"remaining-ms": 5}))
    assert (entry.service, entry.state, entry.remaining_ms) == ("pool-a", "draining", 5)
    assert entry.capacity == Room(8000, 8000, 0)


@pytest.mark.parametrize(("name", "value"), CASES)
def test_a_field_of_another_kind_names_no_worker(name: str, value: object) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", encoded(**{name: value}))


@pytest.mark.parametrize(
    "name", ["service", "address", "zone", "state", "capacity", "labels"]
)
def test_a_missing_field_names_no_worker(name: str) -> None:
    """Every worker writes all of them, so what lacks one is no worker's."""
    rest = {key: value for key, value in GOOD.items() if key != name}
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", msgspec.json.encode(rest))


@pytest.mark.parametrize("key", ["", "w 1", "w\n1", "w\r\nHost: x", "wé", "w" * 300])
def test_an_id_that_no_header_carries_names_no_worker(key: str) -> None:
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
def test_other_bytes_name_no_worker(value: bytes) -> None:
    with pytest.raises(UnreadableRecordError):
        decode_worker_entry("w-1", value)


@given(value=st.binary(max_size=200), key=st.text(max_size=20))
def test_random_bytes_are_read_or_told_as_unreadable(value: bytes, key: str) -> None:
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
    cut=st.none() | st.integers(0, 200),
)
def test_a_mutated_entry_is_usable_whole_or_not_at_all(
    changes: dict[str, Any], cut: int | None
) -> None:
    value = encoded(**changes)[:cut]
    try:
        entry = decode_worker_entry("w-1", value)
    except UnreadableRecordError:
        return
    assert entry.service and entry.state in ("ready", "draining")
    assert entry.capacity.cpu > 0 and entry.capacity.mem_mb > 0
    assert all(isinstance(label, str) for label in entry.labels)


def test_a_key_that_cant_be_read_leaves_the_others_of_its_page() -> None:
    foreign = struct.pack(">I", 4) + b"\x02\xff\xfe{"
    no_room = struct.pack(">I", 2) + b"\xc8{"
    empty = struct.pack(">I", 0)
    body = struct.pack(">QQ", 9, 4) + encode_keyed([("a", b"1")])
    body += foreign + no_room + empty + encode_keyed([("b", b"2")])
    page = decode_keyed(body, 4)
    assert [(r.offset, r.key) for r in page.records] == [(4, "a"), (8, "b")]
    assert (page.next_offset, page.end) == (9, 9)


def test_a_record_that_is_cut_off_is_read_again() -> None:
    whole = struct.pack(">QQ", 9, 4) + encode_keyed([("a", b"1"), ("b", b"2")])
    page = decode_keyed(whole[:-1], 4)
    assert ([r.key for r in page.records], page.next_offset) == (["a"], 5)


class _OneAnswer:
    """Answer each call with the same body."""

    def __init__(self, body: object) -> None:
        self._body = msgspec.json.encode(body)

    async def async_call(self, *_: object, **__: object) -> HttpResponse:
        return HttpResponse(200, self._body, CIMultiDictProxy(CIMultiDict()))


def item(key: object, value: object, offset: object = 3) -> dict[str, object]:
    return {"key": key, "offset": offset, "value": value}


@pytest.mark.anyio
async def test_a_page_of_newest_records_leaves_out_what_cant_be_read() -> None:
    good = base64.b64encode(b"1").decode()
    items = [item("a", good), item(None, good), item("c", "%%%"), item("d", good, "x")]
    body = {"items": [*items, item("e", good), item("f", 7)], "end": 8}
    client = StoreClient(_OneAnswer({**body, "more-pages": True}), "s:1")  # type: ignore[arg-type]
    page = await client.async_read_newest("keyed.t")
    assert [record.key for record in page.records] == ["a", "e"]
    # The next page begins behind the last key, though its record was left out.
    assert (page.more, page.after) == (True, "f")


@pytest.mark.anyio
async def test_a_list_says_whether_each_of_its_rows_could_be_read() -> None:
    """A worker that is missing from a list with unreadable rows is not known gone."""
    good = {"machine": "m-1", "pool": "pool-a", "state": "up", "id": "w-1"}
    bad = [{"machine": 1}, None, {**good, "capacity": {"cpu": -5}}]
    client = FleetClient(_OneAnswer({"machines": [good, *bad]}), "c:1", "h")  # type: ignore[arg-type]
    listed = await client.async_fetch_page()
    assert [row.machine for row in listed.instances] == ["m-1"]
    assert not listed.complete
    client = FleetClient(_OneAnswer({"machines": [good]}), "c:1", "h")  # type: ignore[arg-type]
    assert (await client.async_fetch_page()).complete


@pytest.mark.parametrize(
    "change",
    [{"cpu": -1000}, {"mem-mb": -1}, {"gpu": -1}, {"estimate-ms": -1}, {"count": 0}]
    + [{"count": 10**9}, {"may-miss": -1}, {"max-per-server": -1}, {"after": [0]}],
)
def test_a_job_with_a_negative_amount_is_refused(change: dict[str, Any]) -> None:
    """A task of minus one core would give its worker a core that it has not."""
    step = {"count": 1, "cpu": 1000, **change}
    with pytest.raises(MalformedJobError):
        decode_job(msgspec.json.encode({"spec": "x", "steps": [step]}))
