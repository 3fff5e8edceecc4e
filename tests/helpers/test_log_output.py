"""Test the format of log lines."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from mustardward.helpers.log_output import LibraryHandler, set_up_logging
from mustardward.helpers.logging import get_logger


@pytest.fixture
def restore_root_logger() -> Iterator[None]:
    """Restore the root logger after the test."""
    root = logging.getLogger()
    level, handlers = root.level, list(root.handlers)
    yield
    root.setLevel(level)
    root.handlers[:] = handlers


def test_only_events_reach_the_log(
    restore_root_logger: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against log lines of libraries that are not key=value pairs.

    httpx logs each call at info level, so polling the platform adds several lines.
    """
    set_up_logging()
    logging.getLogger("httpx").info("HTTP Request: GET http://127.0.0.1/?token=secret")
    get_logger("mustardward.part").info("polled", stream="fleet")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("level=info event=polled part=part stream=fleet")


def test_value_cannot_forge_a_pair(
    restore_root_logger: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a log event that never happened.

    A caller sends a request id with a line break, and values are written unquoted.
    """
    set_up_logging()
    get_logger("part").info("request", request_id="x\nevent=reboot")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith(r'request_id="x\nevent=reboot"')


def test_library_message_is_one_event(
    restore_root_logger: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against library lines without pairs, which bypass the rate limit."""
    set_up_logging()
    library = logging.getLogger("some.library")
    library.propagate = False
    library.addHandler(LibraryHandler())
    library.warning("Stream reset\nby %s", "a peer")
    (line,) = capsys.readouterr().err.splitlines()
    assert "event=library_line part=helpers.log_output library=some.library" in line
    assert 'text="Stream reset\\nby a peer" exception=-' in line
