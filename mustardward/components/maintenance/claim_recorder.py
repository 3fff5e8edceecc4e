"""Append the progress of claims to the log and record decisions on them."""

from __future__ import annotations

from returns.result import Failure

from ...state.models.maintenance import (
    AdvanceClaim,
    Claim,
    ClaimStage,
    ReleaseClaim,
)
from ..explain.models import SubjectKind
from .const import CLAIM_PRIORITY
from .decisions import DecisionJournal
from .models import ExecutorDependencies, Outcome


class ClaimRecorder:
    """Append the stages and outcomes of claims, fenced by their generations."""

    def __init__(
        self, dependencies: ExecutorDependencies, journal: DecisionJournal
    ) -> None:
        self._dependencies = dependencies
        self._journal = journal

    async def async_advance(self, claim: Claim, stage: ClaimStage) -> bool:
        """Append that a claim reached a stage; return whether it was accepted."""
        body = AdvanceClaim(claim.instance_id, claim.generation, stage)
        return await self._async_propose(claim, body, f"claim-{stage}")

    async def async_release(
        self, claim: Claim, outcome: Outcome, boot: int, reason: str
    ) -> None:
        """Append the release of a claim."""
        body = ReleaseClaim(claim.instance_id, claim.generation, outcome, boot, reason)
        if await self._async_propose(claim, body, f"claim-{outcome}"):
            self.record(claim, f"claim-{outcome}", reason or outcome)

    def record(self, claim: Claim, decision: str, cause: str, *inputs: str) -> None:
        """Record a decision on a claim."""
        self._journal.record(
            SubjectKind.INSTANCE,
            claim.instance_id,
            decision,
            cause,
            f"wave={claim.wave_id}",
            f"generation={claim.generation}",
            *inputs,
        )

    async def _async_propose(
        self, claim: Claim, body: AdvanceClaim | ReleaseClaim, decision: str
    ) -> bool:
        result = await self._dependencies.log.async_propose(
            body, actor=self._dependencies.executor, priority=CLAIM_PRIORITY
        )
        if isinstance(result, Failure):
            error = result.failure()
            self.record(claim, f"{decision}-refused", error.code, error.detail)
            return False
        return True
