"""Patch a protection out of the product in this process."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

from returns.result import Success


def remove_fencing() -> None:
    """Accept every lease as that of a new attempt, and act on any that was held."""
    from mustardward.components.jobs.attempt_manager import AttemptManager
    from mustardward.state.handlers import jobs
    from mustardward.state.handlers.all import WORK_HANDLERS

    original = jobs.lease_job

    def lease_job(state: Any, context: Any, body: Any) -> Any:
        job = state.jobs.get(body.job_id)
        if job is not None and job.status == "running":
            job.status = "waiting"
        if job is not None:
            body = replace(body, previous_generation=job.generation)
        return original(state, context, body)

    def owned_job(self: Any, attempt: Any) -> Any:
        return self.log.state.jobs.get(attempt.job_id)

    WORK_HANDLERS._entries["job.lease"] = lease_job
    setattr(AttemptManager, "owned_job", owned_job)  # noqa: B010


def remove_intent() -> None:
    """Let every keyed request be dispatched at once."""
    from mustardward.components.retries.idempotency_guard import LogIdempotencyGuard

    async def async_open(self: Any, facts: Any) -> Any:
        return Success(None)

    setattr(LogIdempotencyGuard, "async_open", async_open)  # noqa: B010


def remove_budget_recheck() -> None:
    """Neither refuse a reboot nor give a claim back for failures since the claim."""
    from mustardward.components.maintenance.claim_processor import ClaimProcessor
    from mustardward.state.handlers import maintenance

    setattr(ClaimProcessor, "check_budget", lambda *arguments: None)  # noqa: B010
    if not hasattr(maintenance, "check_within_budgets"):
        raise AttributeError("the protection has another name now")
    setattr(maintenance, "check_within_budgets", lambda *arguments: None)  # noqa: B010


def remove_attempt_id() -> None:
    """Take every answer for the one that was asked for."""
    from mustardward.components.entry import dispatcher
    from mustardward.const import HEADER_ATTEMPT_ID

    original = dispatcher._async_accept

    async def async_accept(response: Any, body: Any, choice: Any, method: str) -> Any:
        response.headers[HEADER_ATTEMPT_ID] = choice.attempt_id
        return await original(response, body, choice, method)

    setattr(dispatcher, "_async_accept", async_accept)  # noqa: B010


def remove_snapshot_monotony() -> None:
    """Let an image put the state back."""
    from mustardward.state import images
    from mustardward.state.fold import Fold

    check = images.check_header
    restore = Fold.restore

    def check_header(spec: Any, header: Any, least_offset: int) -> None:
        check(spec, header, 0)

    def restore_any(self: Any, image: Any) -> None:
        self._next_offset = 0
        restore(self, image)

    setattr(images, "check_header", check_header)  # noqa: B010
    setattr(Fold, "restore", restore_any)  # noqa: B010


def remove_leaving() -> None:
    """Take every worker for one that stays."""
    from mustardward.components.membership.services import MembershipService
    from mustardward.components.routing.index import FleetIndex

    setattr(  # noqa: B010
        MembershipService, "is_instance_eligible", lambda self, instance_id: True
    )
    setattr(FleetIndex, "_may_get_work", lambda self, instance_id: True)  # noqa: B010


def remove_acknowledgement() -> None:
    """Transfer an instance without waiting for its entries' acknowledgements."""
    from mustardward.components.pools.acknowledger import Acknowledger
    from mustardward.components.pools.messages import Acknowledgement
    from mustardward.components.pools.move_executor import MoveExecutor

    async def async_acknowledge(self: Any, message: Any) -> Any:
        return Acknowledgement(self._dependencies.executor, True)

    async def async_drain(self: Any, move: Any) -> bool:
        return True

    setattr(Acknowledger, "async_acknowledge", async_acknowledge)  # noqa: B010
    setattr(MoveExecutor, "_async_drain", async_drain)  # noqa: B010


def remove_drain() -> None:
    """End the process at the signal, whatever is in progress."""
    from mustardward.cli import serve

    async def async_leave(core: Any) -> None:
        os._exit(0)

    setattr(serve, "async_leave", async_leave)  # noqa: B010
