"""Tell whether holders of leases are in sight."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from mustardward.components.jobs.presence import HOLDER_GRACE_SECONDS, HolderLiveness
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.helpers.timer import DrivenTimerService

MEMBER = Member("b", "dc-1", "127.0.0.1:1", 7, MemberStatus.ALIVE)


@pytest.mark.parametrize("status", [MemberStatus.SUSPECT, MemberStatus.GONE])
def test_a_holder_out_of_sight_is_given_a_grace_and_no_more(
    status: MemberStatus,
) -> None:
    """Take over from a holder whose death nobody can prove.

    Symptom: jobs that were done long ago still run in the books. Sequence: an entry is
    killed, and its peers suspect it for minutes. Cause: its leases were only taken over
    once it was proven gone.
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


def test_a_leaving_holder_hands_over_at_once_and_oneself_is_always_there() -> None:
    leaving = replace(MEMBER, status=MemberStatus.LEAVING)
    membership: Any = SimpleNamespace(members=lambda: (leaving,))
    liveness = HolderLiveness(DrivenTimerService(), membership, "a/1")
    assert not liveness.is_live("b/7")
    assert liveness.is_live("a/1")
    assert liveness.is_live("b/6")
