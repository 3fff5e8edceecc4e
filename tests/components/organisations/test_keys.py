"""Test the lookup of API keys, the authorisation of callers and access to jobs."""

from __future__ import annotations

import pytest

from mustardward.components.ledger.models import JobRecord
from mustardward.components.organisations.access import may_access_job, resolve_caller
from mustardward.components.organisations.keys import build_api_keys, key_digest
from mustardward.components.organisations.models import ANONYMOUS, Caller, Organisation
from mustardward.platform.models import OrganisationSettings, Queue, Room

DAIRY = OrganisationSettings("dairy", ["k1", "k2"], 3.0, Room(cpu=9000))
GAUGES = OrganisationSettings("gauges", ["k3"])
PRIVATE = Queue("p", "host", "/p/", "pool")
PUBLIC = Queue("o", "host", "/o/", "pool", public=True)


def a_record(organisation: str, queue: str = "host /p/") -> JobRecord:
    """Return the record of a job of an organisation."""
    return JobRecord("1", queue, "pool", "", [], 0, 0.0, 0.0, 0.0, organisation)


def test_each_key_resolves_to_its_organisation() -> None:
    table = build_api_keys([DAIRY, GAUGES])
    dairy = Organisation("dairy", 3.0, Room(cpu=9000))
    assert [table.find(key) for key in ("k1", "k2")] == [dairy, dairy]
    assert table.find("k3") == Organisation("gauges")
    assert [table.find(key) for key in ("", "k", "K1", "k1 ")] == [None] * 4


def test_a_digest_reveals_nothing_of_its_key() -> None:
    assert key_digest("k1") == key_digest("k1") != key_digest("k2")
    assert b"k1" not in key_digest("k1")
    assert "k1" not in repr(build_api_keys([DAIRY])) and "k1" not in repr(DAIRY)


@pytest.mark.parametrize(
    ("settings", "deployment_requires", "required"),
    [
        (None, False, False),
        (None, True, True),
        ([], False, True),
        ([DAIRY], True, True),
    ],
)
def test_keys_are_required_if_there_are_organisations(
    settings: list[OrganisationSettings] | None,
    deployment_requires: bool,
    required: bool,
) -> None:
    table = build_api_keys(settings, deployment_requires)
    assert table.required is required
    assert resolve_caller(table, PRIVATE, "") == (None if required else ANONYMOUS)


@pytest.mark.parametrize(
    ("queue", "key", "caller"),
    [
        (PRIVATE, "k1", Caller("dairy")),
        (PRIVATE, "nobody's", None),
        (PRIVATE, "", None),
        (PUBLIC, "k1", Caller("dairy")),
        (PUBLIC, "nobody's", ANONYMOUS),
        (PUBLIC, "", ANONYMOUS),
    ],
)
def test_a_caller_is_resolved_by_queue_and_key(
    queue: Queue, key: str, caller: Caller | None
) -> None:
    assert resolve_caller(build_api_keys([DAIRY, GAUGES]), queue, key) == caller


@pytest.mark.parametrize(
    ("caller", "queue", "record", "allowed"),
    [
        (Caller("dairy"), PRIVATE, a_record("dairy"), True),
        (Caller("gauges"), PRIVATE, a_record("dairy"), False),
        (Caller("gauges"), PRIVATE, a_record(""), True),
        (ANONYMOUS, PUBLIC, a_record("dairy"), False),
        (ANONYMOUS, PUBLIC, a_record("dairy", "host /o/"), True),
        (ANONYMOUS, PUBLIC, a_record("", "host /o/"), True),
    ],
)
def test_job_access_depends_on_organisation_and_queue(
    caller: Caller, queue: Queue, record: JobRecord, allowed: bool
) -> None:
    assert may_access_job(caller, queue, record) is allowed
