"""Serve requests under idempotency keys from several entries over one log."""

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
from mustardward.components.retries.intents import LogIntentGate
from mustardward.components.retries.intents_home import KeyHomes, home_name
from mustardward.components.retries.intents_recorder import IntentRecorder
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.templates import Parameters, ServiceBinding, Urgency
from tests.fakes.worklog import FakeWorkLog, SharedLog

pytestmark = pytest.mark.anyio

ANSWER = StoredResponse(201, "application/json", b"{}")


class FakeMembership:
    """Know a fixed set of entries of one data centre."""

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
async def running_gates(*names: str) -> AsyncIterator[SimpleNamespace]:
    """Run a gate for each entry on one shared log."""
    world = SimpleNamespace(
        timers=DrivenTimerService(), shared=SharedLog(), gates={}, logs={}, members={}
    )
    async with anyio.create_task_group() as tasks:
        for name in names:
            log = FakeWorkLog(world.shared, name)
            membership = FakeMembership(name, list(names))
            homes = KeyHomes("dc-1", None, membership)  # type: ignore[arg-type]
            recorder = IntentRecorder(
                log, world.timers, tasks, home_name(name, 1), homes.is_live
            )
            recorder.start()
            gate = LogIntentGate(
                recorder, homes, world.timers, tasks, home_name(name, 1)
            )
            world.gates[name] = gate
            world.logs[name] = log
            world.members[name] = membership
        yield world
        tasks.cancel_scope.cancel()


async def settle() -> None:
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


async def test_the_same_key_at_two_entries_is_dispatched_once() -> None:
    """Let the log's order decide which entry may dispatch.

    Symptom: an order ships twice. Sequence: the balancer gives a caller's retry to
    another entry while the first try still waits. Cause: each took itself for the home.
    """
    async with running_gates("a", "b") as world:
        facts = build_facts(world.timers)
        assert (await world.gates["a"].async_open(facts)).unwrap() is None
        second = []

        async def retry() -> None:
            facts = build_facts(world.timers, request_id="request-2")
            second.append(await world.gates["b"].async_open(facts))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(retry)
            await settle()
            assert second == []
            await world.gates["a"].async_close(facts, "yes", ANSWER)
        assert second[0].unwrap() == ANSWER


async def test_a_key_whose_home_is_gone_answers_unknown_and_never_dispatches() -> None:
    """Answer truthfully for a replaced entry.

    Symptom: a turning order runs twice. Sequence: its entry is replaced after the
    dispatch; the caller tries again and the key's new home has no outcome. Cause: no
    outcome was taken for not run.
    """
    async with running_gates("a", "b") as world:
        await world.gates["a"].async_open(build_facts(world.timers))
        world.members["b"].names = ["b"]
        refusal = (
            await world.gates["b"].async_open(build_facts(world.timers))
        ).failure()
        assert refusal.ran is Ran.UNKNOWN
        assert refusal.code == "idempotency-in-progress"


async def test_a_restarted_home_does_not_take_the_old_intent_for_its_own() -> None:
    async with running_gates("a") as world:
        await world.gates["a"].async_open(build_facts(world.timers))
        world.gates["a"].homes._membership.live = lambda dc=None: (
            replace(build_member("a"), incarnation=2),
        )
        again = await world.gates["a"].async_open(build_facts(world.timers))
        assert again.failure().ran is Ran.UNKNOWN


async def test_a_home_that_moves_in_mid_request_keeps_the_first_dispatch_alone() -> (
    None
):
    """Let a request end where it began.

    Symptom: two entries run one order. Sequence: an entry joins and is the key's home
    from then on, while the old home still waits for the worker. Cause: the new home
    knew of no request in progress.
    """
    async with running_gates("a", "b", "c") as world:
        facts = build_facts(world.timers)
        world.members["a"].names = ["a"]
        await world.gates["a"].async_open(facts)
        results = []

        async def other(name: str) -> None:
            retry = build_facts(world.timers, request_id=f"at-{name}")
            results.append(await world.gates[name].async_open(retry))

        async with anyio.create_task_group() as tasks:
            for name in ("b", "c"):
                tasks.start_soon(other, name)
            await settle()
            await world.timers.async_advance(6.0)
        assert [item.failure().ran for item in results] == [Ran.UNKNOWN, Ran.UNKNOWN]
        await world.gates["a"].async_close(facts, "yes", ANSWER)
        await settle()
        stored = await world.gates["c"].async_open(build_facts(world.timers))
        assert stored.unwrap() == ANSWER


async def test_a_key_with_another_body_is_a_typed_error() -> None:
    async with running_gates("a", "b") as world:
        facts = build_facts(world.timers)
        await world.gates["a"].async_open(facts)
        await world.gates["a"].async_close(facts, "yes", ANSWER)
        await settle()
        other = build_facts(world.timers, request_digest="digest-2")
        refusal = (await world.gates["b"].async_open(other)).failure()
        assert (refusal.code, refusal.status) == ("idempotency-key-mismatch", 422)
        assert refusal.ran is Ran.UNKNOWN


async def test_not_run_lets_the_next_try_dispatch() -> None:
    async with running_gates("a", "b") as world:
        facts = build_facts(world.timers)
        await world.gates["a"].async_open(facts)
        assert world.gates["a"].reportable_ran(facts, Ran.NO) is Ran.NO
        await world.gates["a"].async_close(facts, "no", None)
        await settle()
        assert (await world.gates["b"].async_open(facts)).unwrap() is None


async def test_an_answer_too_large_to_keep_is_never_replayed_short() -> None:
    async with running_gates("a") as world:
        facts = build_facts(world.timers)
        await world.gates["a"].async_open(facts)
        large = StoredResponse(200, "text/plain", b"x" * 5000)
        await world.gates["a"].async_close(facts, "yes", large)
        await settle()
        refusal = (await world.gates["a"].async_open(facts)).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-already-done", Ran.YES)


async def test_a_log_that_is_out_says_not_run_only_with_the_tail_at_hand() -> None:
    """Refuse without a false `not run`.

    Symptom: a refusal says `not run`, and the order ships. Sequence: entry a opens the
    key and is replaced; entry b is cut off from the log before it reads that; the
    caller's retry at b is refused. Cause: b took what it had not read for not there.
    """
    async with running_gates("a", "b") as world:
        facts = build_facts(world.timers)
        world.logs["b"].cut_off = True
        await world.gates["a"].async_open(facts)
        refusal = (await world.gates["b"].async_open(facts)).failure()
        assert (refusal.code, refusal.ran) == ("idempotency-log-out", Ran.UNKNOWN)
        assert world.gates["b"].reportable_ran(facts, Ran.NO) is Ran.UNKNOWN


async def test_a_refused_append_with_a_confirmed_tail_is_truly_not_run() -> None:
    async with running_gates("a") as world:
        facts = build_facts(world.timers)
        world.shared.out = True

        async def confirm(seconds: float) -> bool:
            return True

        world.logs["a"].async_confirm_tail = confirm
        refusal = (await world.gates["a"].async_open(facts)).failure()
        assert refusal.ran is Ran.NO


async def test_an_idempotent_request_is_served_without_its_key_and_never_vouched() -> (
    None
):
    async with running_gates("a") as world:
        world.shared.out = True
        facts = build_facts(world.timers, idempotent=True)
        assert (await world.gates["a"].async_open(facts)).unwrap() is None
        assert world.gates["a"].reportable_ran(facts, Ran.NO) is Ran.UNKNOWN


async def test_an_intent_whose_append_lost_its_answer_frees_its_key() -> None:
    """Close what nobody will dispatch.

    Symptom: a key answers `unknown` for ever though its order never ran. Sequence: the
    append of the intent loses its answer, the request is refused, and the record is
    folded after that. Cause: nobody felt in charge of the late intent.
    """
    async with running_gates("a", "b") as world:
        facts = build_facts(world.timers)
        world.logs["a"].cut_off = True
        log = world.logs["a"]
        log.lose_next = True
        refusal = (await world.gates["a"].async_open(facts)).failure()
        assert refusal.ran is Ran.UNKNOWN
        log.cut_off = False
        log.catch_up()
        await settle()
        assert is_successful(await world.gates["b"].async_open(facts))


async def test_a_caller_that_gives_up_in_mid_append_frees_its_key() -> None:
    async with running_gates("a") as world:
        facts = build_facts(world.timers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.gates["a"].async_open, facts)
            await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        assert world.gates["a"].recorder._proposed == {}
        await settle()
        assert (await world.gates["a"].async_open(facts)).unwrap() is None


async def test_closes_wait_for_a_log_that_is_out() -> None:
    async with running_gates("a") as world:
        facts = build_facts(world.timers)
        await world.gates["a"].async_open(facts)
        world.shared.out = True
        await world.gates["a"].async_close(facts, "yes", ANSWER)
        await settle()
        world.shared.out = False
        await world.timers.async_advance(3.0)
        await settle()
        assert (await world.gates["a"].async_open(facts)).unwrap() == ANSWER
