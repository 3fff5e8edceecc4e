"""Test what is said of workers that the fleet's list no longer names."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.hosts import Hosts
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.models import Instance

from .builders import an_instance

WORKER = "i-01"
MACHINE = "m-01"


def listed(**changes: object) -> dict[str, Instance]:
    """Return a list of one instance."""
    return {MACHINE: an_instance(1, **changes)}


def some_hosts() -> Hosts:
    """Return the hosts by a list that names the worker."""
    hosts = Hosts()
    hosts.read(listed(), alive={WORKER})
    return hosts


def test_a_worker_whose_instance_is_down_was_not_ordered() -> None:
    down = listed(state="down", id=None)
    assert some_hosts().why_unlisted(WORKER, down, set()) is LossCause.UNLISTED


def test_a_worker_whose_instance_has_another_one_was_not_ordered() -> None:
    back = listed(id="i-02")
    assert some_hosts().why_unlisted(WORKER, back, set()) is LossCause.UNLISTED


@pytest.mark.parametrize("state", ["moving", "upkeep"])
def test_a_worker_whose_instance_is_away_by_an_order_did_not_crash(state: str) -> None:
    """Guards against moves that an owner before ordered and that count as crashes."""
    away = listed(state=state, id=None)
    assert some_hosts().why_unlisted(WORKER, away, set()) is LossCause.ORDERED


def test_an_order_without_an_answer_counts_as_carried_out() -> None:
    back = listed(id="i-02")
    hosts = some_hosts()
    assert hosts.why_unlisted(WORKER, back, {MACHINE}) is LossCause.ORDERED


def test_a_worker_that_is_not_known_to_be_gone_keeps_its_instance() -> None:
    hosts = some_hosts()
    away = listed(state="moving", id=None)
    hosts.read(away, alive={WORKER})
    assert hosts.why_unlisted(WORKER, away, set()) is LossCause.ORDERED
    hosts.read(away, alive=set())
    assert hosts.why_unlisted(WORKER, away, set()) is LossCause.UNLISTED
