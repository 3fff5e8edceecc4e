"""Log which organisations wait for their quota, at most once a second each."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from ...helpers.instruments import QUOTA_WAITS
from ...helpers.logging import get_logger
from .quotas import Quotas

_LOGGER = get_logger(__name__)

QUOTA_LOG_INTERVAL_SECONDS: Final = 1.0
"""Shortest time between two lines of an organisation; plans are made about a hundred
times as often."""


@dataclass(slots=True, eq=False)
class QuotaWaitLogger:
    """Collect and log the tasks that a plan held back."""

    _waiting: Counter[str] = field(default_factory=Counter)
    _logged_at: dict[str, float] = field(default_factory=dict)

    def record(self, organisation: str, tasks: int) -> None:
        """Record that tasks wait for their organisation's quota."""
        self._waiting[organisation] += tasks

    def flush(self, quotas: Quotas, now: float) -> None:
        """Log the lines that are due."""
        for organisation, tasks in self._waiting.items():
            if (
                now - self._logged_at.get(organisation, -math.inf)
                < QUOTA_LOG_INTERVAL_SECONDS
            ):
                continue
            self._logged_at[organisation] = now
            used = quotas.used(organisation)
            quota = quotas.quota_of(organisation)
            QUOTA_WAITS.labels(organisation).inc()
            _LOGGER.info(
                "quota_reached",
                organisation=organisation,
                tasks=tasks,
                used_cpu=used.cpu,
                quota_cpu=quota.cpu,
                used_mb=used.mem_mb,
                quota_mb=quota.mem_mb,
                used_gpu=used.gpu,
                quota_gpu=quota.gpu,
            )
        self._waiting.clear()
