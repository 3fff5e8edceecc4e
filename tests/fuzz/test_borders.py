"""Feed whatever comes over a border with input that nobody would write."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mustardward.components.entry.models import Ran
from mustardward.components.entry.parse import parse_request
from mustardward.exceptions import CorruptRecordError, UnknownRecordError
from mustardward.helpers.logging import format_event
from mustardward.settings.loader import SettingsFaultsError, parse_settings
from mustardward.settings.models import RequestLimits
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Fold
from mustardward.state.handlers.all import FLEET_HANDLERS
from mustardward.state.models.pools import PutPool
from mustardward.state.records import decode_batch, decode_body, encode_batch
from tests.builders import build_record

BOUNDED = settings(max_examples=300, deadline=None, derandomize=True, database=None)
VALID = encode_batch([build_record(PutPool("etching"), f"r{n}") for n in range(3)])
NAMES = st.sampled_from(
    [
        b"content-length",
        b"idempotency-key",
        b"mw-class",
        b"mw-deadline-seconds",
        b"mw-idempotent",
        b"mw-request-id",
        b"x-other",
    ]
)
SETTINGS = """
entry: {name: a-1, data_centre: a}
callers: {port: 8080}
platform: {url: "http://127.0.0.1:8000"}
limits: {body_bytes: 1024}
"""


@st.composite
def spoiled_batches(draw: st.DrawFn) -> bytes:
    """Return a batch with some bytes replaced, or cut off."""
    payload = bytearray(VALID)
    for _ in range(draw(st.integers(1, 6))):
        payload[draw(st.integers(0, len(payload) - 1))] = draw(st.integers(0, 255))
    return bytes(payload[: draw(st.integers(0, len(payload)))])


@st.composite
def spoiled_settings(draw: st.DrawFn) -> str:
    """Return settings with a piece of other text in them."""
    place = draw(st.integers(0, len(SETTINGS)))
    end = draw(st.integers(place, min(len(SETTINGS), place + 8)))
    alphabet = "abc0123456789:{}[]&*!?<>#'\"|-_. \n\t%@é"
    return SETTINGS[:place] + draw(st.text(alphabet, max_size=12)) + SETTINGS[end:]


@BOUNDED
@given(st.one_of(st.binary(max_size=200), spoiled_batches()))
def test_a_spoiled_entry_of_the_log_stops_no_fold(payload: bytes) -> None:
    """Go on behind an entry that is garbage.

    Symptom: every entry process stops at one offset and none can start any more.
    Sequence: one entry of the log is spoiled. Cause: an error of the codec that the
    fold did not expect.
    """
    fold = Fold(FleetState(), FLEET_HANDLERS)
    outcomes = fold.apply(0, payload)
    fold.apply(1, VALID)
    assert fold.next_offset == 2
    assert len(outcomes) < 4
    assert "etching" in fold.state.pools or fold.blocked is not None


@BOUNDED
@given(spoiled_batches())
def test_a_spoiled_record_is_typed_or_whole(payload: bytes) -> None:
    try:
        bodies = [decode_body(item) for item in decode_batch(payload)]
    except (CorruptRecordError, UnknownRecordError) as error:
        assert error.code in ("record-corrupt", "record-unknown")
        return
    assert all(body == PutPool("etching") for body in bodies)


@BOUNDED
@given(st.one_of(st.text(max_size=60), spoiled_settings()))
def test_settings_are_valid_or_every_fault_names_its_file(text: str) -> None:
    try:
        loaded = parse_settings(text, "entry.yaml")
    except SettingsFaultsError as error:
        assert error.faults
        assert all(fault.file == "entry.yaml" for fault in error.faults)
        return
    assert loaded.entry.name


@pytest.mark.parametrize(
    "text",
    [
        "a: 2001-13-45",
        "&a {b: *a}",
        "a: !!int x",
        "- !!timestamp x",
        "[" * 3000,
    ],
)
def test_yaml_that_the_library_stumbles_over_is_a_fault(text: str) -> None:
    """Name the file for YAML that is well formed and means nothing.

    Symptom: `check` ends with a traceback. Sequence: a date with a thirteenth month,
    or a mapping that holds itself. Cause: the library raises errors of other types.
    """
    with pytest.raises(SettingsFaultsError) as raised:
        parse_settings(text, "entry.yaml")
    assert raised.value.faults[0].file == "entry.yaml"


@BOUNDED
@given(
    st.lists(st.tuples(NAMES, st.binary(max_size=40)), max_size=5),
    st.binary(max_size=40),
)
def test_headers_and_paths_give_a_request_or_a_refusal(
    headers: list[tuple[bytes, bytes]], path: bytes
) -> None:
    scope = {
        "headers": headers,
        "raw_path": b"/" + path,
        "query_string": b"",
        "method": "GET",
    }
    result = parse_request(scope, "r1", RequestLimits())
    if isinstance(result, Failure):
        refusal = result.failure()
        assert 400 <= refusal.status < 500 and refusal.ran is Ran.NO
        return
    assert isinstance(result, Success)
    target = result.unwrap().target
    assert target.startswith("/serve/") and "\n" not in target and "\r" not in target


def test_a_length_of_thousands_of_digits_is_too_large() -> None:
    """Refuse a length that no number holds.

    Symptom: a caller gets an internal error. Sequence: a content-length of 5,000
    digits. Cause: Python refuses to convert so many, with an error nobody expected.
    """
    scope = {
        "headers": [(b"content-length", b"1" * 5000)],
        "raw_path": b"/dairy/turning/1",
        "query_string": b"",
        "method": "POST",
    }
    result = parse_request(scope, "r1", RequestLimits())
    assert isinstance(result, Failure)
    assert (result.failure().code, result.failure().status) == ("body-too-large", 413)


@BOUNDED
@given(st.text(max_size=60), st.text(max_size=60))
def test_an_event_is_one_line_whatever_it_holds(event: str, value: str) -> None:
    line = format_event(event, {"value": value})
    assert len(line.splitlines()) == 1
