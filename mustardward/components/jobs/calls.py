"""Call workers and classify the failures of calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum

from returns.result import Failure, Result, Success

from ...exceptions import (
    PlatformError,
    PlatformRefusedError,
    PlatformUnavailableError,
    StaleGenerationError,
)
from ...helpers.timer import TimerService
from ...helpers.waiting import async_call_with_timeout
from ...standin.protocol.models import TaskReport


class CallFailure(StrEnum):
    """Classify a call that returned no report by what is known of its effect."""

    NO_EFFECT = "no-effect"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    FENCED = "fenced"


CallOutcome = Result[TaskReport, CallFailure]


async def async_outcome(call: Awaitable[TaskReport]) -> CallOutcome:
    """Return a call's report, or the classification of its failure."""
    try:
        return Success(await call)
    except StaleGenerationError:
        return Failure(CallFailure.FENCED)
    except PlatformRefusedError:
        return Failure(CallFailure.REFUSED)
    except PlatformUnavailableError:
        return Failure(CallFailure.NO_EFFECT)
    except PlatformError:
        return Failure(CallFailure.UNKNOWN)


async def async_outcome_within(
    timers: TimerService, seconds: float, call: Callable[[], Awaitable[TaskReport]]
) -> CallOutcome:
    """Return a call's outcome, or an unknown one if it exceeds the time limit."""

    async def async_call() -> CallOutcome:
        return await async_outcome(call())

    outcome = await async_call_with_timeout(timers, seconds, async_call)
    return outcome if outcome is not None else Failure(CallFailure.UNKNOWN)
