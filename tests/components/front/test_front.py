"""Test what callers are answered, with and without the log."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.front.refusing import retry_after
from mustardward.components.ledger.const import PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, Progress
from mustardward.platform.store import TOPIC_OPERATOR
from mustardward.standin.estate.store import Mood

from .builders import BODY, JOB, PREFIX, FrontBench, a_config, a_front

pytestmark = pytest.mark.anyio


async def test_without_a_configuration_callers_are_asked_to_come_back() -> None:
    bench = FrontBench()
    reply = await bench.async_ask("POST", PREFIX + JOB, BODY)
    assert reply.status == 503
    assert reply.retry_after == 1


async def test_an_accepted_job_is_in_the_log_before_the_answer() -> None:
    async with a_front() as bench:
        reply = await bench.async_ask("POST", PREFIX + JOB, BODY)
        assert reply.status == 200
        assert bench.store.topic_end(TOPIC) == 1
        state = await bench.async_ask("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "queued"}


async def test_a_job_handed_in_again_is_one_job() -> None:
    async with a_front() as bench:
        await bench.async_ask("POST", PREFIX + JOB, BODY)
        await bench.async_ask("GET", PREFIX + JOB)
        again = await bench.async_ask("POST", PREFIX + JOB, BODY)
        assert again.status == 200
        assert bench.store.topic_end(TOPIC) == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"spec":"x"}',
        b'{"spec":"x","steps":[]}',
        b'{"spec":"x","steps":[{"count":0}]}',
        b'{"spec":"x","steps":[{"count":1,"after":[0]}]}',
        b'{"spec":7,"steps":[{"count":1}]}',
        msgspec.json.encode({"spec": "x" * 4001, "steps": [{"count": 1}]}),
    ],
)
async def test_what_is_no_job_is_refused_with_its_reason(body: bytes) -> None:
    async with a_front() as bench:
        reply = await bench.async_ask("POST", PREFIX + JOB, body)
        assert reply.status == 400
        assert b"malformed-job" in reply.body
        assert bench.store.topic_end(TOPIC) == 0


async def test_an_unknown_queue_is_told_as_of_the_newest_configuration() -> None:
    """A queue that was just added is found, though the tail was not read yet.

    Symptom: requests on a queue that had been in force for seconds got 404.
    Sequence: the entry's connection to the store was silent; the queue was added.
    Cause: "no such queue" was answered from an old configuration.
    """
    async with a_front() as bench:
        assert (await bench.async_ask("GET", "/new/")).status == 404
        record = a_config(2, (PREFIX, "/new/"))
        bench.store.append(TOPIC_OPERATOR, [("config", record)])
        bench.timers.pause(3.0)
        assert (await bench.async_ask("GET", "/new/")).status == 200


async def test_an_older_configuration_never_comes_back() -> None:
    async with a_front() as bench:
        await bench.async_configure(5, "/five/")
        await bench.async_configure(4, "/four/")
        assert (await bench.async_ask("GET", "/five/")).status == 200
        assert (await bench.async_ask("GET", "/four/")).status == 404


async def test_an_unknown_job_is_not_told_as_gone_while_the_log_is_away() -> None:
    async with a_front() as bench:
        bench.store.mood = Mood.REFUSING
        bench.timers.pause(3.0)
        assert (await bench.async_ask("GET", PREFIX + JOB)).status == 503
        bench.store.mood = Mood.SERVING
        bench.timers.pause(1.0)
        assert (await bench.async_ask("GET", PREFIX + JOB)).status == 410


async def test_a_cancelled_job_is_told_as_cancelled() -> None:
    async with a_front() as bench:
        await bench.async_ask("POST", PREFIX + JOB, BODY)
        bench.timers.pause(0.2)
        assert (await bench.async_ask("DELETE", PREFIX + JOB)).status == 200
        bench.timers.pause(0.2)
        state = await bench.async_ask("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "cancelled"}


async def test_a_job_that_was_done_before_its_cancel_stays_done() -> None:
    async with a_front() as bench:
        await bench.async_ask("POST", PREFIX + JOB, BODY)
        done = encode(Progress(JobState.DONE, ended_at=1.0))
        bench.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, done)])
        bench.timers.pause(0.2)
        await bench.async_ask("GET", PREFIX + JOB)
        await bench.async_ask("DELETE", PREFIX + JOB)
        state = await bench.async_ask("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "done"}


async def test_waiting_jobs_are_counted_until_they_begin() -> None:
    async with a_front() as bench:
        await bench.async_ask("POST", PREFIX + JOB, BODY)
        bench.timers.pause(2.0)
        reply = await bench.async_ask("GET", PREFIX)
        assert msgspec.json.decode(reply.body) == {"pending": 1}
        begun = encode(Progress(JobState.RUNNING))
        bench.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, begun)])
        bench.timers.pause(2.0)
        reply = await bench.async_ask("GET", PREFIX)
        assert msgspec.json.decode(reply.body) == {"pending": 0}


async def test_a_refusal_says_when_to_come_back_by_the_outage_so_far() -> None:
    """Callers' few tries span a long outage.

    Load: the store is away for 4 s and more; a caller tries four times more.
    Symptom: with a second between them all tries ended before the outage did.
    """
    assert [retry_after(s) for s in (0.0, 0.9, 2.2, 4.0, 60.0)] == [1, 1, 2, 4, 5]
    async with a_front() as bench:
        bench.store.mood = Mood.REFUSING
        bench.timers.pause(1.0)
        await bench.async_ask("GET", PREFIX + JOB)
        bench.timers.pause(3.0)
        reply = await bench.async_ask("GET", PREFIX + JOB)
        assert (reply.status, reply.retry_after) == (503, 3)
