"""Write one line of key=value pairs for each event through absl.logging."""

from __future__ import annotations

import json
from typing import Final

from absl import logging as absl_logging

_PLAIN: Final = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+%,"
)

LogValue = str | int | float | bool | None


def format_value(value: LogValue) -> str:
    """Return a value as it stands behind the equals sign.

    Text with other than plain characters is quoted as JSON, so that a caller's header
    can never start a new line or forge a pair.
    """
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and all(character in _PLAIN for character in text):
        return text
    return json.dumps(text)


def format_event(event: str, fields: dict[str, LogValue]) -> str:
    """Return the line for one event."""
    pairs = [f"event={format_value(event)}"]
    pairs.extend(f"{key}={format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


class EventLogger:
    """Log the events of one module.

    :param name: the module's ``__name__``.
    """

    def __init__(self, name: str) -> None:
        self._name = name.removeprefix("mustardward.")

    def debug(self, event: str, **fields: LogValue) -> None:
        """Log detail that only helps while a fault is being looked for."""
        if absl_logging.level_debug():
            absl_logging.debug("%s", self._line(event, fields))

    def info(self, event: str, **fields: LogValue) -> None:
        """Log something that happened as planned."""
        absl_logging.info("%s", self._line(event, fields))

    def warning(self, event: str, **fields: LogValue) -> None:
        """Log something that an operator may have to look at."""
        absl_logging.warning("%s", self._line(event, fields))

    def error(self, event: str, **fields: LogValue) -> None:
        """Log a failure that an operator has to look at."""
        absl_logging.error("%s", self._line(event, fields))

    def _line(self, event: str, fields: dict[str, LogValue]) -> str:
        return format_event(event, {"part": self._name, **fields})


def get_logger(name: str) -> EventLogger:
    """Return the event logger of a module."""
    return EventLogger(name)
