"""Test the operators' API."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import cast

import anyio
import httpx
import pytest
from absl import logging as absl_logging
from pydantic import BaseModel, ConfigDict

from mustardward.components.api.auth import TokenCheck, read_token
from mustardward.components.api.routes import ApiRequest, ApiResponse, ApiRoute
from mustardward.components.api.server import OperatorServer
from mustardward.components.keys import FLEET_LOG
from mustardward.core import Core
from mustardward.exceptions import (
    PlatformOutcomeUnknownError,
    SettingsError,
    StaleGenerationError,
)
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.fold import RevisionConflictError
from mustardward.state.protocols import FleetLog
from tests.fakes.entry import build_settings, respond_ok, running_entry

pytestmark = pytest.mark.anyio

TOKEN = "a-token-of-good-length"
BEARER = {"authorization": f"Bearer {TOKEN}"}


class Rack(BaseModel):
    """Name a rack."""

    model_config = ConfigDict(extra="forbid")

    name: str
    slots: int


async def put_rack(request: ApiRequest) -> ApiResponse:
    failures = {
        "conflict": RevisionConflictError("revision=4"),
        "stale": StaleGenerationError("generation=2"),
        "lost": PlatformOutcomeUnknownError("no answer"),
        "defect": ValueError("inner text"),
    }
    failure = failures.get(request.path["name"])
    if failure is not None:
        raise failure
    return ApiResponse({"actor": request.actor, "slots": request.model.slots}, 201)


ROUTES = (ApiRoute("PUT", "/racks/{name}", "Put a rack", put_rack, Rack),)


async def call(
    method: str,
    path: str,
    token: str | None = TOKEN,
    log: FleetLog | None = None,
    **options: object,
) -> httpx.Response:
    async with anyio.create_task_group() as tasks:
        core = Core(build_settings(), DrivenTimerService(), tasks)
        if log is not None:
            core.put(FLEET_LOG, log)
        server = OperatorServer(core, ROUTES, TokenCheck(token))
        transport = httpx.ASGITransport(server.application())
        async with httpx.AsyncClient(transport=transport, base_url="http://o") as http:
            return await http.request(method, path, **options)  # type: ignore[arg-type]


async def test_handler_receives_model_and_actor() -> None:
    headers = {**BEARER, "mw-actor": "dawn-shift"}
    response = await call(
        "PUT", "/racks/north", json={"name": "north", "slots": 8}, headers=headers
    )
    assert (response.status_code, response.json()) == (
        201,
        {"actor": "dawn-shift", "slots": 8},
    )


@pytest.mark.parametrize("authorization", [None, "Bearer wrong", TOKEN, "Bearer "])
async def test_every_route_rejects_an_invalid_token(authorization: str | None) -> None:
    """Guard against unauthorised changes.

    These happen if a route lacks the token check, or if the check accepts a missing
    token or part of one.
    """
    headers = {} if authorization is None else {"authorization": authorization}
    for path in ("/racks/north", "/openapi.json", "/"):
        method = "PUT" if path.startswith("/racks") else "GET"
        response = await call(method, path, headers=headers)
        assert response.status_code == 401
        assert response.json()["type"] == "urn:mustardward:problem:token-invalid"
        assert response.headers["www-authenticate"] == "Bearer"


@pytest.mark.parametrize(
    ("name", "status", "code", "ran"),
    [
        ("conflict", 409, "revision-conflict", "no"),
        ("stale", 409, "stale-generation", "no"),
        ("lost", 504, "platform-outcome-unknown", "unknown"),
        ("defect", 500, "internal-error", "unknown"),
    ],
)
async def test_errors_become_problems_with_their_code(
    name: str, status: int, code: str, ran: str
) -> None:
    body = {"name": name, "slots": 1}
    response = await call("PUT", f"/racks/{name}", json=body, headers=BEARER)
    document = response.json()
    assert (response.status_code, document["ran"]) == (status, ran)
    assert document["type"].endswith(":" + code)
    assert "inner text" not in response.text


async def test_invalid_body_lists_every_fault_without_its_values() -> None:
    body = {"name": 4, "slots": "secret", "colour": "red"}
    response = await call("PUT", "/racks/north", json=body, headers=BEARER)
    assert response.status_code == 422
    assert [fault["key"] for fault in response.json()["faults"]] == [
        "name",
        "slots",
        "colour",
    ]
    assert "secret" not in response.text


async def test_routes_are_described_and_unknown_ones_are_problems() -> None:
    document = (await call("GET", "/openapi.json", headers=BEARER)).json()
    operation = document["paths"]["/racks/{name}"]["put"]
    assert operation["parameters"][0]["name"] == "name"
    assert "Rack" in document["components"]["schemas"]
    assert "/racks/{name}" in (await call("GET", "/", headers=BEARER)).text
    unknown = await call("GET", "/nothing", headers=BEARER)
    assert (unknown.status_code, unknown.json()["type"]) == (
        404,
        "urn:mustardward:problem:route-unknown",
    )
    assert (await call("GET", "/racks/north", headers=BEARER)).status_code == 405


async def test_caller_listener_does_not_serve_operator_routes() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient(base_url=entry.url) as http:
            for path in ("/openapi.json", "/racks/north", "/"):
                response = await http.put(path, headers=BEARER)
                assert response.json()["ran"] == "no"
                assert response.status_code == 404
    assert worker.requests == []


async def test_tokens_are_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    absl_logging.set_verbosity(absl_logging.INFO)
    with caplog.at_level("INFO"):
        await call("PUT", "/racks/x", json={}, headers=BEARER)
        await call("PUT", "/racks/x", json={}, headers={"authorization": "Bearer bad!"})
    assert "operator_call" in caplog.text
    assert TOKEN not in caplog.text
    assert "bad!" not in caplog.text


def test_short_or_missing_token_file_is_rejected(tmp_path: Path) -> None:
    short = tmp_path / "token"
    short.write_text("short\n")
    for path in (short, tmp_path / "missing"):
        with pytest.raises(SettingsError):
            read_token(path)
    short.write_text(TOKEN + "\n")
    assert read_token(short) == TOKEN


async def test_requests_are_rejected_until_the_log_is_replayed() -> None:
    """Guard against a response from a partly replayed log.

    A restarted entry that has not reached the end of the log would report a revision
    in force that is older than the one reported before the restart. The callers'
    listener already rejects requests in this state.
    """
    log = cast(FleetLog, SimpleNamespace(ready=False))
    body = {"name": "north", "slots": 8}
    response = await call("PUT", "/racks/north", log=log, json=body, headers=BEARER)
    assert response.status_code == 503
    assert response.json()["type"].endswith(":not-ready")
    log = cast(FleetLog, SimpleNamespace(ready=True))
    response = await call("PUT", "/racks/north", log=log, json=body, headers=BEARER)
    assert response.status_code == 201
