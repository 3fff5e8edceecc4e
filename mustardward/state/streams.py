"""Describe the streams of the log: their names, state types and record handlers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from sys import intern
from typing import Final, Generic, TypeVar

from ..const import FLEET_STREAM, WORK_STREAM_PREFIX
from ..helpers.registry import Registry
from .fleet import FleetState
from .fold import Fold, Handler
from .handlers.all import FLEET_HANDLERS, WORK_HANDLERS
from .handlers.templates import current_revision, share_parameters
from .work import WorkState

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class StreamSpec(Generic[S]):
    """Describe one stream; ``compact`` deduplicates values of a decoded state."""

    name: str
    state_type: type[S]
    handlers: Registry[str, Handler[S]]
    compact: Callable[[S], None]

    def new_fold(self) -> Fold[S]:
        """Return an empty fold at the stream's first offset."""
        return Fold(self.state_type(), self.handlers)


def compact_fleet(state: FleetState) -> None:
    """Share names between instances, and a template's parameters between organisations.

    The decoder creates a new object for each value, so thousands of instances would
    hold thousands of copies of a few names.
    """
    for instance in state.instances.values():
        instance.data_centre = intern(instance.data_centre)
        instance.rack = intern(instance.rack)
        instance.pool = intern(instance.pool)
    _share_ids(state)
    for name, organisation in state.organisations.items():
        template = current_revision(state, organisation.template)
        if template is not None:
            state.organisations[name] = share_parameters(organisation, template)


def _share_ids(state: FleetState) -> None:
    ids = {name: name for name in state.instances}
    for wave in state.waves.values():
        wave.pending = {ids.get(name, name) for name in wave.pending}
        wave.done = {ids.get(name, name) for name in wave.done}


def compact_work(state: WorkState) -> None:
    """Share names of organisations, services and pools between jobs and intents."""
    for job in state.jobs.values():
        job.organisation = intern(job.organisation)
        job.service = intern(job.service)
        job.pool = intern(job.pool)
    for intent in state.intents.values():
        intent.organisation = intern(intent.organisation)
        intent.home = intern(intent.home)


FLEET_SPEC: Final = StreamSpec(FLEET_STREAM, FleetState, FLEET_HANDLERS, compact_fleet)


def work_spec(data_centre: str) -> StreamSpec[WorkState]:
    """Return the description of one data centre's ``work`` stream."""
    name = WORK_STREAM_PREFIX + data_centre
    return StreamSpec(name, WorkState, WORK_HANDLERS, compact_work)
