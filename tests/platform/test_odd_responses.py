"""Test calls whose responses contain odd values.

Guards against an owner or a follower that ends because of one response: a call fails
only by the errors that its callers handle.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from mustardward.platform.advice import AdviceClient, StepAdvice
from mustardward.platform.bodies import MAX_AMOUNT
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
from mustardward.platform.workers import (
    StartRequest,
    TaskName,
    WorkerClient,
    WorkerReport,
)

from .odd_values import (
    DEEP_LIST,
    DEEP_OBJECT,
    encode_object,
    odd_fields,
    odd_rows,
)

pytestmark = pytest.mark.anyio

TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
START = StartRequest(TASK, 1, "spec", 1000, "", "")
RUNNING_ROW = [b'"5c0e7a21d94b36f8.0.1.17"', b"2", b'"7a21"', b"41", b"12.5"]
ENDED_ROW = [b"58", b'"5c0e7a21d94b36f8.0.1.9"', b"1", b'"done"', b'""']
ODD_TASKS = [b'"a.0.0.-1"', b'"a.-1.0.0"', b'"a.0.0.' + b"9" * 40 + b'"', b'"a.0.0"']
REPORT = {"clock-ms": b"482113", "running": b"[]", "ended": b"[]", "born": b"17"}
ADVICE = {"allowed": b'[["w-1","t-1"]]', "valid-ms": b"500"}

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


async def async_advise(body: bytes) -> StepAdvice:
    caller: Any = FixedCaller(200, body)
    client = AdviceClient(caller, "10.0.0.1:1")
    return await client.async_request_advice("j", 0, 0, ["w"], 1.0)


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
    (async_advise, (CallRefusedError,)),
    (async_append, STORE_ERRORS),
    (async_refused_append, STORE_ERRORS),
    (async_read_newest, STORE_ERRORS),
    (async_read_deleted, STORE_ERRORS),
    (async_submit, (MalformedJobError,)),
]


@pytest.mark.parametrize("deep", [DEEP_LIST, DEEP_OBJECT])
@pytest.mark.parametrize(("async_call", "errors"), CALLS)
async def test_a_deeply_nested_response_fails_only_its_call(
    async_call: Callable[[bytes], Awaitable[object]],
    errors: tuple[type[Exception], ...],
    deep: bytes,
) -> None:
    """Guard against an owner that ends on a deeply nested value of a response."""
    with pytest.raises(errors):
        await async_call(b'{"x":' + deep + b"}")


def odd_reports() -> list[bytes]:
    """Return workers' reports with an odd field or an odd row."""
    reports = odd_fields(1, REPORT)
    for field, row, place in (("running", RUNNING_ROW, 0), ("ended", ENDED_ROW, 1)):
        reports += [
            encode_object({**REPORT, field: b"[[" + b",".join(renamed) + b"]]"})
            for renamed in (
                [*row[:place], name, *row[place + 1 :]] for name in ODD_TASKS
            )
        ]
        reports += [
            encode_object({**REPORT, field: b"[" + odd + b"]"}) for odd in odd_rows(row)
        ]
    return reports


def is_usable(report: WorkerReport) -> bool:
    """Return whether all numbers and texts of a report are in range."""
    numbers: list[float] = [report.clock_ms, report.born]
    texts: list[str] = []
    for row in report.running:
        numbers += [row.run, row.percent, row.figure]
        texts.append(row.checkpoint)
    for end in report.ended:
        numbers += [end.number, end.run]
        texts += [end.how, end.checkpoint]
    for name in [r.task for r in report.running] + [e.task for e in report.ended]:
        numbers += [name.occurrence, name.step, name.index]
        texts.append(name.job)
    return all(0 <= number <= MAX_AMOUNT for number in numbers) and all(
        isinstance(text, str) for text in texts
    )


async def test_an_odd_report_is_rejected_or_in_range() -> None:
    """Guard against an owner that ends on a number or text of a worker's report."""
    taken = 0
    for body in odd_reports():
        try:
            report = await a_worker(body).async_poll(0, None, 0)
        except CallUnknownError:
            continue
        assert is_usable(report), body[:200]
        taken += 1
    assert taken


async def test_odd_advice_is_rejected_or_in_range() -> None:
    """Guard against an owner that ends on a row of the advice service."""
    bodies = odd_fields(2, ADVICE)
    for row in odd_rows([b'"w-1"', b'"t-1"']):
        bodies.append(encode_object({**ADVICE, "allowed": b"[" + row + b"]"}))
    for body in bodies:
        try:
            advice = await async_advise(body)
        except CallRefusedError:
            continue
        assert 0 <= advice.valid_ms <= MAX_AMOUNT, body[:200]
