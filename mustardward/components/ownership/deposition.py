"""Log by what an owner was deposed, and what it had sent by then."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ...helpers.logging import LogValue, get_logger
from ..ledger.ledger import Ledger
from ..scheduling.reports import Reports
from ..scheduling.run_logger import RunLogger
from ..scheduling.sent_starts import SentStarts
from .authority import Authority

_LOGGER = get_logger(__name__)


class DeposedBy(StrEnum):
    """Define how an owner learns that its ownership is over."""

    REJECTED_COMMAND = "rejected-command"
    REJECTED_APPEND = "rejected-append"
    NEWER_OWNER_READ = "newer-owner-read"
    REJECTED_ORDER = "rejected-order"
    RELEASED = "released"


@dataclass(slots=True, eq=False)
class DepositionLogger:
    """Keep the first cause of a deposition until it is logged.

    Age and pause are taken when the cause is recorded: the process may notice a pause
    only after that.
    """

    epoch: int
    authority: Authority
    ledger: Ledger
    sent_starts: SentStarts
    run_logger: RunLogger
    _fields: dict[str, LogValue] | None = None

    def record(self, cause: DeposedBy, worker: str = "") -> None:
        """Record a cause unless there is an earlier one.

        :param worker: the worker that rejected a command.
        """
        if self._fields is not None:
            return
        renewed_at = self.authority.newest_renewal_at
        self._fields = {
            "cause": cause.value,
            "worker": worker or None,
            "renewal_age_seconds": self.authority.clock() - renewed_at,
            "paused_seconds": self.authority.paused_seconds(),
            "newest_epoch": self.ledger.owner.epoch,
            "starts_since_renewal": self.sent_starts.count_since_renewal(),
        }

    def log(self) -> None:
        """Log the deposition, starts in progress and runs not logged yet."""
        _LOGGER.warning("owner_deposed", epoch=self.epoch, **(self._fields or {}))
        self.sent_starts.log_unanswered(self.epoch)
        # Without authority nothing was planned, after which runs are logged.
        self.run_logger.flush()


def make_deposition_logger(
    epoch: int, authority: Authority, ledger: Ledger, reports: Reports
) -> DepositionLogger:
    """Return an owner's logger, and let its starts be logged with their authority."""
    starts = reports.sent_starts
    starts.clock = authority.clock
    starts.renewed_at = lambda: authority.newest_renewal_at
    return DepositionLogger(epoch, authority, ledger, starts, reports.run_logger)
