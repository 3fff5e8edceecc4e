"""Test which workers instance lists show to be gone."""

from __future__ import annotations

from mustardward.components.fleet.instance_list import InstanceListing
from mustardward.components.fleet.listed_workers import (
    LIST_LAG_SECONDS,
    ListedWorkers,
)
from mustardward.platform.models import Instance

from .builders import an_instance

READ_AT = 100.0


def a_listing(
    *rows: Instance, pages: int = 1, complete: bool = True, read_at: float = READ_AT
) -> InstanceListing:
    return InstanceListing(read_at, "", pages, complete, list(rows))


def test_list_of_one_page_is_conclusive() -> None:
    listed = ListedWorkers()
    assert listed.zones() is None
    listed.update(a_listing(an_instance(1, zone="z")))
    assert listed.zones() == {"i-01": "z"}
    assert not listed.needs_another


def test_first_list_of_several_pages_is_not_conclusive() -> None:
    listed = ListedWorkers()
    listed.update(a_listing(an_instance(1), pages=2))
    assert listed.zones() is None
    assert listed.needs_another
    listed.update(a_listing(an_instance(1), pages=2))
    assert listed.zones() is not None


def test_row_missing_from_one_list_of_several_pages_still_counts() -> None:
    listed = ListedWorkers()
    for rows in ((an_instance(1), an_instance(2)), (an_instance(2),)):
        listed.update(a_listing(*rows, pages=2))
    assert set(listed.zones() or ()) == {"i-01", "i-02"}
    listed.update(a_listing(an_instance(2), pages=2))
    assert set(listed.zones() or ()) == {"i-02"}


def test_newer_row_of_a_machine_replaces_the_one_of_the_list_before() -> None:
    """Guard against a lost worker whose tasks wait for one list more than needed."""
    listed = ListedWorkers()
    for worker_id in ("i-01", "i-99"):
        listed.update(a_listing(an_instance(1, id=worker_id), pages=2))
    assert set(listed.zones() or ()) == {"i-99"}


def test_unreadable_row_makes_no_worker_gone() -> None:
    listed = ListedWorkers()
    listed.update(a_listing(an_instance(1), complete=False))
    assert listed.zones() is None
    assert not listed.needs_another
    assert not listed.is_gone("i-02", True, READ_AT - 10.0)


def test_worker_that_was_listed_is_gone_with_a_list_requested_since() -> None:
    listed = ListedWorkers()
    listed.update(a_listing(an_instance(1)))
    assert listed.is_gone("i-02", True, READ_AT - 0.1)
    assert not listed.is_gone("i-02", True, READ_AT)
    assert not listed.is_gone("i-01", True, READ_AT - 10.0)


def test_worker_that_was_never_listed_is_not_gone_while_the_list_may_lag() -> None:
    listed = ListedWorkers()
    listed.update(a_listing(an_instance(1)))
    assert not listed.is_gone("i-02", False, READ_AT - LIST_LAG_SECONDS)
    assert listed.is_gone("i-02", False, READ_AT - LIST_LAG_SECONDS - 0.1)
