"""Choose one worker of a group by two random candidates; pure but for the dice."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from .const import CANDIDATES, RANDOM_PROBES, SCAN_PROBES
from .health import penalty
from .index import WorkerLoad
from .picklist import PickList


def others_in_flight(load: WorkerLoad, now: float) -> float:
    """Return the slots that others were last known to use, fading with age."""
    if load.others <= 0.0:
        return 0.0
    age = max(0.0, now - load.others_at)
    if age >= load.others_memory:
        return 0.0
    return load.others * (1.0 - age / load.others_memory)


def score(load: WorkerLoad, now: float) -> float:
    """Return how loaded a worker is; the lower, the better.

    A worker that fails everything at once is always idle and would draw all work to
    itself, which shows as errors at the pool's full rate while its peers are idle.
    Its failure share therefore weighs like load.
    """
    busy = load.in_flight + load.long_tasks + others_in_flight(load, now)
    used = busy / max(1, load.slots)
    return used if now >= load.penalised_until else used + penalty(load.health, now)


def choose_worker(
    places: PickList[WorkerLoad],
    random: Random,
    now: float,
    exclude: frozenset[str],
    may_get_work: Callable[[str], bool],
) -> WorkerLoad | None:
    """Return the better of two random workers that may get work, or nothing."""
    best: WorkerLoad | None = None
    best_score = 0.0
    found = 0
    for load in _probe(places, random):
        instance_id = load.instance.instance_id
        if instance_id in exclude or now < load.avoid_until:
            continue
        if load is best or not may_get_work(instance_id):
            continue
        load_score = score(load, now)
        if best is None or load_score < best_score:
            best, best_score = load, load_score
        found += 1
        if found >= CANDIDATES:
            break
    return best


def _probe(places: PickList[WorkerLoad], random: Random) -> Iterator[WorkerLoad]:
    count = len(places)
    if not count:
        return
    for _ in range(RANDOM_PROBES):
        yield places[int(random.random() * count)]
    start = int(random.random() * count)
    for step in range(min(count, SCAN_PROBES)):
        yield places[(start + step) % count]
