"""Test the liveness of lease holders."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from mustardward.components.jobs.holder_liveness import (
    HOLDER_GRACE_SECONDS,
    HolderLiveness,
)
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.helpers.timer import DrivenTimerService

MEMBER = Member("b", "dc-1", "127.0.0.1:1", 7, MemberStatus.ALIVE)


@pytest.mark.parametrize("status", [MemberStatus.SUSPECT, MemberStatus.GONE])
def test_an_unconfirmed_holder_stays_live_for_the_grace_period_only(
    status: MemberStatus,
) -> None:
    """Guard against jobs that show as running long after they finished.

    A killed entry node stays suspect for minutes, so its leases have to be taken over
    before it is confirmed dead.
    """
    timers = DrivenTimerService()
    members = [MEMBER]
    membership: Any = SimpleNamespace(members=lambda: tuple(members))
    liveness = HolderLiveness(timers, membership, "a/1")
    assert liveness.is_live("b/7")
    members[0] = replace(MEMBER, status=status)
    timers.pause(HOLDER_GRACE_SECONDS - 1)
    assert liveness.is_live("b/7")
    timers.pause(2)
    assert not liveness.is_live("b/7")
    members[0] = MEMBER
    assert liveness.is_live("b/7")


def test_a_leaving_holder_is_not_live_and_this_process_always_is() -> None:
    leaving = replace(MEMBER, status=MemberStatus.LEAVING)
    membership: Any = SimpleNamespace(members=lambda: (leaving,))
    liveness = HolderLiveness(DrivenTimerService(), membership, "a/1")
    assert not liveness.is_live("b/7")
    assert liveness.is_live("a/1")
    assert liveness.is_live("b/6")
