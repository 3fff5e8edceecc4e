"""Call workers about tasks and say of each failure what it means."""

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
from ...helpers.waiting import async_within
from ...standin.protocol.models import TaskReport


class CallFailure(StrEnum):
    """Say what is known of a call that brought no report."""

    NO_EFFECT = "no-effect"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    FENCED = "fenced"


CallOutcome = Result[TaskReport, CallFailure]


async def async_outcome(call: Awaitable[TaskReport]) -> CallOutcome:
    """Return a call's report or what its failure means."""
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
    """Return a call's outcome, which is unknown if it takes longer."""

    async def async_call() -> CallOutcome:
        return await async_outcome(call())

    outcome = await async_within(timers, seconds, async_call)
    return outcome if outcome is not None else Failure(CallFailure.UNKNOWN)
