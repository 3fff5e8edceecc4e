"""Count failures that this process has detected and the log does not contain yet."""

from __future__ import annotations

from collections import Counter

from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ..membership.protocols import Membership


def count_unreported_failures(
    state: FleetState, membership: Membership, data_centre: str
) -> Counter[str]:
    """Return the number of suspected instances per pool that still count as available.

    Failures reach the log seconds after their detection. A reboot that ignored them
    could hit the instance that took over the work of a failed one.
    """
    index = get_budget_index(state)
    found: Counter[str] = Counter()
    for instance_id in membership.suspended_instances():
        instance = state.instances.get(instance_id)
        if instance is None or instance.data_centre != data_centre:
            continue
        if index.is_available(instance_id):
            found[instance.pool] += 1
    return found
