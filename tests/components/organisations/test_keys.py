"""Test whose a key is, and whose jobs a caller sees."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import JobRecord
from mustardward.components.organisations.access import identify, may_see
from mustardward.components.organisations.keys import build_keys, digest
from mustardward.components.organisations.models import ANYBODY, Caller, Organisation
from mustardward.platform.models import OrganisationSettings, Queue, Room

DAIRY = OrganisationSettings("dairy", ["k1", "k2"], 3.0, Room(cpu=9000))
GAUGES = OrganisationSettings("gauges", ["k3"])
PRIVATE = Queue("p", "host", "/p/", "pool")
PUBLIC = Queue("o", "host", "/o/", "pool", public=True)


def a_record(organisation: str, queue: str = "host /p/") -> JobRecord:
    """Return a job of a queue."""
    return JobRecord("1", queue, "pool", "", [], 0, 0.0, 0.0, 0.0, organisation)


def test_each_key_of_an_organisation_names_it() -> None:
    table = build_keys([DAIRY, GAUGES])
    dairy = Organisation("dairy", 3.0, Room(cpu=9000))
    assert [table.find(key) for key in ("k1", "k2")] == [dairy, dairy]
    assert table.find("k3") == Organisation("gauges")
    assert [table.find(key) for key in ("", "k", "K1", "k1 ")] == [None] * 4


def test_a_digest_tells_nothing_of_its_key() -> None:
    assert digest("k1") == digest("k1") != digest("k2")
    assert b"k1" not in digest("k1")
    assert "k1" not in repr(build_keys([DAIRY])) and "k1" not in repr(DAIRY)


@pytest.mark.parametrize(
    ("settings", "asks", "in_use"),
    [
        (None, False, False),
        (None, True, True),
        ([], False, True),
        ([DAIRY], True, True),
    ],
)
def test_keys_are_asked_for_where_there_are_organisations(
    settings: list[OrganisationSettings] | None, asks: bool, in_use: bool
) -> None:
    table = build_keys(settings, asks)
    assert table.in_use is in_use
    assert identify(table, PRIVATE, "") == (None if in_use else ANYBODY)


@pytest.mark.parametrize(
    ("queue", "key", "caller"),
    [
        (PRIVATE, "k1", Caller("dairy")),
        (PRIVATE, "nobody's", None),
        (PRIVATE, "", None),
        (PUBLIC, "k1", Caller("dairy")),
        (PUBLIC, "nobody's", ANYBODY),
        (PUBLIC, "", ANYBODY),
    ],
)
def test_who_may_call_a_queue(queue: Queue, key: str, caller: Caller | None) -> None:
    assert identify(build_keys([DAIRY, GAUGES]), queue, key) == caller


@pytest.mark.parametrize(
    ("caller", "queue", "record", "seen"),
    [
        (Caller("dairy"), PRIVATE, a_record("dairy"), True),
        (Caller("gauges"), PRIVATE, a_record("dairy"), False),
        (Caller("gauges"), PRIVATE, a_record(""), True),
        (ANYBODY, PUBLIC, a_record("dairy"), False),
        (ANYBODY, PUBLIC, a_record("dairy", "host /o/"), True),
        (ANYBODY, PUBLIC, a_record("", "host /o/"), True),
    ],
)
def test_whose_jobs_a_caller_sees(
    caller: Caller, queue: Queue, record: JobRecord, seen: bool
) -> None:
    assert may_see(caller, queue, record) is seen
