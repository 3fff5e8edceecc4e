"""Define the history of decisions that operators can query."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SubjectKind(StrEnum):
    """Define the kinds of subjects that have a history."""

    INSTANCE = "instance"
    WAVE = "wave"
    JOB = "job"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class DecisionMade:
    """Publish on the event bus a decision of this process and its cause.

    :param subject_kind: a value of :class:`SubjectKind`.
    :param subject_id: the instance, wave, job or organisation concerned.
    :param decision: name of the decision, such as ``claim-refused``.
    :param cause: the code or name of the reason.
    :param inputs: inputs of the decision, as ``key=value`` strings.
    :param offset: offset of the last applied record, -1 if it does not apply.
    """

    subject_kind: str
    subject_id: str
    decision: str
    cause: str
    inputs: tuple[str, ...] = ()
    offset: int = -1


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """Hold one line of a subject's history.

    ``at`` is the wall-clock time, in seconds, of the entry that recorded it.
    ``record_id`` is empty for a decision that wrote no record.
    """

    at: float
    entry: str
    happening: str
    cause: str
    inputs: tuple[str, ...] = ()
    stream: str = ""
    offset: int = -1
    record_id: str = ""


@dataclass(frozen=True, slots=True)
class SubjectHistory:
    """Hold a subject's history, and the entries and data centres missing from it."""

    subject_kind: str
    subject_id: str
    lines: tuple[HistoryLine, ...]
    missing_entries: tuple[str, ...] = ()
    missing_data_centres: tuple[str, ...] = ()
