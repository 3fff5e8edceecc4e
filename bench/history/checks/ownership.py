"""Check that an instance belongs to exactly one pool at any moment."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator

from ..models import Execution, History, Owned, Violation
from .registry import INVARIANTS


@INVARIANTS.register("one-pool")
def check_one_pool(history: History) -> Iterator[Violation]:
    """Find views that differ from the log, and work of a pool that is not the owner.

    Work that began for the old owner and still runs when the new one takes over is a
    violation too: for that time the instance works for two pools.
    """
    owners = _by_instance(history.owned)
    yield from _check_views(history, owners)
    for run in history.executions:
        pool = history.pool_of_service.get((run.organisation, run.service))
        if pool is None:
            continue
        for change in _owners_within(owners.get(run.instance, []), run):
            if change.pool != pool:
                detail = f"{run.operation_id} for {pool}, owner {change.pool}"
                at = max(run.start, change.at)
                yield Violation("one-pool", run.instance, at, detail)
                break


def _check_views(
    history: History, owners: dict[str, list[Owned]]
) -> Iterator[Violation]:
    for seen in history.owners_seen:
        pools = {
            change.pool
            for change in owners.get(seen.instance, [])
            if change.generation == seen.generation
        }
        if pools != {seen.pool}:
            detail = (
                f"{seen.entry} says {seen.pool} generation={seen.generation}, "
                f"log {sorted(pools)}"
            )
            yield Violation("one-pool", seen.instance, seen.end, detail)


def _by_instance(owned: list[Owned]) -> dict[str, list[Owned]]:
    by_instance: dict[str, list[Owned]] = {}
    for item in sorted(owned, key=lambda change: change.generation):
        by_instance.setdefault(item.instance, []).append(item)
    return by_instance


def _owners_within(changes: list[Owned], run: Execution) -> list[Owned]:
    """Return the owner when the run began and those that followed until its end."""
    times = [item.at for item in changes]
    first = max(bisect_right(times, run.start) - 1, 0)
    last = bisect_right(times, run.end)
    return changes[first:last]
