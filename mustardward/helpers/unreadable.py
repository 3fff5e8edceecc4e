"""Tell of records that can't be read, without one line for each repetition."""

from __future__ import annotations

from typing import Final

from .instruments import UNREADABLE
from .logging import get_logger

_LOGGER = get_logger(__name__)

MOST_REMEMBERED: Final = 512
"""Keys whose last complaint is remembered; beyond it all are forgotten together."""

_told: dict[tuple[str, str], str] = {}


def report_unreadable_record(kind: str, key: str, detail: str) -> None:
    """Count an unreadable record, and log it unless the same was logged last.

    A writer that goes on writing such records each second would else fill the log.

    :param kind: what the record was taken for.
    """
    UNREADABLE.labels(kind).inc()
    if _told.get((kind, key)) == detail:
        return
    if len(_told) >= MOST_REMEMBERED:
        _told.clear()
    _told[kind, key] = detail
    _LOGGER.error("record_unreadable", kind=kind, key=key, detail=detail)
