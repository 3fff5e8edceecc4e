"""Call the operators' interface."""

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
    **more: object,
) -> httpx.Response:
    async with anyio.create_task_group() as tasks:
        core = Core(build_settings(), DrivenTimerService(), tasks)
        if log is not None:
            core.put(FLEET_LOG, log)
        server = OperatorServer(core, ROUTES, TokenCheck(token))
        transport = httpx.ASGITransport(server.application())
        async with httpx.AsyncClient(transport=transport, base_url="http://o") as http:
            return await http.request(method, path, **more)  # type: ignore[arg-type]


async def test_a_call_reaches_its_handler_with_model_and_actor() -> None:
    headers = {**BEARER, "mw-actor": "dawn-shift"}
    answer = await call(
        "PUT", "/racks/north", json={"name": "north", "slots": 8}, headers=headers
    )
    assert (answer.status_code, answer.json()) == (
        201,
        {"actor": "dawn-shift", "slots": 8},
    )


@pytest.mark.parametrize("authorization", [None, "Bearer wrong", TOKEN, "Bearer "])
async def test_a_wrong_token_opens_nothing(authorization: str | None) -> None:
    """Let in nobody without the token.

    Symptom: a stranger revises templates. Sequence: a call comes without the token, or
    with part of it. Cause: the check is missing on some route or compares too little.
    """
    headers = {} if authorization is None else {"authorization": authorization}
    for path in ("/racks/north", "/openapi.json", "/"):
        method = "PUT" if path.startswith("/racks") else "GET"
        answer = await call(method, path, headers=headers)
        assert answer.status_code == 401
        assert answer.json()["type"] == "urn:mustardward:problem:token-invalid"
        assert answer.headers["www-authenticate"] == "Bearer"


@pytest.mark.parametrize(
    ("name", "status", "code", "ran"),
    [
        ("conflict", 409, "revision-conflict", "no"),
        ("stale", 409, "stale-generation", "no"),
        ("lost", 504, "platform-outcome-unknown", "unknown"),
        ("defect", 500, "internal-error", "unknown"),
    ],
)
async def test_failures_become_problems_with_their_code(
    name: str, status: int, code: str, ran: str
) -> None:
    body = {"name": name, "slots": 1}
    answer = await call("PUT", f"/racks/{name}", json=body, headers=BEARER)
    document = answer.json()
    assert (answer.status_code, document["ran"]) == (status, ran)
    assert document["type"].endswith(":" + code)
    assert "inner text" not in answer.text


async def test_a_wrong_body_lists_every_fault_without_its_values() -> None:
    body = {"name": 4, "slots": "secret", "colour": "red"}
    answer = await call("PUT", "/racks/north", json=body, headers=BEARER)
    assert answer.status_code == 422
    assert [fault["key"] for fault in answer.json()["faults"]] == [
        "name",
        "slots",
        "colour",
    ]
    assert "secret" not in answer.text


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


async def test_callers_never_reach_the_operators_interface() -> None:
    async with running_entry(respond_ok) as (entry, (worker,)):
        async with httpx.AsyncClient(base_url=entry.url) as http:
            for path in ("/openapi.json", "/racks/north", "/"):
                answer = await http.put(path, headers=BEARER)
                assert answer.json()["ran"] == "no"
                assert answer.status_code == 404
    assert worker.requests == []


async def test_no_secret_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    absl_logging.set_verbosity(absl_logging.INFO)
    with caplog.at_level("INFO"):
        await call("PUT", "/racks/x", json={}, headers=BEARER)
        await call("PUT", "/racks/x", json={}, headers={"authorization": "Bearer bad!"})
    assert "operator_call" in caplog.text
    assert TOKEN not in caplog.text
    assert "bad!" not in caplog.text


def test_a_short_or_missing_token_file_is_refused(tmp_path: Path) -> None:
    short = tmp_path / "token"
    short.write_text("short\n")
    for path in (short, tmp_path / "missing"):
        with pytest.raises(SettingsError):
            read_token(path)
    short.write_text(TOKEN + "\n")
    assert read_token(short) == TOKEN


async def test_a_state_that_is_still_being_read_is_not_shown() -> None:
    """Answer operators from a whole state only.

    Symptom: an entry that was replaced shows revision 21 in force, seconds after its
    predecessor showed 40. Sequence: it starts, folds the log's first entries, and is
    asked before it reaches the tail. Cause: the operators' interface answered from
    whatever was folded, while the callers' port already refused.
    """
    log = cast(FleetLog, SimpleNamespace(ready=False))
    body = {"name": "north", "slots": 8}
    answer = await call("PUT", "/racks/north", log=log, json=body, headers=BEARER)
    assert answer.status_code == 503
    assert answer.json()["type"].endswith(":not-ready")
    log = cast(FleetLog, SimpleNamespace(ready=True))
    answer = await call("PUT", "/racks/north", log=log, json=body, headers=BEARER)
    assert answer.status_code == 201
