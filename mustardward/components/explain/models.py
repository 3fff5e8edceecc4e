"""Model decisions as they are told to operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SubjectKind(StrEnum):
    """Name what a story can be asked about."""

    INSTANCE = "instance"
    WAVE = "wave"
    JOB = "job"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class DecisionMade:
    """Announce on the event bus why this process decided something.

    :param subject_kind: a value of :class:`SubjectKind`.
    :param subject_id: the instance, wave, job or organisation decided on.
    :param decision: what was decided, as an event name (``claim-refused``).
    :param cause: the code or name of the reason.
    :param inputs: what the decision was made from, as ``key=value`` texts.
    :param offset: the offset up to which the state was folded, -1 if none counts.
    """

    subject_kind: str
    subject_id: str
    decision: str
    cause: str
    inputs: tuple[str, ...] = ()
    offset: int = -1


@dataclass(frozen=True, slots=True)
class StoryLine:
    """Hold one line of a subject's story.

    ``at`` is in wall-clock seconds of the entry that noted it. ``record_id`` is empty
    for a decision that wrote no record.
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
class Story:
    """Hold what is known of a subject, and which entries could not be asked."""

    subject_kind: str
    subject_id: str
    lines: tuple[StoryLine, ...]
    missing_entries: tuple[str, ...] = ()
    missing_data_centres: tuple[str, ...] = ()
