"""Test how long an owner may give orders."""

from __future__ import annotations

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.const import PAUSE_THRESHOLD_SECONDS


class _Clock:
    """Show the time that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_authority_ends_without_stored_renewals() -> None:
    clock = _Clock()
    authority = Authority(clock)
    for _ in range(round(AUTHORITY_SECONDS / 0.5) - 1):
        clock.now += 0.5
        authority.tick()
        assert authority.is_valid()
    clock.now += 0.6
    authority.tick()
    assert not authority.is_valid()


def test_a_renewal_counts_from_when_it_was_sent() -> None:
    """What another entry may wait for begins with the renewal, not with its answer."""
    clock = _Clock()
    authority = Authority(clock)
    clock.now += 3.0
    authority.tick()
    authority.record_renewal(sent_at=101.0)
    clock.now = 101.0 + AUTHORITY_SECONDS
    authority.tick()
    assert not authority.is_valid()


def test_a_process_that_was_paused_has_none_until_it_looked() -> None:
    """A paused owner gives no order before it has read who owns the shard.

    Symptom: an owner that had been suspended started tasks beside its successor's.
    Sequence: the process stood still for four seconds and went on where it was.
    Cause: nothing in it told that time had passed.
    """
    clock = _Clock()
    authority = Authority(clock)
    clock.now += PAUSE_THRESHOLD_SECONDS + 0.1
    assert authority.pause_seconds() > 0
    assert not authority.is_valid()
    authority.tick()
    assert authority.pause_seconds() == 0
    assert authority.is_valid()
