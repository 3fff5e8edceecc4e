"""Test calls whose responses contain odd values.

Guards against an owner or a follower that ends because of one response: a call fails
only by the errors that its callers handle.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from mustardward.platform.advice import AdviceClient
from mustardward.platform.callers import decode_job
from mustardward.platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    MalformedJobError,
    OffsetGoneError,
    SequenceError,
    WrongIncarnationError,
)
from mustardward.platform.fleet import FleetClient
from mustardward.platform.http import HttpResponse
from mustardward.platform.store import TOPIC_WORKERS, StoreClient
from mustardward.platform.workers import StartRequest, TaskName, WorkerClient

from .odd_values import DEEP_LIST, DEEP_OBJECT

pytestmark = pytest.mark.anyio

TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
START = StartRequest(TASK, 1, "spec", 1000, "", "")

STORE_ERRORS = (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
)
WORKER_ERRORS = (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    WrongIncarnationError,
)


class FixedCaller:
    """Return the same response to each call."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = HttpResponse(status, body)

    async def async_call(self, *_: object, **__: object) -> HttpResponse:
        return self._response


def a_worker(body: bytes, status: int = 200) -> WorkerClient:
    caller: Any = FixedCaller(status, body)
    return WorkerClient(caller, "10.0.0.1:1", "w-1", 1)


def a_fleet(body: bytes, status: int = 200) -> FleetClient:
    caller: Any = FixedCaller(status, body)
    return FleetClient(caller, "10.0.0.1:1", "n")


async def async_poll(body: bytes) -> None:
    await a_worker(body).async_poll(0, None, 0)


async def async_start(body: bytes) -> None:
    await a_worker(body).async_start(START)


async def async_refused_stop(body: bytes) -> None:
    await a_worker(body, 409).async_stop(TASK, 1)


async def async_refused_move(body: bytes) -> None:
    await a_fleet(body, 409).async_move("m", "p", 1)


async def async_advice(body: bytes) -> None:
    caller: Any = FixedCaller(200, body)
    client = AdviceClient(caller, "10.0.0.1:1")
    await client.async_request_advice("j", 0, 0, ["w"], 1.0)


async def async_append(body: bytes) -> None:
    await StoreClient(FixedCaller(200, body), "s:1").async_append(TOPIC_WORKERS, [])


async def async_refused_append(body: bytes) -> None:
    await StoreClient(FixedCaller(409, body), "s:1").async_append(TOPIC_WORKERS, [])


async def async_read_newest(body: bytes) -> None:
    await StoreClient(FixedCaller(200, body), "s:1").async_read_newest(TOPIC_WORKERS)


async def async_read_deleted(body: bytes) -> None:
    await StoreClient(FixedCaller(410, body), "s:1").async_read(TOPIC_WORKERS, 0, 0)


async def async_submit(body: bytes) -> None:
    decode_job(body)


CALLS = [
    (async_poll, WORKER_ERRORS),
    (async_start, WORKER_ERRORS),
    (async_refused_stop, WORKER_ERRORS),
    (async_refused_move, (CallRefusedError,)),
    (async_advice, (CallRefusedError,)),
    (async_append, STORE_ERRORS),
    (async_refused_append, STORE_ERRORS),
    (async_read_newest, STORE_ERRORS),
    (async_read_deleted, STORE_ERRORS),
    (async_submit, (MalformedJobError,)),
]


@pytest.mark.parametrize("deep", [DEEP_LIST, DEEP_OBJECT])
@pytest.mark.parametrize(("async_call", "errors"), CALLS)
async def test_a_deeply_nested_response_fails_only_its_call(
    async_call: Callable[[bytes], Awaitable[None]],
    errors: tuple[type[Exception], ...],
    deep: bytes,
) -> None:
    """Guard against an owner that ends on a deeply nested value of a response."""
    with pytest.raises(errors):
        await async_call(b'{"x":' + deep + b"}")
