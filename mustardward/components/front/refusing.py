"""Refuse what can't be served now, and say when to come back."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform import callers
from ..ledger.follower import TopicFollower
from .const import MAX_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS
from .models import Reply

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Refusals:
    """Refuse requests by how long the log has been out of reach."""

    timers: TimerService
    follower: TopicFollower
    config_follower: TopicFollower

    def reject(self, what: str, code: str, detail: str) -> Reply:
        """Return a refusal that is true: nothing of the request was kept."""
        outage = longest_outage(
            self.timers.monotonic(),
            self.follower.failing_since,
            self.config_follower.failing_since,
        )
        pause = retry_after(outage)
        _LOGGER.info(
            "request_refused",
            request=what,
            code=code,
            detail=detail,
            outage_seconds=outage,
            retry_after=pause,
        )
        return Reply(503, callers.encode_error(code, detail), pause)


def longest_outage(now: float, *failing_since: float | None) -> float:
    """Return for how long the first of some ways to the log has failed, or 0."""
    return max((now - since for since in failing_since if since is not None), default=0)


def retry_after(outage_seconds: float) -> int:
    """Return when a refused caller should come back, in whole seconds.

    Callers give up after a few tries. With a short pause they are all used up in one
    outage; a pause as long as the outage has lasted makes few tries span a long one,
    and still ends soon after a short one.
    """
    return int(
        min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, outage_seconds))
    )
