"""Test how long an owner may send commands."""

from __future__ import annotations

from mustardward.components.dispatch.const import AUTHORITY_SECONDS
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.const import PAUSE_THRESHOLD_SECONDS


class _FakeClock:
    """Return the time that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_authority_ends_without_stored_renewals() -> None:
    clock = _FakeClock()
    authority = Authority(clock, clock.now)
    for _ in range(round(AUTHORITY_SECONDS / 0.5) - 1):
        clock.now += 0.5
        authority.tick()
        assert authority.is_valid()
    clock.now += 0.6
    authority.tick()
    assert not authority.is_valid()


def test_renewal_counts_from_its_send_time() -> None:
    """Guard against authority that outlasts the wait of the next owner.

    Both count from when the renewal was sent, not from its response.
    """
    clock = _FakeClock()
    authority = Authority(clock, clock.now)
    clock.now += 3.0
    authority.tick()
    authority.record_renewal(sent_at=101.0)
    clock.now = 101.0 + AUTHORITY_SECONDS
    authority.tick()
    assert not authority.is_valid()


def test_paused_process_has_no_authority_before_its_next_check() -> None:
    """Guard against a suspended owner that starts tasks in parallel to its successor.

    The process is suspended for four seconds and continues where it was. It must read
    who owns the shard before it sends a command.
    """
    clock = _FakeClock()
    authority = Authority(clock, clock.now)
    clock.now += PAUSE_THRESHOLD_SECONDS + 0.1
    assert not authority.is_valid()
    assert authority.tick() > 0
    assert not authority.is_valid()
    authority.confirm(sent_at=clock.now)
    assert authority.tick() == 0
    assert authority.is_valid()


def test_read_sent_before_the_end_of_a_pause_confirms_nothing() -> None:
    """Guard against an owner that takes the log's answer of before a pause for new."""
    clock = _FakeClock()
    authority = Authority(clock, clock.now)
    sent_at = clock.now
    clock.now += PAUSE_THRESHOLD_SECONDS + 0.1
    authority.confirm(sent_at)
    authority.tick()
    assert not authority.is_valid()


def test_slow_read_after_a_pause_restores_authority() -> None:
    """Guard against an owner that a slow store keeps from commanding after a pause."""
    clock = _FakeClock()
    authority = Authority(clock, clock.now)
    clock.now += PAUSE_THRESHOLD_SECONDS + 0.1
    authority.tick()
    sent_at = clock.now
    for _ in range(8):
        clock.now += 0.25
        authority.tick()
    authority.confirm(sent_at)
    assert authority.is_valid()
