"""Run the product's main functions on an embedded fleet and report each step."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import httpx

from ..exceptions import MustardwardError
from ..helpers.registry import Registry
from ..helpers.timer import TimerService
from ..load.models import LoadPlan, LoadResult, Target
from ..load.runner import LoadRunner
from ..standin.log import LogOptions
from ..standin.platform import PlatformOptions
from .fleet import TimersFactory, async_run_fleet
from .models import FleetPlan, RunningFleet
from .operator import FleetOperator

DEMO_PLAN: Final = FleetPlan(
    data_centres=("flam", "voss"),
    entries=2,
    pools=("climate", "batch"),
    workers=4,
    rack_size=2,
    platform=PlatformOptions(
        log=LogOptions(), listing_lag_seconds=0.5, reboot_seconds=0.5
    ),
)
WAVE_ROUNDS: Final = 25
ORGANISATIONS: Final = ("gamalost-vik", "brunost-aurland")
TEMPLATE: Final = {
    "services": [
        {"service": "climate", "pool": "climate", "urgency": "urgent"},
        {"service": "batch", "pool": "batch"},
    ],
    "minimum_available": 0.25,
    "quota": {"concurrency": 64, "queue": 256},
}


@dataclass(frozen=True, slots=True)
class DemoLine:
    """Outcome of one step."""

    step: str
    outcome: str
    seconds: float
    succeeded: bool


@dataclass(slots=True, eq=False)
class DemoContext:
    """State shared by the steps of one run."""

    fleet: RunningFleet
    operator: FleetOperator
    timers: TimerService
    lines: list[DemoLine] = field(default_factory=list)
    template_revision: int = 0


class DemoStepError(MustardwardError):
    """Raised when the outcome of a step is not the required one."""

    code = "demo-step-failed"


DemoStep = Callable[[DemoContext], Awaitable[str]]
DEMO_STEPS: Registry[str, DemoStep] = Registry("demo steps")
"""Steps in order; each returns a description of its outcome, or raises."""


async def async_run_demo(
    timers: TimerService, timers_factory: TimersFactory | None = None
) -> list[DemoLine]:
    """Run the steps up to the first failure and return a line for each.

    :param timers_factory: creates the clock of each entry; default real time.
    """
    started = timers.monotonic()
    async with (
        async_run_fleet(DEMO_PLAN, timers, timers_factory) as fleet,
        httpx.AsyncClient(trust_env=False) as client,
    ):
        context = DemoContext(fleet, FleetOperator(fleet, client), timers)
        summary = (
            f"{len(fleet.entries)} entries, {len(fleet.workers)} workers, one process"
        )
        seconds = timers.monotonic() - started
        context.lines.append(DemoLine("start", summary, seconds, True))
        for name in DEMO_STEPS:
            if not await _async_run_step(context, name):
                break
    return context.lines


async def _async_run_step(context: DemoContext, name: str) -> bool:
    started = context.timers.monotonic()
    try:
        outcome = await DEMO_STEPS[name](context)
        succeeded = True
    except (MustardwardError, httpx.HTTPError) as error:
        outcome = f"{type(error).__name__}: {error}"
        succeeded = False
    seconds = context.timers.monotonic() - started
    context.lines.append(DemoLine(name, outcome, seconds, succeeded))
    return succeeded


def require(condition: bool, detail: str) -> None:
    """Fail the step if a condition is false.

    :raises DemoStepError: if the condition is false.
    """
    if not condition:
        raise DemoStepError(detail)


@DEMO_STEPS.register("register")
async def async_register(context: DemoContext) -> str:
    """Register pools and workers."""
    count = await context.operator.async_register()
    return f"{len(DEMO_PLAN.pools)} pools, {count} workers"


@DEMO_STEPS.register("publish")
async def async_publish(context: DemoContext) -> str:
    """Publish a template and wait until it is in force on all entries."""
    body = {"parameters": TEMPLATE, "base_revision": 0, "wait_seconds": 5}
    result = await context.operator.async_call("POST", "/templates/dairy", body)
    require(result["in_force"], f"behind={result['behind']}")
    context.template_revision = result["revision"]
    return f"template dairy, in force at {len(context.fleet.entries)} entries"


@DEMO_STEPS.register("organisations")
async def async_organisations(context: DemoContext) -> str:
    """Create two organisations through two entries."""
    places = zip(ORGANISATIONS, DEMO_PLAN.data_centres, strict=True)
    for name, data_centre in places:
        body = {"template": "dairy", "wait_seconds": 5}
        path = f"/organisations/{name}"
        await context.operator.async_call("PUT", path, body, data_centre)
    return " and ".join(ORGANISATIONS)


@DEMO_STEPS.register("conflict")
async def async_conflict(context: DemoContext) -> str:
    """Revise the template twice from the same base; the second must conflict."""
    base = context.template_revision
    body = {"parameters": {**TEMPLATE, "headroom": 0.1}, "base_revision": base}
    body["wait_seconds"] = 5
    first = await context.operator.async_call("POST", "/templates/dairy", body)
    second = await context.operator.async_request("POST", "/templates/dairy", body)
    require(second.status_code == 409, f"status={second.status_code}")
    return f"revision {first['revision']} in force; a second one got revision-conflict"


@DEMO_STEPS.register("requests")
async def async_requests(context: DemoContext) -> str:
    """Send a mix of urgent, normal and long requests."""
    return describe_load(await async_load(context, seconds=4.0))


@DEMO_STEPS.register("turning order")
async def async_order(context: DemoContext) -> str:
    """Send one non-idempotent request twice with the same idempotency key."""
    responses = []
    for url in context.operator.caller_urls()[:2]:
        responses.append(
            await context.operator.client.post(
                f"{url}/{ORGANISATIONS[0]}/climate/turn",
                content=b"rack 7",
                headers={"idempotency-key": "turn-rack-7"},
            )
        )
    ran = [
        item
        for item in list_worker_executions(context)
        if item["idempotency_key"] == "turn-rack-7" or item["path"].endswith("/turn")
    ]
    statuses = ", ".join(str(response.status_code) for response in responses)
    require(len(ran) == 1, f"ran={len(ran)} statuses={statuses}")
    require(responses[0].status_code == 200, f"{statuses} {responses[0].text}")
    return f"sent twice under one key, answered {statuses}, ran once"


@DEMO_STEPS.register("job")
async def async_job(context: DemoContext) -> str:
    """Submit a long job and wait for its result."""
    program = {"run_seconds": 1.0, "result": "ripe"}
    body = {
        "organisation": ORGANISATIONS[0],
        "service": "batch",
        "payload": json.dumps(program),
    }
    job = await context.operator.async_call("POST", "/jobs", body)
    path = f"/jobs/{job['job_id']}"
    for _ in range(100):
        view = await context.operator.async_call("GET", path)
        if view["status"] == "done":
            return f"done on {view['worker'] or 'a worker'}"
        await context.timers.async_sleep(0.1)
    raise DemoStepError(f"status={view['status']} reason={view['reason']}")


@DEMO_STEPS.register("wave")
async def async_wave(context: DemoContext) -> str:
    """Reboot half of a pool under load, within all budgets."""
    instances = [
        planned.instance_id
        for planned in context.fleet.planned_workers.values()
        if planned.pool == "climate" and planned.rack.endswith("-1")
    ]
    body = {"pools": ["climate"], "instances": instances}
    await context.operator.async_call("POST", "/waves/demo", body)
    answered = 0
    for _ in range(WAVE_ROUNDS):
        result = await async_load(context, seconds=1.0)
        describe_load(result)
        answered += sum(item.answered for item in result.classes.values())
        wave = await context.operator.async_call("GET", "/waves/demo")
        if wave["status"] not in ("scheduled", "running"):
            break
    require(wave["status"] == "done", f"wave={wave}")
    boots = [context.fleet.workers[name].worker.boot for name in instances]
    cut = sum(item["cut"] for item in list_worker_executions(context))
    require(min(boots) == 2, f"boots={boots}")
    require(cut == 0, f"cut={cut}")
    return f"{len(instances)} workers rebooted, {answered} answered meanwhile, none cut"


async def async_load(context: DemoContext, seconds: float) -> LoadResult:
    """Send a mixed load through all entries and return its result."""
    targets = tuple(
        Target(name, service)
        for name in ORGANISATIONS
        for service in ("climate", "batch")
    )
    plan = LoadPlan(context.operator.caller_urls(), targets, rate=60.0, seconds=seconds)
    runner = LoadRunner(plan, context.timers, context.operator.client)
    return await runner.async_run()


def describe_load(result: LoadResult) -> str:
    """Return the result of a load as one line.

    :raises DemoStepError: if nothing was answered, a request failed, an entry was
        unreachable, or a response belonged to another request.
    """
    classes = result.classes.values()
    answered = sum(item.answered for item in classes)
    refused = sum(item.refused_not_run + item.refused_unknown for item in classes)
    failed = sum(item.failed + item.unreachable for item in classes)
    mixed_up = sum(item.mixed_up for item in classes)
    urgent = result.classes["urgent"].summary()
    require(answered > 0 and failed == 0, f"answered={answered} failed={failed}")
    require(mixed_up == 0, f"mixed_up={mixed_up}")
    return (
        f"{answered} answered, {refused} refused, urgent "
        f"p50 {urgent['p50_ms']:.0f} ms p99 {urgent['p99_ms']:.0f} ms"
    )


def list_worker_executions(context: DemoContext) -> list[dict[str, Any]]:
    """Return the executions of all workers."""
    return [
        {
            "idempotency_key": item.idempotency_key,
            "path": item.path,
            "cut": item.cut,
            "request_id": item.request_id,
        }
        for running in context.fleet.workers.values()
        for item in running.worker.executions.list_executions()
    ]
