"""Test that requests reach a slow store through a few entries, or are refused."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from mustardward.components.forwarding.collectors import (
    choose_collectors,
    collector_count,
    rank_collectors,
)
from mustardward.components.forwarding.const import (
    HEDGE_DELAY_SECONDS,
    MAX_COLLECTORS,
    MIN_COLLECTORS,
)
from mustardward.components.front.models import Request
from mustardward.components.ledger.appender import MAX_ANSWER_TIMEOUT_SECONDS
from mustardward.components.ledger.models import NodeRecord
from mustardward.helpers.policies import switch_off

from ..front.builders import BODY, HOST
from .slow_store import CALLER_SECONDS, Entry, World, run_virtual

SLOWNESS = 50.0
MAX_REFUSAL_SECONDS = 0.1
APPEND_SECONDS = 0.005 * SLOWNESS
JOB = "0123456789abcdef"


def play(
    scenario: Callable[[World], Awaitable[None]], slowness: float = SLOWNESS
) -> None:
    """Run a scenario on twelve entries that know that the store is slow."""

    async def async_main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(tasks, entries=12)
            tasks.start_soon(world.async_renew)
            await anyio.sleep(2.0)
            world.partition.slowness = slowness
            await anyio.sleep(3.0)
            world.calls.clear()
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_virtual(async_main)


def collecting(world: World) -> list[Entry]:
    """Return the entries that collect requests, and then the next ones."""
    ledger = world.owner.ledger
    ranked = rank_collectors(ledger.nodes, ledger.owner.node)
    return [world.entries[world.names.index(name)] for name in ranked]


def first_choice(world: World, entry: Entry) -> Entry:
    """Return the entry that collects the job from an entry."""
    name = entry.failover.collectors(f"/q/{JOB}")[0]
    return world.entries[world.names.index(name)]


def appenders(world: World) -> set[str]:
    """Return the entries that sent appends, without the owner's renewals."""
    return {name.partition("/")[0] for name, _ in world.calls} - {"owner"}


def other(world: World) -> Entry:
    """Return an entry that does not collect."""
    return collecting(world)[-1]


def test_requests_of_all_entries_are_appended_by_a_few() -> None:
    async def async_play(world: World) -> None:
        await world.async_submit_for(2.0)
        await anyio.sleep(2.0)
        assert {answer.status for answer in world.answers()} == {200}
        assert len(appenders(world)) <= MAX_COLLECTORS

    play(async_play)


def test_cancellation_is_collected_too() -> None:
    async def async_play(world: World) -> None:
        assert (await other(world).async_post(JOB)).status == 200
        await anyio.sleep(1.0)
        world.calls.clear()
        assert (await other(world).async_post(JOB, method="DELETE")).status == 200
        assert appenders(world) == {first_choice(world, other(world)).name}
        assert f"x/{JOB}" in world.partition.stored_at

    play(async_play)


@pytest.mark.parametrize("failure", ["lost", "cut_off"])
def test_collecting_entry_that_fails_is_replaced(failure: str) -> None:
    """Guard against callers that wait for an entry that no longer appends.

    It fails before the request is sent to it.
    """

    async def async_play(world: World) -> None:
        entry = other(world)
        failed = first_choice(world, entry)
        getattr(world, failure).add(failed.name)
        await anyio.sleep(3.0)
        started = world.timers.monotonic()
        assert (await entry.async_post(JOB)).status == 200
        assert world.timers.monotonic() - started < 2 * APPEND_SECONDS + 0.4

    play(async_play)


@pytest.mark.parametrize("failure", ["lost", "cut_off"])
def test_request_taken_by_an_entry_that_fails_is_never_refused(failure: str) -> None:
    """Guard against a job that runs although its caller was refused.

    The collecting entry fails while its append is outstanding, and the store gets the
    append nevertheless. The next entry then finds too little time.
    """

    async def async_play(world: World) -> None:
        entry = other(world)
        failed = first_choice(world, entry)
        statuses: list[int] = []

        async def async_post(seconds: float) -> None:
            statuses.append((await entry.async_post(JOB, seconds)).status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_post, 2 * APPEND_SECONDS)
            await anyio.sleep(APPEND_SECONDS / 5)
            getattr(world, failure).add(failed.name)
        assert statuses in ([200], [504])
        assert f"j/{JOB}" in world.partition.stored_at

    play(async_play)


def test_job_of_a_lost_collecting_entry_is_stored_by_the_next() -> None:
    async def async_play(world: World) -> None:
        entry = other(world)
        failed = first_choice(world, entry)
        async with anyio.create_task_group() as tasks:

            async def async_post() -> None:
                assert (await entry.async_post(JOB)).status == 200

            tasks.start_soon(async_post)
            # It has the request, and sends no append any more.
            await anyio.sleep(0.001)
            world.lost.add(failed.name)
        assert failed.name not in appenders(world)
        assert len(appenders(world)) == 1

    play(async_play)


def test_draining_entry_does_not_collect() -> None:
    """Guard against requests that an entry takes and does not answer before it ends."""

    async def async_play(world: World) -> None:
        entry = other(world)
        draining = first_choice(world, entry)
        world.draining.add(draining.name)
        assert (await entry.async_post(JOB)).status == 200
        # Its own callers are sent to the next one too.
        assert (await draining.async_post(JOB[::-1])).status == 200
        assert draining.name not in appenders(world)

    play(async_play)


def test_entry_without_peers_appends_itself() -> None:
    async def async_play(world: World) -> None:
        entry = other(world)
        world.lost.update(set(world.names) - {entry.name})
        assert (await entry.async_post(JOB)).status == 200
        assert appenders(world) == {entry.name}

    play(async_play)


def test_requests_are_appended_locally_once_the_store_has_recovered() -> None:
    async def async_play(world: World) -> None:
        world.partition.slowness = 1.0
        await anyio.sleep(0.5)
        started = world.timers.monotonic()
        assert (await other(world).async_post(JOB)).status == 200
        assert world.timers.monotonic() - started < 0.05
        assert appenders(world) == {other(world).name}

    play(async_play)


def test_store_that_loses_responses_is_not_slow() -> None:
    """Guard against appends that are repeated late although their responses are lost.

    Reads are fast there, so that an append that the log does not show is lost.
    """

    async def async_play(world: World) -> None:
        world.partition.losing_responses = True
        started = world.timers.monotonic()
        assert (await other(world).async_post(JOB)).status == 200
        assert world.timers.monotonic() - started < HEDGE_DELAY_SECONDS
        assert appenders(world) == {other(world).name}

    play(async_play, slowness=1.0)


def test_lost_append_is_repeated_early_while_reads_are_fast() -> None:
    async def async_play(world: World) -> None:
        world.partition.losing_appends = True
        with anyio.move_on_after(1.0):
            await other(world).async_post(JOB)
        own = [call for call in world.calls if call[0] == f"{other(world).name}/1"]
        assert len(own) >= 1.0 / (2 * MAX_ANSWER_TIMEOUT_SECONDS) - 1
        assert len(set(own)) == 1

    play(async_play, slowness=1.0)


def test_request_is_not_hedged_while_the_store_is_slow() -> None:
    """Guard against a partition that executes the same requests for several entries."""

    async def async_play(world: World) -> None:
        entry = first_choice(world, other(world))
        started = world.timers.monotonic()
        assert (await entry.async_post(JOB)).status == 200
        assert world.timers.monotonic() - started > HEDGE_DELAY_SECONDS
        assert appenders(world) == {entry.name}

    play(async_play, slowness=94.0)


def test_collecting_entry_that_is_cut_off_forwards_to_others() -> None:
    """Guard against an entry that forwards its callers' requests to itself."""

    async def async_play(world: World) -> None:
        entry = collecting(world)[0]
        request = Request(
            "POST", HOST, f"/q/{JOB}", BODY, world.timers.monotonic() + CALLER_SECONDS
        )
        outcome = await entry.failover.async_forward(request)
        assert outcome.reply is not None and outcome.reply.status == 200
        assert len(appenders(world) - {entry.name}) == len(appenders(world)) == 1

    play(async_play)


def test_slow_store_is_reachable_although_reads_have_timed_out() -> None:
    """Guard against callers refused until a read has taken its time once more."""

    async def async_play(world: World) -> None:
        entry = other(world)
        entry.follower.failing_since = world.timers.monotonic() - 1.0
        assert not entry.failover.is_log_unreachable()

    play(async_play)


def test_late_append_is_not_repeated_while_the_store_is_slow() -> None:
    """Guard against a partition that executes more repeats than new records."""

    async def async_play(world: World) -> None:
        assert (await other(world).async_post(JOB)).status == 200
        assert len(world.calls) == len(set(world.calls))

    play(async_play)


def test_store_that_is_down_is_an_outage() -> None:
    """Guard against callers that wait for a store that answers nothing."""

    async def async_play(world: World) -> None:
        world.partition.down = True
        await anyio.sleep(2.0)
        assert not any(
            entry.latency.is_slow(world.timers.monotonic()) for entry in world.entries
        )
        await other(world).async_post(JOB)
        started = world.timers.monotonic()
        assert (await other(world).async_post(JOB[::-1])).status == 503
        assert world.timers.monotonic() - started < 0.1
        world.partition.down = False
        await anyio.sleep(1.0)
        assert f"j/{JOB[::-1]}" not in world.partition.stored_at

    play(async_play, slowness=1.0)


def test_callers_in_an_outage_are_not_held_back() -> None:
    """Guard against callers that wait for a store that is down as if it was slow."""

    async def async_play(world: World) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.async_submit_for, 2.0)
            await anyio.sleep(0.5)
            world.partition.down = True
        await anyio.sleep(CALLER_SECONDS)
        assert max(answer.waited for answer in world.answers()) < 2.0
        refused = [answer for answer in world.answers() if answer.status == 503]
        assert len(refused) > 20
        assert max(answer.waited for answer in refused) < 0.1

    play(async_play, slowness=1.0)


def test_very_slow_store_is_told_from_one_that_is_down() -> None:
    """Guard against entries that refuse all callers of a store that answers late.

    Each of their reads times out before its response arrives.
    """

    async def async_play(world: World) -> None:
        now = world.timers.monotonic()
        for entry in world.entries:
            assert entry.latency.is_slow(now)
            assert not entry.failover.is_log_unreachable()
        assert (await other(world).async_post(JOB)).status == 200

    play(async_play, slowness=200.0)


@pytest.mark.parametrize("collects", [False, True])
def test_caller_with_too_little_time_is_refused_at_once(collects: bool) -> None:
    """Guard against callers that wait for their full time and can't retry then."""

    async def async_play(world: World) -> None:
        entry = collecting(world)[0] if collects else other(world)
        started = world.timers.monotonic()
        reply = await entry.async_post(JOB, 0.8 * APPEND_SECONDS)
        assert reply.status == 503
        assert reply.retry_after is not None
        assert world.timers.monotonic() - started < MAX_REFUSAL_SECONDS
        await anyio.sleep(CALLER_SECONDS)
        assert appenders(world) == set()
        assert f"j/{JOB}" not in world.partition.stored_at

    play(async_play)


def test_caller_with_enough_time_is_served() -> None:
    async def async_play(world: World) -> None:
        reply = await other(world).async_post(JOB, 1.5 * APPEND_SECONDS)
        assert reply.status == 200

    play(async_play)


@pytest.mark.parametrize("first_collects", [False, True])
@pytest.mark.parametrize("elsewhere", [False, True])
def test_caller_that_asks_again_is_not_refused(
    first_collects: bool, elsewhere: bool
) -> None:
    """Guard against a refusal of a job that its first request has stored, or will."""

    async def async_play(world: World) -> None:
        entry = collecting(world)[0] if first_collects else other(world)
        again = collecting(world)[1] if elsewhere else entry
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.async_post, JOB)
            await anyio.sleep(0.05)
            reply = await again.async_post(JOB, 0.5 * APPEND_SECONDS)
            assert reply.status == 504
        await anyio.sleep(1.0)
        assert (await other(world).async_post(JOB, 0.1)).status == 200

    play(async_play)


def test_caller_is_refused_for_what_is_queued_already() -> None:
    async def async_play(world: World) -> None:
        entry = first_choice(world, other(world))
        ids = (f"{number:016x}" for number in range(100))
        same = (
            id for id in ids if entry.failover.collectors(f"/q/{id}")[0] == entry.name
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.async_post, JOB)
            await anyio.sleep(0.01)
            reply = await entry.async_post(next(same), 1.5 * APPEND_SECONDS)
            assert reply.status == 503

    play(async_play)


def test_entries_that_know_different_entries_serve_their_callers() -> None:
    """Guard against a request that two entries send back and forth.

    One entry does not know those that collect for all others, and sends its request to
    one that does not collect in its own view.
    """

    async def async_play(world: World) -> None:
        entry = other(world)
        for unknown in collecting(world)[:MAX_COLLECTORS]:
            del entry.ledger.nodes[unknown.name]
        chosen = first_choice(world, entry)
        assert chosen.failover.collectors(f"/q/{JOB}")[0] != chosen.name
        assert (await entry.async_post(JOB)).status == 200
        assert appenders(world) == {chosen.name}

    play(async_play)


def test_requests_are_appended_locally_without_the_policy() -> None:
    async def async_play(world: World) -> None:
        switch_off(["collected-appends"])
        assert (await other(world).async_post(JOB)).status == 200
        assert appenders(world) == {other(world).name}

    try:
        play(async_play)
    finally:
        switch_off([])


def _nodes(*speeds: float) -> dict[str, NodeRecord]:
    return {
        f"n{at}": NodeRecord(f"n{at}:1", f"z{at % 3}", speed)
        for at, speed in enumerate(speeds)
    }


def test_fast_entries_of_different_data_centres_collect() -> None:
    nodes = _nodes(2.0, 0.4, 1.0, 1.9, 0.5, 0.9)
    ranked = rank_collectors(nodes, owner="")
    assert ranked == ["n0", "n2", "n4", "n3", "n5", "n1"]
    assert rank_collectors(dict(reversed(nodes.items())), owner="") == ranked
    assert rank_collectors(nodes, owner="n0")[0] == "n3"
    assert rank_collectors({}, owner="") == []


def test_slower_partition_has_fewer_collecting_entries() -> None:
    counts = [collector_count(seconds) for seconds in (0.1, 0.376, 0.8, 5.0)]
    assert counts == sorted(counts, reverse=True)
    assert counts[0] == MAX_COLLECTORS
    assert counts[-1] == MIN_COLLECTORS


def test_choice_is_the_same_on_all_entries() -> None:
    ranked = [f"n{at}" for at in range(10)]
    assert set(choose_collectors("key", ranked, 3)) == set(ranked[:3])
    firsts = {choose_collectors(f"key{n}", ranked, 3)[0] for n in range(30)}
    assert firsts == set(ranked[:3])


def test_failed_entry_is_replaced_by_the_next_in_rank() -> None:
    ranked = [f"n{at}" for at in range(10)]
    ranked.remove("n1")
    chosen = choose_collectors("key", ranked, 3)
    assert set(chosen) == {"n0", "n2", "n3"}
