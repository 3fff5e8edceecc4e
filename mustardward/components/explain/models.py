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
