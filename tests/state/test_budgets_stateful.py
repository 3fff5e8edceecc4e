"""Search for sequences of records that violate a budget or the ownership rules."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from mustardward.state.budgets import BudgetIndex, get_budget_index
from mustardward.state.fleet import FleetState
from mustardward.state.models.maintenance import (
    AbsenceChange,
    AdoptClaim,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    ReportSilence,
    ScheduleWave,
    SignalWave,
    TakeClaim,
)
from mustardward.state.models.pools import (
    AddInstance,
    CancelMove,
    Instance,
    PutPool,
    RemoveInstance,
    RequestMove,
    TransferInstance,
)
from mustardward.state.models.templates import (
    Parameters,
    PublishTemplate,
    PutOrganisation,
    RemoveOrganisation,
    ServiceBinding,
)
from tests.fakes.fleet import FoldDriver

POOLS = ("etching", "casting")
DATA_CENTRES = ("dc1", "dc2")
NAMES = tuple(f"{centre}-{number}" for centre in DATA_CENTRES for number in range(10))

names = st.sampled_from(NAMES)
numbers = st.integers(0, 99)
waves = st.sampled_from(("w1", "w2"))
shares = st.sampled_from((0.0, 0.0, 0.3, 0.5))


class FleetMachine(RuleBasedStateMachine):
    """Apply random records and check every budget after each accepted claim."""

    @initialize(
        minimum=shares, headroom=st.sampled_from((0.0, 0.2)), rack=st.booleans()
    )
    def build(self, minimum: float, headroom: float, rack: bool) -> None:
        self.driver = FoldDriver(FleetState())
        self.boots = dict.fromkeys(NAMES, 1)
        self.owners = dict.fromkeys(NAMES, "")
        for pool in POOLS:
            self.driver.accept(PutPool(pool))
        for number, name in enumerate(NAMES):
            self._add(name, POOLS[number % 3 == 2], f"rack{number // 2}")
        self._publish("dairy", POOLS, minimum, headroom, rack)
        for wave in ("w1", "w2"):
            revision = self.driver.accept(
                ScheduleWave(wave, POOLS, canary=8, maximum_failures=3)
            )
            self.driver.accept(SignalWave(wave, "start"), revision)

    def _add(self, name: str, pool: str, rack: str) -> None:
        self.driver.apply(AddInstance(name, name.split("-")[0], rack, "", pool))

    def _publish(
        self,
        name: str,
        pools: tuple[str, ...],
        minimum: float,
        reserved_share: float,
        rack: bool,
    ) -> None:
        parameters = Parameters(
            services=tuple(ServiceBinding(f"{name}-{pool}", pool) for pool in pools),
            minimum_available=minimum,
            headroom=reserved_share,
            reserve_largest_rack=rack,
        )
        held = self.driver.state.templates.get(name)
        self.driver.accept(
            PublishTemplate(name, parameters), held[-1].revision if held else 0
        )
        if name not in self.driver.state.organisations:
            self.driver.accept(PutOrganisation(name, name), 0)

    def _violated_budgets(self, instance: Instance) -> list[str]:
        """Return the violated budgets, counted independently of ``BudgetIndex``."""
        state = self.driver.state
        violated = []
        for organisation in state.organisations.values():
            parameters = organisation.parameters
            if instance.pool not in parameters.pools:
                continue
            for scope in (instance.data_centre, "fleet"):
                total, racks = _count_available(state, instance.pool, scope)
                available = sum(racks.values())
                floor = math.ceil(parameters.minimum_available * total - 1e-9)
                reserve = math.ceil(parameters.headroom * total - 1e-9)
                if parameters.reserve_largest_rack:
                    reserve = max(reserve, max(racks.values(), default=0))
                if available < floor + reserve:
                    violated.append(f"{organisation.name} {scope}")
        return violated

    def _generation(self, name: str) -> int:
        claim = self.driver.state.claims.get(name)
        return claim.generation if claim else 0

    def _apply_within_budgets(self, body: Any, name: str) -> None:
        instance = self.driver.state.instances.get(name)
        outcome = self.driver.apply(body)
        if isinstance(outcome.result, Success) and instance is not None:
            assert self._violated_budgets(instance) == [], body

    def _choose(self, held: dict[str, Any], number: int) -> str:
        """Return one of the given names, or any instance if there are none."""
        return sorted(held)[number % len(held)] if held else NAMES[0]

    @rule(name=names, wave=waves)
    def take_claim(self, name: str, wave: str) -> None:
        self.claim(name, wave)

    def claim(self, name: str, wave: str) -> None:
        """Propose a claim, which must not violate any budget if accepted."""
        self._apply_within_budgets(TakeClaim(wave, name, "e#1", self.boots[name]), name)

    @rule(number=numbers, stage=st.sampled_from(("draining", "drained")))
    def advance(self, number: int, stage: str) -> None:
        name = self._choose(self.driver.state.claims, number)
        self.driver.apply(AdvanceClaim(name, self._generation(name), stage))

    @rule(number=numbers)
    def reboot(self, number: int) -> None:
        name = self._choose(self.driver.state.claims, number)
        for stage in ("draining", "drained"):
            self.driver.apply(AdvanceClaim(name, self._generation(name), stage))
        self._apply_within_budgets(
            AdvanceClaim(name, self._generation(name), "rebooting"), name
        )

    @rule(number=numbers)
    def adopt(self, number: int) -> None:
        name = self._choose(self.driver.state.claims, number)
        self.driver.apply(AdoptClaim(name, self._generation(name), "f#1"))

    @rule(number=numbers, outcome=st.sampled_from(("done", "given-back", "failed")))
    def release(self, number: int, outcome: str) -> None:
        name = self._choose(self.driver.state.claims, number)
        body = ReleaseClaim(name, self._generation(name), outcome, self.boots[name] + 1)
        if isinstance(self.driver.apply(body).result, Success) and outcome == "done":
            self.boots[name] += 1

    @rule(
        name=names, up=st.booleans(), cause=st.sampled_from(("failed", "quarantined"))
    )
    def report(self, name: str, up: bool, cause: str) -> None:
        change = AbsenceChange(name, up, self.boots[name], cause)
        self.driver.apply(ReportAbsences(name.split("-")[0], (change,)))

    @rule(centre=st.sampled_from(DATA_CENTRES), silent=st.booleans())
    def silence(self, centre: str, silent: bool) -> None:
        self.driver.accept(ReportSilence(centre, silent))

    @rule(name=names, pool=st.sampled_from(POOLS))
    def request_move(self, name: str, pool: str) -> None:
        self.move(name, pool)

    def move(self, name: str, pool: str) -> None:
        """Request a move, which must not violate any budget if accepted."""
        held = self.driver.state.instances.get(name)
        base = held.generation if held else 0
        outcome = self.driver.apply(RequestMove(f"m-{name}", name, pool), base)
        moved = isinstance(outcome.result, Success) and held is not None
        if moved and name not in self.driver.state.absences:
            assert self._violated_budgets(held) == []

    @rule(number=numbers, pool=st.sampled_from(POOLS))
    def move_claimed_instance(self, number: int, pool: str) -> None:
        self.move(self._choose(self.driver.state.claims, number), pool)

    @rule(number=numbers, wave=waves)
    def claim_moving_instance(self, number: int, wave: str) -> None:
        self.claim(self._choose(self.driver.state.moves, number), wave)

    @rule(number=numbers, cancel=st.booleans())
    def end_move(self, number: int, cancel: bool) -> None:
        name = self._choose(self.driver.state.moves, number)
        body = CancelMove(f"m-{name}") if cancel else TransferInstance(f"m-{name}")
        self.driver.apply(body)

    @rule(name=names, pool=st.sampled_from(POOLS), remove=st.booleans())
    def replace_instance(self, name: str, pool: str, remove: bool) -> None:
        if remove:
            self.driver.apply(RemoveInstance(name))
        else:
            self._add(name, pool, "rack0")

    @rule(minimum=shares, pools=st.sampled_from((POOLS, POOLS[:1], ())))
    def change_organisation(self, minimum: float, pools: tuple[str, ...]) -> None:
        if "club" in self.driver.state.organisations and not pools:
            revision = self.driver.state.organisations["club"].revision
            self.driver.accept(RemoveOrganisation("club"), revision)
        else:
            self._publish("club", pools, minimum, 0.0, False)

    @rule(wave=waves, signal=st.sampled_from(("pause", "resume")))
    def signal(self, wave: str, signal: str) -> None:
        revision = self.driver.state.waves[wave].revision
        self.driver.apply(SignalWave(wave, signal), revision)

    @invariant()
    def counters_equal_a_rebuilt_index(self) -> None:
        state = self.driver.state
        assert get_budget_index(state).snapshot() == BudgetIndex(state).snapshot()

    @invariant()
    def a_restored_state_has_the_same_counters(self) -> None:
        state = self.driver.state
        encoded = msgspec.msgpack.encode(state)
        restored = msgspec.msgpack.decode(encoded, type=FleetState)
        assert (
            get_budget_index(restored).snapshot() == get_budget_index(state).snapshot()
        )

    @invariant()
    def instance_is_claimed_or_moving_and_has_one_pool(self) -> None:
        state = self.driver.state
        assert not state.claims.keys() & state.moves.keys()
        assert all(item.pool in state.pools for item in state.instances.values())
        for name, instance in state.instances.items():
            move = state.moves.get(name)
            assert move is None or move.source == instance.pool


def _count_available(
    state: FleetState, pool: str, scope: str
) -> tuple[int, Counter[str]]:
    total = 0
    racks: Counter[str] = Counter()
    for name, item in state.instances.items():
        if item.pool != pool or scope not in (item.data_centre, "fleet"):
            continue
        total += 1
        unavailable = (
            name in state.claims or name in state.moves or name in state.absences
        )
        silent = scope == "fleet" and item.data_centre in state.silent
        if not unavailable and not silent:
            racks[f"{item.data_centre}/{item.rack}"] += 1
    return total, racks


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
