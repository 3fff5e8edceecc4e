"""Process claims: drain, reboot, wait for the return and release.

Another executor may repeat any step: the ids of platform operations contain the first
generation of the claim, and the calls carry its current generation.
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
from .claim_recorder import ClaimRecorder
from .const import (
    CONFIRM_TIMEOUT_SECONDS,
    DRAIN_START_TIMEOUT_SECONDS,
    EXCLUSION_SECONDS,
    MAX_DRAIN_TAIL_AGE_SECONDS,
    REBOOT_TIMEOUT_SECONDS,
)
from .decisions import DecisionJournal
from .models import ExecutorDependencies, Outcome
from .unreported_failures import count_unreported_failures

_LOGGER = get_logger(__name__)

Step = Callable[["ClaimProcessor", Claim], Awaitable[None]]

STAGES: Final[Registry[str, Step]] = Registry("claim stages")


class ClaimProcessor:
    """Process the claims of one executor.

    :param grace_seconds: returns the seconds for which a drain in a pool waits for work
        to complete before it moves jobs away.
    """

    def __init__(
        self,
        dependencies: ExecutorDependencies,
        journal: DecisionJournal,
        grace_seconds: Callable[[str], float],
    ) -> None:
        self._dependencies = dependencies
        self._recorder = ClaimRecorder(dependencies, journal)
        self._grace_seconds = grace_seconds
        self._stage_since: dict[tuple[str, int, str], float] = {}
        self._excluded_until: dict[str, float] = {}

    async def async_step(self, claim: Claim) -> None:
        """Process the current stage of a claim; a platform error postpones it."""
        try:
            if self._must_abort(claim):
                await self.async_abort(claim, self._abort_cause(claim))
                return
            await STAGES[claim.stage](self, claim)
        except StaleGenerationError as error:
            # Another executor has adopted the claim and called the platform, but its
            # record is not applied here yet. Only one may control the instance.
            self._recorder.record(claim, "claim-fenced", error.code)
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

    async def async_abort(self, claim: Claim, cause: str) -> None:
        """Return an instance to service without a reboot and release its claim."""
        power = await self._dependencies.power.async_get(claim.instance_id)
        if power.state is PowerState.DOWN:
            await self._recorder.async_release(
                claim, Outcome.FAILED, power.boot, "down"
            )
            return
        if power.state is not PowerState.SERVING:
            power = await self._dependencies.power.async_return(
                claim.instance_id, _operation(claim, "return"), claim.generation
            )
        if power.state is PowerState.SERVING:
            await self._recorder.async_release(
                claim, Outcome.GIVEN_BACK, power.boot, cause
            )

    def stage_seconds(self, claim: Claim) -> float:
        """Return the seconds since this process first observed the stage of a claim."""
        key = (claim.instance_id, claim.taken, claim.stage)
        now = self._dependencies.timers.monotonic()
        return now - self._stage_since.setdefault(key, now)

    def excluded_instances(self) -> frozenset[str]:
        """Return the instances that recently could not be drained."""
        now = self._dependencies.timers.monotonic()
        return frozenset(
            name for name, until in self._excluded_until.items() if now < until
        )

    def prune(self) -> None:
        """Remove the data of past stages and expired exclusions."""
        claims = self._dependencies.log.state.claims
        self._excluded_until = {
            name: self._excluded_until[name] for name in self.excluded_instances()
        }
        self._stage_since = {
            key: since
            for key, since in self._stage_since.items()
            if (claim := claims.get(key[0])) is not None
            and (claim.taken, claim.stage) == key[1:]
        }

    def _must_abort(self, claim: Claim) -> bool:
        if claim.stage == ClaimStage.REBOOTING:
            return False
        return self._abort_cause(claim) != ""

    def _abort_cause(self, claim: Claim) -> str:
        wave = self._dependencies.log.state.waves[claim.wave_id]
        if wave.status != WaveStatus.RUNNING:
            return f"wave-{wave.status}"
        # Without a recent log tail the remaining margin is unknown, so no reboot can
        # start and a drained instance only costs capacity. A return is always safe.
        if self._dependencies.log.tail_age_seconds() > MAX_DRAIN_TAIL_AGE_SECONDS:
            return "tail-lost"
        return ""

    @STAGES.register(ClaimStage.CLAIMED)
    async def _async_drain(self, claim: Claim) -> None:
        if not self._dependencies.may_start():
            return
        power = await self._dependencies.power.async_get(claim.instance_id)
        if power.state is PowerState.DOWN or power.boot != claim.boot:
            await self.async_abort(claim, "boot-changed")
            return
        try:
            await self._dependencies.power.async_drain(
                claim.instance_id, _operation(claim, "drain"), claim.generation
            )
        except PlatformUnavailableError:
            if self.stage_seconds(claim) < DRAIN_START_TIMEOUT_SECONDS:
                raise
            # The platform cannot reach the instance. Keeping the claim would block its
            # slot for other instances and prevent the wave from finishing.
            now = self._dependencies.timers.monotonic()
            self._excluded_until[claim.instance_id] = now + EXCLUSION_SECONDS
            await self.async_abort(claim, "undrainable")
            return
        await self._recorder.async_advance(claim, ClaimStage.DRAINING)

    @STAGES.register(ClaimStage.DRAINING)
    async def _async_wait_for_work(self, claim: Claim) -> None:
        power = await self._dependencies.power.async_get(claim.instance_id)
        if await self._async_abort_if_changed(claim, power):
            return
        # Moving work puts its response at risk, so work that completes is not moved.
        if power.running > 0 and self.stage_seconds(claim) < self._grace_period(claim):
            return
        if not await self._async_finish_drain(claim, power):
            await self._recorder.async_advance(claim, ClaimStage.VACATING)

    @STAGES.register(ClaimStage.VACATING)
    async def _async_vacate(self, claim: Claim) -> None:
        power = await self._dependencies.power.async_get(claim.instance_id)
        if not await self._async_abort_if_changed(claim, power):
            await self._async_finish_drain(claim, power)

    async def _async_finish_drain(self, claim: Claim, power: InstancePower) -> bool:
        """Advance the claim to drained once nothing runs on the instance.

        There is no timeout: requests have a bounded duration and jobs are checkpointed,
        so the instance becomes idle without losing work.
        """
        vacated = await self._dependencies.vacate(claim.instance_id)
        if vacated and power.running == 0 and power.state is PowerState.DRAINED:
            return await self._recorder.async_advance(claim, ClaimStage.DRAINED)
        return False

    @STAGES.register(ClaimStage.DRAINED)
    async def _async_reboot_if_allowed(self, claim: Claim) -> None:
        power = await self._dependencies.power.async_get(claim.instance_id)
        if await self._async_abort_if_changed(claim, power):
            return
        await self._dependencies.probe(
            self._dependencies.log.state.instances[claim.instance_id].pool
        )
        if not await self._dependencies.log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS):
            self._recorder.record(claim, "reboot-postponed", "tail-unconfirmed")
            return
        if not self._is_current(claim) or not self._dependencies.log.may_decide:
            return
        refusal = self.check_budget(claim, self._count_unreported())
        if refusal is not None:
            self._recorder.record(
                claim, "claim-given-back", refusal.code, refusal.detail
            )
            await self.async_abort(claim, refusal.code)
            return
        if await self._recorder.async_advance(claim, ClaimStage.REBOOTING):
            await self._async_reboot(claim)

    @STAGES.register(ClaimStage.REBOOTING)
    async def _async_await_return(self, claim: Claim) -> None:
        checked_at = self._dependencies.timers.monotonic()
        power = await self._dependencies.power.async_get(claim.instance_id)
        if power.boot > claim.boot and power.state is PowerState.SERVING:
            # Membership has marked the instance down during its reboot. Without this
            # report the next claim would count it as failed and be aborted needlessly.
            self._dependencies.membership.report_instance(
                claim.instance_id, True, "returned", checked_at
            )
            await self._recorder.async_release(claim, Outcome.DONE, power.boot, "")
            return
        if power.state is PowerState.DRAINED:
            # The reboot request was lost or its executor stopped before sending it. The
            # operation id makes a repeated request idempotent.
            await self._async_reboot(claim)
            return
        overdue = self.stage_seconds(claim) >= REBOOT_TIMEOUT_SECONDS
        if power.state is PowerState.DOWN or overdue:
            cause = "overdue" if overdue else "down"
            await self._recorder.async_release(claim, Outcome.FAILED, power.boot, cause)

    def check_budget(
        self, claim: Claim, unreported: Counter[str]
    ) -> BudgetExceededError | None:
        """Return the budget error that requires a claim to be aborted, if any."""
        instance = self._dependencies.log.state.instances[claim.instance_id]
        return check_within_budgets(
            self._dependencies.log.state, instance, unreported[instance.pool]
        )

    async def _async_abort_if_changed(self, claim: Claim, power: InstancePower) -> bool:
        """Abort the claim if the instance was returned or restarted meanwhile.

        Its drain is then no longer in effect. Return whether the claim was aborted.
        """
        if power.state is PowerState.SERVING:
            await self.async_abort(claim, "serving-again")
            return True
        if power.state is PowerState.DOWN or power.boot != claim.boot:
            await self.async_abort(claim, "boot-changed")
            return True
        return False

    async def _async_reboot(self, claim: Claim) -> None:
        if not self._is_current(claim) or not self._dependencies.log.may_decide:
            return
        await self._dependencies.power.async_reboot(
            claim.instance_id, _operation(claim, "reboot"), claim.generation
        )
        self._recorder.record(claim, "reboot-begun", "drained")

    def _is_current(self, claim: Claim) -> bool:
        current = self._dependencies.log.state.claims.get(claim.instance_id)
        return current is not None and current.generation == claim.generation

    def _grace_period(self, claim: Claim) -> float:
        instance = self._dependencies.log.state.instances[claim.instance_id]
        return self._grace_seconds(instance.pool)

    def _count_unreported(self) -> Counter[str]:
        dependencies = self._dependencies
        return count_unreported_failures(
            dependencies.log.state, dependencies.membership, dependencies.data_centre
        )


def _operation(claim: Claim, action: str) -> str:
    return f"claim.{claim.instance_id}.{claim.taken}.{action}"
