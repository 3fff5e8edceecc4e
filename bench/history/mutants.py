"""Take one protection away from a process, to show that the checks notice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutant:
    """Describe a mutant; ``apply`` patches the product in the launched process."""

    name: str
    invariant: str
    summary: str
    apply: Callable[[], None]


MUTANTS: dict[str, Mutant] = {}
"""Mutants by name."""
