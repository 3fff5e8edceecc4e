"""Call the API's registered routes without a network."""

from __future__ import annotations

import re
from typing import Any

from mustardward.components.api.routes import API_ROUTES, ApiRequest


async def async_route(core: Any, method: str, path: str, body: Any) -> Any:
    """Return the body of the response to one request of an operator."""
    for route in API_ROUTES:
        pattern = re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", route.path)
        match = re.fullmatch(pattern, path)
        if route.method != method or match is None:
            continue
        model = route.body_model(**body) if route.body_model else None
        request = ApiRequest(core, "operator", match.groupdict(), {}, model)
        return (await route.handler(request)).body
    raise AssertionError(f"no route matches {method} {path}")
