"""Fold fleets of any size."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold
from mustardward.state.models.pools import AddInstance, PutPool
from mustardward.state.models.templates import (
    Overrides,
    Parameters,
    PublishTemplate,
    PutOrganisation,
    ServiceBinding,
)
from mustardward.state.records import encode_batch, make_record
from mustardward.state.streams import FLEET_SPEC

from .target import DATA_CENTRES, ORGANISATIONS, POOLS, RACK


def pool_name(number: int) -> str:
    """Return the name of one of the pools."""
    return f"pool-{number % POOLS}"


def organisation_bodies(count: int) -> Iterable[Any]:
    """Yield a template and organisations with five services each."""
    yield PublishTemplate("standard", Parameters(minimum_available=0.5))
    for number in range(count):
        services = tuple(
            ServiceBinding(f"service-{item}", pool_name(number * 5 + item))
            for item in range(5)
        )
        name = f"organisation-{number}"
        yield PutOrganisation(name, "standard", Overrides(services=services))


def instance_bodies(count: int) -> Iterable[Any]:
    """Yield instances spread over data centres, racks and pools."""
    for number in range(count):
        data_centre = number % DATA_CENTRES
        place = number // DATA_CENTRES
        yield AddInstance(
            instance_id=f"dc-{data_centre}-worker-{place}",
            data_centre=f"dc-{data_centre}",
            rack=f"rack-{place // RACK}",
            address=f"10.{data_centre}.{place // 250}.{place % 250}:8000",
            pool=pool_name(place),
        )


class FleetFold:
    """Fold bodies one record an entry."""

    def __init__(self) -> None:
        self.fold: Fold[FleetState] = FLEET_SPEC.new_fold()
        self.bytes = 0
        self._count = 0

    @property
    def state(self) -> FleetState:
        """Return the folded state."""
        return self.fold.state

    def add(self, bodies: Iterable[Any], base_revision: int = 0) -> None:
        """Fold bodies in order."""
        for body in bodies:
            payload = self.payload(body, base_revision)
            self.bytes += len(payload)
            self.fold.apply(self.fold.next_offset, payload)

    def payload(self, body: Any, base_revision: int = 0) -> bytes:
        """Return the entry's bytes of one body."""
        self._count += 1
        record = make_record(
            body,
            record_id=f"{self._count:032x}",
            actor="operator",
            stamp=0.0,
            base_revision=base_revision,
        )
        return encode_batch([record])


def build_fleet(workers: int, organisations: int = ORGANISATIONS) -> FleetFold:
    """Return a folded fleet."""
    fleet = FleetFold()
    fleet.add(PutPool(pool_name(number)) for number in range(POOLS))
    fleet.add(organisation_bodies(organisations))
    fleet.add(instance_bodies(workers))
    return fleet


def memory_of(build: Callable[[], Any]) -> float:
    """Return the megabytes that Python holds for what ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / 1e6


def best_seconds(work: Callable[[], Any], rounds: int = 5) -> float:
    """Return the processor seconds of the quickest of some rounds.

    Processor time, since others may use the machine at the same time.
    """
    best = float("inf")
    for _ in range(rounds):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best
