"""Test the log lines and metrics about a slow store."""

from __future__ import annotations

import pytest

from mustardward.components.forwarding.latency_reporter import LatencyReporter
from mustardward.components.ledger.store_latency import StoreLatency
from mustardward.helpers.instruments import REGISTRY
from mustardward.helpers.timer import DrivenTimerService


def test_slow_store_is_reported_with_its_collecting_entries(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against an incident in which no log line shows why callers wait."""
    timers = DrivenTimerService(100.0)
    latency = StoreLatency()
    collecting = ["b", "me"]
    reporter = LatencyReporter("me", timers, latency, lambda: list(collecting))
    caplog.set_level("INFO", logger="absl")
    reporter.report()
    assert caplog.text == ""
    latency.record_read(99.0, 99.4, 0.0, has_records=False)
    reporter.report()
    reporter.report()
    assert caplog.text.count("store_slow") == 1
    assert "collecting=b,me" in caplog.text
    assert REGISTRY.get_sample_value("mustardward_collecting") == 1
    assert REGISTRY.get_sample_value("mustardward_store_latency_seconds") == (
        pytest.approx(0.5)
    )
    slow_seconds = REGISTRY.get_sample_value("mustardward_store_slow_seconds")
    assert slow_seconds == pytest.approx(0.6)
    collecting.remove("b")
    reporter.report()
    assert "collecting=me" in caplog.text
    timers.pause(1.0)
    latency.record_read(101.0, 101.006, 0.0, has_records=False)
    reporter.report()
    assert "store_recovered" in caplog.text
    assert REGISTRY.get_sample_value("mustardward_collecting") == 0
    assert REGISTRY.get_sample_value("mustardward_store_slow_seconds") == 0
