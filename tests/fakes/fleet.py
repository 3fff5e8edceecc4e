"""Build fleet states, and apply records to them without a log."""

from __future__ import annotations

from typing import Any

from returns.result import Success

from mustardward.exceptions import MustardwardError
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold, RecordOutcome
from mustardward.state.handlers.all import FLEET_HANDLERS
from mustardward.state.models.maintenance import (
    AbsenceChange,
    ReportAbsences,
    ScheduleWave,
    SignalWave,
    TakeClaim,
)
from mustardward.state.models.pools import Instance, Pool
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    ServiceBinding,
)
from mustardward.state.records import NO_BASE, encode_batch, make_record


def build_organisation(
    name: str, pools: tuple[str, ...], **parameters: Any
) -> Organisation:
    """Return an organisation with one service in each pool."""
    services = tuple(ServiceBinding(f"{name}-{pool}", pool) for pool in pools)
    return Organisation(
        name=name,
        template="base",
        template_revision=1,
        revision=1,
        overrides=Overrides(),
        parameters=Parameters(services=services, **parameters),
    )


def build_fleet(
    *organisations: Organisation,
    pools: tuple[str, ...] = ("etching",),
    data_centres: tuple[str, ...] = ("dc1",),
    size: int = 8,
    rack_size: int = 1,
) -> FleetState:
    """Return a fleet of ``size`` instances in each pool and data centre."""
    state = FleetState()
    for pool in pools:
        state.pools[pool] = Pool(pool, 1)
        for centre in data_centres:
            for number in range(size):
                name = f"{centre}-{pool}-{number:03d}"
                rack = f"rack{number // rack_size}"
                state.instances[name] = Instance(
                    name, centre, rack, "127.0.0.1:1", pool, 1
                )
    for organisation in organisations:
        state.organisations[organisation.name] = organisation
    return state


class FoldDriver:
    """Apply records one by one and return their outcomes."""

    def __init__(self, state: FleetState) -> None:
        self.fold = Fold(state, FLEET_HANDLERS)

    @property
    def state(self) -> FleetState:
        return self.fold.state

    def apply(
        self, body: Any, base: int = NO_BASE, actor: str = "entry-1"
    ) -> RecordOutcome:
        """Apply one record and return its outcome."""
        offset = self.fold.next_offset
        envelope = make_record(
            body, record_id=f"r{offset}", actor=actor, stamp=0.0, base_revision=base
        )
        return self.fold.apply(offset, encode_batch([envelope]))[0]

    def accept(self, body: Any, base: int = NO_BASE) -> int:
        """Apply a record that has to be accepted; return its revision."""
        result = self.apply(body, base).result
        assert isinstance(result, Success), result.failure()
        return result.unwrap().revision

    def refuse(self, body: Any, base: int = NO_BASE) -> MustardwardError:
        """Apply a record that has to be refused; return the error."""
        return self.apply(body, base).result.failure()

    def run_wave(
        self, wave_id: str = "w1", pools: tuple[str, ...] = ("etching",), **more: Any
    ) -> None:
        """Schedule and start a wave."""
        revision = self.accept(ScheduleWave(wave_id, pools, **more))
        self.accept(SignalWave(wave_id, "start"), revision)

    def take(self, instance: str, wave_id: str = "w1", boot: int = 1) -> int:
        """Claim an instance for a wave; return the generation of the claim."""
        return self.accept(TakeClaim(wave_id, instance, "entry-1#1", boot))

    def fail(self, *instances: str, boot: int = 1, centre: str = "dc1") -> None:
        """Report instances as failed."""
        changes = tuple(AbsenceChange(name, False, boot) for name in instances)
        self.accept(ReportAbsences(centre, changes))
