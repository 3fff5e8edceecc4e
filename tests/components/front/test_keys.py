"""Test that only who shows a key in force is served, and only with its own jobs."""

from __future__ import annotations

import logging

import msgspec
import pytest

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.platform.store import TOPIC_OPERATOR
from mustardward.standin.estate.store import Mood

from .builders import BODY, HOST, JOB, PREFIX, FrontBench, a_config, a_front

pytestmark = pytest.mark.anyio

DAIRY = "key-of-the-dairy"
DAIRY_TOO = "second-key-of-the-dairy"
GAUGES = "key-of-the-gauge-works"
KEYS = {"dairy": [DAIRY, DAIRY_TOO], "gauges": [GAUGES]}
OPEN = "/open/"
BOTH = (PREFIX, OPEN)


async def _async_configure(
    bench: FrontBench, version: int, keys: dict[str, list[str]], *public: str
) -> None:
    await bench.async_publish(a_config(version, BOTH, keys, public))


async def _async_hand_in(bench: FrontBench) -> None:
    """Hand the dairy's job in, and let what was read of the log grow old."""
    await bench.async_ask("POST", PREFIX + JOB, BODY, DAIRY)
    bench.timers.pause(0.2)


@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", PREFIX + JOB), ("GET", PREFIX + JOB), ("DELETE", PREFIX + JOB)]
    + [("GET", PREFIX)],
)
@pytest.mark.parametrize("key", ["", "nobody's"])
async def test_without_a_known_key_nothing_is_done(
    method: str, path: str, key: str
) -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await _async_hand_in(bench)
        end = bench.store.topic_end(TOPIC)
        reply = await bench.async_ask(method, path, BODY, key)
        assert reply.status == 401
        assert bench.store.topic_end(TOPIC) == end


async def test_a_deployment_with_organisations_is_closed_if_a_version_names_none() -> (
    None
):
    """Symptom: a version without its organisations lets everybody in."""
    async with a_front() as bench:
        bench.configuration.require_api_keys = True
        await bench.async_configure(2)
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == 401


async def test_a_public_queue_takes_anybody() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS, OPEN)
        assert (await bench.async_ask("POST", OPEN + JOB, BODY)).status == 200
        assert (await bench.async_ask("GET", OPEN + JOB)).status == 200
        assert (await bench.async_ask("GET", OPEN, key="nobody's")).status == 200


async def test_another_key_of_the_same_organisation_names_the_same_job() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await _async_hand_in(bench)
        await bench.async_ask("GET", PREFIX + JOB, key=DAIRY)
        again = await bench.async_ask("POST", PREFIX + JOB, BODY, DAIRY_TOO)
        assert again.status == 200
        assert bench.store.topic_end(TOPIC) == 1


async def test_nobody_sees_cancels_or_takes_over_another_organisations_job() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await _async_hand_in(bench)
        statuses = [
            (await bench.async_ask(method, PREFIX + JOB, BODY, GAUGES)).status
            for method in ("GET", "DELETE", "POST")
        ]
        assert statuses == [410, 410, 409]
        assert bench.store.topic_end(TOPIC) == 1
        state = await bench.async_ask("GET", PREFIX + JOB, key=DAIRY)
        assert msgspec.json.decode(state.body) == {"state": "queued"}


async def test_a_private_job_is_not_told_over_a_public_queue() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS, OPEN)
        await _async_hand_in(bench)
        assert (await bench.async_ask("GET", OPEN + JOB)).status == 410


async def test_a_job_stays_readable_when_its_queue_turns_public_or_private() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await bench.async_ask("POST", PREFIX + JOB, BODY, DAIRY)
        await _async_configure(bench, 3, KEYS, PREFIX)
        assert (await bench.async_ask("GET", PREFIX + JOB)).status == 200
        await _async_configure(bench, 4, KEYS)
        assert (await bench.async_ask("GET", PREFIX + JOB, key=DAIRY)).status == 200
        assert (await bench.async_ask("GET", PREFIX + JOB)).status == 401


async def test_a_key_that_was_just_added_is_found() -> None:
    """Ask the log's end before a key is called unknown.

    Symptom: callers with a key in force for seconds got 401. Sequence: the entry's
    connection to the store was silent; the key was added. Cause: "unknown" was said as
    of an old configuration.
    """
    async with a_front() as bench:
        await _async_configure(bench, 2, {"dairy": []})
        record = a_config(3, BOTH, KEYS)
        bench.store.append(TOPIC_OPERATOR, [("config", record)])
        bench.timers.pause(3.0)
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == 200


async def test_an_unknown_key_is_not_called_so_while_the_log_is_away() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        bench.store.mood = Mood.REFUSING
        bench.timers.pause(3.0)
        assert (await bench.async_ask("GET", PREFIX, key="new")).status == 503


async def test_a_slow_store_is_asked_once_for_an_unknown_key() -> None:
    """Symptom: a request for an unknown key reads the log until its caller gives up.

    Cause: a read that takes longer than a configuration counts as fresh asked for
    another one.
    """
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        bench.timers.pause(3.0)
        reads = 0
        read = bench.config_follower.async_confirm

        async def async_slow_confirm() -> bool:
            nonlocal reads
            reads += 1
            confirmed = await read()
            bench.timers.pause(1.0)
            return confirmed

        bench.front.admission.follower = _Slow(  # type: ignore[assignment]
            async_slow_confirm, bench.config_follower.fresh_at
        )
        assert (await bench.async_ask("GET", PREFIX, key="new")).status == 401
        assert reads == 1


class _Slow:
    """Play a follower whose every answer is old once it is there."""

    def __init__(self, confirm: object, fresh_at: float) -> None:
        self.async_confirm = confirm
        self.fresh_at = fresh_at


async def test_a_withdrawn_key_never_comes_back_by_an_older_version() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 5, {"gauges": [GAUGES]})
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == 401
        await _async_configure(bench, 4, KEYS)
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == 401
        assert (await bench.async_ask("GET", PREFIX, key=GAUGES)).status == 200


async def test_an_organisation_that_lost_all_keys_is_shut_out_and_not_forgotten() -> (
    None
):
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await bench.async_ask("POST", PREFIX + JOB, BODY, DAIRY)
        await _async_configure(bench, 3, {"gauges": [GAUGES]})
        assert (await bench.async_ask("GET", PREFIX + JOB, key=DAIRY)).status == 401
        assert bench.configuration.organisation("dairy") is not None
        assert JOB in bench.ledger.jobs


@pytest.mark.parametrize(("strict", "status"), [(None, 200), (5.0, 503)])
async def test_keys_that_may_be_withdrawn_are_taken_as_the_deployment_says(
    strict: float | None, status: int
) -> None:
    """An entry that can't hear of a key's end serves on, or refuses after a time."""
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        bench.front.admission.oldest_keys_seconds = strict
        bench.store.mood = Mood.REFUSING
        bench.timers.pause(4.0)
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == 200
        bench.timers.pause(2.0)
        assert (await bench.async_ask("GET", PREFIX, key=DAIRY)).status == status


async def test_no_key_stands_in_a_log_line_a_record_or_a_text(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG)
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await bench.async_ask("POST", PREFIX + JOB, BODY, DAIRY)
        await bench.async_ask("POST", PREFIX + JOB, BODY, "nobody's secret")
        records = bench.store.records_from(TOPIC, 0)
        texts = [
            caplog.text,
            repr(bench.configuration),
            repr(bench.configuration.config),
            *(repr(record.value) for record in records),
        ]
        assert any(record.key == PREFIX_JOB + JOB for record in records)
        for secret in (DAIRY, GAUGES, "nobody's secret"):
            assert not any(secret in text for text in texts)


async def test_a_job_that_is_over_is_still_its_organisations_own() -> None:
    async with a_front() as bench:
        await _async_configure(bench, 2, KEYS)
        await _async_hand_in(bench)
        await bench.async_ask("GET", PREFIX + JOB, key=DAIRY)
        stub = bench.ledger.jobs[JOB].record.as_stub()
        assert (stub.organisation, stub.queue) == ("dairy", f"{HOST} {PREFIX}")
        assert stub.is_stub
