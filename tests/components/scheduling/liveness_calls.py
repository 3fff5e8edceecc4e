"""Simulate an owner's calls to model workers with faults, and the advice service."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from mustardward.platform.advice import StepAdvice
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.workers import (
    START_TIMEOUT_SECONDS,
    StartRequest,
    StartResponse,
    TaskName,
    WorkerReport,
)

from .liveness_world import ModelWorker, World

CALL_SECONDS = 0.004
MAX_RESPONSE_SECONDS = 0.02
"""Longest time that a response is in flight."""
ADVICE_SECONDS = 0.1
TICKET_SECONDS = (2.0, 60.0)
"""Validity of tickets, drawn for each response."""

OUTCOMES = ("lost", "executed", "late", "refused", "slow")


class ModelClient:
    """Simulate the calls of one owner to one worker."""

    def __init__(self, world: World, worker_id: str, token: int) -> None:
        self._world = world
        self._id = worker_id
        self._token = token

    async def async_start(self, order: StartRequest) -> StartResponse:
        world = self._world

        def execute(worker: ModelWorker) -> str:
            return world.begin(worker, order, self._token, world.now)

        reason = await self._async_call(execute, refusable=True)
        worker = world.workers[self._id]
        return StartResponse(worker.clock_ms(world.now), reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        world = self._world

        def execute(worker: ModelWorker) -> str:
            worker.check_token(self._token)
            worker.stop(task, run, world.now)
            return ""

        await self._async_call(execute, refusable=False)

    async def async_set_speed(self, task: TaskName, run: int, percent: int) -> None:
        await anyio.sleep(CALL_SECONDS)

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        world = self._world
        worker = await self._async_reach()
        worker.check_token(self._token)
        if deadline_ms is not None:
            worker.renew(deadline_ms, world.now)
        worker.ended = [end for end in worker.ended if end.number > seen_upto]
        await worker.async_wait(wait_ms / 1000)
        lost = world.faults_enabled and world.rng.random() < 0.02
        if lost or worker.unreachable or world.workers.get(self._id) is not worker:
            await anyio.sleep(START_TIMEOUT_SECONDS)
            raise CallUnknownError("lost")
        answer = worker.answer(seen_upto, world.now)
        # A run in the response may have ended before the owner reads it.
        await anyio.sleep(world.rng.uniform(0, MAX_RESPONSE_SECONDS))
        return answer

    async def _async_reach(self) -> ModelWorker:
        await anyio.sleep(CALL_SECONDS)
        worker = self._world.workers.get(self._id)
        if worker is None or worker.unreachable:
            await anyio.sleep(START_TIMEOUT_SECONDS)
            raise CallUnknownError("no answer")
        return worker

    async def _async_call(
        self, execute: Callable[[ModelWorker], str], refusable: bool
    ) -> str:
        world = self._world
        outcome = "answered"
        if world.faults_enabled and world.rng.random() < 0.15:
            outcome = world.rng.choice(OUTCOMES)
        target = world.workers.get(self._id)
        if refusable and target is not None and target.ignores_starts:
            outcome = world.rng.choice(("lost", "late"))
        if outcome == "late":
            world.delay_call(lambda: self._execute_late(execute))
        if outcome == "slow":
            await anyio.sleep(world.rng.uniform(0.2, 0.34))
        worker = await self._async_reach()
        if outcome == "refused" and refusable:
            raise CallRefusedError("status=503")
        if outcome in ("lost", "late"):
            await anyio.sleep(START_TIMEOUT_SECONDS)
            raise CallUnknownError("no answer")
        reason = execute(worker)
        if outcome == "executed":
            await anyio.sleep(START_TIMEOUT_SECONDS)
            raise CallUnknownError("no answer")
        return reason

    def _execute_late(self, execute: Callable[[ModelWorker], str]) -> None:
        worker = self._world.workers.get(self._id)
        if worker is not None:
            execute(worker)


class ModelAdvice:
    """Simulate the service that knows which workers may run a step."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def async_request_advice(
        self,
        job: str,
        occurrence: int,
        step: int,
        workers: list[str],
        timeout_seconds: float,
    ) -> StepAdvice:
        world = self._world
        draw = world.rng.random() if world.faults_enabled else 0.5
        await anyio.sleep(ADVICE_SECONDS)
        if draw < 0.1:
            raise CallRefusedError("status=429")
        if draw > 0.9:
            await anyio.sleep(timeout_seconds)
            raise CallRefusedError("no answer")
        seconds = world.rng.choice(TICKET_SECONDS)
        key = (job, occurrence, step)
        tickets = {}
        for name in workers:
            worker = world.workers.get(name)
            if worker is not None and world.allows(key, worker):
                tickets[name] = "t"
                world.tickets[key, name, worker.started_at] = world.now + seconds
        return StepAdvice(tickets, 1000 * seconds)
