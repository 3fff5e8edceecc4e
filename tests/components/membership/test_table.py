"""Check how news of members merge."""

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
    refuted: int = 0,
) -> Member:
    return Member(name, "v-1", "10.0.0.2:1", start, status, refutations=refuted)


def _table() -> MemberTable:
    return MemberTable(_member("a"), ChangeCounter(), 0.0)


def _status(table: MemberTable, name: str = "b") -> MemberStatus:
    member = table.get(name)
    assert member is not None
    return member.status


def test_change_is_announced_once() -> None:
    table = _table()
    assert table.apply([_member()], 0.0) == [MembershipChanged(_member(), None)]
    assert table.apply([_member()], 0.0) == []
    changed = table.apply([_member(status=SUSPECT)], 0.0)
    assert changed == [MembershipChanged(_member(status=SUSPECT), ALIVE)]


def test_stale_incarnation_changes_nothing() -> None:
    """Ignore what is told of an earlier incarnation or of a refuted suspicion.

    Symptom: a replaced entry is suspected for its predecessor's sake. Sequence: an
    entry restarts; a peer that was cut off brings the old suspicion. Cause: news taken
    by the time they arrive instead of by incarnation.
    """
    table = _table()
    table.apply([_member(refuted=2)], 0.0)
    assert table.apply([_member(refuted=1, status=SUSPECT)], 0.0) == []
    assert table.apply([_member(start=START - 1, status=GONE)], 0.0) == []
    assert _status(table) is ALIVE


@pytest.mark.parametrize("final", [LEAVING, GONE])
def test_final_state_holds_against_any_refutation(
    final: MemberStatus,
) -> None:
    table = _table()
    table.apply([_member(status=final)], 0.0)
    assert table.apply([_member(refuted=7)], 0.0) == []
    assert _status(table) is final
    table.apply([_member(start=START + 1)], 0.0)
    assert _status(table) is ALIVE


def test_own_evidence_counts_unless_the_member_spoke_up_since() -> None:
    table = _table()
    table.apply([_member(refuted=1)], 0.0)
    assert table.signal(_member(), SUSPECT, 0.0) == []
    assert table.signal(_member(refuted=1), SUSPECT, 0.0)


def test_suspicion_of_this_process_is_refuted() -> None:
    table = _table()
    contested = table.apply([_member("a", SUSPECT)], 0.0)
    refuted = _member("a", refuted=1)
    assert contested == [
        OwnStatusContested(ContestReason.SUSPECTED, refuted.incarnation)
    ]
    assert table.own == refuted


def test_leaving_process_refutes_nothing() -> None:
    table = _table()
    table.leave(LEAVING, 0.0)
    before = table.own
    assert table.apply([_member("a", SUSPECT)], 0.0) == []
    assert table.own == before


def test_process_declared_gone_joins_anew() -> None:
    """Begin a new start when others had proof that this one had ended.

    Symptom: an entry serves on that moves no longer wait for. Sequence: it is paused;
    the platform's list drops it by mistake; it goes on. Cause: a refutation that takes
    back what others have acted on.
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


def test_new_process_outbids_a_predecessor_with_a_faster_clock() -> None:
    table = _table()
    table.apply([_member("a", start=START + 3)], 0.0)
    assert (table.own.start, table.own.status) == (START + 4, ALIVE)


def test_address_from_settings_is_suspect_and_never_told_on() -> None:
    table = _table()
    table.meet("b", "v-1", "10.0.0.2:1", 0.0)
    assert _status(table) is SUSPECT
    assert [m.name for m in table.changes_since(0, 9)] == ["a"]
    table.apply([_member()], 0.0)
    assert _status(table) is ALIVE
    table.meet("b", "v-9", "10.9.9.9:1", 0.0)
    assert _status(table) is ALIVE


def test_gone_member_is_remembered_for_a_while() -> None:
    table = _table()
    table.apply([_member(status=GONE)], 0.0)
    table.forget(TOMBSTONE_SECONDS - 1)
    table.apply([_member()], 0.0)
    assert _status(table) is GONE
    table.forget(TOMBSTONE_SECONDS + 1)
    assert table.get("b") is None


_NEWS = st.builds(
    _member,
    status=st.sampled_from(MemberStatus),
    start=st.integers(START, START + 1),
    refuted=st.integers(0, 2),
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(_NEWS, min_size=1, max_size=4))
def test_order_and_repetition_of_news_do_not_matter(news: list[Member]) -> None:
    views = set()
    for order in permutations([*news, news[0]]):
        table = _table()
        table.apply(order, 0.0)
        views.add((table.view(), _status(table)))
    assert len(views) == 1
