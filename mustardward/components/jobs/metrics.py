"""Export metrics on jobs and idempotency keys to statsd."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from returns.result import Success

from ...helpers.metrics import Metric, MetricKind, Metrics, declare_metric
from ...state.fold import RecordOutcome
from ...state.models.jobs import CloseIntent, EndAttempt
from ...state.protocols import WorkLog
from .attempt_manager import AttemptManager

UNFINISHED: Final[Metric] = declare_metric(
    "jobs_unfinished",
    MetricKind.GAUGE,
    "Accepted jobs of the data centre that are neither done nor cancelled.",
)
STUCK: Final[Metric] = declare_metric(
    "jobs_stuck",
    MetricKind.GAUGE,
    "Parked and held jobs of the data centre, which wait for an operator.",
)
LEASES: Final[Metric] = declare_metric(
    "job_leases", MetricKind.GAUGE, "Attempts whose leases this entry holds."
)
ENDS: Final[Metric] = declare_metric(
    "job_attempts_ended",
    MetricKind.COUNTER,
    "Attempts on jobs of the data centre that ended.",
    "outcome",
)
KEYS: Final[Metric] = declare_metric(
    "idempotency_keys", MetricKind.GAUGE, "Keys that the data centre remembers."
)
KEY_OUTCOMES: Final[Metric] = declare_metric(
    "idempotency_outcomes",
    MetricKind.COUNTER,
    "Outcomes of keyed requests that the data centre's log took.",
    "ran",
)


def subscribe_metrics(
    metrics: Metrics, log: WorkLog, attempt_manager: AttemptManager
) -> list[Callable[[], None]]:
    """Subscribe the metrics to the log; return the unsubscribe functions."""

    def on_record(outcome: RecordOutcome) -> None:
        if not isinstance(outcome.result, Success):
            return
        if isinstance(outcome.body, EndAttempt):
            metrics.count(ENDS, outcome.body.outcome)
        if isinstance(outcome.body, CloseIntent):
            metrics.count(KEY_OUTCOMES, outcome.body.ran)

    def set_gauges() -> None:
        state = log.state
        metrics.gauge(UNFINISHED, sum(state.open_jobs.values()))
        metrics.gauge(STUCK, len(state.stuck))
        metrics.gauge(LEASES, len(attempt_manager.attempts))
        metrics.gauge(KEYS, len(state.intents))

    return [log.listen(on_record), metrics.add_source(set_gauges)]
