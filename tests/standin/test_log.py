"""Test the log client against failures of the platform's log."""

from __future__ import annotations

import anyio
import pytest

from mustardward.exceptions import (
    AppendRateError,
    OffsetExpiredError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from mustardward.standin.log import LogOptions
from mustardward.standin.platform import PlatformOptions
from mustardward.standin.protocol.models import LogEntry, LogPage
from mustardward.standin.store import Retention

from ..fakes.platform import async_platform_bench, async_until

pytestmark = pytest.mark.anyio


def build_options(**changes: object) -> PlatformOptions:
    return PlatformOptions(log=LogOptions(**changes))


async def test_entries_come_back_in_order_with_their_offsets() -> None:
    async with async_platform_bench() as bench:
        offsets = [await bench.log.async_append("fleet", b"%d" % n) for n in range(3)]
        page = await bench.log.async_read("fleet", 1, 10, 0.0)
        other = await bench.log.async_read("work.dc-1", 0, 10, 0.0)
    assert offsets == [0, 1, 2]
    assert page == LogPage((LogEntry(1, b"1"), LogEntry(2, b"2")), 0, 3)
    assert other == LogPage((), 0, 0)


async def test_a_reader_at_the_tail_gets_the_next_entry() -> None:
    async with async_platform_bench() as bench:
        pages: list[LogPage] = []

        async def read() -> None:
            pages.append(await bench.log.async_read("fleet", 0, 10, 30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await async_until(lambda: "fleet" in bench.platform.log._append_events)
            await bench.log.async_append("fleet", b"new")
    assert pages[0].entries == (LogEntry(0, b"new"),)


async def test_the_rate_limit_refuses_without_effect_until_time_passes() -> None:
    """Guard against refused appends that take effect.

    A burst exceeds the rate limit, which all callers of the log share: it serves
    several hundred appends a second in total. After a pause appends succeed again.
    """
    options = build_options(appends_per_second=100.0, burst=2.0)
    async with async_platform_bench(options) as bench:
        await bench.log.async_append("fleet", b"1")
        await bench.log.async_append("fleet", b"2")
        with pytest.raises(AppendRateError):
            await bench.log.async_append("fleet", b"3")
        await bench.timers.async_advance(0.01)
        assert await bench.log.async_append("fleet", b"4") == 2
        with pytest.raises(AppendRateError):
            await bench.log.async_append("fleet", b"5")
        counts = bench.platform.log.counts()
    assert counts == {"appends": 3, "refused": 2}


async def test_an_append_with_a_lost_response_took_effect() -> None:
    """Guard against duplicate records after a lost response.

    An append takes effect, then its connection is reset. Reported as without effect,
    it would be repeated by the client.
    """
    async with async_platform_bench() as bench:
        bench.platform.log.faults.change(lose_answers=1)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.log.async_append("fleet", b"once")
        page = await bench.log.async_read("fleet", 0, 10, 0.0)
        assert await bench.log.async_append("fleet", b"next") == 1
    assert page.entries == (LogEntry(0, b"once"),)


async def test_a_delayed_append_takes_effect_after_its_retry() -> None:
    """Reproduce an old record that is appended after newer ones.

    The network delays an append, its retry succeeds, then the delayed append arrives.
    """
    async with async_platform_bench() as bench:
        bench.platform.log.faults.change(late_appends=1, late_seconds=3.0)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.log.async_append("fleet", b"first")
        await bench.log.async_append("fleet", b"second")
        await bench.timers.async_advance(3.0)
        await async_until(lambda: bench.platform.log.counts()["appends"] == 2)
        page = await bench.log.async_read("fleet", 0, 10, 0.0)
    assert [entry.payload for entry in page.entries] == [b"second", b"first"]


@pytest.mark.parametrize(
    ("retention", "seconds"),
    [(Retention(entries=2), 0.0), (Retention(seconds=10.0), 11.0)],
)
async def test_an_expired_offset_raises_an_error(
    retention: Retention, seconds: float
) -> None:
    """Guard against diverging states after entries have expired.

    A reader falls behind the retention. If the log skipped expired entries without an
    error, the reader would apply an incomplete sequence.
    """
    async with async_platform_bench(build_options(retention=retention)) as bench:
        for number in range(2):
            await bench.log.async_append("fleet", b"%d" % number)
        await bench.timers.async_advance(seconds)
        await bench.log.async_append("fleet", b"last")
        with pytest.raises(OffsetExpiredError) as raised:
            await bench.log.async_read("fleet", 0, 10, 0.0)
        page = await bench.log.async_read("fleet", raised.value.oldest, 10, 0.0)
    assert page.entries[0].offset == raised.value.oldest
    assert page.entries[-1].payload == b"last"


async def test_an_outage_refuses_appends_and_reads_without_effect() -> None:
    async with async_platform_bench() as bench:
        bench.platform.log.faults.change(outage=True)
        with pytest.raises(PlatformUnavailableError):
            await bench.log.async_append("fleet", b"1")
        with pytest.raises(PlatformUnavailableError):
            await bench.log.async_read("fleet", 0, 10, 0.0)
        bench.platform.log.faults.change(outage=False)
        assert await bench.log.async_append("fleet", b"1") == 0


async def test_a_partitioned_data_centre_reads_nothing() -> None:
    async with async_platform_bench() as bench:
        bench.platform.log.faults.change(cut_off=("dc-1",))
        with pytest.raises(PlatformUnavailableError):
            await bench.log.async_read("fleet", 0, 10, 0.0)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.log.async_append("fleet", b"1")
        assert bench.platform.log.counts()["appends"] == 0


async def test_a_read_does_not_consume_a_lost_response_fault() -> None:
    """Guard against reads that consume the fault meant for an append.

    The fault is activated, a long poll ends, then an append follows. If the poll
    consumed the fault, tests of lost responses would test nothing.
    """
    async with async_platform_bench() as bench:
        bench.platform.log.faults.change(lose_answers=1)
        await bench.log.async_read("fleet", 0, 10, 0.0)
        with pytest.raises(PlatformOutcomeUnknownError):
            await bench.log.async_append("fleet", b"once")
