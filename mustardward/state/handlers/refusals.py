"""Define errors shared by several handlers, and the check of a base revision."""

from __future__ import annotations

from ..fold import FoldContext, RecordRefusedError, RevisionConflictError
from ..records import NO_BASE


class UnknownSubjectError(RecordRefusedError):
    """Report a record whose subject does not exist."""

    code = "subject-unknown"


class UnknownPoolError(UnknownSubjectError):
    """Report a record that refers to an unknown pool."""

    code = "pool-unknown"


class SubjectExistsError(RecordRefusedError):
    """Report a record that would create an existing subject."""

    code = "subject-exists"


class SubjectInUseError(RecordRefusedError):
    """Report a record whose subject is still in use."""

    code = "subject-in-use"


def check_base_revision(
    context: FoldContext, current: int
) -> RevisionConflictError | None:
    """Return an error if a record is not based on the revision in force.

    ``current`` is 0 for a name that does not exist; only then may the base be missing.
    A change without a base could be a duplicate delayed past the dedupe window, which
    would restore an old configuration.
    """
    if context.base_revision == current:
        return None
    if context.base_revision == NO_BASE and current == 0:
        return None
    detail = f"base={context.base_revision} current={current}"
    return RevisionConflictError(detail, current)
