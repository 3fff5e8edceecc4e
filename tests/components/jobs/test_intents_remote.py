"""Test that a key used in two data centres is decided in one log stream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from mustardward.components.entry.models import Ran
from mustardward.components.entry.protocols import StoredResponse
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.peers.exceptions import PeerUnreachableError
from mustardward.components.retries.idempotency_guard import LogIdempotencyGuard
from mustardward.components.retries.intent_recorder import IntentRecorder
from mustardward.components.retries.key_locator import KeyLocator, incarnation_name
from mustardward.components.retries.remote_intents import (
    RemoteIntentClient,
    serve_recorder,
)
from mustardward.exceptions import PeerOutcomeUnknownError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.pools import Instance
from tests.components.jobs.test_intents import build_facts, settle
from tests.fakes.worklog import FakeWorkLog, SharedLog

pytestmark = pytest.mark.anyio

RESPONSE = StoredResponse(201, "application/json", b"{}")
CENTRES = ("bergen", "voss")


class PeerNetwork:
    """Deliver peer calls, and lose them or their replies on demand."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, type], Any] = {}
        self.partitioned = False
        self.lose_replies = 0

    def connect(self, name: str) -> Any:
        def handle(message_type: type, handler: Any) -> Any:
            self.handlers[(name, message_type)] = handler
            return lambda: None

        async def async_call(member: Member, message: Any, timeout: float) -> Any:
            if self.partitioned:
                raise PeerUnreachableError(member.name)
            reply = await self.handlers[(member.name, type(message))](name, message)
            if self.lose_replies:
                self.lose_replies -= 1
                raise PeerOutcomeUnknownError(member.name)
            return reply

        return SimpleNamespace(handle=handle, async_call=async_call)


@asynccontextmanager
async def running_centres() -> AsyncIterator[SimpleNamespace]:
    """Run two entry nodes in each data centre; yield their guards by node name."""
    timers = DrivenTimerService()
    network = PeerNetwork()
    instances = {
        name: Instance(name, name, "rack", "address", "etching", 1) for name in CENTRES
    }
    fleet: Any = SimpleNamespace(sequence=1, state=SimpleNamespace(instances=instances))
    members = {
        f"{name}-{n}": Member(f"{name}-{n}", name, "", 1, MemberStatus.ALIVE)
        for name in CENTRES
        for n in (1, 2)
    }

    def live(data_centre: str | None = None) -> tuple[Member, ...]:
        return tuple(
            item for item in members.values() if data_centre in (None, item.data_centre)
        )

    world = SimpleNamespace(
        timers=timers, network=network, guards={}, logs={}, live=live
    )
    async with anyio.create_task_group() as tasks:
        shared = {name: SharedLog() for name in CENTRES}
        for name, own in members.items():
            log = FakeWorkLog(shared[own.data_centre], name)
            membership: Any = SimpleNamespace(own=own, live=live)
            key_locator = KeyLocator(own.data_centre, fleet, membership)
            recorder = IntentRecorder(
                log, timers, tasks, incarnation_name(name, 1), key_locator.is_live
            )
            recorder.start()
            serve_recorder(network.connect(name), recorder)
            remote = RemoteIntentClient(network.connect(name), membership, timers)
            world.guards[name] = LogIdempotencyGuard(
                recorder, key_locator, timers, tasks, incarnation_name(name, 1), remote
            )
            world.logs[name] = log
        facts = build_facts(timers)
        world.home = next(iter(world.guards.values())).key_locator.data_centre_of(facts)
        world.away = next(name for name in CENTRES if name != world.home)
        yield world
        tasks.cancel_scope.cancel()


async def test_one_key_in_two_data_centres_is_dispatched_once() -> None:
    """Guard against an order that is dispatched in two data centres.

    The caller's first attempt goes to one data centre and its retry to the other, so a
    single log stream has to decide on the key.
    """
    async with running_centres() as world:
        first = build_facts(world.timers)
        guard = world.guards[f"{world.away}-1"]
        assert (await guard.async_open(first)).unwrap() is None
        assert world.logs[f"{world.away}-1"].state.intents == {}
        await guard.async_close(first, "yes", RESPONSE)
        await settle()
        for name, other in world.guards.items():
            again = await other.async_open(build_facts(world.timers, request_id=name))
            assert again.unwrap() == RESPONSE


async def test_a_data_centre_partitioned_from_a_keys_home_reports_unknown() -> None:
    async with running_centres() as world:
        world.network.partitioned = True
        guard = world.guards[f"{world.away}-1"]
        refusal = (await guard.async_open(build_facts(world.timers))).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-log-out", Ran.UNKNOWN)
        idempotent = build_facts(world.timers, idempotent=True)
        assert (await guard.async_open(idempotent)).unwrap() is None


async def test_a_lost_reply_is_resolved_by_a_retry_at_the_next_entry() -> None:
    async with running_centres() as world:
        world.network.lose_replies = 1
        guard = world.guards[f"{world.away}-1"]
        facts = build_facts(world.timers)
        assert (await guard.async_open(facts)).unwrap() is None
        assert guard.remote.unsure == {}


async def test_an_intent_opened_for_a_lost_reply_is_closed_as_not_run() -> None:
    """Guard against a key that stays `unknown` indefinitely.

    The home opens the intent, all replies are lost and the request is refused; neither
    side can tell that the other won't act, so the intent has to be closed as not run.
    """
    async with running_centres() as world:
        world.network.lose_replies = 2
        guard = world.guards[f"{world.away}-1"]
        refusal = (await guard.async_open(build_facts(world.timers))).failure()
        assert refusal.ran is Ran.UNKNOWN
        for _ in range(4):
            await settle()
            await world.timers.async_advance(2.0)
        await settle()
        local = world.guards[f"{world.home}-1"]
        assert (await local.async_open(build_facts(world.timers))).unwrap() is None


async def test_an_abandoned_intent_granted_by_another_entry_is_not_closed() -> None:
    """Guard against an order that is dispatched twice.

    The first recording entry node loses the stream during the append and abandons the
    intent; the second finds it accepted and grants it, and the request runs. If the
    first then closed the intent as not run, a retry would run too, so only the entry
    node that may dispatch may report that the request wasn't dispatched.
    """
    async with running_centres() as world:
        guard = world.guards[f"{world.away}-1"]
        facts = build_facts(world.timers)
        request = guard._build_request(facts)
        first, second = (world.guards[f"{world.home}-{n}"].recorder for n in (1, 2))
        world.logs[f"{world.home}-1"].lose_next = True
        world.logs[f"{world.home}-1"].cut_off = True
        lost = await first.async_open(request)
        assert lost.unsure and not lost.opened
        given = await second.async_open(replace(request, repeated=True))
        assert given.opened
        world.logs[f"{world.home}-1"].cut_off = False
        world.logs[f"{world.home}-1"].catch_up()
        await settle()
        (intent,) = second.log.state.intents.values()
        assert not intent.closed
