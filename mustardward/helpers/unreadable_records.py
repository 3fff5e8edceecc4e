"""Count and log unreadable records, without repeating log lines."""

from __future__ import annotations

from typing import Final

from .instruments import UNREADABLE
from .logging import get_logger

_LOGGER = get_logger(__name__)

MAX_LOGGED_DETAILS: Final = 512
"""Maximum number of stored details; all are cleared when it is reached."""

MAX_DETAIL_LENGTH: Final = 200
"""Maximum logged characters of a detail or a key; both may repeat the record's text."""

_logged_details: dict[tuple[str, str], str] = {}


def report_unreadable_record(kind: str, key: str, detail: str) -> None:
    """Count an unreadable record, and log it unless its last log line was the same.

    Otherwise a writer that repeats such a record every second would fill the log.

    :param kind: expected kind of the record.
    """
    UNREADABLE.labels(kind).inc()
    key, detail = key[:MAX_DETAIL_LENGTH], detail[:MAX_DETAIL_LENGTH]
    if _logged_details.get((kind, key)) == detail:
        return
    if len(_logged_details) >= MAX_LOGGED_DETAILS:
        _logged_details.clear()
    _logged_details[kind, key] = detail
    _LOGGER.error("record_unreadable", kind=kind, key=key, detail=detail)
