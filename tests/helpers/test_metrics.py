"""Test the metrics sent to statsd."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from mustardward.components.entry import metrics as entry_metrics
from mustardward.components.entry.health import EntryHealth
from mustardward.components.entry.models import Ran, RequestFinished
from mustardward.core import Core
from mustardward.helpers.metrics import METRICS, Metrics, open_metrics
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import MetricsSettings
from mustardward.state.models.templates import Urgency
from tests.fakes.entry import build_settings

pytestmark = pytest.mark.anyio

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "metrics.md"


def build_finished(
    status: int, ran: Ran, code: str = "", cause: str = ""
) -> RequestFinished:
    return RequestFinished(
        "r", "hvelv.north", "turn", Urgency.URGENT, status, ran, 0.25, 2, cause, code
    )


async def test_finished_requests_are_aggregated_for_statsd() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        port = receiver.getsockname()[1]
        metrics = open_metrics(MetricsSettings(port=port, enabled=True), "entry-1")
        core = Core(build_settings(), DrivenTimerService(), None)  # type: ignore[arg-type]
        entry_metrics.subscribe_metrics(core, metrics, EntryHealth(core))
        core.events.publish(build_finished(200, Ran.YES))
        core.events.publish(build_finished(201, Ran.YES))
        core.events.publish(
            build_finished(502, Ran.UNKNOWN, "outcome-unknown", "failure")
        )
        core.timers.pause(5.0)  # type: ignore[attr-defined]
        await metrics.async_flush()
        lines = set(receiver.recv(65_536).decode().split("\n"))
    prefix = "mustardward.entry-1."
    assert {
        f"{prefix}requests.hvelv_north.2xx:2|c",
        f"{prefix}requests.hvelv_north.5xx:1|c",
        f"{prefix}requests_by_code.outcome-unknown:1|c",
        f"{prefix}requests_by_cause.failure:1|c",
        f"{prefix}requests_unknown.hvelv_north:1|c",
        f"{prefix}attempts:6|c",
        f"{prefix}process_pauses:1|c",
        f"{prefix}requests_in_progress:0|g",
        f"{prefix}ready:0|g",
        f"{prefix}request_time.urgent:250.000000|ms",
    } <= lines


async def test_unresolvable_statsd_host_disables_metrics() -> None:
    settings = MetricsSettings(host="no.such.host.invalid", enabled=True)
    metrics = open_metrics(settings, "entry-1")
    await metrics.async_flush()
    assert not metrics.enabled


async def test_disabled_metrics_accept_values() -> None:
    metrics = Metrics(None)
    metrics.count(entry_metrics.ATTEMPTS)
    metrics.timing(entry_metrics.LATENCY, 1.0, "urgent")
    assert not metrics.enabled


def test_every_metric_is_documented_for_operators() -> None:
    page = PAGE.read_text(encoding="utf-8")
    missing = [name for name in METRICS if f"`{name}`" not in page]
    assert missing == []
