"""Test how received member states merge."""

from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardward.components.membership.const import TOMBSTONE_SECONDS
from mustardward.components.membership.counter import ChangeCounter
from mustardward.components.membership.models import (
    ContestReason,
    Member,
    MembershipChanged,
    MemberStatus,
    OwnStatusContested,
)
from mustardward.components.membership.table import MemberTable

ALIVE, SUSPECT, LEAVING, GONE = MemberStatus

START = 5


def _member(
    name: str = "b",
    status: MemberStatus = ALIVE,
    start: int = START,
    refutations: int = 0,
) -> Member:
    return Member(name, "v-1", "10.0.0.2:1", start, status, refutations=refutations)


def _table() -> MemberTable:
    return MemberTable(_member("a"), ChangeCounter(), 0.0)


def _status(table: MemberTable, name: str = "b") -> MemberStatus:
    member = table.get(name)
    assert member is not None
    return member.status


def test_change_is_reported_once() -> None:
    table = _table()
    assert table.apply([_member()], 0.0) == [MembershipChanged(_member(), None)]
    assert table.apply([_member()], 0.0) == []
    changed = table.apply([_member(status=SUSPECT)], 0.0)
    assert changed == [MembershipChanged(_member(status=SUSPECT), ALIVE)]


def test_stale_incarnation_changes_nothing() -> None:
    """Guard against a restarted entry node that is suspected for its predecessor.

    A peer that was disconnected during the restart sends the old suspicion. States must
    be ordered by incarnation and refutations instead of arrival.
    """
    table = _table()
    table.apply([_member(refutations=2)], 0.0)
    assert table.apply([_member(refutations=1, status=SUSPECT)], 0.0) == []
    assert table.apply([_member(start=START - 1, status=GONE)], 0.0) == []
    assert _status(table) is ALIVE


@pytest.mark.parametrize("final", [LEAVING, GONE])
def test_final_state_holds_against_any_refutation(
    final: MemberStatus,
) -> None:
    table = _table()
    table.apply([_member(status=final)], 0.0)
    assert table.apply([_member(refutations=7)], 0.0) == []
    assert _status(table) is final
    table.apply([_member(start=START + 1)], 0.0)
    assert _status(table) is ALIVE


def test_own_evidence_counts_unless_the_member_refuted_it_since() -> None:
    table = _table()
    table.apply([_member(refutations=1)], 0.0)
    assert table.apply_evidence(_member(), SUSPECT, 0.0) == []
    assert table.apply_evidence(_member(refutations=1), SUSPECT, 0.0)


def test_suspicion_of_this_process_is_refuted() -> None:
    table = _table()
    contested = table.apply([_member("a", SUSPECT)], 0.0)
    refuted = _member("a", refutations=1)
    assert contested == [
        OwnStatusContested(ContestReason.SUSPECTED, refuted.incarnation)
    ]
    assert table.own == refuted


def test_leaving_process_refutes_nothing() -> None:
    table = _table()
    table.set_final_status(LEAVING, 0.0)
    before = table.own
    assert table.apply([_member("a", SUSPECT)], 0.0) == []
    assert table.own == before


def test_process_declared_gone_joins_with_a_new_incarnation() -> None:
    """Guard against an entry node that serves on while moves don't wait for it.

    It is paused, omitted from the platform's list by mistake, and resumes. Peers have
    acted on its end, so it must take a new incarnation instead of refuting the end.
    """
    table = _table()
    table.mark_joined()
    table.apply([_member("a", GONE)], 0.0)
    assert (table.own.start, table.own.status) == (START + 1, ALIVE)


def test_successor_under_the_same_name_makes_this_process_leave() -> None:
    table = _table()
    table.mark_joined()
    table.apply([_member("a", start=START + 3)], 0.0)
    assert table.own.status is LEAVING


def test_new_process_exceeds_the_incarnation_of_its_predecessor() -> None:
    table = _table()
    table.apply([_member("a", start=START + 3)], 0.0)
    assert (table.own.start, table.own.status) == (START + 4, ALIVE)


def test_address_from_settings_is_suspect_and_never_sent_on() -> None:
    table = _table()
    table.add_address("b", "v-1", "10.0.0.2:1", 0.0)
    assert _status(table) is SUSPECT
    assert [m.name for m in table.changes_since(0, 9)] == ["a"]
    table.apply([_member()], 0.0)
    assert _status(table) is ALIVE
    table.add_address("b", "v-9", "10.9.9.9:1", 0.0)
    assert _status(table) is ALIVE


def test_gone_member_is_retained_for_a_while() -> None:
    table = _table()
    table.apply([_member(status=GONE)], 0.0)
    table.remove_expired(TOMBSTONE_SECONDS - 1)
    table.apply([_member()], 0.0)
    assert _status(table) is GONE
    table.remove_expired(TOMBSTONE_SECONDS + 1)
    assert table.get("b") is None


_UPDATES = st.builds(
    _member,
    status=st.sampled_from(MemberStatus),
    start=st.integers(START, START + 1),
    refutations=st.integers(0, 2),
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(_UPDATES, min_size=1, max_size=4))
def test_order_and_repetition_of_updates_do_not_matter(updates: list[Member]) -> None:
    views = set()
    for order in permutations([*updates, updates[0]]):
        table = _table()
        table.apply(order, 0.0)
        views.add((table.view(), _status(table)))
    assert len(views) == 1
