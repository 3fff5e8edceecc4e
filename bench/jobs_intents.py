"""Measure intents against the log's append budget, in driven time."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import anyio
import anyio.lowlevel

from mustardward.components.entry.models import RequestFacts
from mustardward.components.entry.protocols import StoredResponse
from mustardward.components.retries.idempotency_guard import LogIdempotencyGuard
from mustardward.components.retries.intent_recorder import IntentRecorder
from mustardward.components.retries.key_locator import KeyLocator, incarnation_name
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.fold import Fold
from mustardward.state.handlers.all import WORK_HANDLERS
from mustardward.state.log import FoldedLog
from mustardward.state.models.jobs import CloseIntent, OpenIntent
from mustardward.state.models.templates import Parameters, Urgency
from mustardward.state.options import LogOptions
from mustardward.state.records import encode_batch, make_record
from mustardward.state.streams import work_spec
from mustardward.state.work import WorkState
from tests.fakes.log import FakeLog

STEP_SECONDS = 0.01
ANSWER = StoredResponse(200, "application/json", b'{"order": 7}')


@dataclass(frozen=True, slots=True)
class IntentFigures:
    """Hold what one commit window cost; seconds are driven ones."""

    window_seconds: float
    entries: int
    offered: int
    opened: int
    appends: int
    open_p50: float
    open_p99: float


@asynccontextmanager
async def _gates(
    entries: int, window: float, timers: DrivenTimerService, service: FakeLog
) -> AsyncIterator[list[LogIdempotencyGuard]]:
    async with anyio.create_task_group() as group:
        gates = []
        for number in range(entries):
            options = LogOptions(append_interval_seconds=window)
            log = FoldedLog(work_spec("dc-1"), service, timers, options, Random(number))
            group.start_soon(log.async_run)
            key_locator = KeyLocator("dc-1", None, None)
            identity = incarnation_name(f"entry-{number}", 1)
            recorder = IntentRecorder(log, timers, group, identity, key_locator.is_live)
            recorder.start()
            gate = LogIdempotencyGuard(recorder, key_locator, timers, group, identity)
            gates.append(gate)
        yield gates
        group.cancel_scope.cancel()


async def async_measure_window(
    window: float, entries: int, rate: int, seconds: int
) -> IntentFigures:
    """Offer keyed requests at a rate to some entries of one data centre."""
    timers = DrivenTimerService()
    service = FakeLog()
    waits: list[float] = []
    async with _gates(entries, window, timers, service) as gates:
        await _async_step(timers)

        async def async_request(number: int) -> None:
            gate = gates[number % entries]
            facts = _facts(number, timers.monotonic())
            opened = await gate.async_open(facts)
            opened.unwrap()
            waits.append(timers.monotonic() - facts.arrived)
            await gate.async_close(facts, "yes", ANSWER)

        async with anyio.create_task_group() as group:
            for number in range(rate * seconds):
                while timers.monotonic() < 1_000_000.0 + number / rate:
                    await _async_step(timers)
                group.start_soon(async_request, number)
            while len(waits) < rate * seconds:
                await _async_step(timers)
    ordered = sorted(waits)
    return IntentFigures(
        window,
        entries,
        rate * seconds,
        len(waits),
        service.appends,
        ordered[len(ordered) // 2],
        ordered[int(len(ordered) * 0.99)],
    )


def measure_fold(count: int) -> float:
    """Return the processor seconds that one node spends to fold one keyed request."""
    fold: Fold[WorkState] = Fold(WorkState(), WORK_HANDLERS)
    payloads = []
    for number in range(count):
        opened = OpenIntent("derwent", f"order-{number}", "digest", "entry-1/1")
        close = CloseIntent(
            "derwent",
            f"order-{number}",
            "entry-1/1",
            "yes",
            200,
            ANSWER.content_type,
            ANSWER.body,
            2 * number + 1,
        )
        payloads.append(
            encode_batch(
                [
                    make_record(body, record_id=f"{number}/{kind}", actor="a", stamp=0)
                    for kind, body in (("open", opened), ("close", close))
                ]
            )
        )
    began = time.process_time()
    for offset, payload in enumerate(payloads):
        fold.apply(offset, payload)
    spent = time.process_time() - began
    closed = sum(intent.closed for intent in fold.state.intents.values())
    if closed != min(count, len(fold.state.intents)):
        raise AssertionError("an intent was not closed")
    return spent / count


async def _async_step(timers: DrivenTimerService) -> None:
    await timers.async_advance(STEP_SECONDS)
    for _ in range(30):
        await anyio.lowlevel.checkpoint()


def _facts(number: int, now: float) -> RequestFacts:
    return RequestFacts(
        request_id=f"request-{number}",
        organisation="derwent",
        service="orders",
        pool="etching",
        parameters=Parameters(),
        urgency=Urgency.URGENT,
        idempotent=False,
        arrived=now,
        deadline=now + 30.0,
        idempotency_key=f"order-{number}",
        request_digest="digest",
    )
