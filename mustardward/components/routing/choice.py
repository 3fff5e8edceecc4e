"""Choose a worker of a group by the power of two random choices."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from .const import CANDIDATES, RANDOM_PROBES, SCAN_PROBES
from .health import penalty
from .index import WorkerLoad
from .random_access_set import RandomAccessSet


def estimate_external_in_flight(load: WorkerLoad, now: float) -> float:
    """Return the estimated slots used by other entries, fading with age."""
    if load.external_in_flight <= 0.0:
        return 0.0
    age = max(0.0, now - load.external_observed_at)
    if age >= load.external_maximum_age:
        return 0.0
    return load.external_in_flight * (1.0 - age / load.external_maximum_age)


def score(load: WorkerLoad, now: float) -> float:
    """Return the load score of a worker; lower is better.

    A worker that fails every request immediately is always idle and would attract all
    work, with errors at the pool's full rate while its peers are idle. Its failure
    share therefore counts as load.
    """
    slots_in_use = (
        load.in_flight + load.job_slots + estimate_external_in_flight(load, now)
    )
    usage = slots_in_use / max(1, load.slots)
    return usage if now >= load.penalised_until else usage + penalty(load.health, now)


def choose_worker(
    workers: RandomAccessSet[WorkerLoad],
    random: Random,
    now: float,
    exclude: frozenset[str],
    may_get_work: Callable[[str], bool],
) -> WorkerLoad | None:
    """Return the better of two random workers that may get work, or ``None``."""
    best: WorkerLoad | None = None
    best_score = 0.0
    compared = 0
    for load in _sample_workers(workers, random):
        instance_id = load.instance.instance_id
        if instance_id in exclude or now < load.avoid_until:
            continue
        if load is best or not may_get_work(instance_id):
            continue
        load_score = score(load, now)
        if best is None or load_score < best_score:
            best, best_score = load, load_score
        compared += 1
        if compared >= CANDIDATES:
            break
    return best


def _sample_workers(
    workers: RandomAccessSet[WorkerLoad], random: Random
) -> Iterator[WorkerLoad]:
    count = len(workers)
    if not count:
        return
    for _ in range(RANDOM_PROBES):
        yield workers[int(random.random() * count)]
    start = int(random.random() * count)
    for step in range(min(count, SCAN_PROBES)):
        yield workers[(start + step) % count]
