"""Follow a log and append to it through its faults."""

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


async def test_a_proposal_is_folded_everywhere() -> None:
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


async def test_a_lost_answer_is_met_by_the_same_record_again() -> None:
    """Append at most one effect.

    Symptom: a change is accepted twice. Sequence: the log takes an append, its answer
    is lost, the appender sends it again. Cause: the second copy counts anew.
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
    """Let an old append arrive when the configuration has moved on.

    Symptom: an accepted revision is undone minutes later. Sequence: the first copy of
    a publication is delayed, its second is accepted, another revision follows, the
    first copy arrives. Cause: the late copy is folded as if it were new.
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


async def test_an_append_that_never_got_through_is_said_to_be_so() -> None:
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


async def test_an_append_whose_fate_is_open_is_said_to_be_so() -> None:
    """Never call a change refused that may still be accepted.

    Symptom: an operator repeats a change that was made. Sequence: the append takes
    effect, its answer is lost, and the log is out until the time-out. Cause: the
    author was told that nothing had been appended.
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


async def test_a_refused_rate_is_waited_out() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        bench.service.refuse_appends = 3
        result = await bench.async_propose(log, PutPool("cellar"))
        assert result.unwrap().revision == 1
        assert bench.service.appends == 1


async def test_of_two_nodes_one_wins_and_both_agree() -> None:
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
    """Confirm the tail after a pause.

    Symptom: a process acts on a picture a minute old. Sequence: it reads the tail, is
    stopped, and goes on where it stood. Cause: a read sent before the pause counts as
    fresh after it.
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


async def test_a_read_under_way_does_not_confirm_a_later_question() -> None:
    """Count freshness from before the read was sent.

    Symptom: a claim is checked against a tail that had moved. Sequence: a read waits,
    the question comes, the read's old answer arrives. Cause: freshness is counted from
    the answer.
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


async def test_a_record_of_a_newer_version_stops_deciding_but_not_serving() -> None:
    """Stop deciding instead of guessing.

    Symptom: one node's state differs without a sign. Sequence: a newer build appends a
    record that this one does not know. Cause: the old build skips or guesses it.
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


async def test_garbage_in_the_log_stops_nobody() -> None:
    async with running_bench() as bench:
        log = bench.start()
        bench.service.put("fleet", b"\xc1 not a batch")
        bench.service.put("fleet", encode_batch([build_record(PutPool("barn"), "b")]))
        await bench.async_settle(1.0)
        assert log.may_decide
        assert set(log.state.pools) == {"barn"}


async def test_a_log_that_lost_its_end_is_not_followed() -> None:
    """Keep an accepted configuration when the log stands behind it.

    Symptom: offsets are given out a second time, and nodes hold different histories.
    Sequence: the log comes back from an outage without its last entries, others take
    their place, and it grows past the node. Cause: the node waits for its offset and
    reads on as if nothing happened.
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


async def test_a_log_that_was_behind_for_a_moment_is_followed_again() -> None:
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
