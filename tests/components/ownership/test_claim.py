"""Test what an entry knows when its claim of the shard has won."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from mustardward.components.dispatch.const import TOKENS_PER_EPOCH
from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    SHARD,
    TOPIC,
)
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, OwnerRecord, Progress
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.store import NewestPage, Producer
from mustardward.standin.estate.store import MemoryStore

from ..scheduling.builders import a_job
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05
MAX_CLAIM_SECONDS = 10.0
TEST_TIMEOUT_SECONDS = 5.0
OLD_JOB = "00000000000000bb"
NEW_JOB = "00000000000000aa"
"""Its key is before the one of the old job."""


class PagedStore(MemoryStore):
    """Simulate a store with one record a page, that performs the next append late.

    :param on_job_page: called after the page with the old job was read.
    """

    on_job_page: Callable[[], None] | None = None
    late_append: Callable[[], object] | None = None
    delays_appends = False

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        if not self.delays_appends:
            return await super().async_append(topic, records, producer)
        self.late_append = lambda: self.append(topic, records, producer)
        await anyio.sleep_forever()
        raise CallUnknownError("no answer")

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        page = await super().async_read_newest(topic, after)
        first = page.records[:1]
        if first and first[0].key.startswith(PREFIX_JOB) and self.on_job_page:
            self.on_job_page()
            self.on_job_page = None
        return NewestPage(first, len(page.records) > 1 or page.more, page.end)


class UnansweringStore(MemoryStore):
    """Simulate a store that performs the first append late and refuses all others."""

    late_append: Callable[[], object] | None = None

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        if self.late_append is not None:
            raise CallRefusedError("busy")
        self.late_append = lambda: self.append(topic, records, producer)
        raise CallUnknownError("no answer")


def store_job(store: MemoryStore, name: str) -> None:
    """Store an accepted job and the progress of its owner, which may then start it."""
    record = a_job(job=name).record
    progress = Progress(JobState.QUEUED, zones=["z"])
    store.append(TOPIC, [(PREFIX_JOB + name, encode(record))])
    store.append(TOPIC, [(PREFIX_PROGRESS + name, encode(progress))])


def an_ownership(store: MemoryStore, timers: DrivenTimerService) -> Ownership:
    """Return the part of an entry that claims the shard."""
    return Ownership(build_dependencies("node-2", store, timers), 0.0)


async def test_claim_is_not_won_before_all_earlier_records_are_read() -> None:
    """Guard against an owner to whom runs of a job are unknown, and are stopped.

    The history expires while a claim is outstanding, so that all newest records are
    loaded; the page with the claim is newer than the one with the jobs.
    """
    store = PagedStore()
    timers = DrivenTimerService()
    owner = OwnerRecord(1, "c", "node-1", 0)
    store.append(TOPIC, [(KEY_OWNER, encode(owner))])
    store_job(store, OLD_JOB)
    ownership = an_ownership(store, timers)
    ledger = ownership._dependencies.ledger
    assert await ownership._dependencies.follower.async_catch_up()
    known: list[set[str]] = []

    async def async_claim() -> None:
        assert await ownership._async_claim() is not None
        known.append(set(ledger.jobs))

    def accept_and_apply_claim() -> None:
        store_job(store, NEW_JOB)
        assert store.late_append is not None
        store.late_append()

    async with anyio.create_task_group() as tasks:
        store.delays_appends = True
        tasks.start_soon(async_claim)
        await anyio.wait_all_tasks_blocked()
        store.append(TOPIC, [(KEY_OWNER, encode(OwnerRecord(1, "c", "node-1", 1)))])
        store.drop_before(TOPIC, store.topic_end(TOPIC))
        store.on_job_page = accept_and_apply_claim
        while not known:
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(STEP_SECONDS)
    assert known == [{OLD_JOB, NEW_JOB}]


async def test_claim_that_may_be_stored_is_not_given_up() -> None:
    """Guard against a claim that is stored late and won, and that nobody takes up.

    The previous owner renews meanwhile, and repeats of the claim are refused.
    """
    store = UnansweringStore()
    timers = DrivenTimerService()
    store.append(TOPIC, [(KEY_OWNER, encode(OwnerRecord(1, "c", "node-1", 0)))])
    ownership = an_ownership(store, timers)

    async def async_advance_time(seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ownership._dependencies.follower.async_run)
        tasks.start_soon(ownership.async_run)
        while store.late_append is None:
            await async_advance_time(STEP_SECONDS)
        for number in range(1, 6):
            record = OwnerRecord(1, "c", "node-1", number)
            store.append(TOPIC, [(KEY_OWNER, encode(record))])
            await async_advance_time(0.4)
        store.late_append()
        await async_advance_time(0.5)
        owner = ownership.owner
        tasks.cancel_scope.cancel()
    assert owner is not None
    assert owner.epoch == 1 + TOKENS_PER_EPOCH


@pytest.mark.parametrize(
    ("value", "epoch"),
    [
        (b"\xff", 4),
        (b"\xff", 9),
        (b"", 9),
        (encode(OwnerRecord(2**60, "c", "n", 0)), 4),
    ],
)
async def test_the_shard_is_claimed_after_the_owners_record_is_lost(
    value: bytes, epoch: int
) -> None:
    """Guard against a shard that no entry can claim after all have restarted.

    Another writer replaces the newest owner's record, whose epoch only the store knows.
    """
    store = MemoryStore()
    timers = DrivenTimerService()
    owner = OwnerRecord(epoch, "c", "node-1", 0)
    producer = Producer(f"owner/{SHARD}", epoch, 0)
    store.append(TOPIC, [(KEY_OWNER, encode(owner))], producer)
    store.append(TOPIC, [(KEY_OWNER, value)])
    store.drop_before(TOPIC, store.topic_end(TOPIC))
    ownership = an_ownership(store, timers)
    follower = ownership._dependencies.follower
    # Claims that follow each other without a pause would let no time pass.
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.async_run)
            tasks.start_soon(ownership.async_run)
            for _ in range(round(MAX_CLAIM_SECONDS / STEP_SECONDS)):
                if ownership.owner is not None:
                    break
                await anyio.wait_all_tasks_blocked()
                await timers.async_advance(STEP_SECONDS)
            found = ownership.owner
            tasks.cancel_scope.cancel()
    assert found is not None
    assert found.epoch > owner.epoch
