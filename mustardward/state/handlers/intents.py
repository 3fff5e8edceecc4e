"""Decide on the intents of idempotency keys: the first one in the log wins."""

from __future__ import annotations

from sys import intern
from typing import Final

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError
from ..fold import Acceptance, FoldContext
from ..models.jobs import CloseIntent, Intent, OpenIntent
from ..work import WorkState, intent_name
from .job_index import reap_cancelled
from .work_errors import IntentMismatchError, IntentTakenError, IntentUnknownError
from .work_registry import WORK_HANDLERS

KEEP_INTENTS: Final = 30_000
"""Keys remembered in one data centre; the one unchanged longest is forgotten."""

KEEP_ANSWERS: Final = 2_048
"""Keys whose answer is kept too; beyond that only the outcome is."""

STORED_ANSWER_BYTES: Final = 4_096
"""Largest answer that an intent keeps."""

RAN_VALUES: Final = ("yes", "no", "unknown")

Outcome = Result[Acceptance, MustardwardError]


@WORK_HANDLERS.register("intent.open")
def open_intent(state: WorkState, context: FoldContext, body: OpenIntent) -> Outcome:
    """Open an intent unless one stands; who loses finds the winner in the state."""
    reap_cancelled(state, context.sequence)
    name = intent_name(body.organisation, body.key)
    known = state.intents.get(name)
    if known is not None and known.request_digest != body.request_digest:
        return Failure(IntentMismatchError(f"sequence={known.sequence}"))
    if known is not None and not _may_reopen(known):
        return Failure(IntentTakenError(f"home={known.home}"))
    intent = Intent(
        organisation=intern(body.organisation),
        key=body.key,
        request_digest=body.request_digest,
        home=intern(body.home),
        sequence=context.sequence,
    )
    _touch(state, name, intent)
    return Success(Acceptance((name,), context.sequence))


@WORK_HANDLERS.register("intent.close")
def close_intent(state: WorkState, context: FoldContext, body: CloseIntent) -> Outcome:
    """Keep the outcome of the intent that ``opened`` names.

    A close of an earlier intent under the key, delayed past a new one, must not end
    that: a later try would be dispatched while this one still runs.
    """
    reap_cancelled(state, context.sequence)
    name = intent_name(body.organisation, body.key)
    intent = state.intents.get(name)
    if intent is None or intent.closed or body.ran not in RAN_VALUES:
        return Failure(IntentUnknownError(f"home={body.home}"))
    if (intent.home, intent.sequence) != (body.home, body.opened):
        return Failure(IntentUnknownError(f"opened={intent.sequence}"))
    intent.closed = True
    intent.ran = body.ran
    if body.ran == "yes" and len(body.body) <= STORED_ANSWER_BYTES:
        intent.status = body.status
        intent.content_type = intern(body.content_type)
        intent.body = body.body
        _keep_answer(state, name, context.sequence)
    _touch(state, name, intent)
    return Success(Acceptance((name,), context.sequence))


def _may_reopen(intent: Intent) -> bool:
    return intent.closed and intent.ran == "no"


def _touch(state: WorkState, name: str, intent: Intent) -> None:
    state.intents.pop(name, None)
    state.intents[name] = intent
    while len(state.intents) > KEEP_INTENTS:
        oldest = next(iter(state.intents))
        del state.intents[oldest]
        state.answer_order.pop(oldest, None)


def _keep_answer(state: WorkState, name: str, sequence: int) -> None:
    state.answer_order[name] = sequence
    while len(state.answer_order) > KEEP_ANSWERS:
        oldest = next(iter(state.answer_order))
        del state.answer_order[oldest]
        intent = state.intents[oldest]
        intent.status = 0
        intent.content_type = ""
        intent.body = b""
