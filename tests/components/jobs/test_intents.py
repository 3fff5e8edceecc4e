"""Test requests with idempotency keys at several entry nodes on one log."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.lowlevel
import pytest
from returns.pipeline import is_successful

from mustardward.components.entry.models import Ran, RequestFacts
from mustardward.components.entry.protocols import StoredResponse
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.retries.idempotency_guard import LogIdempotencyGuard
from mustardward.components.retries.intent_recorder import IntentRecorder
from mustardward.components.retries.key_locator import KeyLocator, incarnation_name
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.templates import Parameters, ServiceBinding, Urgency
from tests.fakes.worklog import FakeWorkLog, SharedLog

pytestmark = pytest.mark.anyio

RESPONSE = StoredResponse(201, "application/json", b"{}")


class FakeMembership:
    """Membership with a fixed set of entry nodes in one data centre."""

    def __init__(self, own: str, names: list[str]) -> None:
        self.names = names
        self.own = build_member(own)

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        return tuple(build_member(name) for name in self.names)


def build_member(name: str) -> Member:
    return Member(name, "dc-1", "127.0.0.1:1", 1, MemberStatus.ALIVE)


def build_facts(timers: DrivenTimerService, **fields: Any) -> RequestFacts:
    values: dict[str, Any] = {
        "request_id": "request-1",
        "organisation": "derwent",
        "service": "orders",
        "pool": "etching",
        "parameters": Parameters(services=(ServiceBinding("orders", "etching"),)),
        "urgency": Urgency.URGENT,
        "idempotent": False,
        "arrived": timers.monotonic(),
        "deadline": timers.monotonic() + 30.0,
        "idempotency_key": "order-7",
        "request_digest": "digest-1",
    }
    return RequestFacts(**(values | fields))


@asynccontextmanager
async def running_guards(*names: str) -> AsyncIterator[SimpleNamespace]:
    """Run an idempotency guard for each entry node on one shared log."""
    world = SimpleNamespace(
        timers=DrivenTimerService(), shared=SharedLog(), guards={}, logs={}, members={}
    )
    async with anyio.create_task_group() as tasks:
        for name in names:
            log = FakeWorkLog(world.shared, name)
            membership = FakeMembership(name, list(names))
            key_locator = KeyLocator("dc-1", None, membership)  # type: ignore[arg-type]
            recorder = IntentRecorder(
                log, world.timers, tasks, incarnation_name(name, 1), key_locator.is_live
            )
            recorder.start()
            guard = LogIdempotencyGuard(
                recorder, key_locator, world.timers, tasks, incarnation_name(name, 1)
            )
            world.guards[name] = guard
            world.logs[name] = log
            world.members[name] = membership
        yield world
        tasks.cancel_scope.cancel()


async def settle() -> None:
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


async def test_the_same_key_at_two_entries_is_dispatched_once() -> None:
    """Guard against an order that ships twice.

    The load balancer sends a caller's retry to another entry node while the first
    attempt still waits. Both nodes may take themselves for the key's home, so the order
    of the log has to decide which one may dispatch.
    """
    async with running_guards("a", "b") as world:
        facts = build_facts(world.timers)
        assert (await world.guards["a"].async_open(facts)).unwrap() is None
        second = []

        async def retry() -> None:
            facts = build_facts(world.timers, request_id="request-2")
            second.append(await world.guards["b"].async_open(facts))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(retry)
            await settle()
            assert second == []
            await world.guards["a"].async_close(facts, "yes", RESPONSE)
        assert second[0].unwrap() == RESPONSE


async def test_a_key_whose_home_is_gone_is_unknown_and_never_dispatched() -> None:
    """Guard against an order that runs twice after its entry node was replaced.

    The node is replaced after the dispatch, the caller retries and the key's new home
    has no outcome; a missing outcome must not be reported as not run.
    """
    async with running_guards("a", "b") as world:
        await world.guards["a"].async_open(build_facts(world.timers))
        world.members["b"].names = ["b"]
        refusal = (
            await world.guards["b"].async_open(build_facts(world.timers))
        ).failure()
        assert refusal.ran is Ran.UNKNOWN
        assert refusal.code == "idempotency-in-progress"


async def test_a_restarted_home_does_not_take_the_old_intent_for_its_own() -> None:
    async with running_guards("a") as world:
        await world.guards["a"].async_open(build_facts(world.timers))
        world.guards["a"].key_locator._membership.live = lambda dc=None: (
            replace(build_member("a"), incarnation=2),
        )
        again = await world.guards["a"].async_open(build_facts(world.timers))
        assert again.failure().ran is Ran.UNKNOWN


async def test_a_home_that_moves_during_a_request_dispatches_it_only_once() -> None:
    """Guard against two entry nodes that run one order.

    An entry node joins and becomes the key's home while the old home still waits for
    the worker; the new home must not dispatch the request again.
    """
    async with running_guards("a", "b", "c") as world:
        facts = build_facts(world.timers)
        world.members["a"].names = ["a"]
        await world.guards["a"].async_open(facts)
        results = []

        async def other(name: str) -> None:
            retry = build_facts(world.timers, request_id=f"at-{name}")
            results.append(await world.guards[name].async_open(retry))

        async with anyio.create_task_group() as tasks:
            for name in ("b", "c"):
                tasks.start_soon(other, name)
            await settle()
            await world.timers.async_advance(6.0)
        assert [item.failure().ran for item in results] == [Ran.UNKNOWN, Ran.UNKNOWN]
        await world.guards["a"].async_close(facts, "yes", RESPONSE)
        await settle()
        stored = await world.guards["c"].async_open(build_facts(world.timers))
        assert stored.unwrap() == RESPONSE


async def test_a_key_with_another_body_is_refused_as_a_mismatch() -> None:
    async with running_guards("a", "b") as world:
        facts = build_facts(world.timers)
        await world.guards["a"].async_open(facts)
        await world.guards["a"].async_close(facts, "yes", RESPONSE)
        await settle()
        other = build_facts(world.timers, request_digest="digest-2")
        refusal = (await world.guards["b"].async_open(other)).failure()
        assert (refusal.code, refusal.status) == ("idempotency-key-mismatch", 422)
        assert refusal.ran is Ran.UNKNOWN


async def test_a_retry_is_dispatched_after_not_run() -> None:
    async with running_guards("a", "b") as world:
        facts = build_facts(world.timers)
        await world.guards["a"].async_open(facts)
        assert world.guards["a"].reportable_ran(facts, Ran.NO) is Ran.NO
        await world.guards["a"].async_close(facts, "no", None)
        await settle()
        assert (await world.guards["b"].async_open(facts)).unwrap() is None


async def test_a_response_too_large_to_store_is_never_replayed_truncated() -> None:
    async with running_guards("a") as world:
        facts = build_facts(world.timers)
        await world.guards["a"].async_open(facts)
        large = StoredResponse(200, "text/plain", b"x" * 5000)
        await world.guards["a"].async_close(facts, "yes", large)
        await settle()
        refusal = (await world.guards["a"].async_open(facts)).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-already-done", Ran.YES)


async def test_a_refusal_without_a_current_log_tail_is_unknown() -> None:
    """Guard against a refusal that reports `not run` for an order that ships.

    Entry node a opens the key and is replaced; b is disconnected from the log before it
    reads that, and refuses the caller's retry. Records that b hasn't read must not be
    taken for missing.
    """
    async with running_guards("a", "b") as world:
        facts = build_facts(world.timers)
        world.logs["b"].cut_off = True
        await world.guards["a"].async_open(facts)
        refusal = (await world.guards["b"].async_open(facts)).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-log-out", Ran.UNKNOWN)
        assert world.guards["b"].reportable_ran(facts, Ran.NO) is Ran.UNKNOWN


async def test_a_refused_append_with_a_confirmed_tail_is_not_run() -> None:
    async with running_guards("a") as world:
        facts = build_facts(world.timers)
        world.shared.out = True

        async def confirm(seconds: float) -> bool:
            return True

        world.logs["a"].async_confirm_tail = confirm
        refusal = (await world.guards["a"].async_open(facts)).failure()
        assert refusal.ran is Ran.NO


async def test_an_idempotent_request_is_served_without_its_key_as_unknown() -> None:
    async with running_guards("a") as world:
        world.shared.out = True
        facts = build_facts(world.timers, idempotent=True)
        assert (await world.guards["a"].async_open(facts)).unwrap() is None
        assert world.guards["a"].reportable_ran(facts, Ran.NO) is Ran.UNKNOWN


async def test_an_intent_whose_append_lost_its_reply_frees_its_key() -> None:
    """Guard against a key that stays `unknown` indefinitely although it never ran.

    The append of the intent loses its reply, the request is refused and the record is
    applied after that; the entry node that proposed the late intent has to close it.
    """
    async with running_guards("a", "b") as world:
        facts = build_facts(world.timers)
        world.logs["a"].cut_off = True
        log = world.logs["a"]
        log.lose_next = True
        refusal = (await world.guards["a"].async_open(facts)).failure()
        assert refusal.ran is Ran.UNKNOWN
        log.cut_off = False
        log.catch_up()
        await settle()
        assert is_successful(await world.guards["b"].async_open(facts))


async def test_a_caller_that_disconnects_during_the_append_frees_its_key() -> None:
    async with running_guards("a") as world:
        facts = build_facts(world.timers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.guards["a"].async_open, facts)
            await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        assert world.guards["a"].recorder._proposed == {}
        await settle()
        assert (await world.guards["a"].async_open(facts)).unwrap() is None


async def test_intents_are_closed_after_an_outage_of_the_log() -> None:
    async with running_guards("a") as world:
        facts = build_facts(world.timers)
        await world.guards["a"].async_open(facts)
        world.shared.out = True
        await world.guards["a"].async_close(facts, "yes", RESPONSE)
        await settle()
        world.shared.out = False
        await world.timers.async_advance(3.0)
        await settle()
        assert (await world.guards["a"].async_open(facts)).unwrap() == RESPONSE
