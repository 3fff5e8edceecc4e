"""Test the estimate of the store's latency."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.store_latency import (
    APPEND_MAX_AGE_SECONDS,
    RECOVERED_SECONDS,
    SLOW_SECONDS,
    UNDECIDED_SECONDS,
    StoreLatency,
)
from mustardward.helpers.policies import switch_off


def test_wait_for_a_record_is_not_latency() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.306, 0.3, has_records=False)
    assert latency.seconds(0.4) == pytest.approx(0.006)
    assert not latency.is_slow(0.4)


def test_late_empty_read_shows_a_slow_store() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.676, 0.3, has_records=False)
    assert latency.is_slow(0.7)
    assert latency.slow_since == 0.676
    assert latency.seconds(0.7) >= 0.376


def test_read_with_records_bounds_the_latency_from_both_sides() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.25, 0.3, has_records=True)
    assert latency.seconds(0.3) == 0.0
    latency.record_read(1.0, 1.5, 0.3, has_records=True)
    assert latency.seconds(1.5) >= 0.2
    assert latency.is_slow(1.5)
    latency.record_read(2.0, 2.01, 0.3, has_records=True)
    assert latency.seconds(2.1) == pytest.approx(0.01)


def test_outstanding_read_shows_a_slow_store_before_its_response() -> None:
    latency = StoreLatency()
    latency.begin_call(0.0, 0.3)
    assert not latency.is_slow(0.3 + 0.9 * SLOW_SECONDS)
    assert latency.is_slow(0.3 + 1.1 * SLOW_SECONDS)


def test_cancelled_read_shows_nothing() -> None:
    latency = StoreLatency()
    latency.end_call(latency.begin_call(0.0))
    assert not latency.is_slow(5.0)


def test_read_that_was_sent_last_counts() -> None:
    """Guard against a recovered store that a response from before makes slow again."""
    latency = StoreLatency()
    latency.begin_call(0.0)
    latency.record_read(0.3, 0.306, 0.0, has_records=False)
    assert not latency.is_slow(0.35)
    latency.record_read(0.0, 0.376, 0.0, has_records=False)
    assert not latency.is_slow(0.4)


def test_late_read_is_not_hidden_by_one_that_may_have_taken_as_long() -> None:
    """Guard against a slow store that a read of a busy topic hides.

    The read that was sent later waited for a record for most of its time.
    """
    latency = StoreLatency()
    latency.begin_call(0.0, 0.3)
    latency.record_read(0.1, 0.55, 0.3, has_records=True)
    assert latency.is_slow(0.6)


def test_slow_store_recovers_only_below_a_lower_limit() -> None:
    latency = StoreLatency()
    between = (SLOW_SECONDS + RECOVERED_SECONDS) / 2
    latency.record_read(0.0, between, 0.0, has_records=False)
    assert not latency.is_slow(1.0)
    latency.record_read(1.0, 1.0 + SLOW_SECONDS, 0.0, has_records=False)
    assert latency.is_slow(2.0)
    latency.record_read(2.0, 2.0 + between, 0.0, has_records=False)
    assert latency.is_slow(3.0)
    latency.record_read(3.0, 3.006, 0.0, has_records=False)
    assert not latency.is_slow(4.0)
    assert latency.slow_since is None


def test_append_alone_does_not_show_a_slow_store() -> None:
    """Guard against late retries at a store that loses the responses to appends.

    Its reads are fast, and an append that waits for seconds there is not late but lost.
    """
    latency = StoreLatency()
    latency.record_read(0.0, 0.006, 0.0, has_records=False)
    latency.record_append(0.0, 2.0)
    assert not latency.is_slow(2.0)
    assert latency.seconds(2.0) == pytest.approx(0.006)
    assert latency.overdue_seconds(2.0) == 0.0


def test_append_to_a_slow_store_tells_the_length_of_the_queue() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.4, 0.0, has_records=False)
    assert latency.seconds(1.0) == pytest.approx(0.5)
    latency.record_append(0.0, 1.5)
    assert latency.seconds(2.0) == 1.5
    assert latency.overdue_seconds(2.0) > 2 * 1.5
    assert latency.seconds(1.5 + APPEND_MAX_AGE_SECONDS) == pytest.approx(0.5)


def test_store_that_answers_nothing_is_down_rather_than_slow() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.4, 0.0, has_records=False)
    assert latency.is_slow(0.5)
    latency.record_failed_read(0.5, 1.0)
    latency.record_failed_read(1.1, 1.6)
    assert not latency.is_slow(1.6)
    assert latency.is_overdue(1.6)
    assert latency.may_be_slow(1.0 + 0.9 * UNDECIDED_SECONDS)
    assert not latency.may_be_slow(1.0 + 1.1 * UNDECIDED_SECONDS)


def test_read_with_too_short_a_timeout_does_not_show_an_outage() -> None:
    """Guard against an outage that is seen again after a probe was answered."""
    latency = StoreLatency()
    latency.record_failed_read(0.0, 0.5)
    latency.record_read(0.2, 1.0, 0.0, has_records=False)
    latency.record_failed_read(0.6, 1.1)
    assert latency.is_slow(1.2)


def test_no_store_is_slow_without_the_policy() -> None:
    latency = StoreLatency()
    latency.record_read(0.0, 0.5, 0.0, has_records=False)
    switch_off(["store-latency"])
    try:
        assert not latency.is_slow(1.0)
        assert latency.seconds(1.0) == 0.0
    finally:
        switch_off([])
