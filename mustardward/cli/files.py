"""Read operators' YAML files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import click
from pydantic import BaseModel, Field

from ..components.templates.api_models import (
    Address,
    Identifier,
    InstanceModel,
    Name,
    ParametersModel,
    StrictModel,
)
from ..settings.loader import SettingsFaultsError, load_model

ModelT = TypeVar("ModelT", bound=BaseModel)


class TemplateFile(StrictModel):
    """Hold a template; ``base_revision`` is the revision that it is based on."""

    name: Name
    parameters: ParametersModel
    base_revision: int | None = Field(default=None, ge=0)


class OrganisationEntry(StrictModel):
    """Hold one organisation of a file."""

    name: Name
    template: Name
    overrides: ParametersModel = ParametersModel()


class OrganisationsFile(StrictModel):
    """Hold organisations to create."""

    organisations: tuple[OrganisationEntry, ...]


class WorkerSize(StrictModel):
    """Hold the size that all workers of a file have."""

    cores: int = 32
    memory_gigabytes: int = 128
    accelerators: int = 0
    slots: int = 8
    connections: int = 64


class RackEntry(StrictModel):
    """Hold the workers of one rack, named after the rack with a number."""

    data_centre: Name
    rack: Identifier
    pool: Name
    addresses: Annotated[tuple[Address, ...], Field(min_length=1)]


class PoolsFile(StrictModel):
    """Hold pools and their initial workers."""

    pools: tuple[Name, ...]
    worker: WorkerSize = WorkerSize()
    racks: tuple[RackEntry, ...] = ()

    def instances(self) -> list[InstanceModel]:
        """Return every worker as an instance."""
        size = self.worker.model_dump()
        return [
            InstanceModel(
                instance_id=f"{rack.rack}-{number}",
                data_centre=rack.data_centre,
                rack=rack.rack,
                address=address,
                pool=rack.pool,
                **size,
            )
            for rack in self.racks
            for number, address in enumerate(rack.addresses, start=1)
        ]


def read_file(path: Path, model: type[ModelT]) -> ModelT:
    """Return the validated content of a file.

    :raises click.UsageError: with a line for each fault.
    """
    try:
        return load_model(path, model)
    except SettingsFaultsError as error:
        raise click.UsageError(error.detail) from error
