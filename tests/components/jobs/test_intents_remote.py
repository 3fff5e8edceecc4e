"""Keep a key that arrives in two data centres in one stream."""

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
from mustardward.components.retries.intents import LogIntentGate
from mustardward.components.retries.intents_home import KeyHomes, home_name
from mustardward.components.retries.intents_recorder import IntentRecorder
from mustardward.components.retries.intents_remote import (
    RemoteRecorders,
    serve_recorder,
)
from mustardward.exceptions import PeerOutcomeUnknownError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.pools import Instance
from tests.components.jobs.test_intents import build_facts, settle
from tests.fakes.worklog import FakeWorkLog, SharedLog

pytestmark = pytest.mark.anyio

ANSWER = StoredResponse(201, "application/json", b"{}")
CENTRES = ("bergen", "voss")


class Wire:
    """Carry peer calls, and lose them or their answers on demand."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, type], Any] = {}
        self.cut = False
        self.lose_answers = 0

    def of(self, name: str) -> Any:
        def handle(message_type: type, handler: Any) -> Any:
            self.handlers[(name, message_type)] = handler
            return lambda: None

        async def async_call(member: Member, message: Any, timeout: float) -> Any:
            if self.cut:
                raise PeerUnreachableError(member.name)
            reply = await self.handlers[(member.name, type(message))](name, message)
            if self.lose_answers:
                self.lose_answers -= 1
                raise PeerOutcomeUnknownError(member.name)
            return reply

        return SimpleNamespace(handle=handle, async_call=async_call)


@asynccontextmanager
async def running_centres() -> AsyncIterator[SimpleNamespace]:
    """Run two entries in each data centre; yield gates by data centre."""
    timers = DrivenTimerService()
    wire = Wire()
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

    world = SimpleNamespace(timers=timers, wire=wire, gates={}, logs={}, live=live)
    async with anyio.create_task_group() as tasks:
        shared = {name: SharedLog() for name in CENTRES}
        for name, own in members.items():
            log = FakeWorkLog(shared[own.data_centre], name)
            membership: Any = SimpleNamespace(own=own, live=live)
            homes = KeyHomes(own.data_centre, fleet, membership)
            recorder = IntentRecorder(
                log, timers, tasks, home_name(name, 1), homes.is_live
            )
            recorder.start()
            serve_recorder(wire.of(name), recorder)
            remote = RemoteRecorders(wire.of(name), membership, timers)
            world.gates[name] = LogIntentGate(
                recorder, homes, timers, tasks, home_name(name, 1), remote
            )
            world.logs[name] = log
        facts = build_facts(timers)
        world.home = next(iter(world.gates.values())).homes.data_centre_of(facts)
        world.away = next(name for name in CENTRES if name != world.home)
        yield world
        tasks.cancel_scope.cancel()


async def test_one_key_in_two_data_centres_is_dispatched_once() -> None:
    """Give a key one judge.

    Symptom: an order is etched in two data centres. Sequence: the caller's first try
    goes to one, its retry to the other. Cause: each asked its own stream.
    """
    async with running_centres() as world:
        first = build_facts(world.timers)
        gate = world.gates[f"{world.away}-1"]
        assert (await gate.async_open(first)).unwrap() is None
        assert world.logs[f"{world.away}-1"].state.intents == {}
        await gate.async_close(first, "yes", ANSWER)
        await settle()
        for name, other in world.gates.items():
            again = await other.async_open(build_facts(world.timers, request_id=name))
            assert again.unwrap() == ANSWER


async def test_a_data_centre_cut_off_from_a_keys_home_does_not_vouch() -> None:
    async with running_centres() as world:
        world.wire.cut = True
        gate = world.gates[f"{world.away}-1"]
        refusal = (await gate.async_open(build_facts(world.timers))).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-log-out", Ran.UNKNOWN)
        harmless = build_facts(world.timers, idempotent=True)
        assert (await gate.async_open(harmless)).unwrap() is None


async def test_a_lost_reply_is_met_by_the_same_question_to_the_next_entry() -> None:
    async with running_centres() as world:
        world.wire.lose_answers = 1
        gate = world.gates[f"{world.away}-1"]
        facts = build_facts(world.timers)
        assert (await gate.async_open(facts)).unwrap() is None
        assert gate.remote.unsure == {}


async def test_an_intent_opened_for_a_lost_reply_is_closed_as_not_run() -> None:
    """Close what was opened for nobody.

    Symptom: a key answers `unknown` for ever. Sequence: the home opens the intent, all
    replies are lost, and the request is refused. Cause: neither side knew that the
    other would not act.
    """
    async with running_centres() as world:
        world.wire.lose_answers = 2
        gate = world.gates[f"{world.away}-1"]
        refusal = (await gate.async_open(build_facts(world.timers))).failure()
        assert refusal.ran is Ran.UNKNOWN
        for _ in range(4):
            await settle()
            await world.timers.async_advance(2.0)
        await settle()
        local = world.gates[f"{world.home}-1"]
        assert (await local.async_open(build_facts(world.timers))).unwrap() is None


async def test_an_entry_that_lost_its_asker_does_not_close_what_another_gave() -> None:
    """Let only who may dispatch say that nobody did.

    Symptom: an order is etched twice. Sequence: the first entry asked loses the stream
    in mid-append and gives the intent up; the second one finds it accepted and hands it
    over; the request runs; the first closes the intent as not run, and a retry runs
    too. Cause: the entry that records took the caller's giving up for its own.
    """
    async with running_centres() as world:
        gate = world.gates[f"{world.away}-1"]
        facts = build_facts(world.timers)
        question = gate._question(facts)
        first, second = (world.gates[f"{world.home}-{n}"].recorder for n in (1, 2))
        world.logs[f"{world.home}-1"].lose_next = True
        world.logs[f"{world.home}-1"].cut_off = True
        lost = await first.async_open(question)
        assert lost.unsure and not lost.opened
        given = await second.async_open(replace(question, repeated=True))
        assert given.opened
        world.logs[f"{world.home}-1"].cut_off = False
        world.logs[f"{world.home}-1"].catch_up()
        await settle()
        (intent,) = second.log.state.intents.values()
        assert not intent.closed
