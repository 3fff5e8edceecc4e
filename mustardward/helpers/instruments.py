"""Define the Prometheus metrics of an entry node."""

from __future__ import annotations

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

REGISTRY: Final = CollectorRegistry(auto_describe=False)

_BUCKETS_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

REQUESTS: Final = Counter(
    "mustardward_requests",
    "Requests of callers, by method and status.",
    ("method", "status"),
    registry=REGISTRY,
)
REQUEST_SECONDS: Final = Histogram(
    "mustardward_request_seconds",
    "Time from a request's last byte to its answer.",
    ("method",),
    buckets=_BUCKETS_SECONDS,
    registry=REGISTRY,
)
CONNECTIONS_CLOSED: Final = Counter(
    "mustardward_connections_closed",
    "Connections of callers closed to stay within the limits, by reason.",
    ("reason",),
    registry=REGISTRY,
)
ADVICE_CALLS: Final = Counter(
    "mustardward_advice_calls",
    "Calls of the advice service, by outcome.",
    ("outcome",),
    registry=REGISTRY,
)
ADVICE_SECONDS: Final = Histogram(
    "mustardward_advice_seconds",
    "Time until the advice service answered.",
    buckets=_BUCKETS_SECONDS,
    registry=REGISTRY,
)
APPENDS: Final = Counter(
    "mustardward_appends",
    "Appends to the log, by what became of them.",
    ("outcome",),
    registry=REGISTRY,
)
PROGRESS_TRUNCATED: Final = Counter(
    "mustardward_progress_truncated",
    "Progress records that leave out what the store would not accept.",
    registry=REGISTRY,
)
APPEND_SECONDS: Final = Histogram(
    "mustardward_append_seconds",
    "Time until an append's fate was known.",
    buckets=_BUCKETS_SECONDS,
    registry=REGISTRY,
)
STARTS: Final = Counter(
    "mustardward_starts",
    "Orders to start a task, by the worker's answer.",
    ("answer",),
    registry=REGISTRY,
)
START_WAIT_SECONDS: Final = Histogram(
    "mustardward_start_wait_seconds",
    "Time from a task's turn to its start.",
    buckets=_BUCKETS_SECONDS,
    registry=REGISTRY,
)
LOOP_LAG_SECONDS: Final = Histogram(
    "mustardward_loop_lag_seconds",
    "How much too late an owner's looks at itself came.",
    buckets=_BUCKETS_SECONDS,
    registry=REGISTRY,
)
CALLS_UNDER_WAY: Final = Gauge(
    "mustardward_calls_under_way",
    "Calls to workers that an owner has under way.",
    registry=REGISTRY,
)
ENDS: Final = Counter(
    "mustardward_ends",
    "Runs that ended, by how.",
    ("how",),
    registry=REGISTRY,
)
WORKERS_LOST: Final = Counter(
    "mustardward_workers_lost",
    "Incarnations of workers that are over, by how that is known.",
    ("cause",),
    registry=REGISTRY,
)
CRASHES: Final = Counter(
    "mustardward_worker_crashes",
    "Workers that ended unasked.",
    registry=REGISTRY,
)
JOBS_GIVEN_UP: Final = Counter(
    "mustardward_jobs_given_up",
    "Jobs that were given up since workers crashed under a task.",
    registry=REGISTRY,
)
QUOTA_WAITS: Final = Counter(
    "mustardward_quota_wait_seconds",
    "Seconds in which an organisation's tasks waited for room in its quota.",
    ("organisation",),
    registry=REGISTRY,
)
BEYOND_SHARE: Final = Counter(
    "mustardward_beyond_share_seconds",
    "Seconds in which jobs waited beyond their organisation's share of a full pool.",
    ("organisation",),
    registry=REGISTRY,
)
TASK_WAITS: Final = Counter(
    "mustardward_task_waits",
    "Steps that a look each second found waiting though their pool had room, by why.",
    ("reason",),
    registry=REGISTRY,
)
OLDEST_WAIT_SECONDS: Final = Gauge(
    "mustardward_oldest_task_wait_seconds",
    "The longest of these waits that goes on, or 0.",
    registry=REGISTRY,
)
FLEET_ORDERS: Final = Counter(
    "mustardward_fleet_orders",
    "Moves and maintenance of instances, by the platform's answer.",
    ("kind", "answer"),
    registry=REGISTRY,
)
PEER_ANSWERS: Final = Counter(
    "mustardward_peer_answers",
    "Requests that a peer was asked for, by whether one answered.",
    ("answered",),
    registry=REGISTRY,
)
UNREADABLE: Final = Counter(
    "mustardward_unreadable_records",
    "Records and rows that could not be read, by what they were taken for.",
    ("kind",),
    registry=REGISTRY,
)
RELAYED_CALLS: Final = Counter(
    "mustardward_relayed_calls",
    "Calls to the store through a peer, by whether one answered.",
    ("answered",),
    registry=REGISTRY,
)
STORE_LATENCY_SECONDS: Final = Gauge(
    "mustardward_store_latency_seconds",
    "Expected time until the store's response, as this entry knows it.",
    registry=REGISTRY,
)
STORE_SLOW_SECONDS: Final = Gauge(
    "mustardward_store_slow_seconds",
    "Time since which the store is slow for this entry, or 0.",
    registry=REGISTRY,
)
COLLECTING: Final = Gauge(
    "mustardward_collecting",
    "Whether this entry appends the requests of others while the store is slow.",
    registry=REGISTRY,
)
OWNED_EPOCH: Final = Gauge(
    "mustardward_owned_epoch",
    "The epoch under which this entry owns the shard, or 0.",
    registry=REGISTRY,
)


def render() -> bytes:
    """Return all metrics in the text exposition format."""
    return generate_latest(REGISTRY)
