"""Test pages in which one item is odd.

Guards against entry nodes that never finish loading a topic, and owners that never read
the instance list, because of a single key or row.
"""

from __future__ import annotations

import pytest

from mustardward.components.ledger.follower import TopicFollower
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.store import TOPIC_WORKERS, KeyedRecord, StoreClient

from .odd_values import DEEP_LIST, DEEP_OBJECT, DEPTH, ODD_VALUES
from .test_odd_responses import FixedCaller, a_fleet

pytestmark = pytest.mark.anyio

INVALID_JSON = [b'"\\x41"', b'"a\nb"', b'"\\udcff"', b"-Infinity"]
ODD_ITEMS = [*ODD_VALUES, *INVALID_JSON]


def a_newest_page(key: bytes) -> bytes:
    """Return a page of three records, the second one with an encoded key."""
    items = b",".join(
        b'{"key":' + name + b',"offset":3,"value":"MQ=="}'
        for name in (b'"a"', key, b'"z"')
    )
    return b'{"items":[' + items + b'],"more-pages":false,"end":9}'


@pytest.mark.parametrize("key", ODD_ITEMS)
async def test_a_topic_is_loaded_in_spite_of_an_odd_key(key: bytes) -> None:
    seen: dict[str, bytes] = {}

    def apply(record: KeyedRecord) -> None:
        seen[record.key] = record.value

    store = StoreClient(FixedCaller(200, a_newest_page(key)), "10.0.0.1:1")
    follower = TopicFollower(
        store, DrivenTimerService(), TOPIC_WORKERS, apply, seen.keys, 0.1
    )
    await follower.async_load()
    assert follower.loaded and follower.offset == 9
    assert {"a", "z"} <= set(seen)


@pytest.mark.parametrize("odd", ODD_ITEMS)
@pytest.mark.parametrize("field", [b"machine", b"zone", b"labels", b"capacity", b"x"])
async def test_an_instance_list_is_read_in_spite_of_an_odd_row(
    field: bytes, odd: bytes
) -> None:
    good = b'{"machine":"m-1","pool":"p","state":"up","id":"w-1"}'
    row = b'{"machine":"m-2","pool":"p","state":"up","' + field + b'":' + odd + b"}"
    body = b'{"machines":[' + row + b"," + good + b'],"next-token":"t"}'
    page = await a_fleet(body).async_fetch_page()
    assert "m-1" in [instance.machine for instance in page.instances]
    assert page.complete == (len(page.instances) == 2)
    assert page.next_token == "t"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"machines":7}',
        b'{"machines":[',
        b'{"machines":[1]]]]',
        b'{"machines":["\\ud800"],"next-token":[]}',
        b'{"x":{"machines":["\\ud800"]}}',
        b'{"machines":[' + DEEP_LIST + b"," + b"[" * DEPTH + b"]}",
        b'{"x":' + DEEP_OBJECT + b',"machines":[]}',
    ],
)
async def test_a_page_that_cannot_be_split_is_refused(body: bytes) -> None:
    with pytest.raises(CallRefusedError):
        await a_fleet(body).async_fetch_page()
