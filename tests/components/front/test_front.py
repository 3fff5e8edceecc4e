"""Test the replies to callers, with and without the log."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.front.refusals import retry_after
from mustardward.components.ledger.const import PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, Progress
from mustardward.platform.boot import DEFAULT_RECORD_BYTES
from mustardward.platform.store import TOPIC_OPERATOR
from mustardward.standin.estate.store import StoreMode

from .builders import BODY, JOB, PREFIX, FrontHarness, encode_config, running_front

pytestmark = pytest.mark.anyio

OTHER = "0123456789abcdee"


async def test_request_before_the_first_configuration_gets_503() -> None:
    harness = FrontHarness()
    reply = await harness.async_request("POST", PREFIX + JOB, BODY)
    assert reply.status == 503
    assert reply.retry_after == 1


async def test_accepted_job_is_in_the_log_before_the_reply() -> None:
    async with running_front() as harness:
        reply = await harness.async_request("POST", PREFIX + JOB, BODY)
        assert reply.status == 200
        assert harness.store.topic_end(TOPIC) == 1
        state = await harness.async_request("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "queued"}


async def test_job_submitted_twice_is_stored_once() -> None:
    async with running_front() as harness:
        await harness.async_request("POST", PREFIX + JOB, BODY)
        await harness.async_request("GET", PREFIX + JOB)
        again = await harness.async_request("POST", PREFIX + JOB, BODY)
        assert again.status == 200
        assert harness.store.topic_end(TOPIC) == 1


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
        b'{"spec":"x","steps":[{"count":1}],"times":%d}' % 10**400,
        b'{"spec":"x","steps":[{"count":1}],"times":-1}',
        b'{"spec":"x","steps":[{"count":1}],"times":2,"start-at-ms":1e300}',
        b'{"spec":"x","steps":[{"count":1}],"times":2,"interval-ms":1e300}',
        b'{"spec":"x","steps":[{"count":1,"cpu":%d}]}' % 2**64,
        b'{"spec":"x","steps":[{"count":1,"estimate-ms":1e308}]}',
        msgspec.json.encode({"spec": "x" * 4001, "steps": [{"count": 1}]}),
    ],
)
async def test_malformed_job_is_refused_with_its_reason(body: bytes) -> None:
    async with running_front() as harness:
        reply = await harness.async_request("POST", PREFIX + JOB, body)
        assert reply.status == 400
        assert b"malformed-job" in reply.body
        assert harness.store.topic_end(TOPIC) == 0


async def test_unknown_queue_is_checked_against_the_newest_configuration() -> None:
    """Guard against 404 for a queue that was added seconds before.

    The queue is added while the entry node's connection to the store is silent, so that
    the local configuration is outdated.
    """
    async with running_front() as harness:
        assert (await harness.async_request("GET", "/new/")).status == 404
        record = encode_config(2, (PREFIX, "/new/"))
        harness.store.append(TOPIC_OPERATOR, [("config", record)])
        harness.timers.pause(3.0)
        assert (await harness.async_request("GET", "/new/")).status == 200


async def test_older_configuration_does_not_replace_a_newer_one() -> None:
    async with running_front() as harness:
        await harness.async_configure(5, "/five/")
        await harness.async_configure(4, "/four/")
        assert (await harness.async_request("GET", "/five/")).status == 200
        assert (await harness.async_request("GET", "/four/")).status == 404


async def test_unknown_job_gets_503_while_the_log_is_unreachable() -> None:
    async with running_front() as harness:
        harness.store.mode = StoreMode.REFUSING
        harness.timers.pause(3.0)
        assert (await harness.async_request("GET", PREFIX + JOB)).status == 503
        harness.store.mode = StoreMode.SERVING
        harness.timers.pause(1.0)
        assert (await harness.async_request("GET", PREFIX + JOB)).status == 410


async def test_cancelled_job_is_reported_as_cancelled() -> None:
    async with running_front() as harness:
        await harness.async_request("POST", PREFIX + JOB, BODY)
        harness.timers.pause(0.2)
        assert (await harness.async_request("DELETE", PREFIX + JOB)).status == 200
        harness.timers.pause(0.2)
        state = await harness.async_request("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "cancelled"}


async def test_job_that_was_done_before_its_cancellation_stays_done() -> None:
    async with running_front() as harness:
        await harness.async_request("POST", PREFIX + JOB, BODY)
        done = encode(Progress(JobState.DONE, ended_at=1.0))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, done)])
        harness.timers.pause(0.2)
        await harness.async_request("GET", PREFIX + JOB)
        await harness.async_request("DELETE", PREFIX + JOB)
        state = await harness.async_request("GET", PREFIX + JOB)
        assert msgspec.json.decode(state.body) == {"state": "done"}


async def test_pending_jobs_are_counted_until_they_start() -> None:
    async with running_front() as harness:
        await harness.async_request("POST", PREFIX + JOB, BODY)
        harness.timers.pause(2.0)
        reply = await harness.async_request("GET", PREFIX)
        assert msgspec.json.decode(reply.body) == {"pending": 1}
        begun = encode(Progress(JobState.RUNNING))
        harness.store.append(TOPIC, [(PREFIX_PROGRESS + JOB, begun)])
        harness.timers.pause(2.0)
        reply = await harness.async_request("GET", PREFIX)
        assert msgspec.json.decode(reply.body) == {"pending": 0}


async def test_retry_delay_grows_with_the_outage() -> None:
    """Guard against callers that use all retries before an outage ends.

    With the store down for 4 s or more, a caller's four retries at intervals of one
    second all fail.
    """
    assert [retry_after(s) for s in (0.0, 0.9, 2.2, 4.0, 60.0)] == [1, 1, 2, 4, 5]
    async with running_front() as harness:
        harness.store.mode = StoreMode.REFUSING
        harness.timers.pause(1.0)
        await harness.async_request("GET", PREFIX + JOB)
        harness.timers.pause(3.0)
        reply = await harness.async_request("GET", PREFIX + JOB)
        assert (reply.status, reply.retry_after) == (503, 3)


async def test_job_that_no_record_holds_is_refused_at_once() -> None:
    """Guards against a large job that stops all appends of its entry in an outage."""
    async with running_front() as harness:
        steps = [{"count": 1, "estimate-ms": 5}] * 9300
        body = msgspec.json.encode({"spec": "x", "steps": steps})
        assert len(body) < DEFAULT_RECORD_BYTES
        harness.store.mode = StoreMode.UNRESPONSIVE
        reply = await harness.async_request("POST", PREFIX + JOB, body)
        assert reply.status == 413
        assert b"job-too-large" in reply.body
        harness.store.mode = StoreMode.SERVING
        reply = await harness.async_request("POST", PREFIX + OTHER, BODY)
        assert reply.status == 200


async def test_log_line_of_a_job_with_thousands_of_steps_is_short(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines that take the place of hundreds of others."""
    caplog.set_level("INFO")
    async with running_front() as harness:
        steps = [{"count": 1}] * 9000
        body = msgspec.json.encode({"spec": "x", "steps": steps})
        reply = await harness.async_request("POST", PREFIX + JOB, body)
        assert reply.status == 200
    (line,) = [line for line in caplog.messages if "event=job_submitted" in line]
    assert "steps=9000" in line
    assert len(line) < 1000
