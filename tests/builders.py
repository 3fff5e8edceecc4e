"""Build test data."""

from __future__ import annotations

from typing import Any

from mustardward.state.models.jobs import AcceptJob
from mustardward.state.records import NO_BASE, Envelope, make_record


def build_record(
    body: Any, record_id: str = "record-1", base_revision: int = NO_BASE
) -> Envelope:
    """Return an envelope with a fixed actor and stamp."""
    return make_record(
        body,
        record_id=record_id,
        actor="operator",
        stamp=0.0,
        base_revision=base_revision,
    )


def build_accept_job(job_id: str = "job-1", **fields: Any) -> AcceptJob:
    """Return the proposal of a small idempotent job."""
    values: dict[str, Any] = {
        "organisation": "derwent",
        "service": "castings",
        "pool": "casting",
        "payload": b"plan",
    }
    return AcceptJob(job_id=job_id, **(values | fields))
