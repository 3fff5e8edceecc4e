"""Define the request models for templates, organisations, pools and instances."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated, Any, Final

import msgspec
from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ...state.models.pools import AddInstance
from ...state.models.templates import Overrides, Parameters, Urgency

NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9-]*$"
MAX_INSTANCES: Final = 5000
"""Maximum number of instances that one call may register."""

Name = Annotated[str, Field(min_length=1, max_length=64, pattern=NAME_PATTERN)]
Share = Annotated[float, Field(ge=0, le=1)]
Weight = Annotated[float, Field(ge=0, le=1000)]
Identifier = Annotated[str, Field(min_length=1, max_length=128)]


def validate_address(text: str) -> str:
    """Return the address if it consists of an IP address and a port.

    :raises ValueError: for anything else, host names included.
    """
    # A host name would need a DNS lookup on the path of every request, and could
    # resolve differently at another entry: one worker with two addresses.
    host, _, port = text.rpartition(":")
    ip_address(host.removeprefix("[").removesuffix("]"))
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text} has no port from 1 to 65535")
    return text


Address = Annotated[str, AfterValidator(validate_address)]


class StrictModel(BaseModel):
    """Reject unknown keys; instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceModel(StrictModel):
    """Hold the binding of a service to a pool."""

    service: Name
    pool: Name
    urgency: Urgency = Urgency.NORMAL


class WindowModel(StrictModel):
    """Hold a maintenance window (UTC)."""

    start_second: int = Field(ge=0, lt=86_400)
    length_seconds: int = Field(gt=0, le=86_400)
    weekdays: tuple[Annotated[int, Field(ge=0, le=6)], ...] = (0, 1, 2, 3, 4, 5, 6)


class QuotaModel(StrictModel):
    """Hold what an organisation may use in one data centre."""

    concurrency: int = Field(default=64, ge=1, le=100_000)
    queue: int = Field(default=256, ge=0, le=100_000)
    weight: float = Field(default=1.0, gt=0, le=1000)
    long_jobs: int = Field(default=1000, ge=0, le=1_000_000)


class WeightsModel(StrictModel):
    """Hold the weights of a maintenance plan."""

    buffer: Weight = 1.0
    rollout: Weight = 1.0
    moves: Weight = 1.0


class ObjectivesModel(StrictModel):
    """Hold the promised service level."""

    success_share: float = Field(default=0.999, gt=0, lt=1)
    latency_seconds: float = Field(default=0.5, gt=0, le=3600)
    latency_share: float = Field(default=0.99, gt=0, lt=1)


class ParametersModel(StrictModel):
    """Hold parameters as an operator writes them; what is left out stays as it was.

    For a template that is the default, for an organisation the template's value.
    """

    services: tuple[ServiceModel, ...] | None = None
    minimum_available: Share | None = None
    headroom: Share | None = None
    reserve_largest_rack: bool | None = None
    urgency: Urgency | None = None
    urgent_reserve: Share | None = None
    windows: tuple[WindowModel, ...] | None = None
    quota: QuotaModel | None = None
    weights: WeightsModel | None = None
    objectives: ObjectivesModel | None = None
    deadline_seconds: float | None = Field(default=None, gt=0, le=3600)
    retry_share: Share | None = None

    def to_overrides(self) -> Overrides:
        """Return the fields that are set."""
        given = self.model_dump(mode="json", exclude_none=True)
        return msgspec.convert(given, Overrides)

    def to_parameters(self) -> Parameters:
        """Return the defaults, overridden by the fields that are set."""
        return self.to_overrides().apply_to(Parameters())


class PublishModel(StrictModel):
    """Propose a template's revision.

    ``base_revision`` is the one its author saw, 0 for a new template. ``record_id``
    stays the same over the repetitions of one wish.
    """

    parameters: ParametersModel
    base_revision: int = Field(default=0, ge=0)
    record_id: Identifier | None = None
    wait_seconds: float = Field(default=0.0, ge=0, le=60)


class OrganisationModel(StrictModel):
    """Propose an organisation or its new overrides."""

    template: Name
    overrides: ParametersModel = ParametersModel()
    base_revision: int = Field(default=0, ge=0)
    record_id: Identifier | None = None
    wait_seconds: float = Field(default=0.0, ge=0, le=60)


class InstanceModel(StrictModel):
    """Hold one instance that a pool is to own."""

    instance_id: Identifier
    data_centre: Name
    rack: Identifier
    address: Address
    pool: Name
    cores: int = Field(default=32, ge=1, le=4096)
    memory_gigabytes: int = Field(default=128, ge=1, le=65_536)
    accelerators: int = Field(default=0, ge=0, le=1024)
    slots: int = Field(default=8, ge=1, le=10_000)
    connections: int = Field(default=64, ge=1, le=100_000)

    def to_record(self) -> AddInstance:
        """Return the log record that proposes the instance."""
        return AddInstance(**self.model_dump())


class InstancesModel(StrictModel):
    """Hold instances to register."""

    instances: tuple[InstanceModel, ...] = Field(max_length=MAX_INSTANCES)


def to_json_value(value: object) -> Any:
    """Return a state model as built-in types that JSON can represent."""
    return msgspec.to_builtins(value)
