"""Carry out waves: start, claim, step, give back, adopt, finish."""

from __future__ import annotations

from collections import Counter
from typing import Final

import anyio
from returns.result import Failure

from ...exceptions import PlatformError
from ...helpers.logging import get_logger
from ...standin.protocol.models import PowerState
from ...state.budgets import BudgetExceededError
from ...state.fold import RecordOutcome
from ...state.handlers.waves import is_finished
from ...state.models.maintenance import (
    AdoptClaim,
    Claim,
    ClaimStage,
    ReleaseClaim,
    ReportAbsences,
    ScheduleWave,
    SignalWave,
    TakeClaim,
    Wave,
    WaveStatus,
)
from ..explain.models import SubjectKind
from .claim_steps import ClaimSteps
from .const import CLAIM_PRIORITY, MAXIMUM_CLAIMS_AT_ONCE, RESELECT_SECONDS
from .decisions import DecisionJournal, note_selection
from .evidence import unreported_down
from .models import ExecutorParts, executor_name
from .pacing import Pacing
from .selection import (
    Selection,
    SelectionBasis,
    SelectionFacts,
    give_back_order,
    select_claims,
)

_LOGGER = get_logger(__name__)

_CLAIMABLE: Final = (PowerState.SERVING, PowerState.DRAINING, PowerState.DRAINED)
_CHANGES_WAVES: Final = (ScheduleWave, SignalWave, ReleaseClaim, ReportAbsences)


class WaveExecutor:
    """Carry out the waves of one data centre, as far as this process has the duty.

    Two executors at once do no harm: the fold admits each claim once, and platform
    calls are idempotent and fenced.
    """

    def __init__(self, parts: ExecutorParts, pacing: Pacing) -> None:
        self._parts = parts
        self._pacing = pacing
        self._journal = DecisionJournal(parts.events, parts.log)
        self._steps = ClaimSteps(parts, self._journal, pacing.patience)
        self._refused_at: dict[str, int] = {}
        self._nothing_at: dict[str, SelectionBasis] = {}
        self._statuses: dict[str, str] = {}

    @property
    def journal(self) -> DecisionJournal:
        """Return the journal of this executor's decisions."""
        return self._journal

    async def async_step(self) -> None:
        """Look at every wave and claim once, and do what is due."""
        if not self._parts.log.ready:
            return
        self._steps.forget_ended()
        await self._async_adopt_orphans()
        await self._async_give_back_overdrawn()
        async with anyio.create_task_group() as group:
            for claim in self._own_claims():
                group.start_soon(self._steps.async_step, claim)
        if self._parts.may_begin():
            for wave in self._duties():
                await self._async_step_wave(wave)

    def note_outcome(self, outcome: RecordOutcome) -> None:
        """Announce a wave that the fold stopped, and why."""
        if not isinstance(outcome.body, _CHANGES_WAVES):
            return
        for wave in self._parts.log.state.waves.values():
            before = self._statuses.get(wave.wave_id)
            self._statuses[wave.wave_id] = wave.status
            if before is None or before == wave.status:
                continue
            if not self._parts.membership.owns_duty(f"wave:{wave.wave_id}"):
                continue
            self._journal.note(
                SubjectKind.WAVE,
                wave.wave_id,
                f"wave-{wave.status}",
                wave.reason or "signal",
                f"done={len(wave.done)}",
                f"failed={len(wave.failed)}",
                f"pending={len(wave.pending)}",
            )

    def _duties(self) -> list[Wave]:
        return [
            wave
            for _, wave in sorted(self._parts.log.state.waves.items())
            if wave.status in (WaveStatus.SCHEDULED, WaveStatus.RUNNING)
            and self._parts.membership.owns_duty(f"wave:{wave.wave_id}")
        ]

    def _local_claims(self) -> list[Claim]:
        state = self._parts.log.state
        return [
            claim
            for claim in state.claims.values()
            if state.instances[claim.instance_id].data_centre == self._parts.data_centre
        ]

    def _own_claims(self) -> list[Claim]:
        return [
            claim
            for claim in self._local_claims()
            if claim.executor == self._parts.executor
        ]

    async def _async_adopt_orphans(self) -> None:
        membership = self._parts.membership
        live = {
            executor_name(member) for member in membership.live(self._parts.data_centre)
        }
        for claim in self._local_claims():
            # The holder may only be paused: its claim stays, and gets a generation
            # that fences it when it wakes.
            if claim.executor in live or not self._parts.log.may_decide:
                continue
            if not membership.owns_duty(f"wave:{claim.wave_id}"):
                continue
            body = AdoptClaim(claim.instance_id, claim.generation, self._parts.executor)
            await self._parts.log.async_propose(
                body, actor=self._parts.executor, priority=CLAIM_PRIORITY
            )

    async def _async_give_back_overdrawn(self) -> None:
        """Give back as many claims as failures took margin, drained ones first."""
        overdrawn = self._overdrawn()
        async with anyio.create_task_group() as group:
            for claim, refusal in overdrawn:
                group.start_soon(self._async_give_back, claim, refusal)

    def _overdrawn(self) -> list[tuple[Claim, BudgetExceededError]]:
        claims = [
            claim for claim in self._own_claims() if claim.stage != ClaimStage.REBOOTING
        ]
        if not claims:
            return []
        evidence = self._evidence()
        found = []
        for claim in sorted(
            claims, key=lambda item: (give_back_order(item.stage), -item.taken)
        ):
            pool = self._parts.log.state.instances[claim.instance_id].pool
            refusal = self._steps.refusal(claim, evidence)
            if refusal is not None:
                evidence[pool] -= 1
                found.append((claim, refusal))
        return found

    async def _async_give_back(
        self, claim: Claim, refusal: BudgetExceededError
    ) -> None:
        self._journal.note(
            SubjectKind.INSTANCE,
            claim.instance_id,
            "claim-given-back",
            refusal.code,
            refusal.detail,
        )
        try:
            await self._steps.async_give_back(claim, refusal.code)
        except PlatformError as error:
            _LOGGER.warning(
                "give_back_postponed", instance=claim.instance_id, cause=error.code
            )

    async def _async_step_wave(self, wave: Wave) -> None:
        if wave.status == WaveStatus.SCHEDULED:
            if self._parts.timers.wall() >= wave.not_before:
                await self._async_signal(wave, "start")
            return
        if is_finished(self._parts.log.state, wave):
            await self._async_signal(wave, "finish")
            return
        if self._refused_at.get(wave.wave_id) == self._parts.log.next_offset:
            # Nothing was folded since the refusal, so the answer would be the same.
            return
        evidence = self._evidence()
        basis = self._basis(evidence)
        if self._nothing_at.get(wave.wave_id) == basis:
            return
        selection = self._select(wave, evidence)
        if selection.chosen:
            await self._async_look(selection.chosen)
            selection = self._select(wave, evidence)
        note_selection(self._journal, wave, selection)
        proposed: list[str] = []
        async with anyio.create_task_group() as group:
            for instance_id in selection.chosen:
                group.start_soon(self._async_claim, wave, instance_id, proposed)
        if not proposed:
            # Nothing may be taken, or the pool service knows none of it: the next step
            # would search all that is pending for the same end.
            self._nothing_at[wave.wave_id] = basis

    async def _async_look(self, chosen: tuple[str, ...]) -> None:
        """Fold what is down beside the chosen instances before any is claimed."""
        instances = self._parts.log.state.instances
        pools = {instances[name].pool for name in chosen}
        async with anyio.create_task_group() as group:
            for pool in sorted(pools):
                group.start_soon(self._parts.look, pool)

    def _basis(self, evidence: Counter[str]) -> SelectionBasis:
        period = int(self._parts.timers.monotonic() / RESELECT_SECONDS)
        seen = frozenset(evidence.items())
        return SelectionBasis(self._parts.log.next_offset, period, seen)

    def _select(self, wave: Wave, evidence: Counter[str]) -> Selection:
        state = self._parts.log.state
        facts = SelectionFacts(
            data_centre=self._parts.data_centre,
            wall=self._parts.timers.wall(),
            evidence=evidence,
            concurrency=self._pacing.concurrency,
            burden=self._pacing.burden,
            most=MAXIMUM_CLAIMS_AT_ONCE,
            excluded=self._steps.shunned(),
        )
        return select_claims(state, wave, facts)

    def _evidence(self) -> Counter[str]:
        parts = self._parts
        return unreported_down(parts.log.state, parts.membership, parts.data_centre)

    async def _async_signal(self, wave: Wave, signal: str) -> None:
        await self._parts.log.async_propose(
            SignalWave(wave.wave_id, signal),
            actor=self._parts.executor,
            base_revision=wave.revision,
        )

    async def _async_claim(
        self, wave: Wave, instance_id: str, proposed: list[str]
    ) -> None:
        try:
            power = await self._parts.power.async_get(instance_id)
        except PlatformError as error:
            _LOGGER.warning("claim_postponed", instance=instance_id, cause=error.code)
            return
        if power.state not in _CLAIMABLE:
            return
        proposed.append(instance_id)
        body = TakeClaim(wave.wave_id, instance_id, self._parts.executor, power.boot)
        result = await self._parts.log.async_propose(
            body, actor=self._parts.executor, priority=CLAIM_PRIORITY
        )
        if isinstance(result, Failure):
            refusal = result.failure()
            self._refused_at[wave.wave_id] = self._parts.log.next_offset
            self._journal.note(
                SubjectKind.INSTANCE,
                instance_id,
                "claim-refused",
                refusal.code,
                f"wave={wave.wave_id}",
                refusal.detail,
            )
