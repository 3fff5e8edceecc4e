"""Build the OpenAPI document and an HTML overview of the routes."""

from __future__ import annotations

import html
import re
from collections.abc import Iterable
from typing import Any, Final

from ... import __version__
from .routes import ApiRoute

_PARAMETER: Final = re.compile(r"\{(\w+)\}")
_PROBLEM: Final = {
    "type": "object",
    "required": ["type", "title", "status", "detail", "ran"],
    "properties": {
        "type": {"type": "string", "description": "ends in the failure's stable code"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "detail": {"type": "string"},
        "ran": {"type": "string", "enum": ["no", "unknown"]},
    },
}


def build_openapi_document(routes: Iterable[ApiRoute]) -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the routes."""
    paths: dict[str, dict[str, Any]] = {}
    schemas: dict[str, Any] = {"Problem": _PROBLEM}
    for route in routes:
        operation = _build_operation(route, schemas)
        paths.setdefault(route.path, {})[route.method.lower()] = operation
    return {
        "openapi": "3.1.0",
        "info": {"title": "mustardward", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
    }


def build_openapi_page(routes: Iterable[ApiRoute]) -> str:
    """Return an HTML page that lists the routes."""
    rows = "".join(
        f"<tr><td>{html.escape(route.method)}</td>"
        f"<td><code>{html.escape(route.path)}</code></td>"
        f"<td>{html.escape(route.summary)}</td></tr>"
        for route in sorted(routes, key=lambda item: (item.path, item.method))
    )
    return (
        "<!doctype html><html lang=en><meta charset=utf-8><title>mustardward</title>"
        f"<h1>mustardward {__version__}</h1>"
        "<p>Schemas: <a href=/openapi.json>openapi.json</a></p>"
        f"<table><tr><th>Method<th>Path<th>What it does</tr>{rows}</table></html>"
    )


def _build_operation(route: ApiRoute, schemas: dict[str, Any]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": route.summary,
        "parameters": [
            {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
            for name in _PARAMETER.findall(route.path)
        ],
        "responses": {
            "200": {"description": "done"},
            "default": {
                "description": "refused or failed",
                "content": {
                    "application/problem+json": {
                        "schema": {"$ref": "#/components/schemas/Problem"}
                    }
                },
            },
        },
    }
    if route.body_model is not None:
        operation["requestBody"] = _build_request_body(route, schemas)
    return operation


def _build_request_body(route: ApiRoute, schemas: dict[str, Any]) -> dict[str, Any]:
    assert route.body_model is not None
    schema = route.body_model.model_json_schema(
        ref_template="#/components/schemas/{model}"
    )
    schemas.update(schema.pop("$defs", {}))
    name = route.body_model.__name__
    schemas[name] = schema
    reference = {"$ref": f"#/components/schemas/{name}"}
    return {"required": True, "content": {"application/json": {"schema": reference}}}
