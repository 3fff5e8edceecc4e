"""Determine which instances a record changed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from ...state.fleet import FleetState
from ...state.models.maintenance import (
    AdoptClaim,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    TakeClaim,
)
from ...state.models.pools import (
    AddInstance,
    CancelMove,
    RemoveInstance,
    RequestMove,
    TransferInstance,
)

_BY_INSTANCE: Final = (
    AddInstance,
    RemoveInstance,
    TakeClaim,
    AdvanceClaim,
    AdoptClaim,
    ReleaseClaim,
)


class InstanceChangeTracker:
    """Extract the affected instances from the bodies of records.

    :param state: the initial state, which holds the moves in progress.
    """

    def __init__(self, state: FleetState) -> None:
        self._moves = {
            move.move_id: instance_id for instance_id, move in state.moves.items()
        }
        self._extractors: dict[type, Callable[[Any], tuple[str, ...]]] = {
            RequestMove: self._from_request,
            TransferInstance: self._from_move_end,
            CancelMove: self._from_move_end,
            ReportAbsences: _from_absences,
        }
        self._extractors.update(dict.fromkeys(_BY_INSTANCE, _from_instance))

    def changed_by(self, body: Any) -> tuple[str, ...]:
        """Return the instances that an accepted record changed."""
        extract = self._extractors.get(type(body))
        return extract(body) if extract is not None else ()

    def _from_request(self, body: RequestMove) -> tuple[str, ...]:
        self._moves[body.move_id] = body.instance_id
        return (body.instance_id,)

    def _from_move_end(self, body: TransferInstance | CancelMove) -> tuple[str, ...]:
        instance_id = self._moves.pop(body.move_id, None)
        return () if instance_id is None else (instance_id,)


def _from_instance(body: Any) -> tuple[str, ...]:
    instance_id: str = body.instance_id
    return (instance_id,)


def _from_absences(body: ReportAbsences) -> tuple[str, ...]:
    return tuple(change.instance_id for change in body.changes)
