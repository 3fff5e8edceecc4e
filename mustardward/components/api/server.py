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
from .openapi import build_openapi_document, build_openapi_page
from .problems import BodyInvalidError, RouteUnknownError, problem_response
from .routes import ApiRequest, ApiRoute

_LOGGER = get_logger(__name__)

MAX_BODY_BYTES: Final = 1_048_576

Endpoint = Callable[[Request], Awaitable[Response]]


class InternalError(MustardwardError):
    """Report an unexpected exception; its details are only logged."""

    code = "internal-error"


class OperatorServer:
    """Serve operators' requests.

    :param routes: routes registered by the components.
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
            Route("/openapi.json", self._authenticate_and_log(self._async_openapi)),
            Route("/", self._authenticate_and_log(self._async_page)),
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
            response = await route.handler(call)
            return JSONResponse(response.body, response.status, response.headers)

        return self._authenticate_and_log(async_handle)

    def _check_ready(self) -> None:
        # A restarted entry replays the log from a snapshot or from its beginning. Until
        # it has caught up, a response would show an outdated revision, as if an
        # accepted configuration had been reverted.
        log = self._core.find(FLEET_LOG)
        if log is not None and not log.ready:
            raise NotReadyError("the state is still being read")

    def _authenticate_and_log(self, endpoint: Endpoint) -> Endpoint:
        """Check the token, convert errors to problem responses, and log the request.

        The token is checked before anything else is done with the request.
        """

        async def async_call(request: Request) -> Response:
            started = self._core.timers.monotonic()
            code = None
            try:
                self._token.check(request.headers)
                response = await endpoint(request)
            except MustardwardError as error:
                code = error.code
                response = _build_problem_response(error)
            except Exception as error:
                code = InternalError.code
                response = _log_and_build_internal_error(request, error)
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
        return JSONResponse(build_openapi_document(self._routes))

    async def _async_page(self, request: Request) -> Response:
        return HTMLResponse(build_openapi_page(self._routes))

    async def _async_probe(self, request: Request) -> Response:
        drain = self._core.find(DRAIN)
        if drain is None:
            return JSONResponse({"status": "not-ready", "cause": "starting"}, 503)
        path = request.url.path.encode()
        status, document = drain.health.build_probe_response(path)
        return JSONResponse(document, status)


class BodyValidationError(BodyInvalidError):
    """Report the validation errors of a body.

    :param faults: key and expected value of each error.
    """

    def __init__(self, faults: list[dict[str, str]]) -> None:
        super().__init__(f"faults={len(faults)}")
        self._faults = faults

    @property
    def faults(self) -> list[dict[str, str]]:
        """Return the validation errors."""
        return self._faults


async def _async_read_model(
    request: Request, body_model: type[BaseModel] | None
) -> BaseModel | None:
    if body_model is None:
        return None
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise BodyInvalidError(f"limit={MAX_BODY_BYTES} bytes")
    try:
        return body_model.model_validate_json(body)
    except ValidationError as error:
        # Values are omitted: one may be a secret in the wrong field.
        faults = [
            {"key": ".".join(map(str, item["loc"])), "expected": item["msg"]}
            for item in error.errors(include_input=False, include_url=False)
        ]
        raise BodyValidationError(faults) from error


def _build_problem_response(error: MustardwardError) -> Response:
    if isinstance(error, BodyValidationError):
        return problem_response(error, extra_fields={"faults": error.faults})
    return problem_response(error)


async def _async_http_error(request: Request, error: HTTPException) -> Response:
    unknown = RouteUnknownError(f"{request.method} {request.url.path}")
    return problem_response(unknown, status=error.status_code)


def _log_and_build_internal_error(request: Request, error: Exception) -> Response:
    _LOGGER.error(
        "operator_call_failed",
        path=request.url.path,
        error=type(error).__name__,
        detail=str(error),
    )
    return problem_response(InternalError("see the log"))
