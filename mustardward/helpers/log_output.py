"""Send the product's log lines to standard error, a line of pairs for each."""

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
    """Put time and level before the pairs of an event."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        level = _LEVELS.get(record.levelname, "error")
        message = record.getMessage()
        if record.exc_info:
            message += f" exception={record.exc_info[0]}"
        return f"time={record.created:.3f} level={level} {message}"


class LibraryHandler(logging.Handler):
    """Write what libraries say as events of ours, so that the bound of lines holds.

    Symptom without it: lines without pairs between an entry's events, some sixty in a
    cut, past the bound and its count. Cause: a library that logs by itself, and finds
    no handler, writes to standard error.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        raised = record.exc_info[0] if record.exc_info else None
        _LOGGER.info(
            "library_line",
            library=record.name,
            text=record.getMessage(),
            exception=raised.__name__ if raised is not None else None,
        )


def set_up_logging(verbose: bool = False) -> None:
    """Begin to write events; ``verbose`` adds those for fault finding."""
    # click parses the command line; absl would first warn that nobody had.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(PairFormatter())
    absl_logging.set_verbosity(absl_logging.DEBUG if verbose else absl_logging.INFO)
    absl_logging.set_stderrthreshold("info")
    # Libraries write sentences, a line for each call, with whole URLs in them: an
    # operator would look for events in vain between them, and a secret in a query
    # would stand in the log.
    for name in _LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
