"""Call workers: start, stop and throttle runs, and poll their state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from ..helpers.http_connection import HttpResponse
from . import names
from .bodies import (
    MAX_AMOUNT,
    ClockBody,
    HoldAnswerBody,
    HoldBody,
    PaceBody,
    StartBody,
    StopBody,
)
from .exceptions import (
    RECORD_ERRORS,
    CallRefusedError,
    CallUnknownError,
    FencedError,
    WrongIncarnationError,
)
from .http import HttpCaller

START_TIMEOUT_SECONDS: Final = 0.35
"""A response takes 2 to 5 ms; a command that is executed late gets none, and its task
waits until this timeout."""

POLL_SLACK_SECONDS: Final = 0.35
"""Timeout of a poll, in addition to the requested wait."""

MAX_LISTED_ENDS: Final = 500
"""Most ended runs in one report; the others follow once these are acknowledged."""

REFUSED_ROOM: Final = "room"
REFUSED_OLD: Final = "old"
REFUSED_LATE: Final = "late"
REFUSED_TICKET: Final = "ticket"


@dataclass(frozen=True, slots=True)
class TaskName:
    """Identify a task by its job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Run in progress on a worker.

    :param figure: tail latency in milliseconds of a task that serves, otherwise CPU
        in use in thousandths of a core; over the last half second.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: float
    figure: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Ended run of a worker."""

    number: int
    task: TaskName
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Running and ended runs that a worker reports, and its clock in milliseconds.

    :param born: when the worker's process started, in milliseconds since 1970, or 0 if
        it is not reported.
    """

    clock_ms: float
    running: list[RunningTask]
    ended: list[EndedTask]
    born: int = 0

    @property
    def lists_all_ends(self) -> bool:
        """Return whether the worker has no ended runs beyond those listed."""
        return len(self.ended) < MAX_LISTED_ENDS


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Response to a start request; an empty reason means that the task runs."""

    clock_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Parameters of a run to start."""

    task: TaskName
    run: int
    spec: str
    deadline_ms: int
    checkpoint: str
    ticket: str


def encode_task(task: TaskName) -> str:
    """Return a task's name in the workers' format."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(text: str) -> TaskName:
    """Return the task identified by a name in the workers' format.

    :raises ValueError: if the name is malformed.
    """
    job, occurrence, step, index = text.split(".")
    return TaskName(job, _number(occurrence), _number(step), _number(index))


class WorkerClient:
    """Client of one incarnation of a worker, with one fencing token.

    :param http: makes the HTTP calls.
    :param address: the worker's ``host:port``.
    :param incarnation: the worker's id; calls to another incarnation are rejected.
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

    async def async_start(self, request: StartRequest) -> StartResponse:
        """Start a task.

        :raises CallRefusedError: if this request definitely did not start it.
        :raises CallUnknownError: if it may run, now or later.
        :raises FencedError: if the worker has seen a newer owner's token.
        :raises WrongIncarnationError: if another incarnation responded.
        """
        body = StartBody(
            encode_task(request.task),
            request.run,
            request.spec,
            request.deadline_ms,
            self._token,
            request.checkpoint,
            request.ticket,
        )
        response = await self._async_post(names.RUN_START, body, START_TIMEOUT_SECONDS)
        clock = _decode_clock(response)
        return StartResponse(clock.clock_ms, clock.reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        """Stop a run; the worker rejects a later start of it.

        :raises CallUnknownError: if it may still run.
        """
        body = StopBody(encode_task(task), run, self._token)
        await self._async_post(names.RUN_STOP, body, START_TIMEOUT_SECONDS)

    async def async_set_speed(self, task: TaskName, run: int, percent: int) -> None:
        """Limit a run to a percentage of its speed."""
        body = PaceBody(encode_task(task), run, percent, self._token)
        await self._async_post(names.PACE, body, START_TIMEOUT_SECONDS)

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        """Renew the lease, acknowledge ended runs, and return the worker's report.

        :raises CallUnknownError: if there was no valid response.
        """
        body = HoldBody(self._token, seen_upto, deadline_ms, wait_ms)
        response = await self._async_post(
            names.HOLD, body, wait_ms / 1000 + POLL_SLACK_SECONDS
        )
        return _decode_report(response)

    async def _async_post(
        self, call: str, body: msgspec.Struct, timeout_seconds: float
    ) -> HttpResponse:
        response = await self._http.async_call(
            "POST",
            self._base + call,
            body=msgspec.json.encode(body),
            headers=self._headers,
            timeout_seconds=timeout_seconds,
        )
        if response.status == 421:
            raise WrongIncarnationError(response.header(names.HEADER_EXPECTED))
        if (
            response.status == 409
            and _decode_clock(response).reason == names.REASON_FENCE
        ):
            raise FencedError(call)
        if response.status in (200, 409):
            return response
        if response.status in (400, 404, 429, 503):
            raise CallRefusedError(f"status={response.status}")
        raise CallUnknownError(f"status={response.status}")


def _decode_clock(response: HttpResponse) -> ClockBody:
    try:
        return msgspec.json.decode(response.body, type=ClockBody)
    except RECORD_ERRORS as error:
        raise CallUnknownError(str(error)) from error


def _decode_report(response: HttpResponse) -> WorkerReport:
    try:
        body = msgspec.json.decode(response.body, type=HoldAnswerBody)
        running = [decode_running(row) for row in body.running]
        ended = [decode_ended(row) for row in body.ended]
    except (
        *RECORD_ERRORS,
        ValueError,
        IndexError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as error:
        raise CallUnknownError(str(error)) from error
    return WorkerReport(body.clock_ms, running, ended, body.born)


def decode_ended(row: list[Any]) -> EndedTask:
    """Return the ended run described by a row."""
    return EndedTask(
        _number(row[0]),
        decode_task(row[1]),
        _number(row[2]),
        _text(row[3]),
        _text(row[4]),
    )


def decode_running(row: list[Any]) -> RunningTask:
    """Return the running task described by a row."""
    figure = _amount(row[4]) if len(row) > 4 else 0.0
    return RunningTask(
        decode_task(row[0]), _number(row[1]), _text(row[2]), _amount(row[3]), figure
    )


def _amount(value: Any) -> float:
    """Return a value as a number that can be calculated with and stored."""
    amount = float(value)
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f"value={amount:.6g} is out of range")
    return amount


def _number(value: Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_AMOUNT:
        raise ValueError("number is out of range")
    return number


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {type(value).__name__}")
    return value
