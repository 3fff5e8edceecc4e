"""Judge what an idempotency key allows: pure functions of the folded intent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ...state.models.jobs import Intent
from ..entry.models import Ran, RequestRefusal
from ..entry.protocols import StoredResponse

RETRY_AFTER_SECONDS: Final = 1.0
MISMATCH_CODE: Final = "idempotency-key-mismatch"


class Standing(StrEnum):
    """Say what the intent under a key means for a request that comes now."""

    FREE = "free"
    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold a standing with the answer or refusal that goes with it."""

    standing: Standing
    answer: StoredResponse | None = None
    refusal: RequestRefusal | None = None


FREE: Final = Verdict(Standing.FREE)


def judge_intent(intent: Intent | None, request_digest: str) -> Verdict:
    """Return what the folded intent allows."""
    if intent is None:
        return FREE
    if intent.request_digest != request_digest:
        return Verdict(Standing.REFUSED, refusal=_mismatch(intent))
    if not intent.closed:
        return Verdict(Standing.IN_PROGRESS, refusal=IN_PROGRESS)
    if intent.ran == "no":
        return FREE
    if intent.ran == "yes":
        return _done(intent)
    return Verdict(Standing.REFUSED, refusal=OUTCOME_UNKNOWN)


def _done(intent: Intent) -> Verdict:
    if not intent.status:
        return Verdict(Standing.REFUSED, refusal=ALREADY_DONE)
    answer = StoredResponse(intent.status, intent.content_type, intent.body)
    return Verdict(Standing.ANSWERED, answer=answer)


def _mismatch(intent: Intent) -> RequestRefusal:
    # The key's own request may have run; only a known `no` may be passed on.
    not_run = intent.closed and intent.ran == "no"
    ran = Ran.NO if not_run else Ran.UNKNOWN
    return _refuse(MISMATCH_CODE, 422, ran, "key of another request")


def _refuse(
    code: str, status: int, ran: Ran, detail: str, retry: bool = False
) -> RequestRefusal:
    after = RETRY_AFTER_SECONDS if retry else None
    return RequestRefusal(code, status, ran, detail, after)


IN_PROGRESS: Final = _refuse(
    "idempotency-in-progress", 409, Ran.UNKNOWN, "an earlier attempt may run", True
)
OUTCOME_UNKNOWN: Final = _refuse(
    "idempotency-outcome-unknown", 409, Ran.UNKNOWN, "an earlier attempt may have run"
)
ALREADY_DONE: Final = _refuse(
    "idempotency-already-done", 409, Ran.YES, "it ran; its answer is not kept"
)
HOME_ELSEWHERE: Final = _refuse(
    "idempotency-home-unreachable",
    503,
    Ran.UNKNOWN,
    "another data centre keeps this key",
    True,
)
DEADLINE_PASSED: Final = _refuse(
    "deadline-exceeded", 504, Ran.UNKNOWN, "the deadline passed before the intent"
)


def may_run_without_key(refusal: RequestRefusal) -> bool:
    """Tell whether an idempotent request may be served in spite of a refusal.

    To run it twice does no harm; only a key bound to another request is an error that
    its caller has to see.
    """
    return refusal.code not in (MISMATCH_CODE, DEADLINE_PASSED.code)


def log_out_refusal(ran: Ran) -> RequestRefusal:
    """Return the refusal of a request whose intent could not be made durable."""
    return _refuse("idempotency-log-out", 503, ran, "the intent is not durable", True)
