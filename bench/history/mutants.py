"""Take one protection away, to show that the checks notice.

A mutant has two sides. ``remove`` patches the product in the launched entry process.
``provoke`` and ``prepare`` make the situation that the protection is for come up
often, in the entry process and in the bench; with the protection in place they must do
no harm, which ``--provoke NAME`` shows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from . import provocations, removals

if TYPE_CHECKING:
    from .world import World


def nothing() -> None:
    """Change nothing in the entry process."""


def leave(world: World) -> None:
    """Change nothing in the bench."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """Describe a mutant.

    :param invariant: the invariant that breaks without the protection.
    :param faults: names of the faults to strike with; none means all.
    :param quiet_seconds: time without a new fault after each.
    :param planners: how many submit jobs at once.
    :param least_seconds: shortest run in which the situation surely comes up.
    """

    name: str
    invariant: str
    summary: str
    remove: Callable[[], None]
    provoke: Callable[[], None] = nothing
    prepare: Callable[[World], None] = leave
    faults: tuple[str, ...] = ()
    quiet_seconds: float = 0.0
    planners: int = 1
    least_seconds: float = 10.0


_ALL = (
    Mutant(
        "fencing",
        "at-most-once",
        "a lease is accepted whatever generation its author saw",
        removals.remove_fencing,
        provoke=provocations.let_all_hold_duties,
        faults=("pause", "late-appends", "slow-platform", "lost-answers"),
        planners=6,
        least_seconds=25.0,
    ),
    Mutant(
        "intent",
        "at-most-once",
        "a keyed request is dispatched without a durable intent",
        removals.remove_intent,
        faults=("worker-close_without_answer", "worker-close_without_answer"),
    ),
    Mutant(
        "budget-recheck",
        "budget",
        "a drained instance is rebooted whatever failed since its claim",
        removals.remove_budget_recheck,
        prepare=provocations.slow_drains,
        faults=("racks-beside-a-drain-down",),
        quiet_seconds=9.0,
        least_seconds=30.0,
    ),
    Mutant(
        "attempt-id",
        "own-answer",
        "an answer is taken whatever attempt it belongs to",
        removals.remove_attempt_id,
        prepare=provocations.mix_answers_up,
        faults=("list-lags",),
    ),
    Mutant(
        "snapshot-monotony",
        "config-in-force",
        "an image that is behind the state replaces it",
        removals.remove_snapshot_monotony,
        provoke=provocations.offer_stale_images,
        faults=("slow-platform", "list-lags"),
    ),
    Mutant(
        "leaving",
        "leaving-no-work",
        "workers get work whether they are leaving or not",
        removals.remove_leaving,
        prepare=provocations.slow_drains_taken_no_notice_of,
        faults=("list-lags",),
    ),
    Mutant(
        "drain-before-stop",
        "graceful-stop",
        "an entry stops without waiting for what is in progress",
        removals.remove_drain,
        faults=("graceful-restart",),
    ),
    Mutant(
        "ownership-acknowledgement",
        "one-pool",
        "an instance changes its owner while work of the old one runs there",
        removals.remove_acknowledgement,
        prepare=provocations.slow_answers,
        faults=("list-lags",),
        least_seconds=30.0,
    ),
)

MUTANTS: dict[str, Mutant] = {mutant.name: mutant for mutant in _ALL}
"""Mutants by name."""
