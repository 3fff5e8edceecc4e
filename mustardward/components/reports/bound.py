"""Compare a day's instances and jobs in time with other planners and a bound; pure.

The bound knows all arrivals and run times beforehand: every task begins as its turn
comes, and an instance stands only while it is needed, or while to send it off and fetch
it again would cost more. No planner that has to wait for arrivals gets there.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from .played_pool import PlayedPool
from .replayed import GRID_SECONDS, Account, Work, account_of, cell_of, sample
from .stories import Amount, Day

BRIDGE_SECONDS: Final = 2.3
"""Gap in which an instance is kept rather than sent off: a way off and on again costs
about as much."""


@dataclass(slots=True)
class Planned:
    """Hold what a planner came to: instances on the grid, by pool.

    :param in_time: jobs done within their objective.
    """

    name: str
    jobs: int = 0
    in_time: int = 0
    moves: int = 0
    instances: dict[str, list[int]] = field(default_factory=dict)

    @property
    def instance_seconds(self) -> float:
        """Return the sum over the pools."""
        return GRID_SECONDS * sum(sum(counts) for counts in self.instances.values())

    @property
    def share_in_time(self) -> float:
        """Return the share of jobs done within their objective."""
        return self.in_time / self.jobs if self.jobs else 0.0


def compare(day: Day) -> list[Planned]:
    """Return what the entries, the bound and two simple planners come to."""
    account = account_of(day)
    planners = (actual, bound, by_threshold, all_on)
    return [planner(account) for planner in planners]


def actual(account: Account) -> Planned:
    """Return what the entries came to, by their own lines."""
    planned = Planned("as it was", len(account.works), account.actually_in_time)
    planned.moves = account.moves
    for service, looks in account.sizes.items():
        planned.instances[service] = sample(looks, account.cells, 0)
    return planned


def bound(account: Account) -> Planned:
    """Return what a planner that knows all beforehand needs for all jobs in time."""
    count = len(account.works)
    planned = Planned("known beforehand", count, count)
    demand = {
        service: sample(looks, account.cells, Amount())
        for service, looks in account.lasting.items()
    }
    for work in account.works:
        taken = demand.get(work.service, [])
        for begin, end, room in _spans(work):
            over = max(cell_of(begin) + 1, cell_of(end))
            for cell in range(cell_of(begin), min(len(taken), over)):
                taken[cell] += room
    for service, taken in demand.items():
        size = account.room[service]
        least = sample(account.spread[service], account.cells, 0)
        needs = [
            max(math.ceil(amount.share_of(size)), spread)
            for amount, spread in zip(taken, least, strict=True)
        ]
        planned.instances[service], moves = keep_over_gaps(needs)
        planned.moves += moves
    return planned


def _spans(work: Work) -> Iterable[tuple[float, float, Amount]]:
    """Yield begin, end and room of each task that begins as its turn comes."""
    ends: list[float] = []
    for piece in work.pieces:
        begin = max((ends[n] for n in piece.after if n < len(ends)), default=0.0)
        begin = max(begin, work.submitted_at)
        for seconds in piece.seconds:
            yield begin, begin + seconds, piece.room
        ends.append(begin + max(piece.seconds, default=0.0))


def keep_over_gaps(needs: Sequence[int]) -> tuple[list[int], int]:
    """Return needs with short gaps filled, and the moves that are left.

    Each instance is looked at by itself: the k-th one is needed while k or more are.
    """
    gap = round(BRIDGE_SECONDS / GRID_SECONDS)
    kept = [0] * len(needs)
    moves = 0
    for level in range(1, max(needs, default=0) + 1):
        last: int | None = None
        for cell, need in enumerate(needs):
            if need < level:
                continue
            if last is None or cell - last > gap:
                moves += 2
                kept[cell] += 1
            else:
                for between in range(last + 1, cell + 1):
                    kept[between] += 1
            last = cell
    return kept, moves


def all_on(account: Account) -> Planned:
    """Return what keeping the most that a pool ever had on all day comes to."""
    most = {name: max(n for _, n in looks) for name, looks in account.sizes.items()}
    return _simulate("all kept on", account, most, adapts=False)


def by_threshold(account: Account) -> Planned:
    """Return what adding at a threshold and sending off when idle comes to."""
    first = dict.fromkeys(account.sizes, 2)
    return _simulate("by threshold", account, first, adapts=True)


def _simulate(
    name: str, account: Account, sizes: Mapping[str, int], adapts: bool
) -> Planned:
    planned = Planned(name, len(account.works))
    for service, size in sizes.items():
        own = [work for work in account.works if work.service == service]
        lasting = sample(account.lasting[service], account.cells, Amount())
        pool = PlayedPool(own, account.room[service], size, adapts)
        planned.instances[service] = [
            pool.step(cell * GRID_SECONDS, lasting[cell])
            for cell in range(account.cells)
        ]
        planned.in_time += pool.in_time
        planned.moves += pool.moves
    return planned
