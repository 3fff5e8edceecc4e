"""Weigh what this process sees and the log does not say yet."""

from __future__ import annotations

from collections import Counter

from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ..membership.protocols import Membership


def count_unreported_failures(
    state: FleetState, membership: Membership, data_centre: str
) -> Counter[str]:
    """Count, by pool, instances that look down here and count as available.

    Failures reach the log seconds after they are seen. A reboot that did not weigh
    them in would take the instance that the failed one's work went to.
    """
    index = get_budget_index(state)
    found: Counter[str] = Counter()
    for instance_id in membership.instances_held_back():
        instance = state.instances.get(instance_id)
        if instance is None or instance.data_centre != data_centre:
            continue
        if index.is_available(instance_id):
            found[instance.pool] += 1
    return found
