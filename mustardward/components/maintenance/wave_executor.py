"""Execute waves: start, claim, process, abort, adopt and finish."""

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
from .claim_processor import ClaimProcessor
from .const import CLAIM_PRIORITY, MAX_CLAIMS_PER_STEP, RESELECT_INTERVAL_SECONDS
from .decisions import DecisionJournal, record_selection
from .models import ExecutorDependencies, executor_name
from .rollout_strategy import RolloutStrategy
from .selection import (
    Selection,
    SelectionContext,
    SelectionKey,
    abort_rank,
    select_claims,
)
from .unreported_failures import count_unreported_failures

_LOGGER = get_logger(__name__)

_CLAIMABLE: Final = (PowerState.SERVING, PowerState.DRAINING, PowerState.DRAINED)
_WAVE_CHANGES: Final = (ScheduleWave, SignalWave, ReleaseClaim, ReportAbsences)


class WaveExecutor:
    """Execute the waves of one data centre that are assigned to this process.

    Concurrent executors are safe: each claim is admitted once, and platform calls are
    idempotent and fenced.
    """

    def __init__(
        self, dependencies: ExecutorDependencies, strategy: RolloutStrategy
    ) -> None:
        self._dependencies = dependencies
        self._strategy = strategy
        self._journal = DecisionJournal(dependencies.events, dependencies.log)
        self._claim_processor = ClaimProcessor(
            dependencies, self._journal, strategy.grace_seconds
        )
        self._refused_offsets: dict[str, int] = {}
        self._empty_selections: dict[str, SelectionKey] = {}
        self._known_statuses: dict[str, str] = {}

    @property
    def journal(self) -> DecisionJournal:
        """Return the journal of the decisions of this executor."""
        return self._journal

    async def async_step(self) -> None:
        """Process each wave and claim once."""
        if not self._dependencies.log.ready:
            return
        self._claim_processor.prune()
        await self._async_adopt_orphans()
        await self._async_abort_over_budget()
        async with anyio.create_task_group() as group:
            for claim in self._own_claims():
                group.start_soon(self._claim_processor.async_step, claim)
        if self._dependencies.may_start():
            for wave in self._owned_waves():
                await self._async_step_wave(wave)

    def handle_outcome(self, outcome: RecordOutcome) -> None:
        """Record the status changes of waves that an applied record caused."""
        if not isinstance(outcome.body, _WAVE_CHANGES):
            return
        for wave in self._dependencies.log.state.waves.values():
            previous = self._known_statuses.get(wave.wave_id)
            self._known_statuses[wave.wave_id] = wave.status
            if previous is None or previous == wave.status:
                continue
            if not self._dependencies.membership.owns_duty(f"wave:{wave.wave_id}"):
                continue
            self._journal.record(
                SubjectKind.WAVE,
                wave.wave_id,
                f"wave-{wave.status}",
                wave.reason or "signal",
                f"done={len(wave.done)}",
                f"failed={len(wave.failed)}",
                f"pending={len(wave.pending)}",
            )

    def _owned_waves(self) -> list[Wave]:
        return [
            wave
            for _, wave in sorted(self._dependencies.log.state.waves.items())
            if wave.status in (WaveStatus.SCHEDULED, WaveStatus.RUNNING)
            and self._dependencies.membership.owns_duty(f"wave:{wave.wave_id}")
        ]

    def _local_claims(self) -> list[Claim]:
        state = self._dependencies.log.state
        return [
            claim
            for claim in state.claims.values()
            if state.instances[claim.instance_id].data_centre
            == self._dependencies.data_centre
        ]

    def _own_claims(self) -> list[Claim]:
        return [
            claim
            for claim in self._local_claims()
            if claim.executor == self._dependencies.executor
        ]

    async def _async_adopt_orphans(self) -> None:
        membership = self._dependencies.membership
        live = {
            executor_name(member)
            for member in membership.live(self._dependencies.data_centre)
        }
        for claim in self._local_claims():
            # The holder may only be paused. The adoption increments the generation of
            # the claim, which fences the holder when it resumes.
            if claim.executor in live or not self._dependencies.log.may_decide:
                continue
            if not membership.owns_duty(f"wave:{claim.wave_id}"):
                continue
            body = AdoptClaim(
                claim.instance_id, claim.generation, self._dependencies.executor
            )
            await self._dependencies.log.async_propose(
                body, actor=self._dependencies.executor, priority=CLAIM_PRIORITY
            )

    async def _async_abort_over_budget(self) -> None:
        """Abort claims that exceed the margin after failures, drained ones first."""
        over_budget = self._claims_over_budget()
        async with anyio.create_task_group() as group:
            for claim, refusal in over_budget:
                group.start_soon(self._async_abort, claim, refusal)

    def _claims_over_budget(self) -> list[tuple[Claim, BudgetExceededError]]:
        claims = [
            claim for claim in self._own_claims() if claim.stage != ClaimStage.REBOOTING
        ]
        if not claims:
            return []
        unreported = self._count_unreported()
        found = []
        for claim in sorted(
            claims, key=lambda item: (abort_rank(item.stage), -item.taken)
        ):
            pool = self._dependencies.log.state.instances[claim.instance_id].pool
            refusal = self._claim_processor.check_budget(claim, unreported)
            if refusal is not None:
                unreported[pool] -= 1
                found.append((claim, refusal))
        return found

    async def _async_abort(self, claim: Claim, refusal: BudgetExceededError) -> None:
        self._journal.record(
            SubjectKind.INSTANCE,
            claim.instance_id,
            "claim-given-back",
            refusal.code,
            refusal.detail,
        )
        try:
            await self._claim_processor.async_abort(claim, refusal.code)
        except PlatformError as error:
            _LOGGER.warning(
                "claim_abort_postponed", instance=claim.instance_id, cause=error.code
            )

    async def _async_step_wave(self, wave: Wave) -> None:
        if wave.status == WaveStatus.SCHEDULED:
            if self._dependencies.timers.wall() >= wave.not_before:
                await self._async_signal(wave, "start")
            return
        if is_finished(self._dependencies.log.state, wave):
            await self._async_signal(wave, "finish")
            return
        if (
            self._refused_offsets.get(wave.wave_id)
            == self._dependencies.log.next_offset
        ):
            # No record was applied since the refusal, so it would be refused again.
            return
        unreported = self._count_unreported()
        selection_key = self._build_selection_key(unreported)
        if self._empty_selections.get(wave.wave_id) == selection_key:
            return
        selection = self._select(wave, unreported)
        if selection.chosen:
            await self._async_probe_pools(selection.chosen)
            selection = self._select(wave, unreported)
        record_selection(self._journal, wave, selection)
        proposed: list[str] = []
        async with anyio.create_task_group() as group:
            for instance_id in selection.chosen:
                group.start_soon(self._async_claim, wave, instance_id, proposed)
        if not proposed:
            # No instance may be claimed, or the platform reports none as claimable. The
            # next step would search all pending instances for the same result.
            self._empty_selections[wave.wave_id] = selection_key

    async def _async_probe_pools(self, chosen: tuple[str, ...]) -> None:
        """Probe the pools of the chosen instances before any of them is claimed."""
        instances = self._dependencies.log.state.instances
        pools = {instances[name].pool for name in chosen}
        async with anyio.create_task_group() as group:
            for pool in sorted(pools):
                group.start_soon(self._dependencies.probe, pool)

    def _build_selection_key(self, unreported: Counter[str]) -> SelectionKey:
        period = int(self._dependencies.timers.monotonic() / RESELECT_INTERVAL_SECONDS)
        failures = frozenset(unreported.items())
        return SelectionKey(self._dependencies.log.next_offset, period, failures)

    def _select(self, wave: Wave, unreported: Counter[str]) -> Selection:
        state = self._dependencies.log.state
        context = SelectionContext(
            data_centre=self._dependencies.data_centre,
            wall=self._dependencies.timers.wall(),
            unreported=unreported,
            concurrency=self._strategy.concurrency,
            drain_cost=self._strategy.drain_cost,
            limit=MAX_CLAIMS_PER_STEP,
            excluded=self._claim_processor.excluded_instances(),
        )
        return select_claims(state, wave, context)

    def _count_unreported(self) -> Counter[str]:
        dependencies = self._dependencies
        return count_unreported_failures(
            dependencies.log.state, dependencies.membership, dependencies.data_centre
        )

    async def _async_signal(self, wave: Wave, signal: str) -> None:
        await self._dependencies.log.async_propose(
            SignalWave(wave.wave_id, signal),
            actor=self._dependencies.executor,
            base_revision=wave.revision,
        )

    async def _async_claim(
        self, wave: Wave, instance_id: str, proposed: list[str]
    ) -> None:
        try:
            power = await self._dependencies.power.async_get(instance_id)
        except PlatformError as error:
            _LOGGER.warning("claim_postponed", instance=instance_id, cause=error.code)
            return
        if power.state not in _CLAIMABLE:
            return
        proposed.append(instance_id)
        body = TakeClaim(
            wave.wave_id, instance_id, self._dependencies.executor, power.boot
        )
        result = await self._dependencies.log.async_propose(
            body, actor=self._dependencies.executor, priority=CLAIM_PRIORITY
        )
        if isinstance(result, Failure):
            refusal = result.failure()
            self._refused_offsets[wave.wave_id] = self._dependencies.log.next_offset
            self._journal.record(
                SubjectKind.INSTANCE,
                instance_id,
                "claim-refused",
                refusal.code,
                f"wave={wave.wave_id}",
                refusal.detail,
            )
