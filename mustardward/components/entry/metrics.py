"""Report the metrics of the request path."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ...core import Core
from ...helpers.metrics import Metric, MetricKind, Metrics, declare_metric
from ..keys import FLEET_LOG
from .health import EntryHealth
from .models import Ran, RequestFinished

REQUESTS: Final[Metric] = declare_metric(
    "requests",
    MetricKind.COUNTER,
    "Requests that got their final answer.",
    "organisation",
    "status class (2xx, 4xx, …)",
)
CODES: Final[Metric] = declare_metric(
    "requests_by_code",
    MetricKind.COUNTER,
    "Refused or broken off requests, by code.",
    "code",
)
CAUSES: Final[Metric] = declare_metric(
    "requests_by_cause",
    MetricKind.COUNTER,
    "Requests that spent error budget, by what spent it.",
    "cause",
)
UNKNOWN: Final[Metric] = declare_metric(
    "requests_unknown",
    MetricKind.COUNTER,
    "Requests refused with `ran: unknown`.",
    "organisation",
)
LATENCY: Final[Metric] = declare_metric(
    "request_time",
    MetricKind.TIMING,
    "Milliseconds from a request's arrival to the end of its answer.",
    "class",
)
ATTEMPTS: Final[Metric] = declare_metric(
    "attempts", MetricKind.COUNTER, "Attempts on workers or other entries."
)
IN_PROGRESS: Final[Metric] = declare_metric(
    "requests_in_progress", MetricKind.GAUGE, "Callers' requests being served."
)
READY: Final[Metric] = declare_metric(
    "ready", MetricKind.GAUGE, "1 if `/-/ready` answers 200, else 0."
)
TAIL_AGE: Final[Metric] = declare_metric(
    "log_tail_age_seconds",
    MetricKind.GAUGE,
    "Seconds since the fleet log's tail was last confirmed.",
)
PAUSES: Final[Metric] = declare_metric(
    "process_pauses", MetricKind.COUNTER, "Times the process was stopped or starved."
)


def subscribe_metrics(
    core: Core, metrics: Metrics, health: EntryHealth
) -> list[Callable[[], None]]:
    """Subscribe the metrics; return the functions that unsubscribe them."""

    def on_finished(event: RequestFinished) -> None:
        status_class = f"{event.status // 100}xx"
        metrics.count(REQUESTS, event.organisation or "none", status_class)
        metrics.timing(LATENCY, event.latency_seconds, event.urgency.value)
        if event.attempts:
            metrics.count(ATTEMPTS, by=event.attempts)
        if event.code:
            metrics.count(CODES, event.code)
        if event.cause:
            metrics.count(CAUSES, event.cause)
        if event.ran is Ran.UNKNOWN:
            metrics.count(UNKNOWN, event.organisation or "none")

    def set_gauges() -> None:
        metrics.gauge(IN_PROGRESS, health.in_progress)
        metrics.gauge(READY, 0 if health.not_ready_reason else 1)
        log = core.find(FLEET_LOG)
        if log is not None and log.ready:
            metrics.gauge(TAIL_AGE, log.tail_age_seconds())

    return [
        core.events.listen(RequestFinished, on_finished),
        metrics.add_source(set_gauges),
        core.timers.subscribe_pause(lambda pause_seconds: metrics.count(PAUSES)),
    ]
