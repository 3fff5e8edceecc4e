"""Choose an entry of another data centre."""

from __future__ import annotations

from random import Random

from ..entry.models import RequestFacts
from ..membership.models import Member
from ..membership.protocols import Membership
from .const import CANDIDATES, MAXIMUM_HOPS, REMOTE_MINIMUM_SECONDS
from .index import FleetIndex


def choose_remote(
    facts: RequestFacts,
    index: FleetIndex,
    membership: Membership,
    data_centre: str,
    now: float,
    random: Random,
    exclude: frozenset[str],
) -> Member | None:
    """Return the less loaded of two random entries whose data centre has capacity.

    A forwarded request is not forwarded again: with all data centres full, it would
    circulate until its deadline and add load to each of them.
    """
    if facts.hops >= MAXIMUM_HOPS or facts.deadline - now < REMOTE_MINIMUM_SECONDS:
        return None
    candidates = [
        member
        for other in index.data_centres(facts.pool)
        if other != data_centre and other not in index.state.silent
        for member in _members_with_capacity(facts.pool, other, index, membership)
        if member.name not in exclude
    ]
    if not candidates:
        return None
    candidates.sort(key=lambda member: member.name)
    sampled = random.sample(candidates, min(CANDIDATES, len(candidates)))
    return min(sampled, key=lambda member: member.in_flight)


def _members_with_capacity(
    pool: str, data_centre: str, index: FleetIndex, membership: Membership
) -> tuple[Member, ...]:
    group = index.group(data_centre, pool)
    members = membership.live(data_centre)
    if group is None or not members:
        return ()
    fair_share = group.slots / len(members)
    return tuple(member for member in members if member.in_flight < fair_share)
