"""Find the subjects of a record, including those of a refused one."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from typing import Any, Final

from ...state.models.pools import RequestMove
from ...state.models.templates import PutOrganisation, RemoveOrganisation
from .models import SubjectKind

Subject = tuple[SubjectKind, str]

_KIND_BY_FIELD: Final = {
    "instance_id": SubjectKind.INSTANCE,
    "wave_id": SubjectKind.WAVE,
    "job_id": SubjectKind.JOB,
    "organisation": SubjectKind.ORGANISATION,
}
_INPUT_LENGTH: Final = 80


def find_subjects(body: Any, instance_of_move: dict[str, str]) -> list[Subject]:
    """Return the subjects of a record's body.

    :param instance_of_move: instance ID by move ID, updated by move requests, because
        later records of a move contain only its ID.
    """
    if isinstance(body, RequestMove):
        instance_of_move[body.move_id] = body.instance_id
    return list(dict.fromkeys(_iter_subjects(body, instance_of_move)))


def _iter_subjects(body: Any, instance_of_move: dict[str, str]) -> Iterator[Subject]:
    if isinstance(body, PutOrganisation | RemoveOrganisation):
        yield SubjectKind.ORGANISATION, body.name
    for name, kind in _KIND_BY_FIELD.items():
        value = getattr(body, name, "")
        if value:
            yield kind, value
    moved = instance_of_move.get(getattr(body, "move_id", ""))
    if moved:
        yield SubjectKind.INSTANCE, moved
    for instance_id in getattr(body, "instances", ()):
        yield SubjectKind.INSTANCE, instance_id
    for change in getattr(body, "changes", ()):
        yield SubjectKind.INSTANCE, change.instance_id


def parse_subjects(names: tuple[str, ...]) -> list[Subject]:
    """Parse the subjects that a handler returned as ``kind:id``."""
    pairs = [name.partition(":") for name in names]
    return [
        (SubjectKind(kind), subject_id)
        for kind, _, subject_id in pairs
        if kind in set(SubjectKind)
    ]


def describe_body(body: Any, subject_id: str) -> tuple[str, ...]:
    """Return the fields of a body as ``key=value`` strings.

    Payloads are omitted, as are other subjects' changes in a coalesced report.
    """
    if not is_dataclass(body):
        return ()
    return tuple(_describe(body, subject_id))


def _describe(body: Any, subject_id: str) -> Iterator[str]:
    for item in fields(body):
        value = getattr(body, item.name)
        if item.name == "changes":
            for change in value:
                if change.instance_id == subject_id:
                    yield from _describe(change, subject_id)
        elif isinstance(value, str | int | float) and value != subject_id:
            yield f"{item.name}={value}"[:_INPUT_LENGTH]
