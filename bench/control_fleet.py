"""Build the records and the folded state of fleets of several sizes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold
from mustardward.state.handlers.waves import MAX_ENDED_WAVE_INSTANCES, MAX_ENDED_WAVES
from mustardward.state.models.maintenance import (
    AbsenceChange,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    ScheduleWave,
    SignalWave,
    TakeClaim,
    Wave,
)
from mustardward.state.models.pools import AddInstance, PutPool
from mustardward.state.models.templates import (
    MaintenanceWindow,
    Overrides,
    Parameters,
    PublishTemplate,
    PutOrganisation,
    Quota,
    ServiceBinding,
)
from mustardward.state.records import NO_BASE, encode_batch, make_record
from mustardward.state.streams import FLEET_SPEC

SIZES = (1_500, 3_000, 6_000, 12_000)
TARGET = SIZES[-1]
DATA_CENTRES = tuple(f"region-{number % 6}-{number}" for number in range(14))
RACK = 4
CLOSED = MaintenanceWindow(0, 1, weekdays=())
"""No day: entries take nothing by themselves, so that only the records here count."""
CLOSED_PORT = 9
"""Nobody listens there: no instance is up, and nothing leaves this machine."""


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Say how large a fleet is; all of it grows in step."""

    instances: int

    @property
    def pools(self) -> int:
        """Return the number of pools: 47 at the size built towards."""
        return max(1, round(47 * self.instances / TARGET))

    @property
    def organisations(self) -> int:
        """Return the number of organisations: 270 at that size."""
        return max(1, round(270 * self.instances / TARGET))

    @property
    def templates(self) -> int:
        """Return the number of templates."""
        return max(1, self.organisations // 9)


@dataclass(frozen=True, slots=True)
class Proposed:
    """Hold a record's body and its base revision."""

    body: Any
    base_revision: int = NO_BASE


class FleetBuilder:
    """Fold a fleet record by record.

    :param shape: how large the fleet becomes.
    :param seed: for the choices of pools and subjects.
    """

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.shape = shape
        self.fold: Fold[FleetState] = FLEET_SPEC.new_fold()
        self._random = Random(seed)
        self._count = 0

    def encode(self, proposed: Proposed) -> bytes:
        """Return the entry that carries one record."""
        self._count += 1
        record = make_record(
            proposed.body,
            record_id=f"{self._random.getrandbits(128):032x}",
            actor="operator@example",
            stamp=float(self._count),
            base_revision=proposed.base_revision,
        )
        return encode_batch([record])

    def apply(self, proposed: Proposed) -> int:
        """Fold one record that has to be accepted, and return its revision."""
        payload = self.encode(proposed)
        outcome = self.fold.apply(self.fold.next_offset, payload)[0]
        return outcome.result.unwrap().revision

    def build(self) -> Fold[FleetState]:
        """Fold the whole fleet at rest."""
        for proposed in self.initial():
            self.apply(proposed)
        return self.fold

    def initial(self) -> Iterator[Proposed]:
        """Yield the records of a fleet at rest."""
        for number in range(self.shape.pools):
            yield Proposed(PutPool(f"pool-{number}"))
        for number in range(self.shape.instances):
            yield Proposed(self._instance(number))
        for number in range(self.shape.templates):
            body = PublishTemplate(f"template-{number}", self.parameters(number))
            yield Proposed(body, 0)
        for number in range(self.shape.organisations):
            yield Proposed(self._organisation(number), 0)

    def parameters(self, template: int) -> Parameters:
        """Return a template's parameters, with services in some pools.

        The templates of a fleet use all its pools between them.
        """
        pools = self.shape.pools
        each = -(-pools // self.shape.templates) + 1
        services = tuple(
            ServiceBinding(
                f"service-{number}", f"pool-{(template * each + number) % pools}"
            )
            for number in range(each)
        )
        return Parameters(
            services=services,
            minimum_available=0.5,
            headroom=round(self._random.random() / 10, 3),
            windows=(CLOSED,),
        )

    def change_configuration(self) -> Proposed:
        """Return a new revision of a template, or new overrides for a customer."""
        state = self.fold.state
        if self._random.random() < 0.5:
            template = self._random.randrange(self.shape.templates)
            name = f"template-{template}"
            base = state.templates[name][-1].revision
            return Proposed(PublishTemplate(name, self.parameters(template)), base)
        number = self._random.randrange(self.shape.organisations)
        body = self._organisation(number)
        return Proposed(body, state.organisations[body.name].revision)

    def fail_and_return(self) -> Iterator[Proposed]:
        """Yield the records of one instance that fails and is seen up again."""
        name = f"instance-{self._random.randrange(self.shape.instances)}"
        centre = self.fold.state.instances[name].data_centre
        for up in (False, True):
            change = AbsenceChange(name, up=up, boot=2)
            yield Proposed(ReportAbsences(centre, (change,)))

    def start_wave(self, wave: str) -> None:
        """Fold a running wave over all pools."""
        pools = tuple(self.fold.state.pools)
        revision = self.apply(Proposed(ScheduleWave(wave, pools, canary=1)))
        self.apply(Proposed(SignalWave(wave, "start"), revision))

    def keep_ended_waves(self) -> None:
        """Let the state hold as many ended waves over all instances as it keeps.

        Put there without their records, of which there would be a million.
        """
        state = self.fold.state
        pools = tuple(state.pools)
        for number in range(
            min(MAX_ENDED_WAVES, MAX_ENDED_WAVE_INSTANCES // len(state.instances))
        ):
            name = f"ended-{number}"
            done = set(state.instances)
            state.waves[name] = Wave(name, pools, "done", number + 1, set(), done)

    def maintain(self, wave: str, number: int) -> Iterator[Proposed]:
        """Yield the records of one instance taken through a wave."""
        name = f"instance-{number}"
        yield Proposed(TakeClaim(wave, name, "entry-1", boot=1))
        generation = self.fold.state.claims[name].generation
        for stage in ("draining", "drained", "rebooting"):
            yield Proposed(AdvanceClaim(name, generation, stage))
        yield Proposed(ReleaseClaim(name, generation, "done", boot=2))

    def _instance(self, number: int) -> AddInstance:
        centre = number % len(DATA_CENTRES)
        rack = number // len(DATA_CENTRES) // RACK
        return AddInstance(
            instance_id=f"instance-{number}",
            data_centre=DATA_CENTRES[centre],
            rack=f"rack-{centre}-{rack}",
            address=f"127.0.0.1:{CLOSED_PORT}",
            pool=f"pool-{(number // len(DATA_CENTRES)) % self.shape.pools}",
        )

    def _organisation(self, number: int) -> PutOrganisation:
        overrides = Overrides()
        if number % 3 == 0:
            overrides = Overrides(
                headroom=round(self._random.random() / 10, 3),
                quota=Quota(concurrency=32 + number % 64),
            )
        template = f"template-{number % self.shape.templates}"
        return PutOrganisation(f"organisation-{number}", template, overrides)
