"""Test records of intents under idempotency keys."""

from __future__ import annotations

import pytest
from returns.pipeline import is_successful

from mustardward.state.handlers import intents
from mustardward.state.handlers.work_errors import (
    IntentMismatchError,
    IntentTakenError,
    IntentUnknownError,
)
from mustardward.state.models.jobs import CloseIntent, OpenIntent
from mustardward.state.work import intent_name
from tests.state.test_jobs import Stream

NAME = intent_name("derwent", "key")


def open_by(home: str, digest: str = "d1", key: str = "key") -> OpenIntent:
    return OpenIntent("derwent", key, digest, home)


def close_by(home: str, opened: int, ran: str, body: bytes = b"") -> CloseIntent:
    return CloseIntent("derwent", "key", home, ran, 200, "text/plain", body, opened)


def test_first_intent_wins_and_the_state_shows_its_home() -> None:
    stream = Stream()
    stream.put(open_by("a")).unwrap()
    refusal = stream.put(open_by("b")).failure()
    assert isinstance(refusal, IntentTakenError)
    assert stream.state.intents[NAME].home == "a"


def test_a_key_with_another_request_is_refused() -> None:
    stream = Stream()
    stream.put(open_by("a"))
    other = stream.put(open_by("a", "d2")).failure()
    assert isinstance(other, IntentMismatchError)


def test_only_an_outcome_of_not_run_lets_the_key_open_again() -> None:
    for ran, opens in (("no", True), ("unknown", False), ("yes", False)):
        stream = Stream()
        first = stream.put(open_by("a")).unwrap().revision
        stream.put(close_by("a", first, ran, b"done")).unwrap()
        assert is_successful(stream.put(open_by("b"))) is opens


def test_a_delayed_close_does_not_end_a_newer_intent() -> None:
    """Guard against executing a non-idempotent request twice.

    The first attempt is closed as not run, a second one opens and runs. A delayed
    duplicate of the close with another record id must not close the second intent,
    which would let a third attempt open.
    """
    stream = Stream()
    first = stream.put(open_by("a")).unwrap().revision
    stream.put(close_by("a", first, "no")).unwrap()
    stream.put(open_by("a")).unwrap()
    refused_close = stream.put(close_by("a", first, "no")).failure()
    assert isinstance(refused_close, IntentUnknownError)
    assert isinstance(stream.put(open_by("a")).failure(), IntentTakenError)


def test_keys_and_responses_are_bounded_by_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(intents, "MAX_INTENTS", 3)
    monkeypatch.setattr(intents, "MAX_STORED_RESPONSES", 1)
    stream = Stream()
    for number in range(5):
        key = f"key-{number}"
        opened = stream.put(open_by("a", key=key)).unwrap().revision
        close = CloseIntent("derwent", key, "a", "yes", 200, "t", b"x", opened)
        stream.put(close).unwrap()
    kept = stream.state.intents
    assert [item.key for item in kept.values()] == ["key-2", "key-3", "key-4"]
    assert [item.body for item in kept.values()] == [b"", b"", b"x"]
    assert len(stream.state.answer_order) == 1
