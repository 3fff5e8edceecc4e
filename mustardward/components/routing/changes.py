"""Tell which instances a record changed."""

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


class ChangedInstances:
    """Find the instances of a record's body.

    :param state: the state at the beginning, for moves that are in progress.
    """

    def __init__(self, state: FleetState) -> None:
        self._moves = {
            move.move_id: instance_id for instance_id, move in state.moves.items()
        }
        self._readers: dict[type, Callable[[Any], tuple[str, ...]]] = {
            RequestMove: self._of_request,
            TransferInstance: self._of_end,
            CancelMove: self._of_end,
            ReportAbsences: _of_absences,
        }
        self._readers.update(dict.fromkeys(_BY_INSTANCE, _of_instance))

    def changed_by(self, body: Any) -> tuple[str, ...]:
        """Return the instances that an accepted record changed."""
        reader = self._readers.get(type(body))
        return reader(body) if reader is not None else ()

    def _of_request(self, body: RequestMove) -> tuple[str, ...]:
        self._moves[body.move_id] = body.instance_id
        return (body.instance_id,)

    def _of_end(self, body: TransferInstance | CancelMove) -> tuple[str, ...]:
        instance_id = self._moves.pop(body.move_id, None)
        return () if instance_id is None else (instance_id,)


def _of_instance(body: Any) -> tuple[str, ...]:
    instance_id: str = body.instance_id
    return (instance_id,)


def _of_absences(body: ReportAbsences) -> tuple[str, ...]:
    return tuple(change.instance_id for change in body.changes)
