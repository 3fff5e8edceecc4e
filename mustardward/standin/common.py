"""Provide request parsing, error responses and fault injection for the services."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ..const import HEADER_DATA_CENTRE
from ..helpers.timer import TimerService
from .faults import FaultSwitch, ServiceFaults
from .serving import get_connection

ModelT = TypeVar("ModelT", bound=BaseModel)
FaultsT = TypeVar("FaultsT", bound=ServiceFaults)


class ConnectionReset(Response):
    """Response that resets the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Reset the connection."""
        connection = get_connection(scope)
        if connection is not None:
            connection.abort()


def error_response(status: int, code: str, **fields: object) -> JSONResponse:
    """Return an error response with a stable code."""
    return JSONResponse({"code": code, **fields}, status_code=status)


async def async_parse_body(request: Request, model: type[ModelT]) -> ModelT:
    """Return the validated request body.

    :raises BodyError: if the body is invalid.
    """
    try:
        return model.model_validate_json(await request.body() or b"{}")
    except ValidationError as error:
        raise BodyError(str(error)) from error


class BodyError(Exception):
    """Raised for a request body that fails validation."""


async def async_handle_body_error(request: Request, error: Exception) -> Response:
    """Return the error response to an invalid body."""
    return error_response(422, "body-invalid", detail=str(error))


async def async_with_faults(
    request: Request,
    switch: FaultSwitch[FaultsT],
    timers: TimerService,
    run: Callable[[], Awaitable[Response]],
) -> Response:
    """Handle a call with the active faults applied."""
    faults = switch.active
    if request.headers.get(HEADER_DATA_CENTRE) in faults.cut_off:
        return ConnectionReset()
    if faults.slow_seconds:
        await timers.async_sleep(faults.slow_seconds)
    if faults.outage:
        return error_response(503, "outage")
    response = await run()
    # Only calls that change state consume the fault: a read has no effect to hide.
    # Long polls would otherwise use it up before the intended call, and tests of lost
    # responses would test nothing.
    changed = request.method != "GET" and response.status_code < 400
    if changed and switch.consume("lose_answers"):
        return ConnectionReset()
    return response
