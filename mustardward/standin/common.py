"""Share what the stand-in services do alike: faults, waiting, JSON answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ..const import HEADER_DATA_CENTRE
from ..helpers.timer import TimerService
from .faults import FaultSwitch, ServiceFaults
from .serving import connection_of

M = TypeVar("M", bound=BaseModel)
F = TypeVar("F", bound=ServiceFaults)


class NoAnswer(Response):
    """Reset the connection in place of an answer."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Reset the connection."""
        connection = connection_of(scope)
        if connection is not None:
            connection.abort()


def refusal(status: int, code: str, **fields: object) -> JSONResponse:
    """Return a refusal with a stable code."""
    return JSONResponse({"code": code, **fields}, status_code=status)


async def async_body(request: Request, model: type[M]) -> M:
    """Return the validated body.

    :raises BodyError: if it does not fit.
    """
    try:
        return model.model_validate_json(await request.body() or b"{}")
    except ValidationError as error:
        raise BodyError(str(error)) from error


class BodyError(Exception):
    """Report a request body that does not fit its model."""


async def async_body_refusal(request: Request, error: Exception) -> Response:
    """Answer a body that does not fit."""
    return refusal(422, "body-invalid", detail=str(error))


async def async_with_faults(
    request: Request,
    switch: FaultSwitch[F],
    timers: TimerService,
    run: Callable[[], Awaitable[Response]],
) -> Response:
    """Run a call under the faults in force."""
    faults = switch.now
    if request.headers.get(HEADER_DATA_CENTRE) in faults.cut_off:
        return NoAnswer()
    if faults.slow_seconds:
        await timers.async_sleep(faults.slow_seconds)
    if faults.outage:
        return refusal(503, "outage")
    answer = await run()
    # A read has no effect to hide. Long polls would use the fault up before the call
    # that it is meant for, and a test of lost answers would show nothing.
    changed = request.method != "GET" and answer.status_code < 400
    if changed and switch.take("lose_answers"):
        return NoAnswer()
    return answer
