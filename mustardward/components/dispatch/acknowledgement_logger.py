"""Log which ends an owner acknowledges to workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger, log_names

_LOGGER = get_logger(__name__)

LOG_INTERVAL_SECONDS: Final = 1.0

Incarnation = tuple[str, int]


@dataclass(slots=True, eq=False)
class AcknowledgementLogger:
    """Collect acknowledged numbers of ends by worker, and log them once a second.

    They are recorded when they are sent: a worker may receive an acknowledgement whose
    answer is lost.

    :param epoch: the owner's fencing token.
    """

    epoch: int
    _gathered: dict[Incarnation, tuple[int, int]] = field(default_factory=dict)
    _logged_at: float | None = None

    def record(self, worker: str, born: int, previous: int, upto: int) -> None:
        """Record that a poll acknowledges ends up to a number.

        :param born: the start time that identifies the incarnation, 0 if unknown.
        :param previous: the number that was acknowledged before.
        """
        first, _ = self._gathered.get((worker, born), (previous, previous))
        self._gathered[worker, born] = (first, upto)

    def log_due(self, now: float) -> None:
        """Log the collected acknowledgements unless a second has not passed."""
        if self._logged_at is None or now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            self.flush()

    def flush(self) -> None:
        """Log the collected acknowledgements."""
        texts = [
            f"{worker}/{born}:{previous}-{upto}"
            for (worker, born), (previous, upto) in self._gathered.items()
        ]
        self._gathered.clear()
        log_names(_LOGGER.info, "ends_acknowledged", self.epoch, "workers", texts)
