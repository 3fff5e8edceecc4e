"""Provide builders of records, fleet states and jobs for tests."""

from __future__ import annotations

from typing import Any

from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold, RecordOutcome
from mustardward.state.handlers.all import FLEET_HANDLERS
from mustardward.state.models.jobs import AcceptJob
from mustardward.state.models.pools import AddInstance, PutPool
from mustardward.state.models.templates import Parameters, ServiceBinding
from mustardward.state.records import (
    NO_BASE,
    Envelope,
    encode_batch,
    make_record,
)


def build_record(
    body: Any, record_id: str = "record-1", base_revision: int = NO_BASE
) -> Envelope:
    """Return a record's envelope with a fixed actor and timestamp."""
    return make_record(
        body,
        record_id=record_id,
        actor="operator",
        stamp=0.0,
        base_revision=base_revision,
    )


class FoldBuilder:
    """Apply records one by one, each in its own log entry.

    :param fold: the fold that applies them.
    """

    def __init__(self, fold: Fold[Any]) -> None:
        self.fold = fold
        self._count = 0

    def apply(self, body: Any, base_revision: int = NO_BASE) -> RecordOutcome:
        """Apply one record with a new id and return its outcome."""
        self._count += 1
        envelope = build_record(body, f"built-{self._count}", base_revision)
        payload = encode_batch([envelope])
        return self.fold.apply(self.fold.next_offset, payload)[0]

    def accept(self, body: Any, base_revision: int = NO_BASE) -> int:
        """Apply one record that has to be accepted, and return its revision."""
        return self.apply(body, base_revision).result.unwrap().revision


def build_parameters(*pools: str, **changes: Any) -> Parameters:
    """Return parameters with one service per pool."""
    services = tuple(ServiceBinding(f"service-{pool}", pool) for pool in pools)
    return Parameters(services=services, **changes)


def build_fleet_fold(*pools: str) -> FoldBuilder:
    """Return a builder whose fleet has some pools."""
    builder = FoldBuilder(Fold(FleetState(), FLEET_HANDLERS))
    for pool in pools:
        builder.accept(PutPool(pool))
    return builder


def build_instance(
    instance_id: str, pool: str, rack: str = "rack-1", data_centre: str = "bergen"
) -> AddInstance:
    """Return the record that adds an instance."""
    return AddInstance(instance_id, data_centre, rack, "127.0.0.1:0", pool)


def build_accept_job(job_id: str = "job-1", **fields: Any) -> AcceptJob:
    """Return the record that accepts a small idempotent job."""
    values: dict[str, Any] = {
        "organisation": "derwent",
        "service": "castings",
        "pool": "casting",
        "payload": b"plan",
    }
    return AcceptJob(job_id=job_id, **(values | fields))
