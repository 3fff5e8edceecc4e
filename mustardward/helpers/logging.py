"""Log events as lines of key=value pairs through absl.logging."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Final

from absl import logging as absl_logging

_UNQUOTED: Final = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+%,"
)

MAX_NAMES_PER_LINE: Final = 32
"""Most workers or starts that one log line names."""

LogValue = str | int | float | bool | None


def format_value(value: LogValue) -> str:
    """Return the text of a value in a pair.

    Text with any special character is quoted as JSON, so that a caller's header can
    neither start a new line nor forge a pair.
    """
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and all(character in _UNQUOTED for character in text):
        return text
    return json.dumps(text)


def format_event(event: str, fields: dict[str, LogValue]) -> str:
    """Return the log line of an event."""
    pairs = [f"event={format_value(event)}"]
    pairs.extend(f"{key}={format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


class EventLogger:
    """Logger for the events of one module.

    :param name: the module's ``__name__``.
    """

    def __init__(self, name: str) -> None:
        self._name = name.removeprefix("mustardward.")

    def debug(self, event: str, **fields: LogValue) -> None:
        """Log detail for debugging."""
        if absl_logging.level_debug():
            absl_logging.debug("%s", self._line(event, fields))

    def info(self, event: str, **fields: LogValue) -> None:
        """Log normal operation."""
        absl_logging.info("%s", self._line(event, fields))

    def warning(self, event: str, **fields: LogValue) -> None:
        """Log a condition that may need an operator's attention."""
        absl_logging.warning("%s", self._line(event, fields))

    def error(self, event: str, **fields: LogValue) -> None:
        """Log a failure that needs an operator's attention."""
        absl_logging.error("%s", self._line(event, fields))

    def _line(self, event: str, fields: dict[str, LogValue]) -> str:
        return format_event(event, {"part": self._name, **fields})


def log_names(
    log: Callable[..., None], event: str, epoch: int, field: str, names: Sequence[str]
) -> None:
    """Log an event that names many things, in lines of limited length.

    :param log: method of the logger for the level.
    :param field: field with the names.
    """
    for first in range(0, len(names), MAX_NAMES_PER_LINE):
        part = names[first : first + MAX_NAMES_PER_LINE]
        log(event, epoch=epoch, count=len(part), **{field: ",".join(part)})


def get_logger(name: str) -> EventLogger:
    """Return the event logger of a module."""
    return EventLogger(name)
