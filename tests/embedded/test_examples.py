"""Test the example deployments and run a small version of each in one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import httpx
import pytest

import mustardward
from mustardward.cli.files import OrganisationsFile, PoolsFile, TemplateFile
from mustardward.embedded.fleet import async_run_fleet, caller_url
from mustardward.embedded.models import FleetPlan, RunningFleet
from mustardward.embedded.operator import FleetOperator
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.loader import load_model, load_settings
from mustardward.standin.log import LogOptions
from mustardward.standin.platform import PlatformOptions
from mustardward.state.budget_counters import ScopeCount, compute_budget

from ..fakes.driving import DrivenLoopTimers, async_driven

pytestmark = pytest.mark.anyio

EXAMPLES = Path(mustardward.__file__).parent / "settings" / "examples"
DEPLOYMENTS = {"hvelvlogikk": (4, 8, 64, 256), "derwent": (3, 6, 32, 128)}


@pytest.fixture(params=sorted(DEPLOYMENTS))
def deployment(request: pytest.FixtureRequest) -> str:
    """Return the name of an example deployment."""
    name: str = request.param
    return name


def load_pools(deployment: str) -> PoolsFile:
    return load_model(EXAMPLES / f"{deployment}-pools.yaml", PoolsFile)


@asynccontextmanager
async def async_small_fleet(pools: PoolsFile) -> AsyncIterator[RunningFleet]:
    """Run one entry, and one worker per pool, in each data centre."""
    timers = DrivenTimerService()
    data_centres = tuple(dict.fromkeys(rack.data_centre for rack in pools.racks))
    plan = FleetPlan(
        data_centres=data_centres,
        entries=1,
        pools=pools.pools,
        workers=1,
        rack_size=1,
        platform=PlatformOptions(log=LogOptions(appends_per_second=10_000.0)),
    )

    async with (
        async_driven(timers, step_seconds=0.02),
        async_run_fleet(
            plan, timers, lambda tasks: DrivenLoopTimers(timers, tasks)
        ) as fleet,
    ):
        yield fleet


def test_an_example_describes_its_deployment(deployment: str) -> None:
    count, workers, cores, memory = DEPLOYMENTS[deployment]
    settings = load_settings(EXAMPLES / f"{deployment}-entry.yaml")
    pools = load_pools(deployment)
    template = load_model(EXAMPLES / f"{deployment}-template.yaml", TemplateFile)
    instances = pools.instances()
    sizes = Counter((item.data_centre, item.pool) for item in instances)
    racks = Counter(item.rack for item in instances)
    data_centres = {item.data_centre for item in instances}
    assert len(data_centres) == count
    assert {peer.data_centre for peer in settings.peers} == data_centres
    assert len(pools.pools) == 5
    assert set(sizes.values()) == {workers}
    assert max(racks.values()) == 4
    assert len({item.address for item in instances}) == len(instances)
    assert {(item.cores, item.memory_gigabytes) for item in instances} == {
        (cores, memory)
    }
    assert {item.pool for item in template.parameters.services or ()} == set(
        pools.pools
    )


def test_an_example_leaves_a_worker_to_maintain(deployment: str) -> None:
    """Guard against example budgets under which no wave can make progress.

    Minimum availability, headroom and the reserve for the largest rack can together
    exceed a small pool, so that no instance can ever be maintained.
    """
    instances = load_pools(deployment).instances()
    template = load_model(EXAMPLES / f"{deployment}-template.yaml", TemplateFile)
    parameters = template.parameters.to_parameters()
    for scope in {(item.data_centre, item.pool) for item in instances}:
        scope_instances = [
            item for item in instances if (item.data_centre, item.pool) == scope
        ]
        largest = max(Counter(item.rack for item in scope_instances).values())
        count = ScopeCount(len(scope_instances), 0, largest)
        budget = compute_budget("any", parameters, scope[1], scope[0], count)
        assert budget.margin >= 1


async def test_an_example_starts_and_serves_every_service(deployment: str) -> None:
    pools = load_pools(deployment)
    template = load_model(EXAMPLES / f"{deployment}-template.yaml", TemplateFile)
    organisations = load_model(
        EXAMPLES / f"{deployment}-organisations.yaml", OrganisationsFile
    )
    services = [item.service for item in template.parameters.services or ()]
    async with (
        async_small_fleet(pools) as fleet,
        httpx.AsyncClient(trust_env=False, timeout=20.0) as client,
    ):
        operator = FleetOperator(fleet, client)
        await operator.async_register()
        await operator.async_call(
            "POST",
            f"/templates/{template.name}",
            {
                "parameters": template.parameters.model_dump(
                    mode="json", exclude_none=True
                ),
                "wait_seconds": 30,
            },
        )
        for entry in organisations.organisations:
            overrides = entry.overrides.model_dump(mode="json", exclude_none=True)
            body = {"template": entry.template, "overrides": overrides}
            path = f"/organisations/{entry.name}"
            await operator.async_call("PUT", path, {**body, "wait_seconds": 30})
        urls = [caller_url(core) for core in fleet.entries.values()]
        names = [entry.name for entry in organisations.organisations]
        statuses = await async_count_statuses(client, urls, names, services)
    assert statuses == Counter({200: len(urls) * len(names) * len(services)})


async def async_count_statuses(
    client: httpx.AsyncClient,
    urls: Iterable[str],
    organisations: list[str],
    services: list[str],
) -> Counter[int]:
    """Request each service of each organisation from each entry; count statuses."""
    statuses: Counter[int] = Counter()
    for url in urls:
        for organisation in organisations:
            for service in services:
                response = await client.get(f"{url}/{organisation}/{service}/now")
                statuses[response.status_code] += 1
    return statuses
