"""Test that a caller needs a valid API key and can access only its own jobs."""

from __future__ import annotations

import logging

import msgspec
import pytest

from mustardward.components.ledger.const import PREFIX_JOB, TOPIC
from mustardward.platform.store import TOPIC_OPERATOR
from mustardward.standin.estate.store import StoreMode

from .builders import (
    BODY,
    HOST,
    JOB,
    PREFIX,
    FrontHarness,
    encode_config,
    running_front,
)

pytestmark = pytest.mark.anyio

DAIRY_KEY = "key-of-the-dairy"
DAIRY_SECOND_KEY = "second-key-of-the-dairy"
GAUGES_KEY = "key-of-the-gauge-works"
KEYS = {"dairy": [DAIRY_KEY, DAIRY_SECOND_KEY], "gauges": [GAUGES_KEY]}
PUBLIC_PREFIX = "/open/"
PREFIXES = (PREFIX, PUBLIC_PREFIX)


async def _async_configure(
    harness: FrontHarness, version: int, keys: dict[str, list[str]], *public: str
) -> None:
    await harness.async_publish(encode_config(version, PREFIXES, keys, public))


async def _async_submit_job(harness: FrontHarness) -> None:
    """Submit the dairy's job, and let the state read from the log become outdated."""
    await harness.async_request("POST", PREFIX + JOB, BODY, DAIRY_KEY)
    harness.timers.pause(0.2)


@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", PREFIX + JOB), ("GET", PREFIX + JOB), ("DELETE", PREFIX + JOB)]
    + [("GET", PREFIX)],
)
@pytest.mark.parametrize("key", ["", "nobody's"])
async def test_request_without_a_known_key_has_no_effect(
    method: str, path: str, key: str
) -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await _async_submit_job(harness)
        end = harness.store.topic_end(TOPIC)
        reply = await harness.async_request(method, path, BODY, key)
        assert reply.status == 401
        assert harness.store.topic_end(TOPIC) == end


async def test_configuration_without_organisations_admits_nobody() -> None:
    """Guard against open access after a version that omits the organisations."""
    async with running_front() as harness:
        harness.configuration.require_api_keys = True
        await harness.async_configure(2)
        assert (await harness.async_request("GET", PREFIX, key=DAIRY_KEY)).status == 401


async def test_public_queue_needs_no_key() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS, PUBLIC_PREFIX)
        assert (
            await harness.async_request("POST", PUBLIC_PREFIX + JOB, BODY)
        ).status == 200
        assert (await harness.async_request("GET", PUBLIC_PREFIX + JOB)).status == 200
        assert (
            await harness.async_request("GET", PUBLIC_PREFIX, key="nobody's")
        ).status == 200


async def test_all_keys_of_an_organisation_give_access_to_its_jobs() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await _async_submit_job(harness)
        await harness.async_request("GET", PREFIX + JOB, key=DAIRY_KEY)
        again = await harness.async_request(
            "POST", PREFIX + JOB, BODY, DAIRY_SECOND_KEY
        )
        assert again.status == 200
        assert harness.store.topic_end(TOPIC) == 1


async def test_another_organisations_job_is_inaccessible() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await _async_submit_job(harness)
        statuses = [
            (await harness.async_request(method, PREFIX + JOB, BODY, GAUGES_KEY)).status
            for method in ("GET", "DELETE", "POST")
        ]
        assert statuses == [410, 410, 409]
        assert harness.store.topic_end(TOPIC) == 1
        state = await harness.async_request("GET", PREFIX + JOB, key=DAIRY_KEY)
        assert msgspec.json.decode(state.body) == {"state": "queued"}


async def test_private_job_is_not_visible_over_a_public_queue() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS, PUBLIC_PREFIX)
        await _async_submit_job(harness)
        assert (await harness.async_request("GET", PUBLIC_PREFIX + JOB)).status == 410


async def test_job_stays_readable_when_its_queue_turns_public_or_private() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await harness.async_request("POST", PREFIX + JOB, BODY, DAIRY_KEY)
        await _async_configure(harness, 3, KEYS, PREFIX)
        assert (await harness.async_request("GET", PREFIX + JOB)).status == 200
        await _async_configure(harness, 4, KEYS)
        assert (
            await harness.async_request("GET", PREFIX + JOB, key=DAIRY_KEY)
        ).status == 200
        assert (await harness.async_request("GET", PREFIX + JOB)).status == 401


async def test_unknown_key_is_checked_against_the_newest_configuration() -> None:
    """Guard against 401 for a key that was added seconds before.

    The key is added while the entry node's connection to the store is silent, so that
    the local configuration is outdated.
    """
    async with running_front() as harness:
        await _async_configure(harness, 2, {"dairy": []})
        record = encode_config(3, PREFIXES, KEYS)
        harness.store.append(TOPIC_OPERATOR, [("config", record)])
        harness.timers.pause(3.0)
        assert (await harness.async_request("GET", PREFIX, key=DAIRY_KEY)).status == 200


async def test_unknown_key_gets_503_while_the_log_is_unreachable() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        harness.store.mode = StoreMode.REFUSING
        harness.timers.pause(3.0)
        assert (await harness.async_request("GET", PREFIX, key="new")).status == 503


async def test_unknown_key_reads_a_slow_log_once() -> None:
    """Guard against a request that reads the log until its caller gives up.

    A read may take longer than the maximum age of a configuration; that alone must not
    cause another read.
    """
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        harness.timers.pause(3.0)
        reads = 0
        catch_up = harness.config_follower.async_catch_up

        async def async_slow_catch_up() -> bool:
            nonlocal reads
            reads += 1
            confirmed = await catch_up()
            harness.timers.pause(1.0)
            return confirmed

        harness.front.admission.follower = _SlowFollower(  # type: ignore[assignment]
            async_slow_catch_up, harness.config_follower.up_to_date_at
        )
        assert (await harness.async_request("GET", PREFIX, key="new")).status == 401
        assert reads == 1


class _SlowFollower:
    """Follower whose state is outdated as soon as a read returns."""

    def __init__(self, catch_up: object, up_to_date_at: float) -> None:
        self.async_catch_up = catch_up
        self.up_to_date_at = up_to_date_at


async def test_revoked_key_is_not_restored_by_an_older_version() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 5, {"gauges": [GAUGES_KEY]})
        assert (await harness.async_request("GET", PREFIX, key=DAIRY_KEY)).status == 401
        await _async_configure(harness, 4, KEYS)
        assert (await harness.async_request("GET", PREFIX, key=DAIRY_KEY)).status == 401
        assert (
            await harness.async_request("GET", PREFIX, key=GAUGES_KEY)
        ).status == 200


async def test_organisation_without_keys_is_refused_but_kept() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await harness.async_request("POST", PREFIX + JOB, BODY, DAIRY_KEY)
        await _async_configure(harness, 3, {"gauges": [GAUGES_KEY]})
        assert (
            await harness.async_request("GET", PREFIX + JOB, key=DAIRY_KEY)
        ).status == 401
        limits = harness.configuration.limits_of("dairy")
        assert limits is not None
        assert harness.ledger.jobs[JOB].record.limits == limits


@pytest.mark.parametrize(("strict", "status"), [(None, 200), (5.0, 503)])
async def test_maximum_key_age_limits_service_during_an_outage(
    strict: float | None, status: int
) -> None:
    """Check a node that can't learn of revocations.

    It continues to serve, or refuses callers after the maximum key age if one is set.
    """
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        harness.front.admission.max_key_age_seconds = strict
        harness.store.mode = StoreMode.REFUSING
        harness.timers.pause(4.0)
        assert (await harness.async_request("GET", PREFIX, key=DAIRY_KEY)).status == 200
        harness.timers.pause(2.0)
        assert (
            await harness.async_request("GET", PREFIX, key=DAIRY_KEY)
        ).status == status


async def test_keys_do_not_appear_in_logs_records_or_representations(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG)
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await harness.async_request("POST", PREFIX + JOB, BODY, DAIRY_KEY)
        await harness.async_request("POST", PREFIX + JOB, BODY, "nobody's secret")
        records = harness.store.records_from(TOPIC, 0)
        texts = [
            caplog.text,
            repr(harness.configuration),
            repr(harness.configuration.config),
            *(repr(record.value) for record in records),
        ]
        assert any(record.key == PREFIX_JOB + JOB for record in records)
        for secret in (DAIRY_KEY, GAUGES_KEY, "nobody's secret"):
            assert not any(secret in text for text in texts)


async def test_stub_keeps_the_organisation_and_queue() -> None:
    async with running_front() as harness:
        await _async_configure(harness, 2, KEYS)
        await _async_submit_job(harness)
        await harness.async_request("GET", PREFIX + JOB, key=DAIRY_KEY)
        stub = harness.ledger.jobs[JOB].record.as_stub()
        assert (stub.organisation, stub.queue) == ("dairy", f"{HOST} {PREFIX}")
        assert stub.is_stub
