"""Fold the intents of idempotency keys."""

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


def test_the_first_intent_wins_and_the_loser_learns_whose() -> None:
    stream = Stream()
    stream.put(open_by("a")).unwrap()
    lost = stream.put(open_by("b")).failure()
    assert isinstance(lost, IntentTakenError)
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
    """Bind a close to its own intent.

    Symptom: a turning order runs twice. Sequence: try one is closed as not run, try two
    opens and runs, a second copy of the close with another record id arrives, try three
    opens. Cause: the close named the key but not the intent.
    """
    stream = Stream()
    first = stream.put(open_by("a")).unwrap().revision
    stream.put(close_by("a", first, "no")).unwrap()
    stream.put(open_by("a")).unwrap()
    late = stream.put(close_by("a", first, "no")).failure()
    assert isinstance(late, IntentUnknownError)
    assert isinstance(stream.put(open_by("a")).failure(), IntentTakenError)


def test_keys_and_answers_are_kept_by_count(monkeypatch: pytest.MonkeyPatch) -> None:
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
