"""Test the job commands against the operators' routes."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from click.testing import CliRunner, Result

from mustardward.cli.client import OperatorClient
from mustardward.cli.main import main
from mustardward.components.api.problems import problem_status
from mustardward.components.jobs import api  # noqa: F401
from mustardward.components.jobs.errors import JobQuotaError
from mustardward.components.keys import JOBS, WORK_LOG
from mustardward.exceptions import MustardwardError
from mustardward.state.handlers.work_errors import JobUnknownError
from tests.fakes.jobs_world import JobsWorld
from tests.fakes.routes import async_route


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> JobsWorld:
    """Return a fake environment that the commands reach without a network."""
    world = JobsWorld()
    entry = world.add_entry("a")
    found = {JOBS: entry.service, WORK_LOG: entry.log}
    core: Any = SimpleNamespace(get=found.__getitem__)

    def call(self: OperatorClient, method: str, path: str, **options: Any) -> Any:
        return anyio.run(async_route, core, method, path, options.get("body"))

    monkeypatch.setattr(OperatorClient, "call", call)
    return world


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["job", *arguments])


def test_job_is_submitted_and_its_result_fetched(
    world: JobsWorld, tmp_path: Path
) -> None:
    payload = tmp_path / "plan.bin"
    payload.write_bytes(b"\x00plan")
    submitted = run(
        "submit", "derwent", "plans", "--id", "plan-1", "--payload", str(payload)
    )
    assert submitted.output == "job=derwent.plan-1 status=waiting\n"
    state = world.entries["a"].log.state
    assert state.jobs["derwent.plan-1"].payload == b"\x00plan"
    assert run("result", "derwent.plan-1").exit_code == 1
    anyio.run(world.async_run, 60)
    assert "done" in run("status", "derwent.plan-1").output
    assert run("result", "derwent.plan-1").output == "done"


def test_parked_jobs_are_listed_and_retried(world: JobsWorld) -> None:
    for worker in world.workers.at.values():
        worker.fails = True
    run("submit", "derwent", "plans", "--id", "plan-1")
    anyio.run(world.async_run, 120)
    listed = run("list").output
    assert "derwent.plan-1" in listed and "parked" in listed
    assert run("retry", "derwent.plan-1").output.endswith("status=waiting\n")


def test_job_and_group_are_cancelled(world: JobsWorld) -> None:
    for number in range(3):
        run("submit", "derwent", "plans", "--id", f"p{number}", "--group", "spring")
    assert run("cancel", "derwent.p0").output == "job=derwent.p0 status=cancelled\n"
    cancelled = run("cancel", "--organisation", "derwent", "--group", "spring")
    assert cancelled.output == "group=spring jobs=2\n"
    assert run("cancel").exit_code == 2


def test_responses_are_printed_as_json(world: JobsWorld) -> None:
    submitted = run("submit", "derwent", "plans", "--id", "p1", "--output", "json")
    assert json.loads(submitted.output)["job_id"] == "derwent.p1"
    cancelled = run("cancel", "derwent.p1", "--output", "json")
    assert json.loads(cancelled.output)["status"] == "cancelled"
    group = run(
        "cancel", "--organisation", "derwent", "--group", "g", "--output", "json"
    )
    assert json.loads(group.output)["note"] == "jobs=0"


def test_refusals_have_distinct_statuses() -> None:
    errors: tuple[MustardwardError, ...] = (JobUnknownError(), JobQuotaError())
    assert [problem_status(error) for error in errors] == [404, 429]
