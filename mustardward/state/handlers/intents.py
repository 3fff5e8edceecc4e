"""Apply records of intents under idempotency keys: the first one in the log wins."""

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

MAX_INTENTS: Final = 30_000
"""Keys stored in one data centre; the least recently changed one is dropped."""

MAX_STORED_RESPONSES: Final = 2_048
"""Keys whose response is stored too; the oldest ones beyond keep only the outcome."""

MAX_STORED_RESPONSE_BYTES: Final = 4_096
"""Largest response body that is stored with an intent."""

RAN_VALUES: Final = ("yes", "no", "unknown")

Outcome = Result[Acceptance, MustardwardError]


@WORK_HANDLERS.register("intent.open")
def open_intent(state: WorkState, context: FoldContext, body: OpenIntent) -> Outcome:
    """Open an intent unless one is in force, which the proposer finds in the state."""
    reap_cancelled(state, context.sequence)
    name = intent_name(body.organisation, body.key)
    existing = state.intents.get(name)
    if existing is not None and existing.request_digest != body.request_digest:
        return Failure(IntentMismatchError(f"sequence={existing.sequence}"))
    if existing is not None and not _may_reopen(existing):
        return Failure(IntentTakenError(f"home={existing.home}"))
    intent = Intent(
        organisation=intern(body.organisation),
        key=body.key,
        request_digest=body.request_digest,
        home=intern(body.home),
        sequence=context.sequence,
    )
    _move_to_end(state, name, intent)
    return Success(Acceptance((name,), context.sequence))


@WORK_HANDLERS.register("intent.close")
def close_intent(state: WorkState, context: FoldContext, body: CloseIntent) -> Outcome:
    """Store the outcome of the intent that ``opened`` identifies.

    A delayed close of an earlier intent must not close a newer one under the same key:
    a later attempt would be dispatched while the newer one is still running.
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
    if body.ran == "yes" and len(body.body) <= MAX_STORED_RESPONSE_BYTES:
        intent.status = body.status
        intent.content_type = intern(body.content_type)
        intent.body = body.body
        _store_response(state, name, context.sequence)
    _move_to_end(state, name, intent)
    return Success(Acceptance((name,), context.sequence))


def _may_reopen(intent: Intent) -> bool:
    return intent.closed and intent.ran == "no"


def _move_to_end(state: WorkState, name: str, intent: Intent) -> None:
    state.intents.pop(name, None)
    state.intents[name] = intent
    while len(state.intents) > MAX_INTENTS:
        oldest = next(iter(state.intents))
        del state.intents[oldest]
        state.answer_order.pop(oldest, None)


def _store_response(state: WorkState, name: str, sequence: int) -> None:
    state.answer_order[name] = sequence
    while len(state.answer_order) > MAX_STORED_RESPONSES:
        oldest = next(iter(state.answer_order))
        del state.answer_order[oldest]
        intent = state.intents[oldest]
        intent.status = 0
        intent.content_type = ""
        intent.body = b""
