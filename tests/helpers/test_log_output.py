"""Write events as an operator reads them."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from mustardward.helpers.log_output import LibraryHandler, set_up_logging
from mustardward.helpers.logging import get_logger


@pytest.fixture
def quiet_root() -> Iterator[None]:
    """Put the root logger back as it was."""
    root = logging.getLogger()
    level, handlers = root.level, list(root.handlers)
    yield
    root.setLevel(level)
    root.handlers[:] = handlers


def test_only_events_reach_the_log(
    quiet_root: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Keep libraries' sentences out of the log.

    Symptom: the log holds several lines for each request that are not key=value pairs.
    Sequence: an entry polls the platform. Cause: httpx logs each call at info level.
    """
    set_up_logging()
    logging.getLogger("httpx").info("HTTP Request: GET http://127.0.0.1/?token=secret")
    get_logger("mustardward.part").info("polled", stream="fleet")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("level=info event=polled part=part stream=fleet")


def test_a_value_cannot_forge_a_pair(
    quiet_root: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Keep a caller's header from writing lines of its own.

    Symptom: the log shows an event that never happened. Sequence: a caller sends a
    request id with a line break. Cause: values were written unquoted.
    """
    set_up_logging()
    get_logger("part").info("request", request_id="x\nevent=reboot")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith(r'request_id="x\nevent=reboot"')


def test_what_a_library_says_is_one_event(
    quiet_root: None, capsys: pytest.CaptureFixture[str]
) -> None:
    """Symptom: an entry's log has lines without pairs, past the bound of lines."""
    set_up_logging()
    library = logging.getLogger("some.library")
    library.propagate = False
    library.addHandler(LibraryHandler())
    library.warning("Stream reset\nby %s", "a peer")
    (line,) = capsys.readouterr().err.splitlines()
    assert "event=library_line part=helpers.log_output library=some.library" in line
    assert 'text="Stream reset\\nby a peer" exception=-' in line
