"""Collect the check of each invariant."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from mustardward.helpers.registry import Registry

from ..models import History, Violation

Check = Callable[[History], Iterator[Violation]]

INVARIANTS: Registry[str, Check] = Registry("invariants")
