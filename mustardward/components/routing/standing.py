"""Put workers in quarantine and let them out by probation."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ...helpers.logging import get_logger
from ..entry.models import Attempt
from .const import CAPPED_LOG_SECONDS, PENALTY_SECONDS, PROBE_SECONDS
from .health import (
    PROBATION,
    QUARANTINED,
    TRUSTED,
    BlameBook,
    Health,
    add_verdict,
    is_failure,
    is_outlier,
    is_verdict,
    judge_probe,
    move_standing,
    quarantine_cap,
    remove_failure,
)
from .index import FleetIndex, GroupKey, WorkerGroup, WorkerLoad
from .models import InstanceQuarantined, InstanceReleased

_LOGGER = get_logger(__name__)

Publish = Callable[[object], None]


class StandingKeeper:
    """Judge attempts and keep the standing of workers.

    :param publish: takes :class:`InstanceQuarantined` and :class:`InstanceReleased`.
    """

    def __init__(self, publish: Publish) -> None:
        self._publish = publish
        self._blame = BlameBook()
        self._capped_at = float("-inf")
        self._due: dict[GroupKey, list[tuple[float, str]]] = {}

    def judge(
        self,
        index: FleetIndex,
        load: WorkerLoad,
        request_id: str,
        attempt: Attempt,
        now: float,
    ) -> None:
        """Take the outcome of one attempt into account."""
        if load.health.standing != TRUSTED:
            if is_verdict(attempt, load.group.usual_seconds):
                self._judge_probe(index, load, is_failure(attempt), now)
            return
        if not is_verdict(attempt, load.group.usual_seconds):
            return
        failed = is_failure(attempt)
        if not failed:
            load.group.learn(attempt.latency_seconds)
        if failed and not self._blame_counts(index, load, request_id):
            return
        self._change_share(load, failed, now)
        if failed:
            self._consider(index, load, now)

    def probation(self, group: WorkerGroup, now: float) -> WorkerLoad | None:
        """Return a quarantined worker that is due for a probe and idle."""
        due = self._due.get(group.key)
        while due and due[0][0] <= now:
            at, instance_id = heapq.heappop(due)
            load = group.members.get(instance_id)
            if load is None or load.health.standing == TRUSTED or load.health.due > at:
                continue
            # Filed again for the next probe; one at the front that can't be probed now
            # would otherwise keep all behind it in quarantine.
            heapq.heappush(due, (now + PROBE_SECONDS, instance_id))
            if load.in_flight or not load.usable:
                continue
            if load.health.standing == QUARANTINED:
                move_standing(load.health, "term_over", now)
            return load
        return None

    def adopt_quarantine(self, index: FleetIndex, load: WorkerLoad, now: float) -> None:
        """Follow a quarantine that another entry had folded."""
        if load.health.standing == TRUSTED:
            self._enter(load, now)
            index.place(load)

    def release(self, index: FleetIndex, load: WorkerLoad, now: float) -> None:
        """Trust a worker again that was positively seen up."""
        if load.health.standing != TRUSTED:
            self._leave(index, load, "seen_up", now)

    def _blame_counts(
        self, index: FleetIndex, load: WorkerLoad, request_id: str
    ) -> bool:
        counts, pardoned = self._blame.blame(request_id, load.instance.instance_id)
        first = index.load(pardoned) if pardoned else None
        if first is not None and first.health.standing == TRUSTED:
            before = first.health.failure_share
            remove_failure(first.health)
            first.group.failure_sum += first.health.failure_share - before
        return counts

    def _change_share(self, load: WorkerLoad, failed: bool, now: float) -> None:
        before = load.health.failure_share
        add_verdict(load.health, failed, now)
        load.group.failure_sum += load.health.failure_share - before
        if failed:
            load.penalised_until = now + PENALTY_SECONDS

    def _consider(self, index: FleetIndex, load: WorkerLoad, now: float) -> None:
        group = load.group
        peers_share = group.peers_share(load)
        if not is_outlier(load.health, peers_share):
            return
        # A quarantine of many at once is far more often one common cause than many
        # bad workers; without a cap the whole pool would be gone within seconds.
        if len(group.quarantined) >= quarantine_cap(len(group.members)):
            self._note_capped(load, now)
            return
        share = load.health.failure_share
        self._enter(load, now)
        index.place(load)
        self._publish(
            InstanceQuarantined(
                load.instance.instance_id,
                load.instance.pool,
                share,
                peers_share,
                load.health.due - now,
            )
        )

    def _note_capped(self, load: WorkerLoad, now: float) -> None:
        if now - self._capped_at < CAPPED_LOG_SECONDS:
            return
        self._capped_at = now
        instance = load.instance
        _LOGGER.warning(
            "quarantine_capped", instance=instance.instance_id, pool=instance.pool
        )

    def _enter(self, load: WorkerLoad, now: float) -> None:
        load.group.failure_sum -= load.health.failure_share
        move_standing(load.health, "judged_outlier", now)
        load.group.quarantined.add(load.instance.instance_id)
        self._schedule(load)

    def _leave(
        self, index: FleetIndex, load: WorkerLoad, event: str, now: float
    ) -> None:
        move_standing(load.health, event, now)
        load.group.quarantined.discard(load.instance.instance_id)
        index.place(load)

    def _judge_probe(
        self, index: FleetIndex, load: WorkerLoad, failed: bool, now: float
    ) -> None:
        health: Health = load.health
        if health.standing != PROBATION:
            return
        event = judge_probe(health, failed)
        if event == "probe_failed":
            move_standing(health, event, now)
            self._schedule(load)
        elif event == "proved":
            self._leave(index, load, event, now)
            self._publish(
                InstanceReleased(load.instance.instance_id, load.instance.pool)
            )

    def _schedule(self, load: WorkerLoad) -> None:
        due = self._due.setdefault(load.group.key, [])
        heapq.heappush(due, (load.health.due, load.instance.instance_id))
