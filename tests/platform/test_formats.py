"""Test the platform's data formats."""

from __future__ import annotations

import struct

import msgspec
import pytest

from mustardward.platform.boot import (
    DEFAULT_RECORD_BYTES,
    decode_boot,
    load_boot,
)
from mustardward.platform.callers import is_job_id
from mustardward.platform.exceptions import BootSettingsError
from mustardward.platform.models import OperatorConfig
from mustardward.platform.store import (
    READ_KILOBYTES,
    decode_keyed,
    encode_keyed,
)
from mustardward.platform.workers import TaskName, decode_task, encode_task

BOOT = {
    "node": "edge-1",
    "ip": "127.0.0.1",
    "zone": "z",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3"},
}


def test_keyed_records_round_trip() -> None:
    records = [("config", b"{}"), ("gone", b""), ("x/1", bytes(range(256)))]
    body = struct.pack(">QQ", 12, 9) + encode_keyed(records)
    page = decode_keyed(body, 9)
    assert [(r.offset, r.key, r.value) for r in page.records] == [
        (9, "config", b"{}"),
        (10, "gone", b""),
        (11, "x/1", bytes(range(256))),
    ]
    assert (page.next_offset, page.end) == (12, 12)


def test_empty_read_keeps_the_offset() -> None:
    page = decode_keyed(struct.pack(">QQ", 7, 0), 7)
    assert (page.records, page.next_offset) == ([], 7)


def test_task_names_round_trip() -> None:
    task = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
    assert encode_task(task) == "5c0e7a21d94b36f8.0.1.17"
    assert decode_task(encode_task(task)) == task


@pytest.mark.parametrize("text", ["", "abc", "5c0e7a21d94b36f", "5c0e7a21d94b36fg"])
def test_malformed_job_ids_are_rejected(text: str) -> None:
    assert not is_job_id(text)


def test_unknown_settings_are_ignored() -> None:
    boot = decode_boot(msgspec.json.encode({**BOOT, "brand-new": [1, {"a": 2}]}))
    assert boot.node == "edge-1"
    assert boot.bounds.grace_s == 6


@pytest.mark.parametrize("field", sorted(BOOT))
def test_error_names_the_missing_setting(field: str) -> None:
    rest = {key: value for key, value in BOOT.items() if key != field}
    with pytest.raises(BootSettingsError, match=field):
        decode_boot(msgspec.json.encode(rest))


def test_unset_settings_path_is_reported() -> None:
    with pytest.raises(BootSettingsError, match="not set"):
        load_boot({})


def test_unknown_fields_of_the_operator_config_are_ignored() -> None:
    body = b'{"version":3,"routes":[],"services":[],"limits":{"new":1},"new":{}}'
    assert msgspec.json.decode(body, type=OperatorConfig).version == 3


def test_a_read_holds_the_largest_record() -> None:
    """Guard against a follower that reads the same offset for ever.

    A store that returns whole records only sends none if the next one exceeds the size
    of the read.
    """
    largest = encode_keyed([("k" * 255, b"x" * (DEFAULT_RECORD_BYTES - 256))])
    head_bytes = 16
    assert READ_KILOBYTES * 1000 >= len(largest) + head_bytes
