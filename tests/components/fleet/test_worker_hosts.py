"""Test the loss causes of workers that are no longer listed."""

from __future__ import annotations

import pytest

from mustardward.components.fleet.worker_hosts import WorkerHosts
from mustardward.components.scheduling.losses import LossCause
from mustardward.platform.models import Instance

from .builders import an_instance

WORKER = "i-01"
MACHINE = "m-01"


def an_instance_list(**changes: object) -> dict[str, Instance]:
    """Return an instance list with one row."""
    return {MACHINE: an_instance(1, **changes)}


def hosts_of_worker() -> WorkerHosts:
    """Return the hosts after a list that shows the worker."""
    hosts = WorkerHosts()
    hosts.update(an_instance_list(), alive={WORKER})
    return hosts


def test_an_instance_that_is_down_gives_the_cause_unlisted() -> None:
    down = an_instance_list(state="down", id=None)
    assert hosts_of_worker().loss_cause(WORKER, down, set()) is LossCause.UNLISTED


def test_an_instance_with_another_worker_gives_the_cause_unlisted() -> None:
    back = an_instance_list(id="i-02")
    assert hosts_of_worker().loss_cause(WORKER, back, set()) is LossCause.UNLISTED


@pytest.mark.parametrize("state", ["moving", "upkeep"])
def test_a_moved_or_maintained_instance_gives_the_cause_ordered(state: str) -> None:
    """Guard against counting orders of a previous owner as crashes."""
    away = an_instance_list(state=state, id=None)
    assert hosts_of_worker().loss_cause(WORKER, away, set()) is LossCause.ORDERED


def test_an_unanswered_order_gives_the_cause_ordered() -> None:
    back = an_instance_list(id="i-02")
    hosts = hosts_of_worker()
    assert hosts.loss_cause(WORKER, back, {MACHINE}) is LossCause.ORDERED


def test_a_worker_that_may_be_alive_keeps_its_machine() -> None:
    hosts = hosts_of_worker()
    away = an_instance_list(state="moving", id=None)
    hosts.update(away, alive={WORKER})
    assert hosts.loss_cause(WORKER, away, set()) is LossCause.ORDERED
    hosts.update(away, alive=set())
    assert hosts.loss_cause(WORKER, away, set()) is LossCause.UNLISTED
