"""Refuse requests that can't be served now, with a delay for the retry."""

from __future__ import annotations

import math
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
    """Build refusals whose retry delay follows the length of the log's outage."""

    timers: TimerService
    follower: TopicFollower
    config_follower: TopicFollower

    def reject(
        self, subject: str, code: str, detail: str, retry_seconds: float = 0.0
    ) -> Reply:
        """Return a refusal with status 503 and log it.

        Only for a request that certainly had no effect.

        :param subject: path or job id for the log.
        :param retry_seconds: minimum delay for the retry, if the store is slow.
        """
        outage = longest_outage(
            self.timers.monotonic(),
            self.follower.failing_since,
            self.config_follower.failing_since,
        )
        retry_in = retry_after(max(outage, math.ceil(retry_seconds)))
        _LOGGER.info(
            "request_refused",
            request=subject,
            code=code,
            detail=detail,
            outage_seconds=outage,
            retry_after=retry_in,
        )
        return Reply(503, callers.encode_error(code, detail), retry_in)


def longest_outage(now: float, *failing_since: float | None) -> float:
    """Return the longest time for which one of several log clients fails, or 0."""
    return max((now - since for since in failing_since if since is not None), default=0)


def retry_after(outage_seconds: float) -> int:
    """Return the delay after which a refused caller should retry, in whole seconds.

    Callers give up after a few retries, and with a short delay they use all of them in
    one outage. A delay as long as the outage so far lets a few retries span a long
    outage, and still ends soon after a short one.
    """
    return int(
        min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, outage_seconds))
    )
