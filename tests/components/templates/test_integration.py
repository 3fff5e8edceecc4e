"""Test publishing with two entries, a real log and the stand-in platform."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from importlib import import_module
from typing import Any

import anyio
import pytest

from mustardward.components.api.routes import ApiRequest, ApiResponse
from mustardward.components.keys import DIRECTORY, FLEET_LOG, MEMBERSHIP
from mustardward.components.templates import api, fleet_api, organisations_api
from mustardward.components.templates.api_models import OrganisationModel, PublishModel
from mustardward.core import Core, async_setup_components
from mustardward.exceptions import MustardwardError, PlatformUnavailableError
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PeerAddress,
    PlatformSettings,
    Settings,
)
from mustardward.standin.protocol.http import PlatformHttp
from mustardward.state.fold import RevisionConflictError

from ...fakes.driving import CallsInFlight, async_drive_until
from ...fakes.platform import PlatformBench, async_platform_bench

pytestmark = pytest.mark.anyio

APPENDS = CallsInFlight()
DOMAINS = ("platform", "peers", "membership", "log", "templates")
PARAMETERS = {"services": [{"service": "climate", "pool": "cellar"}]}


@pytest.fixture(autouse=True)
def _count_appends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        PlatformHttp, "async_send", APPENDS.wrap(PlatformHttp.async_send)
    )


def build_settings(
    name: str, data_centre: str, url: str, seeds: tuple[PeerAddress, ...]
) -> Settings:
    return Settings(
        entry=EntryIdentity(name=name, data_centre=data_centre),
        callers=Listener(port=0),
        peers=seeds,
        platform=PlatformSettings(url=url),
    )


@asynccontextmanager
async def async_entry(bench: PlatformBench, settings: Settings) -> AsyncIterator[Core]:
    """Set up the components of an entry that publishing needs."""
    async with anyio.create_task_group() as tasks:
        core = Core(settings, bench.timers, tasks)
        for domain in DOMAINS:
            import_module(f"mustardward.components.{domain}")
        unloads = await async_setup_components(core, DOMAINS)
        yield core
        for unload in unloads:
            await unload()
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def async_two_entries(bench: PlatformBench) -> AsyncIterator[tuple[Core, Core]]:
    """Set up entries in two data centres; the first is the second one's seed."""
    first_settings = build_settings("entry-1", "dc-1", bench.url, ())
    async with async_entry(bench, first_settings) as first:
        host, _, port = first.get(MEMBERSHIP).own.address.rpartition(":")
        seed = PeerAddress(name="entry-1", data_centre="dc-1", host=host, port=port)
        second_settings = build_settings("entry-2", "dc-2", bench.url, (seed,))
        async with async_entry(bench, second_settings) as second:
            both = (first, second)
            await async_drive(
                bench,
                lambda: all(
                    core.get(FLEET_LOG).ready and len(core.get(MEMBERSHIP).live()) == 2
                    for core in both
                ),
            )
            yield both


async def async_drive(bench: PlatformBench, condition: Callable[[], bool]) -> None:
    """Advance the clock during the loopback traffic until a condition holds."""
    await async_drive_until(bench.timers, condition, APPENDS)


async def async_call(
    bench: PlatformBench,
    handler: Callable[[ApiRequest], Awaitable[ApiResponse]],
    core: Core,
    model: Any = None,
    **path: str,
) -> ApiResponse:
    """Call a handler while the clock advances and return its response."""
    outcomes: list[ApiResponse | MustardwardError] = []

    async def call() -> None:
        try:
            outcomes.append(
                await handler(ApiRequest(core, "operator", path, {}, model))
            )
        except MustardwardError as error:
            outcomes.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await async_drive(bench, lambda: bool(outcomes))
    if isinstance(outcomes[0], MustardwardError):
        raise outcomes[0]
    return outcomes[0]


async def test_template_is_in_force_at_both_entries_when_publishing_returns() -> None:
    model = PublishModel.model_validate({"parameters": PARAMETERS, "wait_seconds": 5})
    organisation = OrganisationModel(template="dairy", wait_seconds=5)
    async with (
        async_platform_bench() as bench,
        async_two_entries(bench) as (first, second),
    ):
        await async_call(bench, fleet_api.async_put_pool, first, name="cellar")
        published = await async_call(
            bench, api.async_publish, first, model, name="dairy"
        )
        created = await async_call(
            bench, organisations_api.async_put, second, organisation, name="vik"
        )
        found = first.get(DIRECTORY).resolve("vik", "climate").unwrap()
        status = await async_call(bench, api.async_status, second, name="dairy")
    assert published.body["in_force"] and created.body["in_force"]
    assert found.organisation.template_revision == published.body["revision"]
    assert status.body["in_force_everywhere"] is True
    assert [item["entry"] for item in status.body["entries"]] == ["entry-1", "entry-2"]


async def test_one_of_two_concurrent_changes_is_a_conflict() -> None:
    """Guard against a revision that is lost.

    Two operators publish at two entries, both based on revision 0. Both records are
    appended; if an append counts as acceptance, both operators are told of success.
    """
    model = PublishModel.model_validate({"parameters": PARAMETERS})
    outcomes: list[ApiResponse | MustardwardError] = []
    async with (
        async_platform_bench() as bench,
        async_two_entries(bench) as (first, second),
    ):
        await async_call(bench, fleet_api.async_put_pool, first, name="cellar")

        async def publish(core: Core) -> None:
            request = ApiRequest(core, "operator", {"name": "dairy"}, {}, model)
            try:
                outcomes.append(await api.async_publish(request))
            except MustardwardError as error:
                outcomes.append(error)

        first.tasks.start_soon(publish, first)
        second.tasks.start_soon(publish, second)
        await async_drive(bench, lambda: len(outcomes) == 2)
    conflicts = [item for item in outcomes if isinstance(item, RevisionConflictError)]
    assert len(conflicts) == 1
    assert sum(isinstance(item, ApiResponse) for item in outcomes) == 1


@pytest.mark.parametrize(
    ("fault", "appends"), [({"lose_answers": 1}, 1), ({"late_appends": 1}, 2)]
)
async def test_lost_response_does_not_publish_twice(
    fault: dict[str, int], appends: int
) -> None:
    """Guard against one request that publishes twice or conflicts with itself.

    The append takes effect at once or a second later and its response is lost. It is
    appended again unless it has been applied already, so both need the same record id.
    """
    model = PublishModel.model_validate({"parameters": PARAMETERS})
    async with (
        async_platform_bench() as bench,
        async_two_entries(bench) as (first, _),
    ):
        await async_call(bench, fleet_api.async_put_pool, first, name="cellar")
        log = bench.platform.log
        expected = log.counts()["appends"] + appends
        log.faults.change(**fault)
        published = await async_call(
            bench, api.async_publish, first, model, name="dairy"
        )
        await async_drive(bench, lambda: log.counts()["appends"] == expected)
        await bench.timers.async_advance(1.0)
        history = await async_call(bench, api.async_history, first, name="dairy")
        left = log.faults.active
    assert (left.lose_answers, left.late_appends) == (0, 0)
    assert log.counts()["appends"] == expected
    assert [item["revision"] for item in history.body] == [published.body["revision"]]


async def test_publishing_in_an_outage_has_no_effect() -> None:
    """Guard against a change reported as failed that takes effect later.

    The log is unavailable and the entry stops retrying. If the record can still be
    appended afterwards, the operator's retry conflicts with it.
    """
    model = PublishModel.model_validate({"parameters": PARAMETERS})
    async with (
        async_platform_bench() as bench,
        async_two_entries(bench) as (first, _),
    ):
        await async_call(bench, fleet_api.async_put_pool, first, name="cellar")
        bench.platform.log.faults.change(outage=True)
        with pytest.raises(PlatformUnavailableError):
            await async_call(bench, api.async_publish, first, model, name="dairy")
        bench.platform.log.faults.change(outage=False)
        published = await async_call(
            bench, api.async_publish, first, model, name="dairy"
        )
        history = await async_call(bench, api.async_history, first, name="dairy")
    assert [item["revision"] for item in history.body] == [published.body["revision"]]
