"""Collect the routes of the operators' API.

Each component registers its routes in its own ``api`` module; ``components/api`` serves
them and describes them in OpenAPI.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from pydantic import BaseModel

from ...core import Core


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """Hold an operator's request; ``model`` is the validated body, if any."""

    core: Core
    actor: str
    path: dict[str, str]
    query: dict[str, str]
    model: Any = None


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Hold the response; ``body`` is any JSON-serialisable value."""

    body: Any
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


RouteHandler = Callable[[ApiRequest], Awaitable[ApiResponse]]


@dataclass(frozen=True, slots=True)
class ApiRoute:
    """Describe a route; ``path`` has its parameters in braces."""

    method: str
    path: str
    summary: str
    handler: RouteHandler
    body_model: type[BaseModel] | None = None


API_ROUTES: Final[list[ApiRoute]] = []


def api_route(
    method: str,
    path: str,
    summary: str,
    body_model: type[BaseModel] | None = None,
) -> Callable[[RouteHandler], RouteHandler]:
    """Return a decorator that registers a handler for a method and path.

    A handler raises a :class:`MustardwardError` to reject the request; the server
    converts it to ``application/problem+json``.
    """

    def decorate(handler: RouteHandler) -> RouteHandler:
        API_ROUTES.append(ApiRoute(method, path, summary, handler, body_model))
        return handler

    return decorate
