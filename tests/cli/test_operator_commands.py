"""Test the operator commands against an entry in another thread."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread
import pytest
from click.testing import CliRunner, Result

from mustardward.cli.main import main
from mustardward.cli.registration import register
from mustardward.embedded.fleet import async_run_fleet, operator_url
from mustardward.embedded.models import FleetPlan
from mustardward.helpers.timer import LoopTimerService

TEMPLATE = """
name: dairy
parameters:
  services:
    - {service: climate, pool: climate, urgency: urgent}
"""
POOLS = """
pools: [climate]
racks:
  - data_centre: flam
    rack: flam-climate-1
    pool: climate
    addresses: ["127.0.0.1:9", "127.0.0.1:10"]
"""


@asynccontextmanager
async def async_entry() -> AsyncIterator[str]:
    plan = FleetPlan(("flam",), entries=1, workers=0)
    async with anyio.create_task_group() as tasks:
        async with async_run_fleet(plan, LoopTimerService(tasks)) as fleet:
            yield operator_url(fleet.first_entry())
        tasks.cancel_scope.cancel()


@pytest.fixture(scope="module")
def server() -> Iterator[str]:
    """Run one entry for all tests in this module."""
    with (
        anyio.from_thread.start_blocking_portal("asyncio") as portal,
        portal.wrap_async_context_manager(async_entry()) as url,
    ):
        yield url


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """Write an operator's files."""
    (tmp_path / "dairy.yaml").write_text(TEMPLATE)
    (tmp_path / "pools.yaml").write_text(POOLS)
    return tmp_path


def run(server: str, *arguments: str) -> Result:
    return CliRunner().invoke(main, [*arguments, "--server", server])


def parse_output(result: Result) -> Any:
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def test_fleet_is_registered_published_and_shown(server: str, files: Path) -> None:
    """Follow docs/operators/first-organisation.md."""
    arguments = [str(files / "pools.yaml"), "--output", "json", "--server", server]
    first = parse_output(CliRunner().invoke(register, arguments))
    again = parse_output(CliRunner().invoke(register, arguments))
    template = str(files / "dairy.yaml")
    published = parse_output(
        run(server, "template", "publish", template, "--output", "json")
    )
    created = parse_output(
        run(
            server, "organisation", "create", "vik", "--template", "dairy",
            "--output", "json",
        )
    )  # fmt: skip
    listed = run(server, "organisation", "list")
    status = run(server, "template", "status", "dairy")
    assert [item["instance_id"] for item in first] == [
        "flam-climate-1-1",
        "flam-climate-1-2",
    ]
    assert all(item["unchanged"] for item in again)
    assert published["in_force"] and created[0]["in_force"]
    assert "vik" in listed.stdout and "climate" in listed.stdout
    assert status.stdout.splitlines()[1].startswith("flam-1")


def test_revision_requires_the_current_base(server: str, files: Path) -> None:
    """Guard against a lost revision.

    If a command used the current revision as its base, the later of two operators who
    revise the same base would overwrite the other's change.
    """
    path = files / "attic.yaml"
    path.write_text(TEMPLATE.replace("dairy", "attic"))
    CliRunner().invoke(register, [str(files / "pools.yaml"), "--server", server])
    revision = parse_output(
        run(server, "template", "publish", str(path), "--output", "json")
    )["revision"]
    base = ("--base", str(revision))
    without = run(server, "template", "revise", str(path))
    revised = run(server, "template", "revise", str(path), *base)
    late = run(server, "template", "revise", str(path), *base)
    history = parse_output(
        run(server, "template", "history", "attic", "--output", "json")
    )
    assert without.exit_code == 2
    assert revised.exit_code == 0
    assert late.exit_code == 1
    assert "revision-conflict" in late.stderr
    assert len(history) == 2


def test_repeated_record_id_takes_effect_once(server: str, files: Path) -> None:
    path = files / "cave.yaml"
    path.write_text(TEMPLATE.replace("dairy", "cave"))
    CliRunner().invoke(register, [str(files / "pools.yaml"), "--server", server])
    arguments = ("template", "publish", str(path), "--record-id", "wish-1")
    first = parse_output(run(server, *arguments, "--output", "json"))
    second = run(server, *arguments, "--output", "json")
    history = parse_output(
        run(server, "template", "history", "cave", "--output", "json")
    )
    assert [item["revision"] for item in history] == [first["revision"]]
    assert parse_output(second)["revision"] == first["revision"]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name: dairy\nparameters: {headrom: 0.1}\n", ":2: parameters.headrom:"),
        ("name: dairy\nname: cave\nparameters: {}\n", ":2: name: each key once"),
        ("name: [dairy\n", "valid YAML"),
    ],
)
def test_invalid_file_is_reported_with_its_line(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    result = run("http://127.0.0.1:9", "template", "publish", str(path))
    assert result.exit_code == 2
    assert f"{path}" in result.stderr
    assert expected in result.stderr


def test_unknown_pool_is_refused(server: str, files: Path) -> None:
    path = files / "moon.yaml"
    path.write_text(
        TEMPLATE.replace("dairy", "moon").replace("pool: climate", "pool: moon")
    )
    result = run(server, "template", "publish", str(path))
    assert result.exit_code == 1
    assert "pool-unknown" in result.stderr
