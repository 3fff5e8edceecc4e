"""Quarantine workers that fail, and release them after a probation."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ...helpers.logging import get_logger
from ..entry.models import Attempt
from .const import (
    CAP_LOG_INTERVAL_SECONDS,
    PENALTY_FADE_SECONDS,
    PROBE_INTERVAL_SECONDS,
)
from .health import (
    PROBATION,
    QUARANTINED,
    TRUSTED,
    FailureAttribution,
    Health,
    apply_event,
    is_conclusive,
    is_failure,
    is_outlier,
    quarantine_cap,
    record_probe,
    record_sample,
    undo_failure,
)
from .index import FleetIndex, GroupKey, WorkerGroup, WorkerLoad
from .models import InstanceQuarantined, InstanceReleased

_LOGGER = get_logger(__name__)

Publish = Callable[[object], None]


class QuarantineTracker:
    """Record attempts and maintain the quarantine state of workers.

    :param publish: takes :class:`InstanceQuarantined` and :class:`InstanceReleased`.
    """

    def __init__(self, publish: Publish) -> None:
        self._publish = publish
        self._attribution = FailureAttribution()
        self._cap_logged_at = float("-inf")
        self._probe_times: dict[GroupKey, list[tuple[float, str]]] = {}

    def record_attempt(
        self,
        index: FleetIndex,
        load: WorkerLoad,
        request_id: str,
        attempt: Attempt,
        now: float,
    ) -> None:
        """Record the outcome of one attempt and quarantine or release its worker."""
        if load.health.state != TRUSTED:
            if is_conclusive(attempt, load.group.baseline_seconds):
                self._record_probe(index, load, is_failure(attempt), now)
            return
        if not is_conclusive(attempt, load.group.baseline_seconds):
            return
        failed = is_failure(attempt)
        if not failed:
            load.group.record_latency(attempt.latency_seconds)
        if failed and not self._failure_counts(index, load, request_id):
            return
        self._record_sample(load, failed, now)
        if failed:
            self._quarantine_if_outlier(index, load, now)

    def next_probe(self, group: WorkerGroup, now: float) -> WorkerLoad | None:
        """Return a quarantined worker that is idle and due for a probe, or ``None``."""
        probe_times = self._probe_times.get(group.key)
        while probe_times and probe_times[0][0] <= now:
            probe_time, instance_id = heapq.heappop(probe_times)
            load = group.members.get(instance_id)
            if (
                load is None
                or load.health.state == TRUSTED
                or load.health.quarantine_ends_at > probe_time
            ):
                continue
            # The worker stays scheduled for further probes. One that can't be probed
            # now must not block those behind it in the order.
            heapq.heappush(probe_times, (now + PROBE_INTERVAL_SECONDS, instance_id))
            if load.in_flight or not load.usable:
                continue
            if load.health.state == QUARANTINED:
                apply_event(load.health, "term_over", now)
            return load
        return None

    def apply_quarantine(self, index: FleetIndex, load: WorkerLoad, now: float) -> None:
        """Apply a quarantine from the log that another entry decided."""
        if load.health.state == TRUSTED:
            self._enter_quarantine(load, now)
            index.update_group(load)

    def release(self, index: FleetIndex, load: WorkerLoad, now: float) -> None:
        """Release a worker that was confirmed to be up."""
        if load.health.state != TRUSTED:
            self._leave_quarantine(index, load, "seen_up", now)

    def _failure_counts(
        self, index: FleetIndex, load: WorkerLoad, request_id: str
    ) -> bool:
        counts, cleared = self._attribution.attribute(
            request_id, load.instance.instance_id
        )
        first = index.load(cleared) if cleared else None
        if first is not None and first.health.state == TRUSTED:
            before = first.health.failure_share
            undo_failure(first.health)
            first.group.failure_sum += first.health.failure_share - before
        return counts

    def _record_sample(self, load: WorkerLoad, failed: bool, now: float) -> None:
        before = load.health.failure_share
        record_sample(load.health, failed, now)
        load.group.failure_sum += load.health.failure_share - before
        if failed:
            load.penalised_until = now + PENALTY_FADE_SECONDS

    def _quarantine_if_outlier(
        self, index: FleetIndex, load: WorkerLoad, now: float
    ) -> None:
        group = load.group
        peers_share = group.peers_share(load)
        if not is_outlier(load.health, peers_share):
            return
        # If many workers fail at once, one common cause is far more likely than many
        # bad workers. Without a cap, the whole pool would be quarantined within
        # seconds.
        if len(group.quarantined) >= quarantine_cap(len(group.members)):
            self._log_cap_reached(load, now)
            return
        share = load.health.failure_share
        self._enter_quarantine(load, now)
        index.update_group(load)
        self._publish(
            InstanceQuarantined(
                load.instance.instance_id,
                load.instance.pool,
                share,
                peers_share,
                load.health.quarantine_ends_at - now,
            )
        )

    def _log_cap_reached(self, load: WorkerLoad, now: float) -> None:
        if now - self._cap_logged_at < CAP_LOG_INTERVAL_SECONDS:
            return
        self._cap_logged_at = now
        instance = load.instance
        _LOGGER.warning(
            "quarantine_capped", instance=instance.instance_id, pool=instance.pool
        )

    def _enter_quarantine(self, load: WorkerLoad, now: float) -> None:
        load.group.failure_sum -= load.health.failure_share
        apply_event(load.health, "judged_outlier", now)
        load.group.quarantined.add(load.instance.instance_id)
        self._schedule_probe(load)

    def _leave_quarantine(
        self, index: FleetIndex, load: WorkerLoad, event: str, now: float
    ) -> None:
        apply_event(load.health, event, now)
        load.group.quarantined.discard(load.instance.instance_id)
        index.update_group(load)

    def _record_probe(
        self, index: FleetIndex, load: WorkerLoad, failed: bool, now: float
    ) -> None:
        health: Health = load.health
        if health.state != PROBATION:
            return
        event = record_probe(health, failed)
        if event == "probe_failed":
            apply_event(health, event, now)
            self._schedule_probe(load)
        elif event == "proved":
            self._leave_quarantine(index, load, event, now)
            self._publish(
                InstanceReleased(load.instance.instance_id, load.instance.pool)
            )

    def _schedule_probe(self, load: WorkerLoad) -> None:
        probe_times = self._probe_times.setdefault(load.group.key, [])
        heapq.heappush(
            probe_times, (load.health.quarantine_ends_at, load.instance.instance_id)
        )
