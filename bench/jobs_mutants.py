"""Break one rule of long work on purpose, to show that the bench would see it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

from returns.result import Failure, Success

from mustardward.components.jobs import attempt_manager, calls
from mustardward.standin.protocol.models import TaskReport
from mustardward.state.handlers import jobs as handlers
from mustardward.state.models.jobs import AttemptEnd, EndAttempt


def requeue_unknown() -> None:
    """Let a job that may not run twice wait again after an unknown outcome."""

    def event(outcome: AttemptEnd, body: EndAttempt) -> str:
        return "lost" if outcome is AttemptEnd.UNKNOWN else outcome.value

    handlers._event_for_non_idempotent = event


def lost_answer_is_no_start() -> None:
    """Take a start whose answer was lost for one that had no effect."""

    async def async_outcome(call: Awaitable[TaskReport]) -> Any:
        outcome = await calls.async_outcome(call)
        if isinstance(outcome, Success):
            return outcome
        if outcome.failure() is calls.CallFailure.UNKNOWN:
            return Failure(calls.CallFailure.NO_EFFECT)
        return outcome

    attempt_manager.async_outcome = async_outcome  # type: ignore[attr-defined]


def trust_lease_after_pause() -> None:
    """Start a task after a pause without a look at the log."""

    async def async_verify_lease(self: Any, attempt: Any) -> bool:
        return True

    attempt_manager.AttemptManager._async_verify_lease = async_verify_lease  # type: ignore[method-assign]


MUTANTS: Final[dict[str, Callable[[], None]]] = {
    "requeue-unknown": requeue_unknown,
    "lost-answer-is-no-start": lost_answer_is_no_start,
    "trust-lease-after-pause": trust_lease_after_pause,
}
