"""Test following a log and appending to it under faults."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Failure

from mustardward.exceptions import (
    NotReadyError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from mustardward.state.fleet import FleetState
from mustardward.state.fold import RevisionConflictError
from mustardward.state.log import FoldedLog
from mustardward.state.models.pools import PutPool
from mustardward.state.models.templates import PublishTemplate
from mustardward.state.records import encode_batch
from tests.builders import build_parameters, build_record
from tests.fakes.log import FakeLog, LogClient
from tests.fakes.log_bench import running_bench

pytestmark = pytest.mark.anyio


async def test_proposal_is_applied_on_every_node() -> None:
    async with running_bench() as bench:
        first, second = bench.start(), bench.start()
        await bench.async_settle()
        assert first.ready and first.may_decide
        result = await bench.async_propose(first, PutPool("cellar"))
        await bench.async_settle()
        assert result.unwrap().revision == 1
        assert set(second.state.pools) == {"cellar"}
        assert first.digest == second.digest


async def test_many_proposals_share_one_append() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        results: list[Any] = []

        async def propose(number: int) -> None:
            body = PutPool(f"pool-{number}")
            results.append(await log.async_propose(body, actor="operator"))

        for number in range(100):
            bench.group.start_soon(propose, number)
        await bench.async_until(lambda: len(results) == 100, 5.0)
        assert bench.service.appends == 1
        assert len(log.state.pools) == 100


async def test_record_is_appended_again_after_a_lost_response() -> None:
    """Guard against accepting a change twice.

    The log accepts an append, the response is lost, and the appender sends the record
    again. The second copy must not be applied.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        bench.service.delay_appends = 1
        bench.service.lose_answers = 1
        result = await bench.async_propose(log, PutPool("cellar"))
        assert result.unwrap().revision == 1
        bench.service.deliver_delayed()
        await bench.async_settle(3.0)
        assert log.next_offset == 2
        assert log.sequence == 1


async def test_a_delayed_first_copy_changes_nothing() -> None:
    """Guard against reverting an accepted revision.

    The first copy of a publication is delayed, its second copy is accepted, and
    another revision follows before the first copy arrives.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_propose(log, PutPool("cellar"))
        bench.service.delay_appends = 1
        old = PublishTemplate("dairy", build_parameters("cellar", headroom=0.1))
        first = (await bench.async_propose(log, old, base_revision=0)).unwrap()
        new = PublishTemplate("dairy", build_parameters("cellar", headroom=0.2))
        await bench.async_propose(log, new, base_revision=first.revision)
        sequence = log.sequence
        bench.service.deliver_delayed()
        await bench.async_settle(1.0)
        assert log.next_offset == bench.service.tail("fleet")
        assert log.sequence == sequence
        assert log.state.templates["dairy"][-1].parameters.headroom == 0.2


async def test_append_that_was_not_sent_fails_as_unavailable() -> None:
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start(client)
        await bench.async_settle()
        client.cut_off = True
        result = await bench.async_propose(log, PutPool("cellar"), timeout_seconds=2.0)
        assert isinstance(result.failure(), PlatformUnavailableError)
        client.cut_off = False
        await bench.async_settle(5.0)
        assert bench.service.tail("fleet") == 0


async def test_append_that_may_have_taken_effect_fails_as_unknown() -> None:
    """Guard against reporting a change as refused that may still be accepted.

    The append takes effect, its response is lost, and the log is unreachable until the
    timeout. An operator who is told that nothing was appended would repeat the change.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start(client)
        await bench.async_settle()
        bench.service.delay_appends = 1
        results: list[Any] = []

        async def propose() -> None:
            body = PutPool("cellar")
            results.append(
                await log.async_propose(body, actor="operator", timeout_seconds=2.0)
            )

        bench.group.start_soon(propose)
        await bench.async_until(lambda: bool(bench.service.delayed), 1.0)
        client.cut_off = True
        await bench.async_until(lambda: bool(results), 5.0)
        assert isinstance(results[0].failure(), PlatformOutcomeUnknownError)
        client.cut_off = False
        bench.service.deliver_delayed()
        await bench.async_settle(5.0)
        assert set(log.state.pools) == {"cellar"}


async def test_rate_refusals_are_retried() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        bench.service.refuse_appends = 3
        result = await bench.async_propose(log, PutPool("cellar"))
        assert result.unwrap().revision == 1
        assert bench.service.appends == 1


async def test_one_of_two_conflicting_proposals_is_accepted() -> None:
    async with running_bench() as bench:
        first, second = bench.start(), bench.start()
        await bench.async_settle()
        await bench.async_propose(first, PutPool("cellar"))
        results: list[Any] = []

        async def publish(log: FoldedLog[FleetState], headroom: float) -> None:
            parameters = build_parameters("cellar", headroom=headroom)
            body = PublishTemplate("dairy", parameters)
            results.append(
                await log.async_propose(body, actor="operator", base_revision=0)
            )

        bench.group.start_soon(publish, first, 0.1)
        bench.group.start_soon(publish, second, 0.2)
        await bench.async_until(lambda: len(results) == 2, 5.0)
        await bench.async_settle()
        refused = [item.failure() for item in results if isinstance(item, Failure)]
        assert [type(item) for item in refused] == [RevisionConflictError]
        assert first.digest == second.digest


async def test_a_paused_process_decides_only_after_a_new_read() -> None:
    """Guard against acting on outdated state after a pause of the process.

    A read that was sent before the pause must not count as fresh after it.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start(client)
        await bench.async_settle()
        client.cut_off = True
        await bench.async_settle(1.0)
        bench.timers.pause(60.0)
        assert not log.may_decide
        result = await log.async_propose(PutPool("cellar"), actor="operator")
        assert isinstance(result.failure(), NotReadyError)
        await bench.async_settle(5.0)
        assert not log.may_decide
        assert log.tail_age_seconds() > 60.0
        client.cut_off = False
        await bench.async_until(lambda: log.may_decide, 10.0)
        assert log.tail_age_seconds() < 5.0


async def test_read_in_flight_does_not_confirm_a_later_request() -> None:
    """Guard against checking a claim against an outdated tail.

    A read is in flight when a confirmation is requested, and its old response arrives
    afterwards. Freshness counts from the start of the read.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        bench.service.out = True
        await bench.async_settle(0.5)
        results: list[bool] = []

        async def confirm() -> None:
            results.append(await log.async_confirm_tail(1.0))

        bench.group.start_soon(confirm)
        await bench.async_until(lambda: bool(results), 5.0)
        assert results == [False]
        bench.service.out = False
        bench.group.start_soon(confirm)
        await bench.async_until(lambda: len(results) == 2, 5.0)
        assert results == [False, True]


async def test_unknown_record_version_stops_decisions_but_not_serving() -> None:
    """Guard against a silent difference between the states of two nodes.

    A newer build appends a record of a version that this build does not know and could
    only skip or misread.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_propose(log, PutPool("cellar"))
        record = build_record(PutPool("attic"), "newer")
        object.__setattr__(record, "version", 99)
        bench.service.put("fleet", encode_batch([record]))
        bench.service.put("fleet", encode_batch([build_record(PutPool("barn"), "b")]))
        await bench.async_settle(1.0)
        assert log.ready and not log.may_decide
        assert set(log.state.pools) == {"cellar", "barn"}
        result = await log.async_propose(PutPool("loft"), actor="operator")
        assert isinstance(result.failure(), NotReadyError)


async def test_undecodable_entry_is_skipped() -> None:
    async with running_bench() as bench:
        log = bench.start()
        bench.service.put("fleet", b"\xc1 not a batch")
        bench.service.put("fleet", encode_batch([build_record(PutPool("barn"), "b")]))
        await bench.async_settle(1.0)
        assert log.may_decide
        assert set(log.state.pools) == {"barn"}


async def test_log_that_lost_its_last_entries_is_not_followed() -> None:
    """Guard against nodes that hold different histories of the log.

    The log is restored without its last entries after an outage, assigns their offsets
    to other records, and grows past the node. The node must not wait for its offset and
    continue reading.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start(client)
        await bench.async_settle()
        await bench.async_fill(log, 2)
        restored = FakeLog()
        restored.put("fleet", bench.service.payload("fleet", 0))
        client.log = restored
        bench.service.wake()
        await bench.async_settle(3.0)
        assert not log.may_decide
        for name in ("x", "y", "z"):
            restored.put("fleet", encode_batch([build_record(PutPool(name), name)]))
        await bench.async_settle(10.0)
        assert set(log.state.pools) == {"pool-0", "pool-1"}
        assert log.ready and not log.may_decide


async def test_log_that_was_temporarily_behind_is_followed_again() -> None:
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log = bench.start(client)
        await bench.async_settle()
        await bench.async_fill(log, 2)
        lagging = FakeLog()
        lagging.put("fleet", bench.service.payload("fleet", 0))
        client.log = lagging
        bench.service.wake()
        await bench.async_settle(3.0)
        assert not log.may_decide
        client.log = bench.service
        await bench.async_settle(5.0)
        assert log.may_decide
        await bench.async_fill(log, 1)
        assert len(log.state.pools) == 3
