"""Take one claim a step further: drain, reboot, wait for the return, give back.

Every step may be repeated by another executor: platform operations are named after the
claim's first generation, and carry the present one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from ...exceptions import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    StaleGenerationError,
)
from ...helpers.logging import get_logger
from ...helpers.registry import Registry
from ...standin.protocol.models import InstancePower, PowerState
from ...state.budgets import BudgetExceededError, check_within_budgets
from ...state.models.maintenance import (
    Claim,
    ClaimStage,
    WaveStatus,
)
from .claim_records import ClaimRecords
from .const import (
    CONFIRM_TIMEOUT_SECONDS,
    DRAIN_PATIENCE_SECONDS,
    REBOOT_PATIENCE_SECONDS,
    SHUN_SECONDS,
    TAIL_LOST_SECONDS,
)
from .decisions import DecisionJournal
from .evidence import unreported_down
from .models import ExecutorParts, Outcome

_LOGGER = get_logger(__name__)

Step = Callable[["ClaimSteps", Claim], Awaitable[None]]

STAGES: Final[Registry[str, Step]] = Registry("claim stages")


class ClaimSteps:
    """Carry out claims.

    :param patience: seconds for which work on an instance of a pool may end by itself
        before long work is moved away.
    """

    def __init__(
        self,
        parts: ExecutorParts,
        journal: DecisionJournal,
        patience: Callable[[str], float],
    ) -> None:
        self._parts = parts
        self._records = ClaimRecords(parts, journal)
        self._patience = patience
        self._since: dict[tuple[str, int, str], float] = {}
        self._shunned: dict[str, float] = {}

    async def async_step(self, claim: Claim) -> None:
        """Take a claim one step further; a platform failure leaves it for later."""
        try:
            if self._has_to_go_back(claim):
                await self.async_give_back(claim, self._end_cause(claim))
                return
            await STAGES[claim.stage](self, claim)
        except StaleGenerationError as error:
            # Another executor adopted the claim and has called already; its record is
            # on the way. Going on here would steer one instance from two places.
            self._records.note(claim, "claim-fenced", error.code)
        except (PlatformUnavailableError, PlatformOutcomeUnknownError) as error:
            _LOGGER.warning(
                "claim_step_postponed", instance=claim.instance_id, cause=error.code
            )
        except PlatformError as error:
            _LOGGER.warning(
                "claim_step_refused",
                instance=claim.instance_id,
                cause=error.code,
                detail=error.detail,
            )

    async def async_give_back(self, claim: Claim, cause: str) -> None:
        """Let an instance serve again without a reboot, and end its claim."""
        power = await self._parts.power.async_get(claim.instance_id)
        if power.state is PowerState.DOWN:
            await self._records.async_release(claim, Outcome.FAILED, power.boot, "down")
            return
        if power.state is not PowerState.SERVING:
            power = await self._parts.power.async_return(
                claim.instance_id, _operation(claim, "return"), claim.generation
            )
        if power.state is PowerState.SERVING:
            await self._records.async_release(
                claim, Outcome.GIVEN_BACK, power.boot, cause
            )

    def waited(self, claim: Claim) -> float:
        """Return the seconds for which this process has seen the claim's stage."""
        key = (claim.instance_id, claim.taken, claim.stage)
        now = self._parts.timers.monotonic()
        return now - self._since.setdefault(key, now)

    def shunned(self) -> frozenset[str]:
        """Return the instances that could not be drained a while ago."""
        now = self._parts.timers.monotonic()
        return frozenset(name for name, until in self._shunned.items() if now < until)

    def forget_ended(self) -> None:
        """Drop what was kept of claims that ended or moved on."""
        claims = self._parts.log.state.claims
        self._shunned = {name: self._shunned[name] for name in self.shunned()}
        self._since = {
            key: since
            for key, since in self._since.items()
            if (claim := claims.get(key[0])) is not None
            and (claim.taken, claim.stage) == key[1:]
        }

    def _has_to_go_back(self, claim: Claim) -> bool:
        if claim.stage == ClaimStage.REBOOTING:
            return False
        return self._end_cause(claim) != ""

    def _end_cause(self, claim: Claim) -> str:
        wave = self._parts.log.state.waves[claim.wave_id]
        if wave.status != WaveStatus.RUNNING:
            return f"wave-{wave.status}"
        # Without the tail nobody can tell how much margin is left, so a drained
        # instance only costs capacity. To serve again is always safe.
        if self._parts.log.tail_age_seconds() > TAIL_LOST_SECONDS:
            return "tail-lost"
        return ""

    @STAGES.register(ClaimStage.CLAIMED)
    async def _async_drain(self, claim: Claim) -> None:
        if not self._parts.may_begin():
            return
        power = await self._parts.power.async_get(claim.instance_id)
        if power.state is PowerState.DOWN or power.boot != claim.boot:
            await self.async_give_back(claim, "boot-changed")
            return
        try:
            await self._parts.power.async_drain(
                claim.instance_id, _operation(claim, "drain"), claim.generation
            )
        except PlatformUnavailableError:
            if self.waited(claim) < DRAIN_PATIENCE_SECONDS:
                raise
            # The platform does not reach the instance. Held on to, it would keep the
            # wave from ending, and its place in the wave from others.
            now = self._parts.timers.monotonic()
            self._shunned[claim.instance_id] = now + SHUN_SECONDS
            await self.async_give_back(claim, "undrainable")
            return
        await self._records.async_advance(claim, ClaimStage.DRAINING)

    @STAGES.register(ClaimStage.DRAINING)
    async def _async_let_work_end(self, claim: Claim) -> None:
        power = await self._parts.power.async_get(claim.instance_id)
        if await self._async_met_trouble(claim, power):
            return
        # Work that ends by itself is not moved; a move puts an answer at risk.
        if power.running > 0 and self.waited(claim) < self._patience_for(claim):
            return
        if not await self._async_empty(claim, power):
            await self._records.async_advance(claim, ClaimStage.VACATING)

    @STAGES.register(ClaimStage.VACATING)
    async def _async_move_work_away(self, claim: Claim) -> None:
        power = await self._parts.power.async_get(claim.instance_id)
        if not await self._async_met_trouble(claim, power):
            await self._async_empty(claim, power)

    async def _async_empty(self, claim: Claim, power: InstancePower) -> bool:
        """Note the claim as drained if nothing runs there any more.

        There is no cut-off: each request has a bounded life and long work is
        checkpointed, so this comes true without any work being lost.
        """
        vacated = await self._parts.vacate(claim.instance_id)
        if vacated and power.running == 0 and power.state is PowerState.DRAINED:
            return await self._records.async_advance(claim, ClaimStage.DRAINED)
        return False

    @STAGES.register(ClaimStage.DRAINED)
    async def _async_reboot_if_allowed(self, claim: Claim) -> None:
        power = await self._parts.power.async_get(claim.instance_id)
        if await self._async_met_trouble(claim, power):
            return
        await self._parts.look(self._parts.log.state.instances[claim.instance_id].pool)
        if not await self._parts.log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS):
            self._records.note(claim, "reboot-postponed", "tail-unconfirmed")
            return
        if not self._still_held(claim) or not self._parts.log.may_decide:
            return
        refusal = self.refusal(claim, self._local_evidence())
        if refusal is not None:
            self._records.note(claim, "claim-given-back", refusal.code, refusal.detail)
            await self.async_give_back(claim, refusal.code)
            return
        if await self._records.async_advance(claim, ClaimStage.REBOOTING):
            await self._async_reboot(claim)

    @STAGES.register(ClaimStage.REBOOTING)
    async def _async_await_return(self, claim: Claim) -> None:
        began = self._parts.timers.monotonic()
        power = await self._parts.power.async_get(claim.instance_id)
        if power.boot > claim.boot and power.state is PowerState.SERVING:
            # Membership still holds it for down, from the time of its reboot. Left so,
            # the next claim would count it as failed and go back for nothing.
            self._parts.membership.report_instance(
                claim.instance_id, True, "returned", began
            )
            await self._records.async_release(claim, Outcome.DONE, power.boot, "")
            return
        if power.state is PowerState.DRAINED:
            # The call never arrived, or its executor died before it. The operation id
            # makes a second one harmless.
            await self._async_reboot(claim)
            return
        overdue = self.waited(claim) >= REBOOT_PATIENCE_SECONDS
        if power.state is PowerState.DOWN or overdue:
            cause = "overdue" if overdue else "down"
            await self._records.async_release(claim, Outcome.FAILED, power.boot, cause)

    def refusal(
        self, claim: Claim, evidence: Counter[str]
    ) -> BudgetExceededError | None:
        """Return why a claimed instance should go back, or nothing."""
        instance = self._parts.log.state.instances[claim.instance_id]
        return check_within_budgets(
            self._parts.log.state, instance, evidence[instance.pool]
        )

    async def _async_met_trouble(self, claim: Claim, power: InstancePower) -> bool:
        """End the claim if the instance is not as the stage says.

        Someone returned it, or it crashed: what was known of its drain holds no more.
        """
        if power.state is PowerState.SERVING:
            await self.async_give_back(claim, "serving-again")
            return True
        if power.state is PowerState.DOWN or power.boot != claim.boot:
            await self.async_give_back(claim, "boot-changed")
            return True
        return False

    async def _async_reboot(self, claim: Claim) -> None:
        if not self._still_held(claim) or not self._parts.log.may_decide:
            return
        await self._parts.power.async_reboot(
            claim.instance_id, _operation(claim, "reboot"), claim.generation
        )
        self._records.note(claim, "reboot-begun", "drained")

    def _still_held(self, claim: Claim) -> bool:
        held = self._parts.log.state.claims.get(claim.instance_id)
        return held is not None and held.generation == claim.generation

    def _patience_for(self, claim: Claim) -> float:
        instance = self._parts.log.state.instances[claim.instance_id]
        return self._patience(instance.pool)

    def _local_evidence(self) -> Counter[str]:
        parts = self._parts
        return unreported_down(parts.log.state, parts.membership, parts.data_centre)


def _operation(claim: Claim, action: str) -> str:
    return f"claim.{claim.instance_id}.{claim.taken}.{action}"
