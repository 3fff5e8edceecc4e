"""Serve the operators' routes with starlette."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

from pydantic import BaseModel, ValidationError
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import HTMLResponse, JSONResponse, Response
from starlette.routing import Route

from ...core import Core
from ...exceptions import MustardwardError, NotReadyError
from ...helpers.logging import get_logger
from ..keys import DRAIN, FLEET_LOG
from .auth import TokenCheck, read_actor
from .openapi import openapi_document, openapi_page
from .problems import BodyInvalidError, RouteUnknownError, problem_response
from .routes import ApiRequest, ApiRoute

_LOGGER = get_logger(__name__)

BODY_BYTES: Final = 1_048_576

Endpoint = Callable[[Request], Awaitable[Response]]


class InternalError(MustardwardError):
    """Report a defect of ours; its detail stands in the log alone."""

    code = "internal-error"


class OperatorServer:
    """Answer operators' calls.

    :param routes: the routes that the components filed.
    """

    def __init__(
        self, core: Core, routes: tuple[ApiRoute, ...], token: TokenCheck
    ) -> None:
        self._core = core
        self._routes = routes
        self._token = token

    def application(self) -> Starlette:
        """Return the ASGI application."""
        served = [
            Route(route.path, self._endpoint(route), methods=[route.method])
            for route in self._routes
        ]
        served += [
            Route("/openapi.json", self._guarded(self._async_openapi)),
            Route("/", self._guarded(self._async_page)),
            Route("/-/{probe}", self._async_probe),
        ]
        handlers: dict[Any, Any] = {HTTPException: _async_http_error}
        return Starlette(routes=served, exception_handlers=handlers)

    def _endpoint(self, route: ApiRoute) -> Endpoint:
        async def async_handle(request: Request) -> Response:
            self._check_ready()
            model = await _async_read_model(request, route.body_model)
            call = ApiRequest(
                core=self._core,
                actor=read_actor(request.headers),
                path={key: str(value) for key, value in request.path_params.items()},
                query=dict(request.query_params),
                model=model,
            )
            answer = await route.handler(call)
            return JSONResponse(answer.body, answer.status, answer.headers)

        return self._guarded(async_handle)

    def _check_ready(self) -> None:
        # An entry that starts anew folds the log from a snapshot or its beginning. An
        # answer from the middle shows a revision that was replaced long ago, and looks
        # as if an accepted configuration had been taken back.
        log = self._core.find(FLEET_LOG)
        if log is not None and not log.ready:
            raise NotReadyError("the state is still being read")

    def _guarded(self, endpoint: Endpoint) -> Endpoint:
        """Check the token first, turn failures into problems, and log one line."""

        async def async_call(request: Request) -> Response:
            started = self._core.timers.monotonic()
            code = None
            try:
                self._token.check(request.headers)
                response = await endpoint(request)
            except MustardwardError as error:
                code = error.code
                response = _problem_of(error)
            except Exception as error:
                code = InternalError.code
                response = _defect_of(request, error)
            _LOGGER.info(
                "operator_call",
                method=request.method,
                path=request.url.path,
                actor=read_actor(request.headers),
                status=response.status_code,
                code=code,
                seconds=self._core.timers.monotonic() - started,
            )
            return response

        return async_call

    async def _async_openapi(self, request: Request) -> Response:
        return JSONResponse(openapi_document(self._routes))

    async def _async_page(self, request: Request) -> Response:
        return HTMLResponse(openapi_page(self._routes))

    async def _async_probe(self, request: Request) -> Response:
        drain = self._core.find(DRAIN)
        if drain is None:
            return JSONResponse({"status": "not-ready", "cause": "starting"}, 503)
        path = request.url.path.encode()
        status, document = drain.health.build_probe_response(path)
        return JSONResponse(document, status)


class BodyFaultsError(BodyInvalidError):
    """Report each fault of a body.

    :param faults: key and expectation of each.
    """

    def __init__(self, faults: list[dict[str, str]]) -> None:
        super().__init__(f"faults={len(faults)}")
        self._faults = faults

    @property
    def faults(self) -> list[dict[str, str]]:
        """Return the faults."""
        return self._faults


async def _async_read_model(
    request: Request, body_model: type[BaseModel] | None
) -> BaseModel | None:
    if body_model is None:
        return None
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > BODY_BYTES:
            raise BodyInvalidError(f"limit={BODY_BYTES} bytes")
    try:
        return body_model.model_validate_json(body)
    except ValidationError as error:
        # The value itself stays out: it may be a secret put into the wrong field.
        faults = [
            {"key": ".".join(map(str, item["loc"])), "expected": item["msg"]}
            for item in error.errors(include_input=False, include_url=False)
        ]
        raise BodyFaultsError(faults) from error


def _problem_of(error: MustardwardError) -> Response:
    if isinstance(error, BodyFaultsError):
        return problem_response(error, more={"faults": error.faults})
    return problem_response(error)


async def _async_http_error(request: Request, error: HTTPException) -> Response:
    unknown = RouteUnknownError(f"{request.method} {request.url.path}")
    return problem_response(unknown, status=error.status_code)


def _defect_of(request: Request, error: Exception) -> Response:
    _LOGGER.error(
        "operator_call_failed",
        path=request.url.path,
        error=type(error).__name__,
        detail=str(error),
    )
    return problem_response(InternalError("see the log"))
