"""Evaluate what the applied intent of an idempotency key permits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ...state.models.jobs import Intent
from ..entry.models import Ran, RequestRefusal
from ..entry.protocols import StoredResponse

RETRY_AFTER_SECONDS: Final = 1.0
MISMATCH_CODE: Final = "idempotency-key-mismatch"


class KeyStatus(StrEnum):
    """List the possible states of a key for a new request."""

    FREE = "free"
    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class KeyEvaluation:
    """Hold the status of a key with its stored response or refusal."""

    key_status: KeyStatus
    answer: StoredResponse | None = None
    refusal: RequestRefusal | None = None


FREE: Final = KeyEvaluation(KeyStatus.FREE)


def evaluate_intent(intent: Intent | None, request_digest: str) -> KeyEvaluation:
    """Return the status of a key for a request with the given digest."""
    if intent is None:
        return FREE
    if intent.request_digest != request_digest:
        return KeyEvaluation(KeyStatus.REFUSED, refusal=_mismatch(intent))
    if not intent.closed:
        return KeyEvaluation(KeyStatus.IN_PROGRESS, refusal=IN_PROGRESS)
    if intent.ran == "no":
        return FREE
    if intent.ran == "yes":
        return _evaluate_completed(intent)
    return KeyEvaluation(KeyStatus.REFUSED, refusal=OUTCOME_UNKNOWN)


def _evaluate_completed(intent: Intent) -> KeyEvaluation:
    if not intent.status:
        return KeyEvaluation(KeyStatus.REFUSED, refusal=ALREADY_DONE)
    answer = StoredResponse(intent.status, intent.content_type, intent.body)
    return KeyEvaluation(KeyStatus.ANSWERED, answer=answer)


def _mismatch(intent: Intent) -> RequestRefusal:
    # The original request may have run, so only a recorded `no` is reported.
    not_run = intent.closed and intent.ran == "no"
    ran = Ran.NO if not_run else Ran.UNKNOWN
    return _refuse(MISMATCH_CODE, 422, ran, "key of another request")


def _refuse(
    code: str, status: int, ran: Ran, detail: str, retry: bool = False
) -> RequestRefusal:
    after = RETRY_AFTER_SECONDS if retry else None
    return RequestRefusal(code, status, ran, detail, after)


IN_PROGRESS: Final = _refuse(
    "idempotency-in-progress",
    409,
    Ran.UNKNOWN,
    "an earlier attempt may run",
    True,
)
OUTCOME_UNKNOWN: Final = _refuse(
    "idempotency-outcome-unknown",
    409,
    Ran.UNKNOWN,
    "an earlier attempt may have run",
)
ALREADY_DONE: Final = _refuse(
    "idempotency-already-done",
    409,
    Ran.YES,
    "it ran; its answer is not kept",
)
OWNER_UNREACHABLE: Final = _refuse(
    "idempotency-home-unreachable",
    503,
    Ran.UNKNOWN,
    "another data centre keeps this key",
    True,
)
DEADLINE_PASSED: Final = _refuse(
    "deadline-exceeded",
    504,
    Ran.UNKNOWN,
    "the deadline passed before the intent",
)


def may_run_without_key(refusal: RequestRefusal) -> bool:
    """Return whether an idempotent request may be served despite a refusal.

    Running it twice does no harm. Only a passed deadline or a key of another request
    has to be reported to the caller.
    """
    return refusal.code not in (MISMATCH_CODE, DEADLINE_PASSED.code)


def log_unavailable_refusal(ran: Ran) -> RequestRefusal:
    """Return the refusal of a request whose intent could not be made durable."""
    return _refuse(
        "idempotency-log-out",
        503,
        ran,
        "the intent is not durable",
        True,
    )
