"""Define the refusals that several handlers give, and the check of a base revision."""

from __future__ import annotations

from ..fold import FoldContext, RecordRefusedError, RevisionConflictError
from ..records import NO_BASE


class UnknownSubjectError(RecordRefusedError):
    """Report a record about something that does not exist."""

    code = "subject-unknown"


class UnknownPoolError(UnknownSubjectError):
    """Report a record that names a pool nobody proposed."""

    code = "pool-unknown"


class SubjectExistsError(RecordRefusedError):
    """Report a record that would make something a second time."""

    code = "subject-exists"


class SubjectInUseError(RecordRefusedError):
    """Report a record against something that others still rest on."""

    code = "subject-in-use"


def check_base_revision(
    context: FoldContext, current: int
) -> RevisionConflictError | None:
    """Return the conflict if the author did not see the revision in force.

    ``current`` is 0 for a name that does not exist; only then may the base be missing.
    A change without a base could be a copy delayed past the dedupe window, and would
    put an old configuration back in force.
    """
    if context.base_revision == current:
        return None
    if context.base_revision == NO_BASE and current == 0:
        return None
    detail = f"base={context.base_revision} current={current}"
    return RevisionConflictError(detail, current)
