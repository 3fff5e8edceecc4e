"""Call workers: start, stop, hold and pace tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from ..helpers.http_connection import HttpResponse
from . import names
from .bodies import (
    ClockBody,
    HoldAnswerBody,
    HoldBody,
    PaceBody,
    StartBody,
    StopBody,
)
from .exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    WrongIncarnationError,
)
from .http import HttpCaller

START_TIMEOUT_SECONDS: Final = 0.35
"""An answer takes 2 to 5 ms; an order that is carried out late gets none at all, and
its task waits until it is given up."""

HOLD_SLACK_SECONDS: Final = 0.35
"""The same, beyond the time that the worker was asked to wait."""

REFUSED_ROOM: Final = "room"
REFUSED_OLD: Final = "old"
REFUSED_LATE: Final = "late"
REFUSED_TICKET: Final = "ticket"


@dataclass(frozen=True, slots=True)
class TaskName:
    """Name one task: its job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Hold one row of what runs on a worker.

    :param figure: the tail in milliseconds of a task that serves, else processor in
        use, in thousandths of a core; over the last half second.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: float
    figure: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Hold one row of what ended on a worker."""

    number: int
    task: TaskName
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Hold what a worker says it runs and has ended; its clock in milliseconds.

    :param born: when the worker's process started, in milliseconds since 1970, or 0 if
        it does not say.
    """

    clock_ms: float
    running: list[RunningTask]
    ended: list[EndedTask]
    born: int = 0


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Hold the answer to a start; an empty reason means that the task runs."""

    clock_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Hold what a start says."""

    task: TaskName
    run: int
    spec: str
    deadline_ms: int
    checkpoint: str
    ticket: str


def encode_task(task: TaskName) -> str:
    """Return a task's name as workers know it."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(text: str) -> TaskName:
    """Return the task that a worker names.

    :raises ValueError: if the text names none.
    """
    job, occurrence, step, index = text.split(".")
    return TaskName(job, int(occurrence), int(step), int(index))


class WorkerClient:
    """Call one incarnation of a worker under one fencing token.

    :param http: carries the calls.
    :param address: the worker's ``host:port``.
    :param incarnation: the worker's id; another one answers nothing.
    :param token: the fencing token of the caller's ownership.
    """

    def __init__(
        self, http: HttpCaller, address: str, incarnation: str, token: int
    ) -> None:
        self._http = http
        self._base = f"http://{address}"
        self._token = token
        self._headers = {
            names.HEADER_EXPECTED: incarnation,
            "Content-Type": "application/json",
        }

    async def async_start(self, order: StartRequest) -> StartResponse:
        """Start a task.

        :raises CallRefusedError: if it certainly does not run by this order.
        :raises CallUnknownError: if it may run, now or later.
        :raises FencedError: if a newer owner's token was seen.
        :raises WrongIncarnationError: if another incarnation answered.
        """
        body = StartBody(
            encode_task(order.task),
            order.run,
            order.spec,
            order.deadline_ms,
            self._token,
            order.checkpoint,
            order.ticket,
        )
        answer = await self._async_post(names.RUN_START, body, START_TIMEOUT_SECONDS)
        clock = _decode_clock(answer)
        return StartResponse(clock.clock_ms, clock.reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        """Stop a run; one that is not there yet will be rejected.

        :raises CallUnknownError: if it may still run.
        """
        body = StopBody(encode_task(task), run, self._token)
        await self._async_post(names.RUN_STOP, body, START_TIMEOUT_SECONDS)

    async def async_set_speed(self, task: TaskName, run: int, percent: int) -> None:
        """Let a run work at a share of its speed."""
        body = PaceBody(encode_task(task), run, percent, self._token)
        await self._async_post(names.PACE, body, START_TIMEOUT_SECONDS)

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and return what runs and has ended.

        :raises CallUnknownError: if there was no answer.
        """
        body = HoldBody(self._token, seen_upto, deadline_ms, wait_ms)
        answer = await self._async_post(
            names.HOLD, body, wait_ms / 1000 + HOLD_SLACK_SECONDS
        )
        return _decode_hold(answer)

    async def _async_post(
        self, call: str, body: msgspec.Struct, timeout_seconds: float
    ) -> HttpResponse:
        answer = await self._http.async_call(
            "POST",
            self._base + call,
            body=msgspec.json.encode(body),
            headers=self._headers,
            timeout_seconds=timeout_seconds,
        )
        if answer.status == 421:
            raise WrongIncarnationError(answer.header(names.HEADER_EXPECTED))
        if answer.status == 409 and _decode_clock(answer).reason == names.REASON_FENCE:
            raise FencedError(call)
        if answer.status in (200, 409):
            return answer
        if answer.status in (400, 404, 429, 503):
            raise CallRefusedError(f"status={answer.status}")
        raise CallUnknownError(f"status={answer.status}")


def _decode_clock(answer: HttpResponse) -> ClockBody:
    try:
        return msgspec.json.decode(answer.body, type=ClockBody)
    except msgspec.MsgspecError as error:
        raise CallUnknownError(str(error)) from error


def _decode_hold(answer: HttpResponse) -> WorkerReport:
    try:
        hold = msgspec.json.decode(answer.body, type=HoldAnswerBody)
        running = [decode_running(row) for row in hold.running]
        ended = [decode_ended(row) for row in hold.ended]
    except (
        msgspec.MsgspecError,
        ValueError,
        IndexError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as error:
        raise CallUnknownError(str(error)) from error
    return WorkerReport(hold.clock_ms, running, ended, hold.born)


def decode_ended(row: list[Any]) -> EndedTask:
    """Return a row of what ended."""
    return EndedTask(int(row[0]), decode_task(row[1]), int(row[2]), row[3], row[4])


def decode_running(row: list[Any]) -> RunningTask:
    """Return a row of what runs."""
    figure = float(row[4]) if len(row) > 4 else 0.0
    return RunningTask(decode_task(row[0]), int(row[1]), row[2], float(row[3]), figure)
