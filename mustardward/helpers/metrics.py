"""Declare metrics, aggregate their values and send them to statsd periodically."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from statsd import StatsClient

from ..settings.models import MetricsSettings
from .logging import get_logger
from .registry import Registry

_LOGGER = get_logger(__name__)

FLUSH_SECONDS: Final = 1.0
TIMINGS_PER_FLUSH: Final = 256
"""Maximum number of timings between flushes; further ones are dropped."""


class MetricKind(StrEnum):
    """Statsd type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@dataclass(frozen=True, slots=True)
class Metric:
    """Metric definition; ``labels`` names the parts appended to its name."""

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()


METRICS: Registry[str, Metric] = Registry("metrics")


def declare_metric(name: str, kind: MetricKind, text: str, *labels: str) -> Metric:
    """Register a metric and return it."""
    return METRICS.register(name)(Metric(name, kind, text, labels))


class StatsdPipeline(Protocol):
    """Batch of values that are sent in as few datagrams as possible."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Add a timing in milliseconds."""
        ...

    def send(self) -> None:
        """Send the batch."""
        ...


class Metrics:
    """Aggregate values and send them at each flush.

    :param open_pipeline: opens a batch; None disables metrics.
    """

    def __init__(self, open_pipeline: Callable[[], StatsdPipeline] | None) -> None:
        self._open_pipeline = open_pipeline
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        self._sources: list[Callable[[], None]] = []

    @property
    def enabled(self) -> bool:
        """Return whether values are sent."""
        return self._open_pipeline is not None

    def count(self, metric: Metric, *labels: str, by: int = 1) -> None:
        """Add to a counter."""
        if self._open_pipeline is not None:
            name = metric_name(metric, labels)
            self._counts[name] = self._counts.get(name, 0) + by

    def gauge(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge."""
        if self._open_pipeline is not None:
            self._gauges[metric_name(metric, labels)] = value

    def timing(self, metric: Metric, seconds: float, *labels: str) -> None:
        """Add a duration."""
        if self._open_pipeline is None or len(self._timings) >= TIMINGS_PER_FLUSH:
            return
        self._timings.append((metric_name(metric, labels), seconds * 1000.0))

    def add_source(self, source: Callable[[], None]) -> Callable[[], None]:
        """Call ``source`` before each flush to set gauges; return the unsubscriber."""
        self._sources.append(source)
        return lambda: self._sources.remove(source)

    async def async_flush(self) -> None:
        """Send the values aggregated since the last flush."""
        if self._open_pipeline is None:
            return
        for source in list(self._sources):
            source()
        counts, self._counts = self._counts, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, []
        pipeline = self._open_pipeline()
        for name, count in counts.items():
            pipeline.incr(name, count)
        for name, value in gauges.items():
            pipeline.gauge(name, value)
        for name, milliseconds in timings:
            pipeline.timing(name, milliseconds)
        pipeline.send()


def metric_name(metric: Metric, labels: tuple[str, ...]) -> str:
    """Return the name on the wire; dots in labels are replaced, as they add levels."""
    if not labels:
        return metric.name
    safe = [label.replace(".", "_").replace(":", "_") for label in labels]
    return ".".join([metric.name, *safe])


def open_metrics(settings: MetricsSettings, entry: str) -> Metrics:
    """Return the metrics of a process, disabled if statsd's address is unusable."""
    if not settings.enabled:
        return Metrics(None)
    prefix = f"{settings.prefix}.{entry.replace('.', '_')}"
    try:
        client = StatsClient(settings.host, settings.port, prefix)
    except OSError as error:
        # An unresolvable host name must not prevent the process from starting.
        _LOGGER.warning("metrics_unavailable", error=str(error))
        return Metrics(None)
    return Metrics(client.pipeline)
