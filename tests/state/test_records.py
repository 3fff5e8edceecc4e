"""Test the codec of records."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.exceptions import CorruptRecordError, UnknownRecordError
from mustardward.state.models.pools import PutPool
from mustardward.state.records import decode_batch, decode_body, encode_batch
from tests.builders import build_record


def test_batch_round_trips_through_its_codec() -> None:
    envelopes = [build_record(PutPool("etching")), build_record(PutPool("casting"))]
    decoded = decode_batch(encode_batch(envelopes))
    assert [decode_body(item) for item in decoded] == [
        PutPool("etching"),
        PutPool("casting"),
    ]


def test_a_changed_body_is_refused() -> None:
    envelope = replace(build_record(PutPool("etching")), body=b"\x81\xa4name\xa1x")
    with pytest.raises(CorruptRecordError):
        decode_body(envelope)


def test_newer_version_is_refused() -> None:
    envelope = replace(build_record(PutPool("etching")), version=99)
    with pytest.raises(UnknownRecordError):
        decode_body(envelope)
