"""Register policies that settings can disable, with a simpler function for each.

The effect of a policy is measured by running without it. A decorator registers each
policy function under a name, with the simpler function that replaces it.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import Final, ParamSpec, TypeVar

from ..exceptions import MustardwardError
from .registry import Registry

P = ParamSpec("P")
R = TypeVar("R")

POLICIES: Final[Registry[str, str]] = Registry("policies")
"""Purpose of each policy, by name."""

_DISABLED: Final[set[str]] = set()


class UnknownPolicyError(MustardwardError):
    """Raised for the name of a policy that is not registered."""

    code = "unknown-policy"


def switchable(
    name: str, purpose: str, without: Callable[P, R]
) -> Callable[[Callable[P, R]], Callable[P, R]]:
    """Register a policy and call its replacement while it is disabled.

    :param purpose: its benefit to callers, in one line.
    :param without: replacement with the same signature.
    """
    POLICIES.register(name)(purpose)

    def decorate(policy: Callable[P, R]) -> Callable[P, R]:
        @functools.wraps(policy)
        def choose(*args: P.args, **kwargs: P.kwargs) -> R:
            if name in _DISABLED:
                return without(*args, **kwargs)
            return policy(*args, **kwargs)

        return choose

    return decorate


def switch_off(names: Iterable[str]) -> None:
    """Disable exactly these policies and enable all others.

    :raises UnknownPolicyError: if a name is not registered; nothing changes then.
    """
    disabled = set(names)
    for name in sorted(disabled):
        if name not in POLICIES:
            raise UnknownPolicyError(f"{name} is not one of {', '.join(POLICIES)}")
    _DISABLED.clear()
    _DISABLED.update(disabled)


def switched_off() -> list[str]:
    """Return the sorted names of the disabled policies."""
    return sorted(_DISABLED)
