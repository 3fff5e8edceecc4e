"""Configure logging of events as lines of key=value pairs to standard error."""

from __future__ import annotations

import logging
from typing import Final

from absl import flags
from absl import logging as absl_logging

from .logging import get_logger

_LOGGER = get_logger(__name__)

_LEVELS: Final = {"DEBUG": "debug", "INFO": "info", "WARNING": "warning"}

_LIBRARIES: Final = ("httpx", "httpcore", "hypercorn.error", "hypercorn.access")


class PairFormatter(logging.Formatter):
    """Format an event with its time and level."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line."""
        level = _LEVELS.get(record.levelname, "error")
        message = record.getMessage()
        if record.exc_info:
            message += f" exception={record.exc_info[0]}"
        return f"time={record.created:.3f} level={level} {message}"


class LibraryHandler(logging.Handler):
    """Log library messages as events, so that the line rate limit applies to them.

    Without a handler, libraries write directly to standard error: about sixty lines
    without pairs in a network partition, neither limited nor counted.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log the message as one event."""
        raised = record.exc_info[0] if record.exc_info else None
        _LOGGER.info(
            "library_line",
            library=record.name,
            text=record.getMessage(),
            exception=raised.__name__ if raised is not None else None,
        )


def set_up_logging(verbose: bool = False) -> None:
    """Configure logging of events; ``verbose`` includes debug events."""
    # click parses the command line; absl warns unless its flags count as parsed.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(PairFormatter())
    absl_logging.set_verbosity(absl_logging.DEBUG if verbose else absl_logging.INFO)
    absl_logging.set_stderrthreshold("info")
    # Libraries log a sentence with the whole URL for each call, which hides events and
    # writes secrets of query strings to the log.
    for name in _LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
